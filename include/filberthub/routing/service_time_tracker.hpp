// Estimates the service time of requests on each backend server.
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

// The load that a server reports with an answer.
struct server_load_report
{
    // Numbers of requests that the server runs and that wait for a slot.
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    // Current duration of work on the server relative to the mean of its
    // service. Depends on the speed of the server and on the other load of its
    // machine. Nothing if the server does not report it.
    std::optional<double> slowdown;
};

// Tracks the mean service time per service and the slowdown of each server. The
// estimate returns from the last reported slowdown to the typical slowdown of
// the server within a fraction of a second, and to the mean of the service
// within seconds, as reports become outdated.
class service_time_tracker
{
public:
    // To be called with each complete answer of a server. `queued` is whether
    // `taken` includes waiting at the server; such a time is not used.
    void on_answer(const service_id& service, const backend_server_id& server,
        milliseconds taken, bool queued,
        const std::optional<server_load_report>& report, time_point now);
    // To be called with each answer for which no work was done, such as a
    // refusal.
    void on_report(const backend_server_id& server,
        const std::optional<server_load_report>& report, time_point now);
    // Discards the slowdown of a server. To be called when it is removed or
    // restarted.
    void forget(const backend_server_id& server);

    // Expected service time of a request that starts now, in milliseconds.
    double expected_ms(const service_id& service,
        const backend_server_id& server, time_point now) const;
    // Mean service time at slowdown 1, in milliseconds.
    double mean_ms(const service_id& service) const;
    // Mean slowdown of a server over the last seconds; nothing if unknown.
    std::optional<double> typical_slowdown(
        const backend_server_id& server) const;
    std::vector<std::pair<backend_server_id, double>> typical_slowdowns() const;

private:
    struct slowdown_state
    {
        // Mean over the last seconds.
        double typical = 1;
        double latest = 1;
        time_point updated_at;
        unsigned samples = 0;
    };

    void record_slowdown(
        const backend_server_id& server, double slowdown, time_point now);

    std::map<service_id, double> mean_ms_;
    std::map<backend_server_id, slowdown_state> slowdowns_;
};

} // namespace filberthub

#endif
