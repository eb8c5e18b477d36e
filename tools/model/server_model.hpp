// Model of one backend server of the stand-in: slots, queue, cold start and
// injected faults. The program that uses it does the I/O and owns the timer.
//
//     server_model model(options, now);
//     model.offer(1, {}, now);
//     for (const request_event& event : model.advance(now).events) ...
//     timer.start(*model.next_event(now));

#ifndef FILBERTHUB_TOOLS_MODEL_SERVER_MODEL_HPP
#define FILBERTHUB_TOOLS_MODEL_SERVER_MODEL_HPP

#include "tools/model/grant_register.hpp"

#include <filberthub/base/types.hpp>

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace filberthub::tools {

struct server_options
{
    backend_server_id id;
    endpoint listen;
    service_id service;
    failure_domain_id domain;
    // Maximum number of requests that are processed at once.
    std::size_t slots = 2;
    // Maximum number of requests that wait for a slot.
    std::size_t queue = 4;
    duration service_time = milliseconds(1);
    // Duration of a cold start; 0 for a server that starts warm.
    duration cold_time{0};
    // Number of requests in flight above which a cold server crashes.
    std::size_t cold_limit = 1;
    // Whether keyed requests need a live grant.
    bool checks_tokens = true;
    // Written to the history: whether a request may run twice.
    bool idempotent = true;
    // Age of the load that the server reports.
    duration report_lag{0};
};

// Reads one element of the array in a servers file. Throws `error` of kind
// `bad_settings`.
server_options server_options_from_json(const json& document);

// Reads a field with a number of milliseconds, which may have a fraction.
// Returns `fallback` if the field is missing; reports a value below 0 or above
// 1 day as an error of `reader`.
duration duration_or(
    json_reader& reader, const std::string& field, duration fallback);

// The fields of a request that the server decides on.
struct server_request
{
    std::optional<key_group> group;
    fencing_token token{0};
    // Time to the deadline when the request is received.
    std::optional<duration> remaining;
};

enum class request_result
{
    // The request was processed to its end.
    completed,
    // The request was not started.
    refused,
    // The request was started, and aborted by a crash of the server.
    cut,
};

// The end of one request.
struct request_event
{
    std::uint64_t number = 0;
    request_result result = request_result::completed;
    // Start and end of the processing, for `completed` and `cut`.
    time_point start;
    time_point end;
    // Status of the answer to a refused request, whether the answer states that
    // the request did not run, and its message.
    int status = 200;
    bool states_not_run = false;
    std::string_view reason;
};

struct advance_result
{
    std::vector<request_event> events;
    // The server crashed, and all connections have to be closed.
    bool crashed = false;
};

enum class server_state
{
    warm,
    cold,
    draining,
    // Crashed after an overload in a cold start, and not yet restarted.
    fallen
};

std::string_view to_string(server_state state);

// Counts since the start of the process.
struct server_counters
{
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    // Requests that a crash aborted.
    std::uint64_t cut = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t refused_draining = 0;
    std::uint64_t refused_fallen = 0;
    std::uint64_t refused_token = 0;
    std::uint64_t refused_deadline = 0;
    // Crashes after an overload in a cold start.
    std::uint64_t cold_overloads = 0;
    std::uint64_t most_in_flight = 0;
};

struct reported_load
{
    std::size_t in_flight = 0;
    server_state state = server_state::warm;
};

// Guarantees that no more requests than slots are processed at once, that a
// request is started at most once, and that a refused or cancelled request is
// never started. The program that uses the model identifies requests by unique
// numbers, and passes times that never decrease.
class server_model
{
public:
    // Factor by which a cold server is slower than a warm one.
    static constexpr double cold_slowdown = 5;
    // Time from a crash to the restart.
    static constexpr duration restart_time = std::chrono::seconds(2);

    // The server starts cold if its options have a cold time.
    server_model(server_options options, time_point now);

    // Adds a request; the next `advance` starts, queues or refuses it.
    void offer(
        std::uint64_t number, const server_request& request, time_point now);

    // Removes a request whose caller closed the connection. Returns false,
    // without an effect, if the request was already started.
    bool cancel(std::uint64_t number);

    // Processes requests up to `now` and returns those that ended. To be called
    // after `offer` and at the time of `next_event`.
    advance_result advance(time_point now);

    // Returns when `advance` has to be called again; nothing if only a new
    // request can change the state.
    std::optional<time_point> next_event(time_point now) const;

    // Begins a cold start of the given duration.
    void start_cold(duration length, time_point now);
    // Ends a cold start, a drain, a slowdown and the downtime after a crash.
    void reset_to_warm(time_point now);
    // Refuses new requests from now on; requests in flight are finished.
    void drain(time_point now);
    // Multiplies the service time of requests that start later.
    void slow_down(double factor, time_point now);
    // Stops all processing for `length`: no request is started, finished or
    // refused. Processing resumes afterwards.
    void freeze(duration length, time_point now);
    bool is_frozen(time_point now) const;

    server_state state(time_point now) const;
    // Returns the number of requests that are processed or wait for a slot.
    std::size_t in_flight() const;
    // Returns the load as it was one report lag earlier.
    reported_load report(time_point now) const;
    // Sets the lag of `report`, at most 60 s.
    void set_report_lag(duration lag);

    grant_register& grants()
    {
        return grants_;
    }

    const server_counters& counters() const
    {
        return counters_;
    }

    const server_options& options() const
    {
        return options_;
    }

private:
    struct tracked_request
    {
        std::uint64_t number;
        server_request request;
        time_point received;
        time_point start;
        time_point end;
    };
    struct load_sample
    {
        time_point time;
        reported_load report;
    };

    void complete_finished(time_point now, advance_result& result);
    void admit(
        const tracked_request& arrival, time_point now, advance_result& result);
    void start_waiting(time_point now, advance_result& result);
    void start_request(tracked_request tracked, time_point now);
    void crash(time_point now, advance_result& result);
    // Returns the refusal of a request that must not start now, because its
    // deadline has passed or its token has no live grant; else nothing.
    std::optional<request_event> refusal_of(
        const tracked_request& tracked, time_point now);
    void record_load(time_point now);

    server_options options_;
    grant_register grants_;
    server_counters counters_;
    std::deque<tracked_request> arrivals_;
    std::deque<tracked_request> waiting_;
    std::vector<tracked_request> running_;
    std::deque<load_sample> samples_;
    time_point cold_until_;
    time_point fallen_until_;
    time_point frozen_until_;
    double slowdown_ = 1;
    bool draining_ = false;
};

} // namespace filberthub::tools

#endif
