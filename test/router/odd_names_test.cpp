// Names of objects in the store that cannot be put into a header field or a
// target.

#include "router/odd_input_fixture.hpp"

#include <filberthub/telemetry/rejected_input.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using odd_names_test = test::odd_input_fixture;

// Guards against the end of every instance when it sends a request to a server
// whose name has a line feed: the name was put into a header field.
TEST_F(odd_names_test, ServesBesideAnEntryWhoseNameHasALineFeed)
{
    start();
    ASSERT_TRUE(call_until_served("reads"));
    const std::uint64_t rejected = rejected_count(rejected_input::object_name);
    store_.put("servers", "i-odd\n", entry("reads", reads_.address(), 3));
    run_for(milliseconds(100));
    EXPECT_EQ(count_served("reads"), 40);
    EXPECT_GT(rejected_count(rejected_input::object_name), rejected);
}

// Guards against a start that never ends because the name at the end of a page
// is no valid target of the call for the next one.
TEST_F(odd_names_test, StartsBesideOddNamesAtTheEndOfAPage)
{
    store_.set_pages(1);
    for (const std::string& name : {std::string("a b"), std::string("i\r\nj"),
             std::string("a&after=z"), std::string("\xc3\xa5/%00?#"),
             std::string(20'000, 'b'), std::string(300, 'i') + "\xc3\xa5"})
        store_.put("servers", name, entry("reads", reads_.address(), 3));
    start();
    EXPECT_TRUE(call_until_served("reads"));
    EXPECT_EQ(count_served("plans"), 40);
}

// Guards against a start that never ends because the call for the next page of
// a list names another object than the last one of the page before.
TEST_F(odd_names_test, StartsBesideNamesWithReservedCharacters)
{
    store_.set_pages(1);
    const json names_no_server = {{"Service", "reads"}, {"State", "resting"}};
    for (const std::string name : {"copy of i", "i&j", "i+j", "i#j", "i%j",
             "i%2Bj", "i=j", "i?j", "i/j", "i;j", "i-reads&after=a", "i-reads+",
             "i-reads%", "z&z", "z+z", "z#z", "z%z", "z z"})
        store_.put("servers", name, names_no_server);
    start();
    EXPECT_TRUE(call_until_served("reads"));
    EXPECT_EQ(count_served("reads"), 40);
    EXPECT_EQ(count_served("plans"), 40);
}

// Guards against requests for a server that does not exist: another writer has
// copied the entry of a server under a name of its own.
TEST_F(odd_names_test, SendsNothingToCopiesWithReservedCharactersInTheirNames)
{
    std::size_t arrived = 0;
    test::raw_server copied([&](QTcpSocket& socket,
                                const http_request& request) {
        ++arrived;
        test::raw_server::write(socket, test::raw_server::answer(request, 421));
    });
    for (const std::string name :
        {"copy of i", "i&j", "i+j", "i#j", "i%j", "i%2Bj", "i=j", "i?j"})
        store_.put("servers", name, entry("reads", copied.address(), 3));
    start();
    EXPECT_TRUE(call_until_served("reads"));
    EXPECT_EQ(count_served("reads"), 40);
    EXPECT_EQ(arrived, 0U);
}

// The same for an evacuation that no failure domain can have.
TEST_F(odd_names_test, ServesBesideAnEvacuationWithAnOddName)
{
    start();
    ASSERT_TRUE(call_until_served("reads"));
    store_.put("evacuations", "a\n", json::object());
    run_for(milliseconds(100));
    EXPECT_EQ(count_served("reads"), 40);
}

} // namespace
} // namespace filberthub
