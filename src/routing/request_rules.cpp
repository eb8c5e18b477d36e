#include <filberthub/routing/request_rules.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Reserved for the delivery of the answer before the caller stops waiting.
constexpr milliseconds answer_delivery_time{8};
// Sends allowed for a keyed request whose owner refuses it, even if the route
// allows fewer attempts. Each retry counts against the retry budget.
constexpr unsigned max_keyed_sends = 3;

} // namespace

next_step after_attempt(
    const request_state& state, const attempt_result& result, time_point now)
{
    if (result.outcome == send_outcome::answered)
        return next_step::deliver;
    const bool time_left = now + min_attempt_time < state.answer_deadline;
    const unsigned sends_allowed =
        state.keyed ? std::max(max_keyed_sends, state.attempts_allowed)
                    : state.attempts_allowed;
    switch (result.outcome) {
    case send_outcome::unreachable:
        return time_left ? next_step::repeat_without_budget
                         : next_step::give_up;
    case send_outcome::refused:
        return time_left && state.sends < sends_allowed ? next_step::repeat
                                                        : next_step::give_up;
    case send_outcome::failed:
        return time_left && state.repeatable && !state.keyed &&
                       state.sends < state.attempts_allowed
                   ? next_step::repeat
                   : next_step::deliver;
    case send_outcome::lost:
        return time_left && state.repeatable &&
                       state.sends < state.attempts_allowed
                   ? next_step::repeat
                   : next_step::give_up;
    default:
        return next_step::give_up;
    }
}

failure_answer failure_of(
    const request_state& state, bool timed_out, milliseconds wait)
{
    if (!state.may_have_run)
        return {503, wait};
    return {timed_out ? 504 : 502, std::nullopt};
}

time_point compute_answer_deadline(
    time_point arrived, milliseconds allowed, milliseconds limit)
{
    milliseconds time_allowed =
        std::max(allowed - answer_delivery_time, milliseconds(0));
    if (limit.count() > 0)
        time_allowed = std::min(time_allowed, limit);
    return arrived + time_allowed;
}

} // namespace filberthub
