// How long work takes on each backend server.
//
//     service_time_tracker times;
//     times.on_answer(service, server, taken, report, now);
//     double ms = times.expected_ms(service, server, now);

#ifndef FILBERTHUB_ROUTING_SERVICE_TIME_TRACKER_HPP
#define FILBERTHUB_ROUTING_SERVICE_TIME_TRACKER_HPP

#include <filberthub/base/types.hpp>

#include <map>
#include <optional>
#include <vector>

namespace filberthub {

// What a server says of its load in an answer.
struct server_load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    // Duration of work on the server at this moment relative to the mean of
    // the service. It holds the speed of the server as well as the other load
    // of its machine. Nothing if the server does not tell.
    std::optional<double> slowdown;
};

// Keeps the mean time of work per service, and the slowdown of each server. A
// reported slowdown is believed for a moment; then the usual one of the server
// is expected again.
class service_time_tracker
{
public:
    // A complete answer of a server. `queued` tells that the time includes
    // waiting at the server, so that it says nothing of the work.
    void on_answer(const service_id& service, const backend_server_id& server,
        milliseconds taken, bool queued,
        const std::optional<server_load_report>& report, time_point now);
    // An answer without work, such as a refusal.
    void on_report(const backend_server_id& server,
        const std::optional<server_load_report>& report, time_point now);
    void forget(const backend_server_id& server);

    // Expected time of a request that begins now, in milliseconds.
    double expected_ms(const service_id& service,
        const backend_server_id& server, time_point now) const;
    // Mean time of work of a service at slowdown 1, in milliseconds.
    double mean_ms(const service_id& service) const;
    // Slowdown of a server over the last seconds; nothing if it is not known.
    std::optional<double> typical_slowdown(
        const backend_server_id& server) const;
    std::vector<std::pair<backend_server_id, double>> typical_slowdowns() const;

private:
    struct slowdown_state
    {
        double usual = 1;
        double present = 1;
        time_point seen;
        unsigned samples = 0;
    };

    void record_slowdown(
        const backend_server_id& server, double slowdown, time_point now);

    std::map<service_id, double> mean_ms_;
    std::map<backend_server_id, slowdown_state> slowdowns_;
};

} // namespace filberthub

#endif
