// The state of one attempt to have a request answered.
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
    // Backend server and holder are known.
    routed,
    // Waits at the gate of this instance.
    queued,
    // The first byte of the request was written to the link to the holder.
    forwarded,
    // Admitted, no byte was written to the backend server.
    sending,
    // The first byte was written to the backend server.
    sent,
    // Final: the complete answer of the backend server is here.
    answered,
    // Final: answered with an error kind.
    failed,
    // Final: the caller is gone.
    cancelled,
};
inline constexpr std::size_t attempt_state_count = 9;

enum class attempt_event : std::uint8_t
{
    route_found,
    // The gate lets the request wait.
    queue_entered,
    // The gate admits the request.
    admitted,
    // This instance refuses the request; the kind has to say not run.
    refused,
    // The first byte goes to the link to the holder.
    forward_written,
    // The link to the holder failed before the first byte was written.
    forward_unwritten,
    // The holder answered with the answer of the backend server.
    holder_answered,
    // The holder answered with a kind that says not run.
    holder_refused,
    // The holder answered with any other kind.
    holder_failed,
    // The link to the holder was lost after the first byte.
    link_lost,
    // The first byte goes to the backend server.
    first_byte_written,
    // The connection failed before the first byte was written.
    connection_unwritten,
    // The connection failed after the first byte.
    connection_lost,
    // The backend server answered completely.
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

// One cell of the table from state and event to what follows.
struct attempt_step
{
    enum class effect : std::uint8_t
    {
        // The event cannot occur in this state.
        impossible,
        // The event comes too late and changes nothing.
        ignored,
        // The attempt moves to `next`.
        moves,
        // The attempt fails with `kind`.
        fails,
        // The attempt fails with the kind that came with the event, which has
        // to say not run.
        fails_not_run,
        // The attempt fails with the kind that came with the event. A kind
        // that says not run becomes `outcome_unknown`.
        fails_unknown,
    };

    effect what = effect::impossible;
    attempt_state next = attempt_state::failed;
    error_kind kind = error_kind::internal;
};

// Returns the cell of the table. Only cells in states before the first byte to
// a backend server, or with a refusal by the holder or the server, lead to a
// kind whose outcome is not run.
const attempt_step& attempt_step_for(attempt_state state, attempt_event event);

// Whether a request may be repeated after its first byte was sent.
enum class request_kind : std::uint8_t
{
    // A read.
    idempotent,
    non_idempotent,
};

template <class Budget>
concept attempt_budget = requires(Budget budget)
{
    {
        budget.try_take()
        } -> std::same_as<bool>;
};

// Guarantees: a final state is never left, and `result()` is `not_run` only if
// no byte of this attempt reached a backend server that may have started it.
class attempt
{
public:
    attempt(request_kind kind, time_point deadline);

    // To be called for each event. `kind` belongs to `refused`,
    // `holder_refused` and `holder_failed`. Throws `error` of kind `internal`
    // if the event is impossible in this state, or if `refused` or
    // `holder_refused` comes with a kind that does not say not run.
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

    // The kind to answer with; set in the states `failed` and `cancelled`.
    std::optional<error_kind> failure() const
    {
        return failure_;
    }

    // What may be said about the request; set in final states. An attempt that
    // was cancelled before it left this instance is `not_run`.
    std::optional<outcome> result() const
    {
        return result_;
    }

    time_point deadline() const
    {
        return deadline_;
    }

    // Whether a further attempt may follow this failed one. Takes a token of
    // the budget if so. Reads may be repeated after any failure; others only
    // if this attempt is proved not to have run. `retryable` of the answer
    // table excludes failures which a repeat cannot change.
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
