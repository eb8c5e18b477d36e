#include "tools/model/server_model.hpp"

#include <gtest/gtest.h>

namespace filberthub::tools {
namespace {

constexpr time_point start{std::chrono::seconds(1000)};
constexpr milliseconds ms{1};

server_options options()
{
    server_options result;
    result.slots = 2;
    result.queue = 1;
    result.service_time = 10 * ms;
    result.cold_limit = 1;
    result.checks_tokens = false;
    return result;
}

// Returns the result and the status of the request with this number.
std::pair<request_result, int> result_of(
    const advance_result& step, std::uint64_t number)
{
    for (const request_event& event : step.events) {
        if (event.number == number)
            return {event.result, event.status};
    }
    ADD_FAILURE() << "no event for request " << number;
    return {};
}

advance_result offer(server_model& model, std::uint64_t number, time_point now,
    server_request request = {})
{
    model.offer(number, request, now);
    return model.advance(now);
}

TEST(ServerModel, RefusesARequestWhenSlotsAndQueueAreFull)
{
    server_model model(options(), start);
    for (std::uint64_t number = 1; number <= 3; ++number)
        EXPECT_TRUE(offer(model, number, start).events.empty());
    const advance_result refused = offer(model, 4, start);
    EXPECT_EQ(result_of(refused, 4), std::pair(request_result::refused, 503));
    EXPECT_TRUE(refused.events[0].states_not_run);
    EXPECT_EQ(model.next_event(start), start + 10 * ms);
    EXPECT_EQ(model.advance(start + 10 * ms).events.size(), 2u);
    const advance_result last = model.advance(start + 20 * ms);
    ASSERT_EQ(last.events.size(), 1u);
    EXPECT_EQ(last.events[0].number, 3u);
    EXPECT_EQ(last.events[0].start, start + 10 * ms);
}

TEST(ServerModel, IsSlowerDuringAColdStart)
{
    server_options cold = options();
    cold.cold_time = 100 * ms;
    server_model model(cold, start);
    EXPECT_EQ(model.state(start), server_state::cold);
    offer(model, 1, start);
    EXPECT_EQ(model.next_event(start), start + 50 * ms);
    EXPECT_EQ(model.advance(start + 50 * ms).events.size(), 1u);
    EXPECT_EQ(model.state(start + 100 * ms), server_state::warm);
    offer(model, 2, start + 100 * ms);
    EXPECT_EQ(model.next_event(start + 100 * ms), start + 110 * ms);
}

// Guards against a cold server that survives an overload, so that tests do not
// detect that a router sent it too many requests.
TEST(ServerModel, CrashesAboveTheColdLimitAndRestartsCold)
{
    server_options cold = options();
    cold.cold_time = 100 * ms;
    server_model model(cold, start);
    offer(model, 1, start);
    const advance_result step = offer(model, 2, start + ms);
    EXPECT_TRUE(step.crashed);
    EXPECT_EQ(result_of(step, 1).first, request_result::cut);
    EXPECT_EQ(model.counters().cold_overloads, 1u);
    const advance_result down = offer(model, 3, start + 1999 * ms);
    EXPECT_EQ(result_of(down, 3), std::pair(request_result::refused, 503));
    EXPECT_FALSE(down.events[0].states_not_run);
    EXPECT_EQ(model.state(start + 2001 * ms), server_state::cold);
    EXPECT_EQ(model.state(start + 2101 * ms), server_state::warm);
}

TEST(ServerModel, RefusesNewRequestsWhileDrainingAndFinishesOthers)
{
    server_model model(options(), start);
    for (std::uint64_t number = 1; number <= 3; ++number)
        offer(model, number, start);
    model.drain(start);
    const advance_result refused = offer(model, 4, start);
    EXPECT_EQ(result_of(refused, 4), std::pair(request_result::refused, 503));
    EXPECT_TRUE(refused.events[0].states_not_run);
    model.advance(start + 10 * ms);
    model.advance(start + 20 * ms);
    EXPECT_EQ(model.counters().completed, 3u);
}

TEST(ServerModel, DoesNotStartARequestAfterItsDeadline)
{
    server_model model(options(), start);
    offer(model, 1, start);
    offer(model, 2, start);
    offer(model, 3, start, {.remaining = 9 * ms});
    const advance_result step = model.advance(start + 10 * ms);
    EXPECT_EQ(result_of(step, 3), std::pair(request_result::refused, 503));
}

TEST(ServerModel, CancelsARequestOnlyBeforeItStarts)
{
    server_model model(options(), start);
    for (std::uint64_t number = 1; number <= 3; ++number)
        offer(model, number, start);
    EXPECT_TRUE(model.cancel(3));
    EXPECT_FALSE(model.cancel(1));
    model.advance(start + 10 * ms);
    EXPECT_EQ(model.next_event(start + 10 * ms), std::nullopt);
    EXPECT_EQ(model.counters().completed, 2u);
}

TEST(ServerModel, StopsWhileFrozenAndResumesAfterwards)
{
    server_model model(options(), start);
    offer(model, 1, start);
    model.freeze(100 * ms, start);
    EXPECT_TRUE(offer(model, 2, start + 50 * ms).events.empty());
    EXPECT_EQ(model.next_event(start + 50 * ms), start + 100 * ms);
    EXPECT_EQ(model.advance(start + 100 * ms).events.size(), 1u);
    EXPECT_EQ(model.advance(start + 110 * ms).events.size(), 1u);
}

// Guards against a token that is checked only on receipt, so that a request
// starts after its grant has expired in the queue.
TEST(ServerModel, ChecksTheTokenWhenARequestStarts)
{
    server_options checking = options();
    checking.checks_tokens = true;
    server_model model(checking, start);
    const server_request keyed{
        .group = key_group(5), .token = fencing_token(7)};
    EXPECT_EQ(result_of(offer(model, 1, start, keyed), 1),
        std::pair(request_result::refused, 409));
    model.grants().grant({{0, 9}}, fencing_token(7), start + 5 * ms);
    for (std::uint64_t number = 2; number <= 4; ++number)
        EXPECT_TRUE(offer(model, number, start, keyed).events.empty());
    // The grant of the waiting request expires before a slot is free.
    EXPECT_EQ(result_of(model.advance(start + 10 * ms), 4),
        std::pair(request_result::refused, 409));
}

TEST(ServerModel, ReportsItsLoadWithTheConfiguredLag)
{
    server_options lagging = options();
    lagging.report_lag = 100 * ms;
    server_model model(lagging, start);
    offer(model, 1, start + ms);
    EXPECT_EQ(model.report(start + 50 * ms).in_flight, 0u);
    EXPECT_EQ(model.report(start + 101 * ms).in_flight, 1u);
}

// Guards against a grant that is applied to a part of its groups.
TEST(GrantRegister, RejectsAGrantIfAnyGroupHasSeenAHigherToken)
{
    grant_register grants;
    EXPECT_TRUE(grants.grant({{5, 5}}, fencing_token(9), start + ms));
    EXPECT_FALSE(grants.grant({{0, 4}, {5, 9}}, fencing_token(8), start + ms));
    EXPECT_FALSE(grants.allows(key_group(1), fencing_token(8), start));
    EXPECT_TRUE(grants.grant({all_groups}, fencing_token(9), start + ms));
    EXPECT_TRUE(grants.allows(key_group(1), fencing_token(9), start));
    EXPECT_FALSE(grants.allows(key_group(1), fencing_token(8), start));
    EXPECT_FALSE(grants.allows(key_group(1), fencing_token(9), start + ms));
}

// Guards against a delayed grant of an earlier holder that is accepted after
// its group has moved.
TEST(GrantRegister, KeepsTheHighestTokenAfterARevocation)
{
    grant_register grants;
    grants.grant({{0, 9}}, fencing_token(5), start + ms);
    EXPECT_FALSE(grants.revoke({{0, 9}}, fencing_token(4)));
    EXPECT_TRUE(grants.revoke({{3, 3}}, fencing_token(6)));
    EXPECT_FALSE(grants.allows(key_group(3), fencing_token(6), start));
    EXPECT_TRUE(grants.allows(key_group(4), fencing_token(5), start));
    EXPECT_FALSE(grants.grant({{3, 3}}, fencing_token(5), start + ms));
    EXPECT_EQ(grants.highest(key_group(3)), fencing_token(6));
}

} // namespace
} // namespace filberthub::tools
