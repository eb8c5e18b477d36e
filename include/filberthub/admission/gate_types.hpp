// Inputs and results of a `server_gate`.
//
//     if (result.decision == admission_decision::refuse)
//         answer(number, answer_for(result.reason));

#ifndef FILBERTHUB_ADMISSION_GATE_TYPES_HPP
#define FILBERTHUB_ADMISSION_GATE_TYPES_HPP

#include <filberthub/admission/waiting_queue.hpp>
#include <filberthub/base/error.hpp>

#include <boost/container/small_vector.hpp>

#include <optional>

namespace filberthub {

// The decision of a gate about one request.
enum class admission_decision : std::uint8_t
{
    // Send the request now.
    admit,
    // The request is queued; a later `gate_changes` admits or refuses it.
    wait,
    // Answer the request as not run.
    refuse
};

// A request that the gate refused. It was never admitted.
struct refusal
{
    request_number number;
    error_kind reason = error_kind::overloaded;
};

// The result of offering a request to a gate.
struct offer_result
{
    admission_decision decision = admission_decision::refuse;
    // Set if the decision is `refuse`.
    error_kind reason = error_kind::overloaded;
    // The waiting request that was removed from the full queue to make room.
    std::optional<refusal> displaced;
};

// The waiting requests that a call admitted or refused. The usual call admits
// at most one request and allocates no memory.
struct gate_changes
{
    boost::container::small_vector<request_number, 4> admitted;
    boost::container::small_vector<refusal, 2> refused;
};

// How an admitted request ended.
enum class answer_result : std::uint8_t
{
    // A complete answer was received.
    complete,
    // The server reported that it is cold.
    refused_cold,
    // The server reported that it did not start the request.
    refused_busy,
    // The connection was lost, or the answer was invalid.
    failed,
    // The deadline passed before the answer was complete.
    timed_out,
    // The caller disconnected; this says nothing about the server.
    cancelled
};

// The state in which a gate found a request that was cancelled.
enum class cancel_result : std::uint8_t
{
    // The request was removed from the queue.
    was_waiting,
    // The request is admitted and still has to be finished.
    admitted,
    not_found
};

// The load that a backend server reports about itself.
struct load_report
{
    // Work in progress divided by the capacity of the server.
    double utilization = 0;
    bool cold = false;
};

// The state of a gate that `server_selector` uses to compare servers.
struct gate_summary
{
    unsigned limit = 1;
    unsigned in_flight = 0;
    unsigned waiting = 0;
    duration mean_latency{};
    // Draining or out of service.
    bool closed = false;
    // The ramp does not yet allow all slots.
    bool cold = false;
};

// Throws `error` of kind `bad_settings` unless `slots` is from 1 to 1024 and
// `baseline` is greater than zero.
void check_gate_settings(unsigned slots, duration baseline);

} // namespace filberthub

#endif
