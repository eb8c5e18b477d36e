#include "routing/key_load_simulation.hpp"

#include <filberthub/routing/server_health.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

const backend_server_id server("s0");

// Guards against a server that gets its full share while it rejects half of it,
// and against one that gets all of it back at once.
TEST(ServerHealth, LowersTheCapacityAndRestoresItInSteps)
{
    server_health health;
    health.add(server, {20, 10}, at_ms(0));
    EXPECT_NEAR(health.capacity_factor(server, at_ms(0)), 0.5, 0.01);
    for (std::int64_t ms = 500; ms <= 3'000; ms += 500)
        health.add(server, {5, 0}, at_ms(ms));
    EXPECT_LT(health.capacity_factor(server, at_ms(3'000)), 0.9);
    EXPECT_EQ(health.capacity_factor(server, at_ms(10'000)), 1);
}

// Guards against servers that lose keys for single failures, or for those that
// each move of keys causes.
TEST(ServerHealth, IgnoresFewFailures)
{
    server_health health;
    EXPECT_EQ(health.capacity_factor(server, at_ms(0)), 1);
    health.add(server, {4, 4}, at_ms(0));
    EXPECT_EQ(health.capacity_factor(server, at_ms(0)), 1);
    health.add(server, {96, 5}, at_ms(100));
    EXPECT_EQ(health.capacity_factor(server, at_ms(100)), 1);
}

key_number keys_of(const key_load_simulation& simulation)
{
    key_number count = 0;
    for (const key_range& range : simulation.keys().table().ranges) {
        if (range.owner.id == server)
            count += range.last - range.first + 1;
    }
    return count;
}

// Guards against a server that keeps its keys while it rejects half of its
// requests for seconds, and against keys that never come back to it.
TEST(ServerHealth, MovesKeysAwayAndBack)
{
    key_load_simulation simulation({});
    const double capacity = simulation.servers().at(0).capacity;
    server_health health;
    simulation.run_until(20'000);
    const key_number before = keys_of(simulation);
    simulation.run_until(28'000, [&](std::int64_t ms) {
        // About ten requests per second, of which half are rejected.
        if (ms % 400 == 0)
            health.add(server, {4, 2}, at_ms(ms));
        simulation.servers().at(0).capacity =
            capacity * health.capacity_factor(server, at_ms(ms));
    });
    const key_number fewest = keys_of(simulation);
    EXPECT_LT(fewest, before * 0.7);
    simulation.run_until(45'000, [&](std::int64_t ms) {
        simulation.servers().at(0).capacity =
            capacity * health.capacity_factor(server, at_ms(ms));
    });
    EXPECT_GT(keys_of(simulation), fewest * 1.2);
    EXPECT_GT(keys_of(simulation), before * 0.8);
}

// Guards against a server that has recovered and gets no keys because none of
// the others is overloaded.
TEST(ServerHealth, GivesKeysBackAlthoughNoServerIsOverloaded)
{
    std::vector<key_server> servers;
    servers.reserve(16);
    for (int number = 0; number < 16; ++number) {
        servers.push_back(
            {{backend_server_id("s" + std::to_string(number)), 1}, 2, true});
    }
    servers[0].capacity = 1;
    key_weights weights;
    for (key_number key = 0; key < key_count; ++key)
        weights.add(key, 1);
    const auto table = plan_keys({}, weights, servers, {});
    ASSERT_TRUE(table);
    EXPECT_FALSE(plan_keys(*table, weights, servers, {}));
    servers[0].capacity = 2;
    const auto next = plan_keys(*table, weights, servers, {});
    ASSERT_TRUE(next);
    key_number keys = 0;
    for (const key_range& range : next->ranges)
        keys += range.owner.id == server ? range.last - range.first + 1 : 0;
    EXPECT_GT(keys, key_count * 0.9 / 16);
}

} // namespace
} // namespace filberthub
