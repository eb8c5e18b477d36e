#include <filberthub/routing/service_time_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Used before the first answer of a service.
constexpr double initial_mean_ms = 50;
// Weight of the newest time in the mean of a service. Small, because the times
// vary widely and their mean changes slowly.
constexpr double mean_smoothing = 0.03;
// Weight of the newest sample in the typical slowdown, which is a mean over
// seconds, because other load on the server's machine changes several times a
// second.
constexpr double slowdown_smoothing = 0.05;
// Time constant of the return from the latest to the typical slowdown.
constexpr double slowdown_decay_ms = 300;
// Time constant of the return from the typical slowdown to that of the service,
// so that a slow server that gets no requests is tried again.
constexpr double typical_decay_ms = 5'000;
// The first samples are weighted more, so that a fast server is recognized
// early.
constexpr unsigned initial_samples = 10;
constexpr double min_slowdown = 0.05;
constexpr double max_slowdown = 50;

} // namespace

void service_time_tracker::record_slowdown(
    const backend_server_id& server, double slowdown, time_point now)
{
    slowdown_state& state = slowdowns_[server];
    slowdown = std::clamp(slowdown, min_slowdown, max_slowdown);
    ++state.samples;
    const double weight =
        state.samples <= initial_samples
            ? std::max(1.0 / state.samples, slowdown_smoothing)
            : slowdown_smoothing;
    state.typical += (slowdown - state.typical) * weight;
    state.latest = slowdown;
    state.updated_at = now;
}

void service_time_tracker::on_answer(const service_id& service,
    const backend_server_id& server, milliseconds taken, bool queued,
    const std::optional<server_load_report>& report, time_point now)
{
    const auto time = std::max(static_cast<double>(taken.count()), 1.0);
    const bool has_slowdown = report && report->slowdown;
    if (has_slowdown)
        record_slowdown(server, *report->slowdown, now);
    if (queued)
        return;
    const auto [mean, is_new] = mean_ms_.try_emplace(service, 0);
    const double known_slowdown =
        has_slowdown ? std::clamp(*report->slowdown, min_slowdown, max_slowdown)
                     : typical_slowdown(server).value_or(1);
    const double work = time / known_slowdown;
    if (is_new)
        mean->second = work;
    if (!has_slowdown)
        record_slowdown(server, time / std::max(mean->second, 1.0), now);
    mean->second += (work - mean->second) * mean_smoothing;
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
        std::chrono::duration<double, std::milli>(now - state.updated_at)
            .count();
    const double typical =
        1 + (state.typical - 1) * std::exp(-age_ms / typical_decay_ms);
    const double slowdown = typical + (state.latest - state.typical) *
                                          std::exp(-age_ms / slowdown_decay_ms);
    return mean_ms(service) * slowdown;
}

std::optional<double> service_time_tracker::typical_slowdown(
    const backend_server_id& server) const
{
    const auto found = slowdowns_.find(server);
    if (found == slowdowns_.end())
        return std::nullopt;
    return found->second.typical;
}

std::vector<std::pair<backend_server_id, double>>
service_time_tracker::typical_slowdowns() const
{
    std::vector<std::pair<backend_server_id, double>> result;
    result.reserve(slowdowns_.size());
    for (const auto& [id, state] : slowdowns_)
        result.emplace_back(id, state.typical);
    return result;
}

} // namespace filberthub
