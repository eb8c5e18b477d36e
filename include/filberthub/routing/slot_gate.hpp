// Admits the requests of all instances to a group of backend servers.
//
//     slot_gate gate(pool, bound);
//     for (const gate_decision& decision : gate.request_slot(request, now))
//         send(decision);
//     for (const gate_decision& decision : gate.finish(id, result, now))
//         send(decision);
//
// One instance runs the gate of a group and therefore knows how many requests
// each server has. This matters under heavy load: servers have a handful of
// slots and more instances than slots send to them. Without a gate, requests
// queue at one server while another is free, and run after their callers have
// left.

#ifndef FILBERTHUB_ROUTING_SLOT_GATE_HPP
#define FILBERTHUB_ROUTING_SLOT_GATE_HPP

#include <filberthub/routing/server_groups.hpp>
#include <filberthub/routing/server_pool.hpp>

#include <deque>
#include <string>

namespace filberthub {

// The instance that requests a slot and its number for the request.
struct slot_request_id
{
    instance_id requester;
    std::uint64_t number = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const slot_request_id&) const = default;
};

// A request for a slot.
struct slot_request
{
    slot_request_id id;
    service_id service;
    // The group of servers that this gate admits to; see `group_of_server`.
    std::string group;
    // The owner of the request's key; nothing if any server of the group may
    // run the request.
    std::optional<backend_server_id> owner;
    // Servers that the request was already sent to.
    std::vector<backend_server_id> excluded;
    // Failure domain of the requester.
    failure_domain_id domain;
    // Time added for a server in another failure domain.
    milliseconds cross_domain_cost{0};
    // 0 is the most urgent.
    unsigned urgency = 0;
    // An answer before this time has its full value.
    time_point target_time;
    time_point answer_deadline;
    // Time since the caller's first attempt; 0 for a first attempt.
    milliseconds age{0};
    // Set by the gate.
    time_point queued_at;
};

// The answer to a request for a slot.
enum class slot_decision : std::uint8_t
{
    // The request must be sent to `server` now.
    granted,
    // The request waits; another decision follows.
    queued,
    // The request must not be sent; a slot may be free after `wait`.
    refused
};

// The decision about one request.
struct gate_decision
{
    slot_request_id id;
    slot_decision decision = slot_decision::refused;
    backend_server_id server;
    // Expected wait for a slot if queued; time before another try if refused.
    milliseconds wait{0};
};

// How a granted request ended.
struct gate_result
{
    send_outcome outcome = send_outcome::answered;
    milliseconds taken{0};
    std::optional<server_load_report> report;
};

// Grants each server at most one request more than it has slots. Each queued
// request gets exactly one further decision, unless `finish` removes it or the
// request is asked about again.
// Requires regular calls of `sweep`.
class slot_gate
{
public:
    slot_gate(const server_pool& pool, cold_bound bound);

    // Decides about a request or adds it to the queue. If a request of this id
    // is running or queued, tells its server or its present wait.
    std::vector<gate_decision> request_slot(
        slot_request request, time_point now);

    // Frees the slot of a request, or removes it from the queue. Returns the
    // decisions that this allows.
    std::vector<gate_decision> finish(
        const slot_request_id& id, const gate_result& result, time_point now);

    // Refuses requests that can no longer be served in time, frees slots whose
    // instance did not report the end of its request, and uses slots of servers
    // that joined. To be called several times per second.
    std::vector<gate_decision> sweep(time_point now);

    const service_time_tracker& times() const
    {
        return times_;
    }

    // Number of queued requests.
    std::size_t waiting() const;

private:
    struct server_state
    {
        service_id service;
        unsigned in_flight = 0;
        // When this gate first granted a slot of the server.
        time_point first_granted_at;
        time_point reported_at;
        // Requests at the server that this gate did not grant, as of the last
        // report.
        double requests_of_others = 0;
        // Granted requests that the server did not have when it reported: they
        // were on their way to it, or their answers were on their way back.
        // Smoothed.
        double in_transit = 0;
        unsigned consecutive_failures = 0;
        time_point avoid_until;
        // Times of recent grants while the server is cold.
        std::deque<time_point> cold_sends;
    };

    struct running_request
    {
        backend_server_id server;
        // The slot is freed at this time if no result was reported.
        time_point expires;
        // Whether it has to wait at the server for a slot.
        bool queued_at_server = false;
    };

    double expected_ms(const observed_server& server, time_point now) const;
    // Number of granted requests that occupy no slot of their server.
    static double requests_in_transit(
        const server_state& state, const observed_server& server);
    // Whether the server can take a request, with `extra` more than its slots.
    bool has_slot(
        const observed_server& server, unsigned extra, time_point now) const;
    // Whether the bound of a cold server allows another request now. True for a
    // server that is not cold.
    bool cold_rate_allows(const observed_server& server, time_point now) const;
    using server_list = std::vector<const observed_server*>;
    // Returns the usable servers of the request's group.
    server_list servers_of_group(const slot_request& request) const;
    // Whether one of the servers has a free slot, leaving aside which of them
    // a request excludes.
    bool has_free_slot(const server_list& servers, time_point now) const;
    // Returns the server that the request may be sent to now, if there is one.
    // `servers` are those of its group.
    std::optional<backend_server_id> free_server(const slot_request& request,
        const server_list& servers, time_point now) const;
    bool is_not_excluded(
        const slot_request& request, const observed_server& server) const;
    // Granted requests for each slot of the server.
    double load(const observed_server& server) const;
    // Whether there are servers but the request excludes all of them.
    bool excludes_all(
        const slot_request& request, const server_list& servers) const;
    gate_decision grant(const slot_request& request,
        const backend_server_id& server, time_point now);
    // Throughput of the servers that may run the request.
    double requests_per_ms(const slot_request& request, time_point now) const;
    double expected_wait_ms(const slot_request& request, time_point now) const;
    void dispatch(const std::string& group, time_point now,
        std::vector<gate_decision>& decisions);
    double work_ms(const slot_request& request, time_point now) const;
    bool cannot_finish_in_time(
        const slot_request& request, double wait_ms, time_point now) const;
    double wait_with_overtaking_ms(
        const slot_request& request, double wait_ms, time_point now) const;
    // Refuses the requests of a queue that cannot be served in time.
    void refuse_late_requests(std::vector<slot_request>& queue, bool overload,
        time_point now, std::vector<gate_decision>& decisions) const;
    // Whether not all queued requests can meet their target time.
    static bool is_overloaded(
        const std::vector<slot_request>& queue, const server_list& servers);

    const server_pool& pool_;
    cold_bound bound_;
    std::map<backend_server_id, server_state> servers_;
    service_time_tracker times_;
    std::map<slot_request_id, running_request> running_;
    std::map<std::string, std::vector<slot_request>> queues_;
};

} // namespace filberthub

#endif
