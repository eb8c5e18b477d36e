#include <filberthub/routing/server_health.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Failures count for some seconds, as long as a phase of failures lasts.
constexpr double half_life_ms = 2'000;
// With fewer results than this, the share of failures is not known.
constexpr double min_results = 10;
// A smaller share is usual while keys move and connections end.
constexpr double min_failure_share = 0.15;
// A server keeps this part of its capacity, so that a few requests tell when it
// has recovered.
constexpr double min_factor = 0.1;
// With this rise, a server that fails again does so with few more requests.
constexpr double rise_per_ms = 0.1 / 1'000;

} // namespace

void server_health::advance(server_state& state, time_point now)
{
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - state.updated_at)
            .count();
    state.updated_at = now;
    const double decay = std::exp2(-age_ms / half_life_ms);
    state.results *= decay;
    state.failures *= decay;
    state.factor = std::min(1.0, state.factor + age_ms * rise_per_ms);
    if (state.results < min_results)
        return;
    const double share = state.failures / state.results;
    if (share > min_failure_share)
        state.factor = std::min(state.factor, std::max(1 - share, min_factor));
}

void server_health::add(const backend_server_id& server,
    const result_counts& counts, time_point now)
{
    const auto [found, is_new] = servers_.try_emplace(server);
    server_state& state = found->second;
    if (is_new)
        state.updated_at = now;
    advance(state, now);
    state.results += counts.results;
    state.failures += std::min(counts.failures, counts.results);
    advance(state, now);
}

double server_health::capacity_factor(
    const backend_server_id& server, time_point now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return 1;
    advance(found->second, now);
    return found->second.factor;
}

} // namespace filberthub
