// State machine of a single attempt to have a request answered. A retry is a
// new attempt.
//
//     attempt current(request_kind::non_idempotent, deadline);
//     current.on(attempt_event::route_found);
//     current.on(attempt_event::refused, error_kind::overloaded);
//     if (current.result() == outcome::not_run) ...

#ifndef FILBERTHUB_ATTEMPT_ATTEMPT_HPP
#define FILBERTHUB_ATTEMPT_ATTEMPT_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <concepts>
#include <optional>
#include <string_view>

namespace filberthub {

enum class attempt_state : std::uint8_t
{
    created,
    // The backend server and its holder have been found.
    routed,
    // Waiting at the gate of this instance.
    queued,
    // The first byte of the request was written to the link to the holder.
    forwarded,
    // Admitted; no byte was written to the backend server yet.
    sending,
    // The first byte was written to the backend server.
    sent,
    // Final: the complete answer of the backend server has arrived.
    answered,
    // Final: answered with an error kind.
    failed,
    // Final: the caller has disconnected.
    cancelled,
};
inline constexpr std::size_t attempt_state_count = 9;

enum class attempt_event : std::uint8_t
{
    route_found,
    // The gate puts the request in its queue.
    queue_entered,
    // The gate admits the request.
    admitted,
    // This instance refuses the request, with a kind whose outcome is not run.
    refused,
    // The first byte is about to be written to the link to the holder.
    forward_written,
    // The link to the holder failed before the first byte was written.
    forward_unwritten,
    // The holder returned the answer of the backend server.
    holder_answered,
    // The holder returned a kind whose outcome is not run.
    holder_refused,
    // The holder returned any other kind.
    holder_failed,
    // The link to the holder was lost after the first byte was written.
    link_lost,
    // The first byte is about to be written to the backend server.
    first_byte_written,
    // The connection to the backend server failed before the first byte was
    // written.
    connection_unwritten,
    // The connection to the backend server failed after the first byte was
    // written.
    connection_lost,
    // The complete answer of the backend server has arrived.
    backend_answered,
    // The backend server answered that it did not start the request.
    backend_refused,
    // The answer is truncated or not HTTP.
    backend_answer_bad,
    deadline_passed,
    caller_gone,
};
inline constexpr std::size_t attempt_event_count = 18;

std::string_view to_string(attempt_state value);
std::string_view to_string(attempt_event value);

// The transition of one state for one event.
struct attempt_step
{
    enum class effect_kind : std::uint8_t
    {
        // The event cannot occur in this state.
        impossible,
        // The event arrives after the end of the attempt and has no effect.
        ignored,
        // The attempt moves to `next`.
        moves,
        // The attempt fails with `kind`.
        fails,
        // The attempt fails with the kind of the event, whose outcome has to be
        // not run.
        fails_not_run,
        // The attempt fails with the kind of the event. A kind whose outcome is
        // not run is replaced by `outcome_unknown`.
        fails_unknown,
    };

    effect_kind effect = effect_kind::impossible;
    // The next state, if the state changes.
    attempt_state next = attempt_state::failed;
    // The kind for `effect_kind::fails`.
    error_kind kind = error_kind::internal;
};

// Returns the transition for a state and an event. A kind whose outcome is not
// run only follows from a state before the first byte to a backend server, or
// from a refusal by the holder or the backend server.
const attempt_step& attempt_step_for(attempt_state state, attempt_event event);

// Whether a request may be run again after its first byte was sent.
enum class request_kind : std::uint8_t
{
    // May run any number of times, for example a read.
    idempotent,
    non_idempotent,
};

// A retry budget. `try_take` takes a token and returns whether there was one.
template <class Budget>
concept attempt_budget = requires(Budget budget)
{
    {
        budget.try_take()
        } -> std::same_as<bool>;
};

// Guarantees that a final state does not change, and that `result()` is
// `not_run` only if no backend server can have started the request for this
// attempt.
class attempt
{
public:
    attempt(request_kind kind, time_point deadline);

    // Call this for each event. `kind` is used for `refused`, `holder_refused`
    // and `holder_failed` only. Returns the new state. Throws `error` of kind
    // `internal` if the event is impossible in this state, or if the outcome of
    // the kind of `refused` or `holder_refused` is not `not_run`.
    attempt_state on(
        attempt_event event, error_kind kind = error_kind::internal);

    attempt_state state() const
    {
        return state_;
    }

    bool finished() const
    {
        return state_ >= attempt_state::answered;
    }

    // Returns the error kind for the answer; set in the states `failed` and
    // `cancelled`.
    std::optional<error_kind> failure() const
    {
        return failure_;
    }

    // Returns the outcome that is known of the request; set in final states. It
    // is `not_run` for an attempt that was cancelled before it left this
    // instance.
    std::optional<outcome> result() const
    {
        return result_;
    }

    time_point deadline() const
    {
        return deadline_;
    }

    // Returns whether another attempt may follow this failed one, and takes a
    // token of the budget in that case. An idempotent request may be retried
    // unless it is known to have run; any other request only if it is proved
    // not to have run. Failures that a retry cannot change are excluded by
    // `retryable` in the answer table.
    template <attempt_budget Budget>
    bool may_retry(time_point now, Budget& budget) const
    {
        return repeatable(now) && budget.try_take();
    }

private:
    bool repeatable(time_point now) const;

    request_kind kind_;
    attempt_state state_ = attempt_state::created;
    std::optional<error_kind> failure_;
    std::optional<outcome> result_;
    time_point deadline_;
};

} // namespace filberthub

#endif
