#include "tools/model/load_mix.hpp"
#include "tools/model/load_tally.hpp"

#include <gtest/gtest.h>

#include <set>

namespace filberthub::tools {
namespace {

constexpr time_point start{std::chrono::seconds(1000)};
constexpr milliseconds ms{1};

// Guards against arrivals that shift when the generator takes them late, which
// would hide the latency of a stall.
TEST(ArrivalSchedule, KeepsTimesThatAreTakenLate)
{
    arrival_schedule prompt(1000, 7, start);
    arrival_schedule late(1000, 7, start);
    std::vector<time_point> expected;
    while (expected.size() < 5000)
        expected.push_back(*prompt.take_due(prompt.next()));
    const time_point after = start + std::chrono::seconds(60);
    for (const time_point time : expected)
        EXPECT_EQ(late.take_due(after), time);
    const double seconds =
        std::chrono::duration<double>(expected.back() - start).count();
    EXPECT_NEAR(seconds, 5, 0.3);
}

TEST(ArrivalSchedule, ReturnsNoArrivalBeforeItIsDue)
{
    arrival_schedule schedule(1000, 7, start);
    EXPECT_EQ(schedule.take_due(schedule.next() - duration(1)), std::nullopt);
}

TEST(KeyGenerator, FollowsTheZipfDistribution)
{
    key_generator keys(
        {.distribution = key_distribution::zipf, .count = 100, .exponent = 1},
        3, start);
    int first = 0;
    constexpr int draws = 20'000;
    for (int draw = 0; draw < draws; ++draw)
        first += keys.next(start) == 0 ? 1 : 0;
    // The share is 1 / H(100) = 0.1928.
    EXPECT_NEAR(static_cast<double>(first) / draws, 0.1928, 0.02);
    EXPECT_TRUE(keys.is_hot(9, start));
    EXPECT_FALSE(keys.is_hot(10, start));
}

TEST(KeyGenerator, ChangesHotKeysInEachPeriod)
{
    key_generator keys({.distribution = key_distribution::hot,
                           .count = 1'000'000,
                           .hot_share = 1,
                           .hot_period = std::chrono::seconds(5)},
        3, start);
    const auto draw = [&](time_point now) {
        std::set<std::uint64_t> seen;
        for (int count = 0; count < 500; ++count)
            seen.insert(keys.next(now));
        return seen;
    };
    const auto first = draw(start);
    EXPECT_EQ(first.size(), 10u);
    EXPECT_EQ(draw(start + milliseconds(4999)), first);
    const auto second = draw(start + milliseconds(5000));
    EXPECT_NE(second, first);
    EXPECT_FALSE(keys.is_hot(*first.begin(), start + milliseconds(5000)));
}

// Guards against an error message that does not say which field is invalid.
TEST(LoadMix, ReportsThePathOfAnInvalidField)
{
    try {
        load_mix(json::parse(R"({"services":[{"service":"a",
            "keys":{"distribution":"normal"}}]})"),
            1, start);
        ADD_FAILURE() << "no error";
    } catch (const error& failure) {
        EXPECT_NE(std::string(failure.what()).find("/keys/distribution"),
            std::string::npos)
            << failure.what();
    }
}

TEST(LatencySamples, ReturnsNearestRankQuantiles)
{
    latency_samples samples;
    EXPECT_EQ(samples.quantile(0.5), duration(0));
    for (int value = 1000; value >= 1; --value)
        samples.add(duration(value));
    EXPECT_EQ(samples.quantile(0.5), duration(500));
    EXPECT_EQ(samples.quantile(0.99), duration(990));
    EXPECT_EQ(samples.quantile(0.999), duration(999));
    EXPECT_EQ(samples.quantile(1), duration(1000));
    samples.add(duration(5000));
    EXPECT_EQ(samples.quantile(1), duration(5000));
}

http_response answer(const char* id, const char* key)
{
    http_response response;
    response.body = json{{"service", "kartlas"}, {"request_id", id},
        {"key", key},
        {"body_bytes",
            3}}.dump();
    return response;
}

const expected_echo expected{"kartlas", "r1", "k1", 3};

// Guards against truncated answers and answers to other requests that are
// counted as served.
TEST(ClassifyAnswer, ReportsAnswersToOtherRequestsAsWrong)
{
    EXPECT_EQ(
        classify_answer(answer("r1", "k1"), expected), request_outcome::served);
    EXPECT_EQ(
        classify_answer(answer("r2", "k1"), expected), request_outcome::wrong);
    EXPECT_EQ(
        classify_answer(answer("r1", "k2"), expected), request_outcome::wrong);
    http_response truncated = answer("r1", "k1");
    truncated.body.pop_back();
    EXPECT_EQ(classify_answer(truncated, expected), request_outcome::wrong);
}

// Guards against a failed request that is counted as refused although it may
// have run.
TEST(ClassifyAnswer, ReportsRefusedOnlyIfTheAnswerStatesNotRun)
{
    http_response response;
    response.status = 503;
    EXPECT_EQ(classify_answer(response, expected), request_outcome::unknown);
    response.headers.set("Filberthub-Not-Run", "1");
    EXPECT_EQ(classify_answer(response, expected), request_outcome::refused);
    response.headers.set("Filberthub-Outcome", "unknown");
    EXPECT_EQ(classify_answer(response, expected), request_outcome::unknown);
    response.headers.set("Filberthub-Outcome", "not-run");
    EXPECT_EQ(classify_answer(response, expected), request_outcome::refused);
}

// Guards against a gap that starts at the last failed request instead of the
// first one.
TEST(KeyGapTracker, MeasuresFromTheFirstRequestThatWasNotServed)
{
    key_gap_tracker gaps;
    gaps.add("k", true, start, start + ms);
    gaps.add("k", false, start + 10 * ms, start + 20 * ms);
    gaps.add("k", false, start + 15 * ms, start + 30 * ms);
    gaps.add("k", true, start + 40 * ms, start + 50 * ms);
    json report = gaps.report(start + 60 * ms);
    EXPECT_EQ(report[0]["longest_gap_ms"], 49);
    EXPECT_EQ(report[0]["longest_unserved_ms"], 40);
    gaps.add("k", false, start + 60 * ms, start + 61 * ms);
    report = gaps.report(start + 160 * ms);
    EXPECT_EQ(report[0]["longest_gap_ms"], 110);
    EXPECT_EQ(report[0]["longest_unserved_ms"], 100);
}

} // namespace
} // namespace filberthub::tools
