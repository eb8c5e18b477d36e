// The values that go into a gate and come out of it.
//
//     if (result.decision == verdict::refuse)
//         answer(number, answer_for(result.reason));

#ifndef FILBERTHUB_ADMISSION_GATE_TYPES_HPP
#define FILBERTHUB_ADMISSION_GATE_TYPES_HPP

#include <filberthub/admission/waiting_queue.hpp>
#include <filberthub/base/error.hpp>

#include <boost/container/small_vector.hpp>

#include <optional>

namespace filberthub {

enum class verdict : std::uint8_t
{
    // Send it now.
    admit,
    // A later change admits or refuses it.
    wait,
    // Answer it as not run.
    refuse
};

// A request that the gate gives back; it was never admitted.
struct refusal
{
    request_number number;
    error_kind reason = error_kind::overloaded;
};

struct offer_result
{
    verdict decision = verdict::refuse;
    // Set if the decision is `refuse`.
    error_kind reason = error_kind::overloaded;
    // A waiting request that gave up its place.
    std::optional<refusal> displaced;
};

// What a call changed for waiting requests. The usual call admits at most one
// request and allocates nothing.
struct gate_changes
{
    boost::container::small_vector<request_number, 4> admitted;
    boost::container::small_vector<refusal, 2> refused;
};

// How an admitted request ended.
enum class answer_result : std::uint8_t
{
    // Complete answer.
    good,
    // The server said that it is cold.
    refused_cold,
    // The server said that it did not start the request.
    refused_busy,
    // The connection was lost, or the answer was none.
    failed,
    // The deadline passed before the answer was complete.
    timed_out,
    // The caller went away; nothing is known about the server.
    cancelled
};

enum class cancel_result : std::uint8_t
{
    was_waiting,
    admitted,
    absent
};

// Report of a backend server about itself.
struct load_report
{
    // Work in progress divided by what the server can handle.
    double utilization = 0;
    bool cold = false;
};

// State of a gate for the choice between servers.
struct gate_summary
{
    unsigned limit = 1;
    unsigned in_flight = 0;
    unsigned waiting = 0;
    duration mean_latency{};
    // Draining or out of service.
    bool closed = false;
    // The ramp has not reached all slots.
    bool cold = false;
};

// Throws `error` of kind `bad_settings` unless `slots` is 1 to 1024 and
// `baseline` is above zero.
void check_settings(unsigned slots, duration baseline);

} // namespace filberthub

#endif
