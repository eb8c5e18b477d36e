#include <filberthub/attempt/attempt.hpp>

#include <gtest/gtest.h>

#include <array>
#include <string_view>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

constexpr time_point deadline{1s};

struct unlimited_budget
{
    int taken = 0;

    bool try_take()
    {
        ++taken;
        return true;
    }
};

// The expected result of each event, with one character for each of the states
// created, routed, queued, forwarded, sending and sent. The characters r, q, f,
// s, b and d stand for the next states routed, queued, forwarded, sending, sent
// and answered, c for cancelled, n for failed as not run, u for failed as
// unknown, and x for an impossible event.
constexpr std::array<std::string_view, attempt_event_count> expected = {
    "rxxxxx", "xqxxxx", "xssxxx", "nnnxnx", "xfxxxx", "xnxxxx", "xxxdxx",
    "xxxnxx", "xxxuxx", "xxxuxx", "xxxxbx", "xxxxnx", "xxxxxu", "xxxxxd",
    "xxxxxn", "xxxxxu", "nnnunu", "cccccc"};

constexpr std::array<attempt_event, 5> path_to_sent = {
    attempt_event::route_found, attempt_event::queue_entered,
    attempt_event::admitted, attempt_event::first_byte_written,
    attempt_event::backend_answered};

attempt attempt_in(attempt_state state, request_kind kind)
{
    attempt result(kind, deadline);
    if (state == attempt_state::forwarded) {
        result.on(attempt_event::route_found);
        result.on(attempt_event::forward_written);
        return result;
    }
    if (state == attempt_state::cancelled || state == attempt_state::failed) {
        result.on(state == attempt_state::failed
                      ? attempt_event::deadline_passed
                      : attempt_event::caller_gone);
        return result;
    }
    for (const attempt_event event : path_to_sent) {
        if (result.state() == state)
            break;
        result.on(event);
    }
    return result;
}

char result_after(attempt_state state, attempt_event event)
{
    attempt current = attempt_in(state, request_kind::non_idempotent);
    EXPECT_EQ(current.state(), state);
    try {
        current.on(event, event == attempt_event::holder_failed
                              ? error_kind::outcome_unknown
                              : error_kind::overloaded);
    } catch (const error& failure) {
        EXPECT_EQ(failure.kind(), error_kind::internal);
        return 'x';
    }
    if (current.state() == attempt_state::failed)
        return current.result() == outcome::not_run ? 'n' : 'u';
    return std::string_view("-rqfsbd-c")
        .at(static_cast<std::size_t>(current.state()));
}

// Guards against a wrong transition, in particular against the outcome "not
// run" after the first byte was sent.
TEST(Attempt, FollowsTheTableForEachStateAndEvent)
{
    for (std::size_t number = 0; number < attempt_event_count; ++number) {
        const auto event = static_cast<attempt_event>(number);
        for (std::size_t column = 0; column < 6; ++column) {
            const auto state = static_cast<attempt_state>(column);
            EXPECT_EQ(
                result_after(state, event), expected.at(number).at(column))
                << to_string(event) << " in " << to_string(state);
        }
        for (const auto state : {attempt_state::answered, attempt_state::failed,
                 attempt_state::cancelled}) {
            attempt current = attempt_in(state, request_kind::idempotent);
            const auto before = current.result();
            EXPECT_EQ(current.on(event), state) << to_string(event);
            EXPECT_EQ(current.result(), before) << to_string(event);
        }
    }
}

// Guards against a wrong error kind of a holder or gate that is taken as proof
// that the request did not run.
TEST(Attempt, AcceptsOnlyKindsOfOutcomeNotRunAsProof)
{
    attempt refused =
        attempt_in(attempt_state::queued, request_kind::non_idempotent);
    EXPECT_THROW(
        refused.on(attempt_event::refused, error_kind::internal), error);
    attempt forwarded =
        attempt_in(attempt_state::forwarded, request_kind::non_idempotent);
    forwarded.on(attempt_event::holder_failed, error_kind::overloaded);
    EXPECT_EQ(forwarded.failure(), error_kind::outcome_unknown);
}

// Guards against the outcome "not run" for a request that was already sent when
// the caller disconnected.
TEST(Attempt, IsUnknownWhenCancelledAfterItLeftTheInstance)
{
    for (std::size_t column = 0; column < 6; ++column) {
        const auto state = static_cast<attempt_state>(column);
        attempt current = attempt_in(state, request_kind::idempotent);
        current.on(attempt_event::caller_gone);
        const bool left =
            state == attempt_state::forwarded || state == attempt_state::sent;
        EXPECT_EQ(current.result(), left ? outcome::unknown : outcome::not_run)
            << to_string(state);
    }
}

// Guards against a retry that runs a non-idempotent request twice, and against
// a retry that takes a token of the budget although it is not allowed.
TEST(Attempt, RetriesReadsAndWhatDidNotRun)
{
    unlimited_budget budget;
    for (const auto kind :
        {request_kind::idempotent, request_kind::non_idempotent}) {
        attempt sent = attempt_in(attempt_state::sent, kind);
        sent.on(attempt_event::connection_lost);
        EXPECT_EQ(sent.may_retry(time_point(), budget),
            kind == request_kind::idempotent);
        attempt unsent = attempt_in(attempt_state::sending, kind);
        unsent.on(attempt_event::connection_unwritten);
        EXPECT_TRUE(unsent.may_retry(time_point(), budget));
        EXPECT_FALSE(unsent.may_retry(deadline, budget));
        attempt refused = attempt_in(attempt_state::created, kind);
        refused.on(attempt_event::refused, error_kind::bad_request);
        EXPECT_FALSE(refused.may_retry(time_point(), budget));
    }
    EXPECT_EQ(budget.taken, 3);
}

} // namespace
} // namespace filberthub
