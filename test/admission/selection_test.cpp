#include <filberthub/admission/deadline.hpp>
#include <filberthub/admission/hedge_policy.hpp>
#include <filberthub/admission/server_selector.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

const failure_domain_id own_domain("a");
const failure_domain_id other_domain("b");

gate_summary summary(duration latency, unsigned in_flight = 0)
{
    return {2, in_flight, 0, latency, false, false};
}

// Returns how often each server is chosen in 100000 choices.
std::vector<int> count_choices(server_selector& servers, std::size_t count)
{
    std::mt19937_64 engine(20261204);
    std::vector<int> chosen(count);
    for (int choice = 0; choice < 100000; ++choice)
        ++chosen.at(servers.choose(own_domain, engine).value());
    return chosen;
}

// Guards against a straggler that receives so many requests that it determines
// the p99, and against one that receives none, so that its recovery would never
// be noticed.
TEST(ServerSelector, GivesAStragglerOneTenthOfItsShare)
{
    server_selector servers;
    for (std::size_t index = 0; index < 10; ++index) {
        servers.add(own_domain);
        servers.update(index, summary(index == 3 ? 25ms : 10ms));
    }
    servers.refresh();
    EXPECT_TRUE(servers.straggler(3));
    const auto chosen = count_choices(servers, 10);
    EXPECT_NEAR(chosen[3], 1000, 150);
    EXPECT_NEAR(chosen[4], 11000, 1000);
}

// Guards against a preference for the own domain that overloads it although the
// latency to another domain is small compared with the service time.
TEST(ServerSelector, PrefersTheOwnDomainWhereCrossDomainLatencyDominates)
{
    for (const duration latency : {duration(10ms), duration(500us)}) {
        server_selector servers;
        servers.add(own_domain);
        servers.add(other_domain);
        servers.update(0, summary(latency));
        servers.update(1, summary(latency));
        const auto chosen = count_choices(servers, 2);
        if (latency == 10ms)
            EXPECT_EQ(chosen[0], chosen[1]);
        else
            EXPECT_GT(chosen[0], 70000);
    }
}

// Guards against a choice that ignores the waiting requests of a server.
TEST(ServerSelector, AvoidsAServerWithAClearlyLongerWait)
{
    server_selector servers;
    for (int count = 0; count < 2; ++count)
        servers.add(own_domain);
    servers.update(0, summary(10ms));
    servers.update(1, {2, 2, 5, 10ms, false, false});
    const auto chosen = count_choices(servers, 2);
    EXPECT_GT(chosen[0], 70000);
}

// Guards against requests to servers that are out of service, have not reported
// their state, or are in cold start with no free slot.
TEST(ServerSelector, ExcludesClosedUnreportedAndFullColdServers)
{
    server_selector servers;
    for (int count = 0; count < 4; ++count)
        servers.add(own_domain);
    std::mt19937_64 engine(1);
    EXPECT_FALSE(servers.choose(own_domain, engine));
    servers.update(0, {2, 0, 0, 10ms, true, false});
    servers.update(1, {1, 1, 0, 10ms, false, true});
    servers.update(2, summary(10ms));
    EXPECT_EQ(count_choices(servers, 4)[2], 100000);
    EXPECT_FALSE(servers.choose(own_domain, engine, 2));
    servers.update(1, {1, 0, 0, 10ms, false, true});
    EXPECT_EQ(servers.choose(own_domain, engine, 2), 1U);
}

// Guards against a budget that allows more or fewer retries than configured.
TEST(RetryBudget, AllowsTenPercentAndTheBurst)
{
    retry_budget budget;
    int taken = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.on_request();
        for (int more = 0; more < 3; ++more)
            taken += budget.try_take() ? 1 : 0;
    }
    EXPECT_EQ(taken, 103);
}

// Guards against an order of requests and retries that exceeds the budget.
RC_GTEST_PROP(RetryBudget, NeverExceedsItsShare, (std::vector<bool> steps))
{
    retry_budget budget;
    unsigned requests = 0;
    unsigned taken = 0;
    for (const bool request : steps) {
        if (request) {
            ++requests;
            budget.on_request();
        } else {
            taken += budget.try_take() ? 1 : 0;
        }
        RC_ASSERT(10 * taken <= requests + 40);
    }
}

// Guards against hedges of requests that must not run twice, and against more
// hedges than the budget allows.
TEST(HedgePolicy, HedgesFivePercentOfReadsWithoutAKey)
{
    hedge_policy hedges;
    const hedge_candidate read{true, false};
    EXPECT_FALSE(hedges.delay(read));
    int taken = 0;
    for (int count = 0; count < 1000; ++count) {
        hedges.on_request();
        hedges.on_answer(milliseconds(1 + count % 100));
        taken += hedges.try_hedge(read) ? 1 : 0;
    }
    EXPECT_LE(taken, 51);
    EXPECT_GE(taken, 45);
    EXPECT_NEAR(static_cast<double>(hedges.delay(read)->count()) / 1e6, 95, 3);
    EXPECT_FALSE(hedges.delay({true, true}));
    EXPECT_FALSE(hedges.delay({false, false}));
    EXPECT_FALSE(hedges.try_hedge({false, false}));
}

// Guards against an estimate so far from the exact value that too many requests
// are hedged. Prints the largest error.
TEST(LatencyQuantile, IsCloseToTheExactValue)
{
    for (const double sigma : {0.3, 0.6, 1.0}) {
        double worst = 0;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 engine(seed);
            std::lognormal_distribution<double> latency(std::log(8e6), sigma);
            latency_quantile estimate(0.95);
            std::vector<double> all;
            for (std::size_t n = 0; n < latency_quantile::window_size; ++n) {
                all.push_back(latency(engine));
                estimate.add(duration(static_cast<std::int64_t>(all.back())));
            }
            std::sort(all.begin(), all.end());
            const double exact = all[all.size() * 95 / 100];
            const double estimated =
                static_cast<double>(estimate.value()->count());
            worst = std::max(worst, std::abs(estimated / exact - 1));
        }
        std::cout << "p95 of lognormal, sigma " << sigma << ": worst error of "
                  << "20 seeds " << 100 * worst << "%\n";
        EXPECT_LT(worst, 0.10) << "sigma " << sigma;
    }
}

// Guards against a request that is forwarded between instances without end,
// which would happen if a hop did not reduce the remaining time.
RC_GTEST_PROP(Deadline, ShrinksAtEachHop, (std::uint32_t start))
{
    milliseconds remaining(start % 10000 + 1);
    while (true) {
        const time_point deadline = deadline_from(remaining, time_point(5s));
        const auto next = remaining_for_hop(
            deadline, time_point(5s + 300us), milliseconds(1));
        if (!next)
            break;
        RC_ASSERT(*next < remaining);
        RC_ASSERT(*next >= 1ms);
        remaining = *next;
    }
}

// Guards against a request of a former holder that is in progress after the
// lease.
TEST(Deadline, EndsWithTheLease)
{
    EXPECT_EQ(
        deadline_within_lease(time_point(3s), time_point(1s)), time_point(1s));
    EXPECT_EQ(
        remaining_for_hop(time_point(1s), time_point(2s), 1ms), std::nullopt);
}

} // namespace
} // namespace filberthub
