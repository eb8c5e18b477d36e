#include <filberthub/base/error.hpp>
#include <filberthub/ownership/weight_tracker.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace filberthub {
namespace {

constexpr time_point start{std::chrono::hours(5)};
constexpr key_group group{3};

// Records two requests of 25 ms every 100 ms, which is a weight of 0.5.
void record_load(
    weight_tracker& tracker, time_point from, std::chrono::seconds length)
{
    for (auto at = from; at < from + length; at += milliseconds(50))
        tracker.record(group, "map-7", milliseconds(25), at);
}

// Guards against a tracker that reports too little before it has run for a full
// time constant, and against load that does not decay.
TEST(WeightTracker, MeasuresTheMeanNumberOfRequestsInProgress)
{
    weight_tracker tracker(group_count(64), {});
    EXPECT_EQ(tracker.weights(start).at(group), 0);
    // Less than one time constant after the first request.
    record_load(tracker, start, std::chrono::seconds(3));
    const time_point early = start + std::chrono::seconds(3);
    EXPECT_NEAR(tracker.weights(early).at(group), 0.5, 0.02);
    record_load(tracker, early, std::chrono::seconds(60));
    const time_point late = early + std::chrono::seconds(60);
    EXPECT_NEAR(tracker.weights(late).at(group), 0.5, 0.02);
    EXPECT_EQ(tracker.weights(late).at(key_group(4)), 0);
    // After one time constant without requests.
    EXPECT_NEAR(tracker.weights(late + std::chrono::seconds(10)).at(group),
        0.5 / 2.718, 0.02);
}

// Guards against weighted sums that overflow in a process that runs for weeks.
TEST(WeightTracker, KeepsMeasuringAfterWeeks)
{
    weight_tracker tracker(group_count(64), {});
    tracker.record(key_group(64), "old", milliseconds(5), start);
    record_load(tracker, start, std::chrono::seconds(10));
    const time_point later = start + std::chrono::hours(24 * 21);
    record_load(tracker, later, std::chrono::seconds(60));
    const time_point now = later + std::chrono::seconds(60);
    EXPECT_NEAR(tracker.weights(now).at(group), 0.5, 0.02);
    EXPECT_NEAR(tracker.hottest(1, now).at(0).weight, 0.5, 0.02);
    EXPECT_EQ(tracker.weights(now).at(key_group(64)), 0);
}

// Guards against a hot key that is lost among 20,000 other keys, and against
// long keys that use unbounded memory.
TEST(WeightTracker, FindsTheHotKeyAmongManyInBoundedMemory)
{
    weight_tracker tracker(group_count(64), {});
    time_point now = start;
    for (int round = 0; round < 20000; ++round) {
        now += milliseconds(1);
        const std::string cold = "map-" + std::to_string(round);
        tracker.record(group, cold, milliseconds(1), now);
        if (round % 10 == 0)
            tracker.record(group, "hot", milliseconds(3), now);
    }
    const auto hottest = tracker.hottest(5, now);
    ASSERT_FALSE(hottest.empty());
    EXPECT_EQ(hottest.front().key, "hot");
    EXPECT_NEAR(hottest.front().weight, 0.3, 0.03);
    tracker.record(group, std::string(257, 'x'), std::chrono::hours(1), now);
    EXPECT_EQ(tracker.hottest(1, now).front().key, "hot");
}

// Guards against weights outside of their error bounds, and against heavy keys
// without a counter.
RC_GTEST_PROP(KeySketch, BoundsEachWeightFromBothSides, ())
{
    const auto counters = *rc::gen::inRange<std::size_t>(1, 20);
    const auto keys = *rc::gen::container<std::vector<int>>(
        300, rc::gen::map(rc::gen::inRange(0, 900),
                 [](int value) { return value * value / 9000; }));
    key_sketch sketch(counters);
    std::map<std::string, double> true_weights;
    for (const int key : keys) {
        sketch.add(std::to_string(key), 1);
        true_weights[std::to_string(key)] += 1;
    }
    RC_ASSERT(sketch.counters().size() <= counters);
    std::size_t heavy = 0;
    for (const auto& entry : sketch.counters()) {
        RC_ASSERT(entry.weight >= true_weights[entry.key]);
        RC_ASSERT(entry.weight - entry.error_bound <= true_weights[entry.key]);
        if (true_weights[entry.key] * static_cast<double>(counters) > 300)
            ++heavy;
    }
    const auto expected =
        std::ranges::count_if(true_weights, [&](const auto& entry) {
            return entry.second * static_cast<double>(counters) > 300;
        });
    RC_ASSERT(heavy == static_cast<std::size_t>(expected));
}

} // namespace
} // namespace filberthub
