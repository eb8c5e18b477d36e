// The backend servers that an instance knows, what it has observed of each, and
// the choice of the server for a request.
//
//     server_pool pool(own_domain);
//     pool.put(entry, now);
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

// A registered server.
struct server_entry
{
    backend_server_id id;
    service_id service;
    endpoint address;
    failure_domain_id domain;
    // Requests that it runs at the same time.
    unsigned slots = 1;
    // Whether it is about to leave and must get no new requests.
    bool draining = false;
    // Time that it stays cold after this entry was written.
    milliseconds cold_left{0};
    // Start of its process in Unix milliseconds; tells one incarnation from the
    // next.
    std::uint64_t started = 0;
};

enum class send_outcome : std::uint8_t
{
    // A complete answer of the server.
    answered,
    // The server said that it did not run the request.
    refused,
    // The server answered with an error of its own.
    failed,
    // No answer, or a broken one.
    lost,
    // No connection could be made.
    unreachable,
    // This instance gave up first.
    cancelled
};

struct placement_request
{
    // Time that crossing to another failure domain is taken to cost.
    milliseconds cross_domain_cost{3};
    // Servers that have had this request already.
    std::span<const backend_server_id> excluded;
    // Uniform random numbers in [0, 1).
    std::function<double()> uniform_random;
};

// Bound on the requests per second that a cold server may get from all
// instances together.
struct cold_bound
{
    // Factor on the rate that the server tolerates.
    double factor = 1;
    double tolerance = 0;
};

struct observed_server
{
    server_entry entry;
    double rate_tolerated_cold = 0;
    time_point cold_until;
    time_point next_cold_send;
    // Requests of this instance that wait for an answer.
    unsigned in_flight = 0;
    // Requests of other instances at the time of the last report.
    double requests_of_others = 0;
    time_point reported;
    bool has_report = false;
    // Smoothed share of requests that were answered.
    double success = 1;
    // The server is avoided until then.
    time_point avoid_until;
    unsigned failures_in_row = 0;
    // When it became unusable for new requests, by leaving or by an evacuation.
    std::optional<time_point> unusable_since;
};

class server_pool
{
public:
    server_pool(failure_domain_id own_domain, cold_bound bound);

    // Sets the number of instances among which bounds are divided.
    void set_fleet_size(std::size_t size)
    {
        fleet_size_ = size;
    }

    // Adds or changes a server. `cold_rate` is that of its service.
    void put(const server_entry& entry, double cold_rate, double uniform_random,
        time_point now);
    void remove(const backend_server_id& id);
    // A server that is not usable may have begun to leave at this time already.
    void set_unusable_since(const backend_server_id& id, time_point since);
    // Makes a server cold from now on, for example after an evacuation.
    void make_cold(const backend_server_id& id, milliseconds time,
        double uniform_random, time_point now);
    void set_evacuated(
        const failure_domain_id& domain, bool evacuated, time_point now);

    const observed_server* find(const backend_server_id& id) const;
    std::vector<const observed_server*> of_service(
        const service_id& service) const;

    // Whether new requests may be sent to the server at all.
    bool usable(const observed_server& server) const;
    bool cold(const observed_server& server, time_point now) const;
    // Whether a request may go to the server now; false for a cold one whose
    // turn has not come.
    bool may_send(const observed_server& server, time_point now) const;
    // The same for the owner of a key, which goes on for a moment while its
    // keys are moved.
    bool may_send_keyed(const observed_server& server, time_point now) const;

    // Returns the server with the least expected time among a few drawn ones,
    // or nothing if none may be used.
    std::optional<backend_server_id> choose(const service_id& service,
        const placement_request& request, time_point now) const;

    const service_time_tracker& times() const
    {
        return times_;
    }

    // Expected time until an answer of the server, in milliseconds.
    double expected_ms(const observed_server& server, time_point now) const;

    void on_sent(const backend_server_id& id, time_point now);
    void on_finished(const backend_server_id& id, send_outcome result,
        milliseconds taken, const std::optional<server_load_report>& report,
        time_point now);

private:
    void record_usability(observed_server& server, time_point now) const;
    double expected_requests(
        const observed_server& server, time_point now) const;
    observed_server* find_mutable(const backend_server_id& id);
    double cold_interval_seconds(const observed_server& server) const;

    failure_domain_id own_domain_;
    cold_bound bound_;
    std::size_t fleet_size_ = 1;
    std::map<backend_server_id, observed_server> servers_;
    std::map<service_id, std::set<backend_server_id>> by_service_;
    service_time_tracker times_;
    std::set<failure_domain_id> evacuated_;
};

} // namespace filberthub

#endif
