#include <filberthub/routing/service_time_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Before the first answer of a service.
constexpr double initial_mean_ms = 50;
// The work of a service changes slowly, and its times scatter.
constexpr double mean_weight = 0.03;
// The other load of a server's machine changes several times a second, so that
// its typical slowdown is a mean over seconds.
constexpr double slowdown_weight = 0.05;
constexpr double slowdown_memory_ms = 300;
// First samples count more, so that a fast server is known soon.
constexpr unsigned first_samples = 10;
constexpr double least_slowdown = 0.05;
constexpr double largest_slowdown = 50;

} // namespace

void service_time_tracker::record_slowdown(
    const backend_server_id& server, double slowdown, time_point now)
{
    slowdown_state& state = slowdowns_[server];
    slowdown = std::clamp(slowdown, least_slowdown, largest_slowdown);
    ++state.samples;
    const double weight = state.samples <= first_samples
                              ? std::max(1.0 / state.samples, slowdown_weight)
                              : slowdown_weight;
    state.usual += (slowdown - state.usual) * weight;
    state.present = slowdown;
    state.seen = now;
}

void service_time_tracker::on_answer(const service_id& service,
    const backend_server_id& server, milliseconds taken, bool queued,
    const std::optional<server_load_report>& report, time_point now)
{
    const auto time = std::max(static_cast<double>(taken.count()), 1.0);
    const bool told = report && report->slowdown;
    if (told)
        record_slowdown(server, *report->slowdown, now);
    if (queued)
        return;
    const auto [mean, is_new] = mean_ms_.try_emplace(service, 0);
    const double known_slowdown =
        told ? std::clamp(*report->slowdown, least_slowdown, largest_slowdown)
             : typical_slowdown(server).value_or(1);
    const double work = time / known_slowdown;
    if (is_new)
        mean->second = work;
    if (!told)
        record_slowdown(server, time / std::max(mean->second, 1.0), now);
    mean->second += (work - mean->second) * mean_weight;
}

void service_time_tracker::on_report(const backend_server_id& server,
    const std::optional<server_load_report>& report, time_point now)
{
    if (report && report->slowdown)
        record_slowdown(server, *report->slowdown, now);
}

void service_time_tracker::forget(const backend_server_id& server)
{
    slowdowns_.erase(server);
}

double service_time_tracker::mean_ms(const service_id& service) const
{
    const auto found = mean_ms_.find(service);
    return found == mean_ms_.end() ? initial_mean_ms : found->second;
}

double service_time_tracker::expected_ms(const service_id& service,
    const backend_server_id& server, time_point now) const
{
    const auto found = slowdowns_.find(server);
    if (found == slowdowns_.end())
        return mean_ms(service);
    const slowdown_state& state = found->second;
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - state.seen).count();
    const double slowdown =
        state.usual +
        (state.present - state.usual) * std::exp(-age_ms / slowdown_memory_ms);
    return mean_ms(service) * slowdown;
}

std::optional<double> service_time_tracker::typical_slowdown(
    const backend_server_id& server) const
{
    const auto found = slowdowns_.find(server);
    if (found == slowdowns_.end())
        return std::nullopt;
    return found->second.usual;
}

std::vector<std::pair<backend_server_id, double>>
service_time_tracker::typical_slowdowns() const
{
    std::vector<std::pair<backend_server_id, double>> result;
    result.reserve(slowdowns_.size());
    for (const auto& [id, state] : slowdowns_)
        result.emplace_back(id, state.usual);
    return result;
}

} // namespace filberthub
