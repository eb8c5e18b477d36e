// Admits the requests of all instances to a group of backend servers.
//
//     slot_gate gate(pool);
//     for (const gate_decision& decision : gate.request_slot(request, now))
//         tell(decision);
//     for (const gate_decision& decision : gate.finish(id, result, now))
//         tell(decision);
//
// One instance runs the gate of a group, so that it knows how many requests
// each server has. It answers heavy load: servers have a handful of slots and
// more instances than slots send to them, so that without a gate requests queue
// at one server while another is free, and run after their callers have left.

#ifndef FILBERTHUB_ROUTING_SLOT_GATE_HPP
#define FILBERTHUB_ROUTING_SLOT_GATE_HPP

#include <filberthub/routing/server_groups.hpp>
#include <filberthub/routing/server_pool.hpp>

#include <deque>
#include <string>

namespace filberthub {

// An asking instance and its number for the request.
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
    // Part of the service that this gate admits to; see `group_of_server`.
    std::string group;
    // The owner of the request's key; none if any server of the group may run
    // it.
    std::optional<backend_server_id> owner;
    // Servers that have had the request already.
    std::vector<backend_server_id> excluded;
    failure_domain_id domain;
    milliseconds cross_domain_cost{0};
    // 0 is the most urgent.
    unsigned urgency = 0;
    // An answer before this time has its full value.
    time_point target_time;
    time_point answer_deadline;
};

enum class gate_verdict : std::uint8_t
{
    // To be sent to `server` now.
    granted,
    // Waits; another decision follows.
    queued,
    // Not to be sent; there may be room after `wait`.
    refused
};

struct gate_decision
{
    slot_request_id id;
    gate_verdict verdict = gate_verdict::refused;
    backend_server_id server;
    milliseconds wait{0};
};

// How a granted request ended.
struct gate_result
{
    send_outcome outcome = send_outcome::answered;
    milliseconds taken{0};
    std::optional<server_load_report> report;
};

class slot_gate
{
public:
    slot_gate(const server_pool& pool, cold_bound bound);

    // Decides a request, or lets it wait. A repeated request with the same id
    // is ignored.
    std::vector<gate_decision> request_slot(
        slot_request request, time_point now);

    // Frees the slot of a request, or removes it from the queue, and returns
    // what that allows.
    std::vector<gate_decision> finish(
        const slot_request_id& id, const gate_result& result, time_point now);

    // Refuses requests that can no longer be served in time, frees slots whose
    // instance did not report, and uses slots of servers that joined. To be
    // called some times a second.
    std::vector<gate_decision> sweep(time_point now);

    const service_time_tracker& times() const
    {
        return times_;
    }

    std::size_t waiting() const;

private:
    struct server_state
    {
        service_id service;
        unsigned in_flight = 0;
        // When this gate first granted the server.
        time_point begun;
        time_point reported;
        // Requests that the server has beside those of this gate.
        double requests_of_others = 0;
        unsigned failures = 0;
        time_point avoid_until;
        // Sends of the last second, while the server is cold.
        std::deque<time_point> cold_sends;
    };

    struct running
    {
        backend_server_id server;
        time_point until;
        // Whether it waited at the server for a slot.
        bool queued = false;
    };

    double expected_ms(const observed_server& server, time_point now) const;
    bool has_slot(
        const observed_server& server, unsigned extra, time_point now) const;
    bool cold_turn(const observed_server& server, time_point now) const;
    std::optional<backend_server_id> free_server(
        const slot_request& request, time_point now) const;
    bool fits(const slot_request& request, const observed_server& server) const;
    gate_decision grant(const slot_request& request,
        const backend_server_id& server, time_point now);
    // How fast the servers that may run a request work.
    double requests_per_ms(const slot_request& request, time_point now) const;
    double expected_wait_ms(const slot_request& request, time_point now) const;
    void dispatch(const std::string& group, time_point now,
        std::vector<gate_decision>& decisions);
    double work_ms(const slot_request& request, time_point now) const;
    bool hopeless(
        const slot_request& request, double wait_ms, time_point now) const;
    double overtaken_wait_ms(
        const slot_request& request, double wait_ms, time_point now) const;
    // Refuses the requests of a queue that will not get a slot in time.
    void refuse_hopeless(std::vector<slot_request>& queue, time_point now,
        std::vector<gate_decision>& decisions) const;

    const server_pool& pool_;
    cold_bound bound_;
    std::map<backend_server_id, server_state> servers_;
    service_time_tracker times_;
    std::map<slot_request_id, running> running_;
    std::map<std::string, std::vector<slot_request>> queues_;
};

} // namespace filberthub

#endif
