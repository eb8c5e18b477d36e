// The backend servers known to an instance, the load and health that it has
// observed of each, and the choice of a server for a request.
//
//     server_pool pool(own_domain, bound);
//     pool.put(entry, cold_rate, random(), now);
//     auto chosen = pool.choose(service, {.uniform_random = random}, now);
//     pool.on_sent(*chosen, now);

#ifndef FILBERTHUB_ROUTING_SERVER_POOL_HPP
#define FILBERTHUB_ROUTING_SERVER_POOL_HPP

#include <filberthub/routing/service_time_tracker.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace filberthub {

// A registered backend server.
struct server_entry
{
    backend_server_id id;
    service_id service;
    endpoint address;
    failure_domain_id domain;
    // Number of requests that it runs at the same time.
    unsigned slots = 1;
    // Whether it is shutting down and must not receive new requests.
    bool draining = false;
    // Time for which it stays cold after this entry was written.
    milliseconds cold_left{0};
    // Start time of its process in Unix milliseconds; identifies the
    // incarnation.
    std::uint64_t started = 0;
};

// How an attempt at a server ended.
enum class send_outcome : std::uint8_t
{
    // A complete answer from the server.
    answered,
    // The server answered that it did not run the request.
    refused,
    // The server answered with an error of its own.
    failed,
    // No answer, or an incomplete one.
    lost,
    // No connection could be made.
    unreachable,
    // This instance gave up before the answer.
    cancelled
};

// What `server_pool::choose` needs to know about a request.
struct placement_request
{
    // Time added for a server in another failure domain.
    milliseconds cross_domain_cost{3};
    // Servers that this request was already sent to.
    std::span<const backend_server_id> excluded;
    // Returns uniform random numbers in [0, 1).
    std::function<double()> uniform_random;
};

// Bound on the rate at which all instances together may send to a cold server:
// its own rate times `factor`, plus `tolerance`.
struct cold_bound
{
    double factor = 1;
    // In requests per second.
    double tolerance = 0;
};

// A server and what this instance has observed of it.
struct observed_server
{
    server_entry entry;
    // Hash of its id, from which its group follows.
    std::uint64_t id_hash = 0;
    // Requests per second that the server tolerates while it is cold.
    double cold_rate = 0;
    time_point cold_until;
    time_point next_cold_send;
    // Requests of this instance that have not been answered yet.
    unsigned in_flight = 0;
    // Requests of other instances at the time of the last report.
    double requests_of_others = 0;
    // The same, smoothed over many reports.
    double typical_requests_of_others = 0;
    time_point reported_at;
    bool has_report = false;
    // Smoothed share of requests that were answered.
    double success = 1;
    // Other servers are preferred until then.
    time_point avoid_until;
    unsigned consecutive_failures = 0;
    // Whether an answer of this incarnation said that it is leaving.
    bool leaving = false;
    // The server has asked this instance to send it nothing until then.
    time_point rests_until;
    // When the server became unusable for new requests, because it is leaving
    // or its failure domain was evacuated.
    std::optional<time_point> unusable_since;
};

// Never chooses a server that is leaving, that rests or whose failure domain is
// evacuated, and
// spaces requests to cold servers so that the fleet stays within `cold_bound`.
class server_pool
{
public:
    server_pool(failure_domain_id own_domain, cold_bound bound);

    // Sets the number of instances among which `cold_bound` is divided.
    void set_fleet_size(std::size_t size)
    {
        fleet_size_ = size;
    }

    // Adds or updates a server. What was observed of it is discarded if its
    // incarnation or its service differs. `cold_rate` is that of its service,
    // and `uniform_random` is a uniform random number in [0, 1).
    void put(const server_entry& entry, double cold_rate, double uniform_random,
        time_point now);
    void remove(const backend_server_id& id);
    // Moves the time at which an unusable server began to drain back to
    // `since`. To be called when the update about it arrived late.
    void set_unusable_since(const backend_server_id& id, time_point since);
    // Marks a server as cold for `time` from now, for example after an
    // evacuation. `uniform_random` is a uniform random number in [0, 1).
    void make_cold(const backend_server_id& id, milliseconds time,
        double uniform_random, time_point now);
    void set_evacuated(
        const failure_domain_id& domain, bool evacuated, time_point now);
    // An answer of the incarnation that started at `started` said that the
    // server is leaving. This holds until the server has started anew, whatever
    // its entry says, also if the entry lapses meanwhile. Returns whether it is
    // new.
    bool set_leaving(
        const backend_server_id& id, std::uint64_t started, time_point now);
    // An answer of that incarnation asked this instance to send nothing until
    // `until`. Ignored for another incarnation than the present one.
    void set_resting(const backend_server_id& id, std::uint64_t started,
        time_point until, time_point now);
    // Whether the server has asked this instance to send it nothing now.
    bool resting(const observed_server& server, time_point now) const
    {
        return now < server.rests_until;
    }
    // Returns the servers of a service that are leaving or rest only according
    // to their answers to this instance, so that others may not know.
    std::vector<backend_server_id> withdrawn_servers(
        const service_id& service, time_point now) const;
    // Returns the servers that are leaving according to their answers, with the
    // start of the incarnation that said so.
    std::map<backend_server_id, std::uint64_t> leaving_servers() const;

    // Returns a server, or null. The pointer is valid until `remove` is called
    // with its id.
    const observed_server* find(const backend_server_id& id) const;
    // Returns the servers of a service. The same holds for the pointers.
    std::vector<const observed_server*> of_service(
        const service_id& service) const;
    // Returns the number of servers of a service.
    std::size_t count_of(const service_id& service) const;

    // Whether new requests may be sent to the server at all.
    bool usable(const observed_server& server) const;
    // Whether a request that was assigned to the server earlier may still be
    // sent to it. The owner of a key remains allowed for a short time while its
    // keys are moved to other servers.
    bool allows_assigned(
        const observed_server& server, bool keyed, time_point now) const;
    bool cold(const observed_server& server, time_point now) const;
    // Whether a request may be sent to the server now. False for a cold server
    // if the last request to it was too recent.
    bool may_send(const observed_server& server, time_point now) const;
    // The same for the owner of a key; see `allows_assigned`.
    bool may_send_keyed(const observed_server& server, time_point now) const;

    // Whether a request may be sent to the server without a slot of its gate.
    // False if it is known to have more requests than it can queue for sure.
    bool accepts_without_gate(
        const observed_server& server, time_point now) const;

    // Returns the server with the shorter expected time of two, sampled at
    // random in proportion to capacity, or nothing if no server may be used.
    std::optional<backend_server_id> choose(const service_id& service,
        const placement_request& request, time_point now) const;

    const service_time_tracker& times() const
    {
        return times_;
    }

    // Slots of the server by its typical speed: its throughput relative to a
    // slot of slowdown 1.
    double capacity(const observed_server& server) const;

    // Expected time until the server answers a new request, in milliseconds.
    double expected_ms(const observed_server& server, time_point now) const;

    // To be called when a request is sent to a server.
    void on_sent(const backend_server_id& id, time_point now);
    // To be called once for each call of `on_sent`. `report` is the load that
    // the server reported with its answer, if any.
    void on_finished(const backend_server_id& id, send_outcome result,
        milliseconds taken, const std::optional<server_load_report>& report,
        time_point now);

private:
    // What a server has said of itself in its answers.
    struct announcement
    {
        std::uint64_t started = 0;
        bool leaving = false;
        time_point rests_until;
        time_point announced_at;
    };

    announcement& announcement_of(
        const backend_server_id& id, std::uint64_t started, time_point now);
    void apply_announcement(observed_server& server);
    void record_usability(observed_server& server, time_point now) const;
    const observed_server& choose_of_two(
        const std::vector<const observed_server*>& candidates,
        const placement_request& request, time_point now) const;
    double expected_requests(
        const observed_server& server, time_point now) const;
    observed_server* find_mutable(const backend_server_id& id);
    observed_server& place(
        const backend_server_id& id, const service_id& service);
    double cold_interval_seconds(const observed_server& server) const;

    failure_domain_id own_domain_;
    cold_bound bound_;
    std::size_t fleet_size_ = 1;
    // The servers of each service, in the order of their ids. They are stored
    // here only, so that a service never lists a server that was removed.
    std::map<service_id, std::map<backend_server_id, observed_server>>
        services_;
    // The service under which each server is stored.
    std::map<backend_server_id, service_id> service_of_;
    service_time_tracker times_;
    std::set<failure_domain_id> evacuated_;
    // Kept while an entry is missing, because it may have lapsed.
    std::map<backend_server_id, announcement> announcements_;
};

} // namespace filberthub

#endif
