// Admits the requests of all instances to a group of backend servers.
//
//     slot_gate gate(pool);
//     for (const gate_decision& decision : gate.ask(request, now))
//         tell(decision);
//     for (const gate_decision& decision : gate.done(id, result, now))
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
struct ticket
{
    instance_id asker;
    std::uint64_t number = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const ticket&) const = default;
};

// A request for a slot.
struct gate_request_slot
{
    ticket id;
    service_id service;
    // Part of the service that this gate admits to; see `group_of_server`.
    std::string group;
    // The owner of the request's key; none if any server of the group may run
    // it.
    std::optional<backend_server_id> owner;
    // Servers that have had the request already.
    std::vector<backend_server_id> excluded;
    failure_domain_id domain;
    milliseconds remote_cost{0};
    // 0 is the most urgent.
    unsigned rank = 0;
    // An answer before this time has its full value.
    time_point goal;
    time_point give_up;
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
    ticket id;
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

    // Decides a request, or lets it wait. A repeated ask of a ticket is
    // ignored.
    std::vector<gate_decision> ask(gate_request_slot request, time_point now);

    // Frees the slot of a ticket, or removes it from the queue, and returns
    // what that allows.
    std::vector<gate_decision> done(
        const ticket& id, const gate_result& result, time_point now);

    // Refuses requests that can no longer be served in time, frees slots whose
    // instance did not report, and uses slots of servers that joined. To be
    // called some times a second.
    std::vector<gate_decision> sweep(time_point now);

    const work_times& times() const
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
        double others = 0;
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
        const gate_request_slot& request, time_point now) const;
    bool fits(
        const gate_request_slot& request, const observed_server& server) const;
    gate_decision grant(const gate_request_slot& request,
        const backend_server_id& server, time_point now);
    // How fast the servers that may run a request work.
    double requests_per_ms(
        const gate_request_slot& request, time_point now) const;
    double expected_wait_ms(
        const gate_request_slot& request, time_point now) const;
    void dispatch(const std::string& group, time_point now,
        std::vector<gate_decision>& decisions);
    double work_ms(const gate_request_slot& request, time_point now) const;
    bool hopeless(
        const gate_request_slot& request, double wait_ms, time_point now) const;
    double overtaken_wait_ms(
        const gate_request_slot& request, double wait_ms, time_point now) const;
    // Refuses the requests of a queue that will not get a slot in time.
    void refuse_hopeless(std::vector<gate_request_slot>& queue, time_point now,
        std::vector<gate_decision>& decisions) const;

    const server_pool& pool_;
    cold_bound bound_;
    std::map<backend_server_id, server_state> servers_;
    work_times times_;
    std::map<ticket, running> running_;
    std::map<std::string, std::vector<gate_request_slot>> queues_;
};

} // namespace filberthub

#endif
