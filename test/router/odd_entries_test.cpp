// Entries of servers that another writer leaves, changes and removes.

#include "router/odd_input_fixture.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using odd_entries_test = test::odd_input_fixture;

// Guards against the end of every instance after an entry has changed its
// service and its start and was removed: the list of its first service still
// led to it.
TEST_F(odd_entries_test, ServesAfterAnEntryThatChangedItsServiceIsRemoved)
{
    start();
    ASSERT_TRUE(call_until_served("reads"));
    for (std::uint64_t round = 0; round < 5; ++round) {
        store_.put("servers", "i-mirror",
            entry("reads", reads_.address(), 10 + 2 * round));
        run_for(milliseconds(30));
        store_.put("servers", "i-mirror",
            entry("plans", plans_.address(), 11 + 2 * round));
        run_for(milliseconds(30));
        store_.remove("servers", "i-mirror");
        run_for(milliseconds(30));
        EXPECT_EQ(count_served("reads"), 40) << "round " << round;
        EXPECT_EQ(count_served("plans"), 40) << "round " << round;
    }
}

} // namespace
} // namespace filberthub
