#include "routing/routing_builders.hpp"

#include <filberthub/routing/group_choice.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

constexpr int choices = 1'000;

class GroupChoice : public testing::Test
{
public:
    GroupChoice()
    {
        for (int number = 0; number < 19; ++number) {
            server_entry entry =
                server_builder("s" + std::to_string(number)).build();
            const std::size_t group =
                group_index(hash_of_server(entry.id), group_count(19));
            // Servers of the first group have more slots.
            entry.slots = group == 0 ? 6 : 2;
            capacity_.at(group) += entry.slots;
            pool_.put(entry, 11, 0, at_ms(0));
        }
    }

    // Returns the share of the requests that the first group gets.
    double first_share(std::int64_t ms) const
    {
        int first = 0;
        for (int number = 0; number < choices; ++number) {
            first += choice_.choose(pool_, service_id("maps"), excluded_,
                         (number + 0.5) / choices, at_ms(ms)) == 0U
                         ? 1
                         : 0;
        }
        return static_cast<double>(first) / choices;
    }

    std::array<double, 2> capacity_{};
    std::vector<backend_server_id> excluded_;
    server_pool pool_{failure_domain_id("a"), {1.5, 5}};
    group_choice choice_;
};

// Guards against an overloaded small group: all groups got the same number of
// requests.
TEST_F(GroupChoice, FollowsTheCapacityOfTheGroups)
{
    EXPECT_NEAR(
        first_share(0), capacity_[0] / (capacity_[0] + capacity_[1]), 0.002);
}

// Guards against a group that is avoided by all instances once it told a long
// wait, and against a wait that is remembered for long.
TEST_F(GroupChoice, PrefersTheGroupWithTheShorterWaitForAShortTime)
{
    const double before = first_share(0);
    for (int number = 0; number < 10; ++number)
        choice_.on_wait("maps/0", milliseconds(400), at_ms(0));
    EXPECT_LT(first_share(10), before * 0.8);
    EXPECT_GT(first_share(10), before / (group_choice::max_wait_effect + 1));
    EXPECT_NEAR(first_share(5'000), before, 0.01);
}

// Guards against a group in which the request has no server left to try.
TEST_F(GroupChoice, LeavesOutAGroupWithoutServersForTheRequest)
{
    for (const observed_server* server : pool_.of_service(service_id("maps"))) {
        if (group_index(server->id_hash, 2) == 0)
            excluded_.push_back(server->entry.id);
    }
    EXPECT_EQ(first_share(0), 0);
    for (const observed_server* server : pool_.of_service(service_id("maps")))
        excluded_.push_back(server->entry.id);
    EXPECT_EQ(
        choice_.choose(pool_, service_id("maps"), excluded_, 0.5, at_ms(0)),
        std::nullopt);
}

} // namespace
} // namespace filberthub
