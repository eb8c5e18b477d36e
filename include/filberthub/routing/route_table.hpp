// The operator's configuration of routes and services, and the lookup of the
// route for a request.
//
//     route_table table(std::move(config));
//     const route_rule* route = table.find("maps.example", "/floor/7");

#ifndef FILBERTHUB_ROUTING_ROUTE_TABLE_HPP
#define FILBERTHUB_ROUTING_ROUTE_TABLE_HPP

#include <filberthub/base/types.hpp>
#include <filberthub/routing/client_accounts.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filberthub {

// The share of a route's requests that one service receives.
struct service_share
{
    service_id service;
    // Relative to the sum of the weights of the route; must not be negative.
    double weight = 1;
};

// How requests to one host and path prefix are handled.
struct route_rule
{
    std::string name;
    std::string host;
    // Path prefix that begins and ends with a slash.
    std::string prefix;
    // Whether a request may run more than once.
    bool repeatable = false;
    // Maximum time until a caller gets an answer.
    milliseconds answer_timeout{0};
    // Time within which an answer has its full value.
    milliseconds latency_target{0};
    // Maximum number of servers to which one request may be sent.
    unsigned attempts = 1;
    // 0 is the most urgent.
    unsigned urgency = 0;
    // Whether callers need no API key.
    bool is_public = false;
    // Never empty.
    std::vector<service_share> shares;
};

// Properties that all servers of one service share.
struct service_rule
{
    service_id id;
    std::string health_path;
    // Maximum number of connections that one server accepts from all instances
    // together.
    std::size_t connections = 1;
    // Time for which a server is cold after its start.
    milliseconds cold_time{0};
    // Requests per second that a cold server tolerates.
    double cold_rate = 0;
    // Whether a server only runs requests for keys that were granted to it.
    bool keyed = false;
    // Time for which requests for a key are slow after it moved without a
    // handover.
    milliseconds key_warm_time{0};
};

// Limits on the size of requests and on the time that a caller may take to send
// them.
struct caller_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 67'108'864;
    milliseconds head_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

// A complete configuration at one revision.
struct routing_config
{
    revision version;
    std::vector<route_rule> routes;
    std::map<service_id, service_rule> services;
    caller_limits limits;
    // Nothing if callers need no API keys.
    std::optional<std::vector<client_account>> accounts;
};

// Immutable lookup table. Among the routes of a host, the one with the longest
// matching prefix is chosen.
class route_table
{
public:
    route_table() = default;
    explicit route_table(routing_config config);

    // Returns the route for a request, or null. `host` may include a port and
    // is not case-sensitive. `target` may include a query.
    const route_rule* find(
        std::string_view host, std::string_view target) const;

    // Returns the rule of a service, or null.
    const service_rule* service(const service_id& id) const;

    const client_accounts& accounts() const
    {
        return accounts_;
    }

    const routing_config& config() const
    {
        return config_;
    }

private:
    routing_config config_;
    client_accounts accounts_;
    // Indexes of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
};

// Returns the service that receives a request of `route`. `uniform_random` is a
// uniform random number in [0, 1).
const service_id& choose_service(
    const route_rule& route, double uniform_random);

} // namespace filberthub

#endif
