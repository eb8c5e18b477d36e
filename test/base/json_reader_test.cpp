#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/json_text.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>

namespace filberthub {
namespace {

using ::testing::HasSubstr;

std::string message_of(const std::function<void()>& action)
{
    try {
        action();
    } catch (const error& failure) {
        return failure.what();
    }
    return "no error";
}

// Without the path and the bound, an operator cannot find the wrong setting.
TEST(JsonReader, ReportsPathAndBoundOfANumberBelowTheMinimum)
{
    const json document = {{"limits", {{"slots", 0}}}};
    json_reader reader(document);
    EXPECT_EQ(
        message_of([&] { reader.object("limits").integer("slots", 1, 9); }),
        "field \"/limits/slots\": 0 is below the minimum 1");
}

// A misspelled field would otherwise silently keep its default value.
TEST(JsonReader, FinishRefusesUnknownFields)
{
    const json document = {{"slot", 2}};
    json_reader reader(document);
    reader.integer_or("slots", 1, 9, 1);
    EXPECT_THAT(message_of([&] { reader.finish(); }), HasSubstr("/slot"));
}

// The conversion to a signed integer would turn such a number negative.
TEST(JsonReader, RefusesNumbersAboveTheSignedRange)
{
    const json document = {{"slots", UINT64_MAX}};
    json_reader reader(document);
    EXPECT_THAT(message_of([&] { reader.integer("slots", 1, INT64_MAX); }),
        HasSubstr("above the maximum"));
}

// Guards against a document that exhausts the stack of a function that recurses
// into values.
TEST(JsonReader, RefusesDeeplyNestedDocuments)
{
    const std::string deep = std::string(max_json_depth + 1, '[') +
                             std::string(max_json_depth + 1, ']');
    EXPECT_THAT(message_of([&] { parse_json(deep, error_kind::bad_policy); }),
        HasSubstr("levels of nesting"));
    EXPECT_THROW(parse_json("1e400", error_kind::bad_policy), error);
}

// Guards against brackets inside strings that count as structure.
TEST(JsonText, FindsMembersAndElements)
{
    const std::string text =
        R"( {"a" : "]}\"," , "b":[ {"c":[1, 2]} , "x,y" ,3 ] , "d":true})";
    EXPECT_EQ(json_member(text, "a"), R"("]}\",")");
    EXPECT_EQ(json_member(text, "d"), "true");
    EXPECT_FALSE(json_member(text, "c"));
    EXPECT_FALSE(json_member("[1]", "a"));
    const auto elements = json_elements(json_member(text, "b").value());
    ASSERT_TRUE(elements);
    EXPECT_THAT(
        *elements, testing::ElementsAre(R"({"c":[1, 2]})", R"("x,y")", "3"));
    EXPECT_EQ(json_elements(" [ ] ")->size(), 0U);
    EXPECT_FALSE(json_elements("[1, 2"));
    EXPECT_EQ(json_depth(text), 4U);
    EXPECT_EQ(json_depth(R"("[[[")"), 0U);
}

} // namespace
} // namespace filberthub
