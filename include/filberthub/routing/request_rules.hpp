// Rules for the step after an attempt of a request (deliver, retry or give up)
// and for the answer to the caller if the request fails.
//
//     switch (after_attempt(state, result, now)) { ... }

#ifndef FILBERTHUB_ROUTING_REQUEST_RULES_HPP
#define FILBERTHUB_ROUTING_REQUEST_RULES_HPP

#include <filberthub/routing/server_pool.hpp>

namespace filberthub {

// State of a request between two attempts.
struct request_state
{
    // Whether the request may run more than once.
    bool repeatable = false;
    // Whether only the owner of the request's key may run it.
    bool keyed = false;
    // Maximum number of servers that the request may be sent to.
    unsigned attempts_allowed = 1;
    // Number of times that the request was sent to a server.
    unsigned sends = 0;
    // Whether a server may have started to run the request.
    bool may_have_run = false;
    time_point answer_deadline;
};

// Result of one attempt.
struct attempt_result
{
    send_outcome outcome = send_outcome::lost;
};

// The step after an attempt.
enum class next_step : std::uint8_t
{
    // Pass the server's answer on to the caller.
    deliver,
    // Make another attempt if the retry budget allows one.
    repeat,
    // Make another attempt that does not count against the retry budget,
    // because the last one did not reach a server.
    repeat_without_budget,
    // Answer the caller with a failure.
    give_up
};

// The answer to a caller whose request was not served.
struct failure_answer
{
    // Status code of HTTP.
    int status = 503;
    // Set if the request has not run and the caller may send it again.
    std::optional<milliseconds> retry_after;
    // Whether the time is known: a caller that comes back earlier is rejected
    // again. An expected time is spread over the period around it.
    bool exact_wait = false;
};

// Minimum remaining time for which another attempt is made.
inline constexpr milliseconds min_attempt_time{25};

next_step after_attempt(
    const request_state& state, const attempt_result& result, time_point now);

// Returns the final answer to the caller. `wait` is the time until a server is
// expected to be free.
failure_answer failure_of(
    const request_state& state, bool timed_out, milliseconds wait);

// Returns the time by which a caller gets its final answer. `allowed` is the
// time that the caller waits, and `limit` is the operator's time limit for the
// route, or 0 for no limit.
time_point compute_answer_deadline(
    time_point arrived, milliseconds allowed, milliseconds limit);

} // namespace filberthub

#endif
