#include "routing/key_load_simulation.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

constexpr double work_ms = 200;
constexpr std::int64_t onset_ms = 20'000;
constexpr std::int64_t hot_ms = 4'500;

key_load_simulation with_hot_range(
    key_number count, double share, unsigned seed)
{
    key_load_simulation simulation({.seed = seed});
    simulation.add({onset_ms, onset_ms + hot_ms,
        static_cast<key_number>(1'000 + seed * 6'007), count, share});
    simulation.run_until(onset_ms);
    return simulation;
}

// Guards against a hot range that stays with a few servers for most of the time
// for which it is hot, while the others are idle, and against plans that divide
// it in many small steps.
TEST(KeyLoad, SpreadsAHotRangeWithinASecond)
{
    for (const auto& [count, share] :
        {std::pair{60U, 0.16}, {60U, 0.45}, {200U, 0.16}, {200U, 0.45}}) {
        for (unsigned seed = 1; seed <= 2; ++seed) {
            key_load_simulation simulation = with_hot_range(count, share, seed);
            const int writes = simulation.writes();
            simulation.run_until(onset_ms + 1'000);
            const double excess = simulation.excess(onset_ms + 1'000, work_ms);
            simulation.run_until(onset_ms + hot_ms);
            std::printf("%u keys, %.2f: excess %.4f, %d writes\n", count, share,
                excess, simulation.writes() - writes);
            EXPECT_LT(excess, 0.02) << count << " " << share << " " << seed;
            EXPECT_LE(simulation.writes() - writes, 5);
        }
    }
}

// Guards against keys that move for noise, each with a write of the table.
TEST(KeyLoad, MovesFewKeysUnderNormalLoad)
{
    key_load_simulation simulation({});
    simulation.run_until(10'000);
    const int writes = simulation.writes();
    const int moves = simulation.moves();
    simulation.run_until(70'000);
    std::printf("%d writes, %d moves\n", simulation.writes() - writes,
        simulation.moves() - moves);
    EXPECT_LE(simulation.writes() - writes, 12);
    EXPECT_LE(simulation.moves() - moves, 8);
}

// Guards against a table that is written in nearly each interval while hot
// ranges come and go.
TEST(KeyLoad, WritesLessThanOnceASecondOnAnOverloadedDay)
{
    key_load_simulation simulation({});
    for (std::int64_t ms = 10'000; ms < 70'000; ms += 8'000)
        simulation.add(
            {ms, ms + hot_ms, static_cast<key_number>(ms * 7 % 60'000),
                ms % 16'000 == 0 ? 200U : 60U, 0.3});
    simulation.run_until(10'000);
    const int writes = simulation.writes();
    const int moves = simulation.moves();
    double excess = 0;
    simulation.run_until(70'000, [&](std::int64_t ms) {
        if (ms % 100 == 0)
            excess += simulation.excess(ms, work_ms) / 600;
    });
    std::printf("%d writes, %d moves, excess %.4f\n",
        simulation.writes() - writes, simulation.moves() - moves, excess);
    EXPECT_LE(simulation.writes() - writes, 48);
    EXPECT_LT(excess, 0.03);
}

// Guards against tables that are written again and again in a small deployment
// because of a key that cannot be divided.
TEST(KeyLoad, WritesFewTablesForOneHotKeyOfASmallDeployment)
{
    key_load_simulation simulation(
        {.servers = 14, .slots = 2, .requests_per_s = 190, .instances = 6});
    simulation.add({20'000, 30'000, 30'000, 1, 0.3});
    simulation.run_until(20'000);
    const int writes = simulation.writes();
    const int moves = simulation.moves();
    simulation.run_until(40'000);
    std::printf("%d writes, %d moves\n", simulation.writes() - writes,
        simulation.moves() - moves);
    EXPECT_LE(simulation.writes() - writes, 12);
    EXPECT_LE(simulation.moves() - moves, 30);
}

} // namespace
} // namespace filberthub
