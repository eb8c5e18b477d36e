// What follows an attempt of a request: deliver, send again, or give up, and
// what the caller is told.
//
//     switch (after_attempt(state, result, now)) { ... }

#ifndef FILBERTHUB_ROUTING_REQUEST_RULES_HPP
#define FILBERTHUB_ROUTING_REQUEST_RULES_HPP

#include <filberthub/routing/server_pool.hpp>

namespace filberthub {

// A request between its attempts.
struct request_state
{
    bool repeatable = false;
    // Whether only the owner of its key may run it.
    bool keyed = false;
    // Servers that it may be sent to.
    unsigned attempts_allowed = 1;
    // Times that it reached a server.
    unsigned sends = 0;
    // Whether a server may have begun it.
    bool may_have_run = false;
    time_point answer_deadline;
};

struct attempt_result
{
    send_outcome outcome = send_outcome::lost;
};

enum class next_step : std::uint8_t
{
    // The server's answer is the caller's.
    deliver,
    // Another attempt, if the retry budget has one.
    repeat,
    // Another attempt, which reaches a server for the first time.
    repeat_without_budget,
    give_up
};

// The answer to a caller whose request was not served.
struct failure_answer
{
    int status = 503;
    // Present if the request has not run and may be sent again.
    std::optional<milliseconds> retry_after;
};

// Least time that must be left for another attempt to be of use.
inline constexpr milliseconds min_attempt_time{25};

next_step after_attempt(
    const request_state& state, const attempt_result& result, time_point now);

// Returns the final answer. `wait` is when room is expected.
failure_answer failure_of(
    const request_state& state, bool timed_out, milliseconds wait);

// Returns when a caller gets its final answer. `allowed` is what the caller
// waits and `limit` the operator's time limit of the route, 0 for none.
time_point compute_answer_deadline(
    time_point arrived, milliseconds allowed, milliseconds limit);

} // namespace filberthub

#endif
