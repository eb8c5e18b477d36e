#include <filberthub/routing/group_choice.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace filberthub {
namespace {

// Weight of the newest wait. The waits of single requests differ by their
// urgency.
constexpr double wait_smoothing = 0.3;
// Time constant of the decay of a wait that was told. Queues change within
// some service times.
constexpr double wait_decay_ms = 500;
// Wait that halves the weight of a group, in service times.
constexpr double halving_service_times = 1;

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void group_choice::on_wait(
    const std::string& group, milliseconds wait, time_point now)
{
    told_wait& state = waits_[group];
    const double known = wait_ms(group, now);
    state.ms =
        known + (static_cast<double>(wait.count()) - known) * wait_smoothing;
    state.told_at = now;
}

double group_choice::wait_ms(const std::string& group, time_point now) const
{
    const auto found = waits_.find(group);
    if (found == waits_.end())
        return 0;
    return found->second.ms *
           std::exp(-milliseconds_between(found->second.told_at, now) /
                    wait_decay_ms);
}

std::optional<std::size_t> group_choice::choose(const server_pool& pool,
    const service_id& service, std::span<const backend_server_id> excluded,
    double uniform_random, time_point now) const
{
    const auto servers = pool.of_service(service);
    std::vector<double> weights(group_count(servers.size()), 0);
    for (const observed_server* server : servers) {
        if (!pool.usable(*server) || pool.resting(*server, now) ||
            std::find(excluded.begin(), excluded.end(), server->entry.id) !=
                excluded.end())
            continue;
        weights[group_index(server->id_hash, weights.size())] +=
            pool.capacity(*server);
    }
    if (weights.size() > 1) {
        std::vector<double> waits;
        for (std::size_t index = 0; index < weights.size(); ++index)
            waits.push_back(
                wait_ms(service.value() + "/" + std::to_string(index), now));
        const double shortest = *std::min_element(waits.begin(), waits.end());
        const double unit = halving_service_times *
                            std::max(pool.times().mean_ms(service), 1.0);
        for (std::size_t index = 0; index < weights.size(); ++index)
            weights[index] /=
                std::min(1 + (waits[index] - shortest) / unit, max_wait_effect);
    }
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total <= 0)
        return std::nullopt;
    double rest = uniform_random * total;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        if (weights[index] <= 0)
            continue;
        chosen = index;
        rest -= weights[index];
        if (rest < 0)
            break;
    }
    return chosen;
}

} // namespace filberthub
