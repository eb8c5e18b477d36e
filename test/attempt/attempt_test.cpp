#include <filberthub/attempt/attempt.hpp>

#include <gtest/gtest.h>

#include <array>
#include <string_view>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

constexpr time_point deadline{1s};

struct endless_budget
{
    int taken = 0;

    bool try_take()
    {
        ++taken;
        return true;
    }
};

// The expected result of each event in the states created, routed, queued,
// forwarded, sending and sent: r, q, f, s, b, d are the states routed, queued,
// forwarded, sending, sent and answered; n fails as not run, u as unknown, c is
// cancelled, and x is impossible.
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

char letter_after(attempt_state state, attempt_event event)
{
    attempt tried = attempt_in(state, request_kind::non_idempotent);
    EXPECT_EQ(tried.state(), state);
    try {
        tried.on(event, event == attempt_event::holder_failed
                            ? error_kind::outcome_unknown
                            : error_kind::overloaded);
    } catch (const error& failure) {
        EXPECT_EQ(failure.kind(), error_kind::internal);
        return 'x';
    }
    if (tried.state() == attempt_state::failed)
        return tried.result() == outcome::not_run ? 'n' : 'u';
    return std::string_view("-rqfsbd-c")
        .at(static_cast<std::size_t>(tried.state()));
}

// Guards against a changed cell of the table, above all against "not run" after
// the first byte.
TEST(Attempt, FollowsTheTableForEachStateAndEvent)
{
    for (std::size_t number = 0; number < attempt_event_count; ++number) {
        const auto event = static_cast<attempt_event>(number);
        for (std::size_t column = 0; column < 6; ++column) {
            const auto state = static_cast<attempt_state>(column);
            EXPECT_EQ(
                letter_after(state, event), expected.at(number).at(column))
                << to_string(event) << " in " << to_string(state);
        }
        for (const auto state : {attempt_state::answered, attempt_state::failed,
                 attempt_state::cancelled}) {
            attempt tried = attempt_in(state, request_kind::idempotent);
            const auto before = tried.result();
            EXPECT_EQ(tried.on(event), state) << to_string(event);
            EXPECT_EQ(tried.result(), before) << to_string(event);
        }
    }
}

// Guards against a holder or gate whose wrong kind would become a proof.
TEST(Attempt, AcceptsNoProofFromAKindThatIsNone)
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

TEST(Attempt, IsUnknownWhenCancelledAfterItLeftTheInstance)
{
    for (std::size_t column = 0; column < 6; ++column) {
        const auto state = static_cast<attempt_state>(column);
        attempt tried = attempt_in(state, request_kind::idempotent);
        tried.on(attempt_event::caller_gone);
        const bool left =
            state == attempt_state::forwarded || state == attempt_state::sent;
        EXPECT_EQ(tried.result(), left ? outcome::unknown : outcome::not_run)
            << to_string(state);
    }
}

// Guards against a second run of an edit by a retry, and against a retry that
// spends the budget although it is not allowed.
TEST(Attempt, RetriesReadsAndWhatDidNotRun)
{
    endless_budget budget;
    for (const auto kind :
        {request_kind::idempotent, request_kind::non_idempotent}) {
        attempt lost = attempt_in(attempt_state::sent, kind);
        lost.on(attempt_event::connection_lost);
        EXPECT_EQ(lost.may_retry(time_point(), budget),
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
