#include <filberthub/routing/work_times.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Before the first answer of a service.
constexpr double initial_mean_ms = 50;
// The work of a service changes slowly, and its times scatter.
constexpr double mean_weight = 0.03;
// The other load of a server's machine changes several times a second, so that
// its usual pace is a mean over seconds.
constexpr double pace_weight = 0.05;
constexpr double pace_memory_ms = 300;
// First samples count more, so that a fast server is known soon.
constexpr unsigned first_samples = 10;
constexpr double least_pace = 0.05;
constexpr double largest_pace = 50;

} // namespace

void work_times::note_pace(
    const backend_server_id& server, double pace, time_point now)
{
    pace_state& state = paces_[server];
    pace = std::clamp(pace, least_pace, largest_pace);
    ++state.samples;
    const double weight = state.samples <= first_samples
                              ? std::max(1.0 / state.samples, pace_weight)
                              : pace_weight;
    state.usual += (pace - state.usual) * weight;
    state.present = pace;
    state.seen = now;
}

void work_times::on_answer(const service_id& service,
    const backend_server_id& server, milliseconds taken, bool queued,
    const std::optional<server_load_report>& report, time_point now)
{
    const auto time = std::max(static_cast<double>(taken.count()), 1.0);
    const bool told = report && report->pace;
    if (told)
        note_pace(server, *report->pace, now);
    if (queued)
        return;
    const auto [mean, is_new] = mean_ms_.try_emplace(service, 0);
    const double known_pace =
        told ? std::clamp(*report->pace, least_pace, largest_pace)
             : usual_pace(server).value_or(1);
    const double work = time / known_pace;
    if (is_new)
        mean->second = work;
    if (!told)
        note_pace(server, time / std::max(mean->second, 1.0), now);
    mean->second += (work - mean->second) * mean_weight;
}

void work_times::on_report(const backend_server_id& server,
    const std::optional<server_load_report>& report, time_point now)
{
    if (report && report->pace)
        note_pace(server, *report->pace, now);
}

void work_times::forget(const backend_server_id& server)
{
    paces_.erase(server);
}

double work_times::mean_ms(const service_id& service) const
{
    const auto found = mean_ms_.find(service);
    return found == mean_ms_.end() ? initial_mean_ms : found->second;
}

double work_times::expected_ms(const service_id& service,
    const backend_server_id& server, time_point now) const
{
    const auto found = paces_.find(server);
    if (found == paces_.end())
        return mean_ms(service);
    const pace_state& state = found->second;
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - state.seen).count();
    const double pace = state.usual + (state.present - state.usual) *
                                          std::exp(-age_ms / pace_memory_ms);
    return mean_ms(service) * pace;
}

std::optional<double> work_times::usual_pace(
    const backend_server_id& server) const
{
    const auto found = paces_.find(server);
    if (found == paces_.end())
        return std::nullopt;
    return found->second.usual;
}

std::vector<std::pair<backend_server_id, double>>
work_times::usual_paces() const
{
    std::vector<std::pair<backend_server_id, double>> result;
    result.reserve(paces_.size());
    for (const auto& [id, state] : paces_)
        result.emplace_back(id, state.usual);
    return result;
}

} // namespace filberthub
