// The part of its usual capacity that a server has while it rejects or fails
// requests.
//
//     server_health health;
//     health.add(server, {40, 20}, now);
//     candidate.capacity *= health.capacity_factor(server, now);
//
// Designed for servers that get ten requests per second, reported up to 0.5 s
// late, and reject or fail up to all of them for seconds.

#ifndef FILBERTHUB_ROUTING_SERVER_HEALTH_HPP
#define FILBERTHUB_ROUTING_SERVER_HEALTH_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <map>

namespace filberthub {

// Results of requests that were sent to a server.
struct result_counts
{
    std::uint32_t results = 0;
    // Those that the server refused, failed or did not answer.
    std::uint32_t failures = 0;
};

// Guarantees that the factor falls only with several failures, and rises by a
// bounded rate.
class server_health
{
public:
    void add(const backend_server_id& server, const result_counts& counts,
        time_point now);
    // Returns a factor in (0, 1]. The time must not decrease.
    double capacity_factor(const backend_server_id& server, time_point now);

private:
    struct server_state
    {
        double results = 0;
        double failures = 0;
        double factor = 1;
        time_point updated_at;
    };

    // Lets the counts and the factor follow the time.
    static void advance(server_state& state, time_point now);

    std::map<backend_server_id, server_state> servers_;
};

} // namespace filberthub

#endif
