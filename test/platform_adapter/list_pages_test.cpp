// How a list of several pages goes on after odd objects.

#include <platform/store_api.hpp>

#include <filberthub/base/error.hpp>

#include <gtest/gtest.h>

namespace filberthub::platform_api {
namespace {

// Returns a page of a list that goes on.
std::string page_with(const std::string& items)
{
    return R"({"items":[)" + items + R"(],"HasMore":true,"StoreRevision":9})";
}

// Returns an object whose name is this JSON text.
std::string object_named(const std::string& name)
{
    return R"({"Metadata":{"Name":)" + name + R"(,"Revision":6},"Spec":{}})";
}

// Guards against a start that never ends because no name of a page can be read,
// so that the call for the next one is never made.
TEST(list_pages_test, GoesOnAfterAPageWithoutAReadableName)
{
    for (const std::string name : {R"("\ud800")", "\"\xff\"", R"("i-\ud800x")",
             "\"i-7\xc3\"", R"("\u00e5\udc00\"")", "\"a\xff\\\"\""}) {
        const store_page page =
            decode_list(object_kind::server, page_with(object_named(name)));
        EXPECT_TRUE(page.objects.empty()) << name;
        EXPECT_EQ(page.unreadable_objects, 1U) << name;
        EXPECT_TRUE(page.next) << name;
    }
}

// No name of a server is passed over: all of them that begin like the odd one
// come before it.
TEST(list_pages_test, GoesOnBehindTheReadableBeginOfAName)
{
    const store_page page = decode_list(
        object_kind::server, page_with(object_named(R"("i-7\ud800z")")));
    ASSERT_TRUE(page.next);
    EXPECT_GT(*page.next, "i-7~");
    EXPECT_LT(*page.next, "i-8");
    const std::string long_name = std::string(5'000, 'i') + "\xff";
    const store_page long_page = decode_list(
        object_kind::server, page_with(object_named('"' + long_name + '"')));
    ASSERT_TRUE(long_page.next);
    EXPECT_GT(*long_page.next, long_name);
    EXPECT_LT(long_page.next->size(), 300U);
}

// Guards against an entry of another writer that is used as a server.
TEST(list_pages_test, LeavesOutServersWithReservedCharactersInTheirNames)
{
    for (const std::string name : {"copy of i-1", "i&1", "i+1", "i#1", "i%1",
             "i%201", "i?1", "i=1", "i;1", "i,1"}) {
        const std::string object = object_named('"' + name + '"');
        // A page of nothing else is not an error, which would end the list.
        const store_page page =
            decode_list(object_kind::server, page_with(object));
        EXPECT_TRUE(page.objects.empty()) << name;
        EXPECT_EQ(page.unreadable_objects, 1U) << name;
        EXPECT_EQ(page.next, name);
        const store_page events = decode_events(object_kind::server,
            R"({"events":[{"Object":)" + object + R"(}],"StoreRevision":9})");
        EXPECT_TRUE(events.objects.empty()) << name;
        // A failure domain may have it.
        EXPECT_EQ(decode_list(object_kind::evacuation, page_with(object))
                      .objects.size(),
            1U)
            << name;
    }
    for (const std::string name : {"i-7f3a91c2", "a.b_c~d", "host:80/1@x"}) {
        EXPECT_EQ(decode_list(object_kind::server,
                      page_with(object_named('"' + name + '"')))
                      .objects.size(),
            1U)
            << name;
    }
}

// Guards against the removal of all servers on the next pages.
TEST(list_pages_test, RefusesAPageThatGoesOnNowhere)
{
    EXPECT_THROW(decode_list(object_kind::server, page_with("")), error);
    EXPECT_THROW(decode_list(object_kind::server, page_with("{}")), error);
    for (const char* more : {"1", R"("true")", "{}"}) {
        EXPECT_THROW(
            decode_list(object_kind::server,
                R"({"items":[)" + object_named(R"("i-1")") + R"(],"HasMore":)" +
                    more + R"(,"StoreRevision":9})"),
            error)
            << more;
    }
}

} // namespace
} // namespace filberthub::platform_api
