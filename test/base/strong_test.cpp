#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// Guards against text from outside that becomes a name without a check, and
// ends the process or splits a message where the name is used.
TEST(StrongName, HoldsPrintableTextOnly)
{
    for (const std::string& text :
        {std::string("i-1"), std::string("a b"), std::string(256, '~')}) {
        EXPECT_EQ(backend_server_id(text).value(), text);
        EXPECT_EQ(backend_server_id::from(text), backend_server_id(text));
    }
    for (const std::string& text : {std::string(" a"), std::string("a "),
             std::string("a\n"), std::string("a\0b", 3),
             std::string("\xff\xfe"), std::string("\xc3\xa5"),
             std::string("\x7f"), std::string(257, 'a')}) {
        EXPECT_THROW(backend_server_id{text}, error) << text;
        EXPECT_FALSE(backend_server_id::from(text)) << text;
    }
}

// Guards against an entry whose name a target cannot carry as it is.
TEST(IsPlainName, AllowsCharactersThatNeedNoEncodingInAQuery)
{
    for (const char* text : {"i-7f3a91c2", "AZaz09", "-._~:@/"})
        EXPECT_TRUE(is_plain_name(text)) << text;
    for (const char* text : {"", "a b", "a&b", "a+b", "a#b", "a%b", "a=b",
             "a?b", "a;b", "a\"b", "a\n", "\xc3\xa5"})
        EXPECT_FALSE(is_plain_name(text)) << text;
    EXPECT_FALSE(is_plain_name(std::string(257, 'a')));
}

// An empty name stands for no entity, so that it is never the name of one.
TEST(StrongName, IsNotMadeFromEmptyText)
{
    EXPECT_TRUE(backend_server_id("").empty());
    EXPECT_FALSE(backend_server_id::from(""));
}

} // namespace
} // namespace filberthub
