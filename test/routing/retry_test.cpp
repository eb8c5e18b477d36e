#include "routing/routing_builders.hpp"

#include <filberthub/routing/attempt_age.hpp>
#include <filberthub/routing/retry_spread.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// Guards against callers that are rejected at one moment and return together,
// and against values that callers ignore.
TEST(RetrySpread, CoversThePeriodWithinAThirdOfTheTimeLeft)
{
    std::set<std::int64_t> values;
    for (int number = 0; number < 100; ++number) {
        const milliseconds value = spread_retry(
            milliseconds(400), milliseconds(1'500), number / 100.0);
        EXPECT_GE(value, milliseconds(200));
        EXPECT_LE(value, milliseconds(500));
        values.insert(value.count());
        EXPECT_LE(
            spread_retry(milliseconds(400), milliseconds(30), number / 100.0),
            milliseconds(10));
    }
    EXPECT_GE(values.size(), 90U);
}

// Guards against first attempts that are taken for retries, and the reverse.
TEST(AttemptAge, FollowsFromACommonDeadline)
{
    attempt_age ages;
    for (int number = 0; number < 10; ++number)
        EXPECT_EQ(ages.on_request(milliseconds(1'500), at_ms(number)),
            milliseconds(0));
    EXPECT_EQ(
        ages.on_request(milliseconds(1'100), at_ms(20)), milliseconds(400));
    // A changed deadline of first attempts is learned within two periods.
    milliseconds last{0};
    for (std::int64_t ms = 0; ms < 30'000; ms += 100)
        last = ages.on_request(milliseconds(1'000), at_ms(ms));
    EXPECT_EQ(last, milliseconds(0));
}

// Guards against an order by deadlines that are different by nature.
TEST(AttemptAge, IsZeroWithoutACommonDeadline)
{
    attempt_age ages;
    for (int number = 0; number < 200; ++number) {
        EXPECT_EQ(ages.on_request(
                      milliseconds(500 + number * 37 % 1'000), at_ms(number)),
            milliseconds(0));
    }
}

struct caller_results
{
    int in_time = 0;
    int late = 0;
    int rejected_once = 0;
    int rejected_again = 0;
};

enum class retry_rule : std::uint8_t
{
    // The wait of the gate is told as it is, and a retry counts as new.
    one_value,
    spread,
    // Also, the target time of a retry is that of its first attempt, and it is
    // served first among requests that can still meet theirs.
    spread_and_age
};

// Plays 60 s at a server with 4 slots and a mean service time of 150 ms, with
// waves of 1.5 times its capacity. Callers give up after 1,500 ms, answers
// within 500 ms count as in time, and a rejected caller retries once.
caller_results play(retry_rule rule, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::exponential_distribution<double> gap(1);
    std::gamma_distribution<double> work(4, 150.0 / 4);
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    server_entry entry = server_builder("s1").build();
    entry.slots = 4;
    pool.put(entry, 11, 0, at_ms(0));
    slot_gate gate(pool, {1.5, 5});
    attempt_age ages;
    struct caller
    {
        std::int64_t arrived = 0;
        std::int64_t started = 0;
        bool retried = false;
    };
    std::map<std::uint64_t, caller> callers;
    std::multimap<std::int64_t, std::uint64_t> returns;
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::deque<std::uint64_t> at_server;
    unsigned running = 0;
    caller_results result;
    std::uint64_t last_number = 0;
    double next = 0;
    const auto take = [&](const std::vector<gate_decision>& decisions,
                          std::int64_t ms) {
        for (const gate_decision& decision : decisions) {
            const std::uint64_t number = decision.id.number;
            caller& item = callers[number];
            if (decision.decision == slot_decision::granted) {
                at_server.push_back(number);
            } else if (decision.decision == slot_decision::refused) {
                if (item.retried) {
                    ++result.rejected_again;
                    continue;
                }
                ++result.rejected_once;
                item.retried = true;
                const milliseconds left(item.arrived + 1'500 - ms);
                const milliseconds wait =
                    rule != retry_rule::one_value
                        ? spread_retry(decision.wait, left, uniform(random))
                        : std::min(decision.wait, left / 3);
                returns.emplace(
                    ms + std::max<std::int64_t>(wait.count(), 1), number);
            }
        }
    };
    const auto ask = [&](std::uint64_t number, std::int64_t ms) {
        slot_request request;
        const caller& item = callers[number];
        request.id = {instance_id(item.retried ? "r" : "i"), number};
        request.service = service_id("maps");
        request.group = "maps/0";
        request.domain = failure_domain_id("a");
        request.target_time = at_ms(ms + 500);
        request.answer_deadline = at_ms(item.arrived + 1'500);
        const milliseconds age =
            ages.on_request(milliseconds(item.arrived + 1'500 - ms), at_ms(ms));
        if (rule == retry_rule::spread_and_age) {
            request.age = age;
            request.target_time -= age;
        }
        take(gate.request_slot(request, at_ms(ms)), ms);
    };
    for (std::int64_t ms = 0; ms < 60'000; ++ms) {
        for (; next <= static_cast<double>(ms);) {
            callers[++last_number] = {ms, 0, false};
            ask(last_number, ms);
            const double rate = ms % 10'000 < 4'000 ? 1.5 : 0.7;
            next += gap(random) / (rate * 4 / 150);
        }
        while (!returns.empty() && returns.begin()->first <= ms) {
            const std::uint64_t number = returns.begin()->second;
            returns.erase(returns.begin());
            ask(number, ms);
        }
        while (!ends.empty() && ends.begin()->first <= ms) {
            const std::uint64_t number = ends.begin()->second;
            ends.erase(ends.begin());
            --running;
            const caller& item = callers[number];
            const std::int64_t taken = ms - item.arrived;
            ++(taken <= 500 ? result.in_time : result.late);
            take(gate.finish({instance_id(item.retried ? "r" : "i"), number},
                     {send_outcome::answered, milliseconds(ms - item.started),
                         server_load_report{running, 0, 4, 1.0}},
                     at_ms(ms)),
                ms);
        }
        if (ms % 40 == 0)
            take(gate.sweep(at_ms(ms)), ms);
        for (; running < 4 && !at_server.empty(); at_server.pop_front()) {
            callers[at_server.front()].started = ms;
            ends.emplace(ms + 1 + static_cast<std::int64_t>(work(random)),
                at_server.front());
            ++running;
        }
    }
    return result;
}

caller_results play_seeds(retry_rule rule)
{
    caller_results sum;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        const caller_results result = play(rule, seed);
        sum.in_time += result.in_time;
        sum.late += result.late;
        sum.rejected_once += result.rejected_once;
        sum.rejected_again += result.rejected_again;
    }
    return sum;
}

// Guards against slots spent on retries that are late for their callers while
// others could still be served in time.
TEST(RejectedCallers, GetMoreAnswersInTimeThanByTheOldRule)
{
    const caller_results before = play_seeds(retry_rule::one_value);
    const caller_results after = play_seeds(retry_rule::spread_and_age);
    EXPECT_GT(after.in_time, before.in_time);
    EXPECT_GE(
        after.in_time + after.late, (before.in_time + before.late) * 0.98);
    EXPECT_LT(after.rejected_once, before.rejected_once);
    // More are rejected again, as fewer are served late.
    EXPECT_LT(
        after.late + after.rejected_again, before.late + before.rejected_again);
}

} // namespace
} // namespace filberthub
