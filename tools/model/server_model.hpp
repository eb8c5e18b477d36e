// One backend server of the stand-in: slots, queue, cold start, faults.
//
//     server_model model(options, now);
//     model.offer(1, {}, now);
//     for (const work_event& event : model.advance(now).events) ...
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
    // Requests that are processed at once.
    std::size_t slots = 2;
    // Requests that wait for a slot.
    std::size_t queue = 4;
    duration service_time = milliseconds(1);
    // Length of a cold start.
    duration cold_time{0};
    // Requests that a cold server bears at once.
    std::size_t cold_limit = 1;
    bool checks_tokens = true;
    // Whether a request may run twice, for the history.
    bool idempotent = true;
    // Age of what the load report tells.
    duration report_lag{0};
};

// Reads one element of the array in a servers file. Throws `error` of kind
// `bad_settings`.
server_options server_options_from_json(const json& document);

// Reads a field with a number of milliseconds, which may have a fraction.
duration duration_or(
    json_reader& reader, const std::string& field, duration fallback);

// What the server needs to know of a request.
struct work_request
{
    std::optional<key_group> group;
    fencing_token token{0};
    // Time that remains at the receipt.
    std::optional<duration> remaining;
};

enum class work_result
{
    // Processed to the end.
    completed,
    // Not begun.
    refused,
    // Begun, and ended by a fall of the server.
    cut,
};

struct work_event
{
    std::uint64_t number = 0;
    work_result result = work_result::completed;
    // Times of the processing, for `completed` and `cut`.
    time_point start;
    time_point end;
    // Answer to a refused request.
    int status = 200;
    bool says_not_run = false;
    std::string_view reason;
};

struct work_step
{
    std::vector<work_event> events;
    // Whether the server fell over and all connections have to be closed.
    bool fell_over = false;
};

enum class server_state
{
    warm,
    cold,
    draining,
    fallen
};

std::string_view to_string(server_state state);

struct server_counters
{
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    std::uint64_t cut = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t refused_draining = 0;
    std::uint64_t refused_fallen = 0;
    std::uint64_t refused_token = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t cold_overloads = 0;
    std::uint64_t most_in_flight = 0;
};

struct load_report
{
    std::size_t in_flight = 0;
    server_state state = server_state::warm;
};

// Guarantees that no more than the slots are processed at once, that a request
// begins at most once, and that a refused or cancelled one never begins.
// Requests are named by numbers that the caller chooses.
class server_model
{
public:
    // Slower factor and time of a fall of a cold server.
    static constexpr double cold_factor = 5;
    static constexpr duration fall_time = std::chrono::seconds(2);

    // A server starts cold if its options have a cold time.
    server_model(server_options options, time_point now);

    // Takes a request; `advance` decides on it.
    void offer(
        std::uint64_t number, const work_request& request, time_point now);

    // Forgets a request whose caller closed the connection. Returns false,
    // without an effect, if it has begun.
    bool cancel(std::uint64_t number);

    // Returns what happened up to `now`.
    work_step advance(time_point now);

    // Returns when `advance` has to be called again.
    std::optional<time_point> next_event(time_point now) const;

    void make_cold(duration length, time_point now);
    // Ends cold start, drain, slow mode and the effect of a fall.
    void make_warm(time_point now);
    void drain(time_point now);
    void slow_down(double factor, time_point now);
    // Nothing is processed, refused or answered for `length`; work goes on
    // afterwards.
    void freeze(duration length, time_point now);
    bool frozen(time_point now) const;

    server_state state(time_point now) const;
    std::size_t in_flight() const;
    // Returns the load as it was one report lag ago.
    load_report report(time_point now) const;
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
    struct item
    {
        std::uint64_t number;
        work_request request;
        time_point received;
        time_point start;
        time_point end;
    };
    struct load_sample
    {
        time_point time;
        load_report report;
    };

    void complete_due(time_point now, work_step& step);
    void admit(const item& arrival, time_point now, work_step& step);
    void begin_waiting(time_point now, work_step& step);
    void begin(item work, time_point now);
    void fall_over(time_point now, work_step& step);
    // Returns the refusal of a request that must not begin now.
    std::optional<work_event> refusal(const item& work, time_point now);
    void record_load(time_point now);

    server_options options_;
    grant_register grants_;
    server_counters counters_;
    std::deque<item> arrivals_;
    std::deque<item> waiting_;
    std::vector<item> running_;
    std::deque<load_sample> samples_;
    time_point cold_until_;
    time_point fallen_until_;
    time_point frozen_until_;
    double slow_factor_ = 1;
    bool draining_ = false;
};

} // namespace filberthub::tools

#endif
