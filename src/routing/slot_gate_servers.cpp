// Choice of a server by `slot_gate`, and the bookkeeping of its grants.

#include <filberthub/routing/slot_gate.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Time constant of the decay of reported requests that this gate did not grant.
constexpr double report_decay_ms = 300;
// Number of requests that may wait at a server while its slots are busy, so
// that a freed slot is not idle for a round trip.
constexpr unsigned prefetch = 1;
// A free server is not used if its expected time exceeds that of the best
// server by this factor, because waiting for the latter takes about as long as
// its work.
constexpr double slow_server_factor = 2;
// Bound of the requests in transit for each slot. Servers queue more than this,
// should their reports be wrong.
constexpr unsigned max_transit_per_slot = 3;
// Time after the answer deadline of a request at which its slot is freed if the
// instance that sent it has failed and does not report.
constexpr milliseconds report_grace{150};
// Fraction of the cold bound that the gate uses. The rest is for instances that
// cannot reach the gate and for requests that arrive long after their grant.
constexpr double gate_cold_bound_fraction = 0.55;
// Window in which grants to a cold server are counted.
constexpr milliseconds cold_window{1'100};
// Further reduction for a new gate, which does not know the recent grants of
// its predecessor.
constexpr double new_gate_fraction = 0.5;

double milliseconds_since(time_point from, time_point now)
{
    return std::chrono::duration<double, std::milli>(now - from).count();
}

} // namespace

bool slot_gate::cold_rate_allows(
    const observed_server& server, time_point now) const
{
    if (!pool_.cold(server, now))
        return true;
    double allowed = (server.cold_rate * bound_.factor + bound_.tolerance) *
                     gate_cold_bound_fraction;
    const auto found = servers_.find(server.entry.id);
    if (found == servers_.end())
        return allowed >= 1;
    if (now < found->second.first_granted_at + cold_window)
        allowed *= new_gate_fraction;
    const auto recent = std::count_if(found->second.cold_sends.begin(),
        found->second.cold_sends.end(),
        [now](time_point sent) { return sent > now - cold_window; });
    return static_cast<double>(recent) + 1 <= allowed;
}

bool slot_gate::has_slot(
    const observed_server& server, unsigned extra, time_point now) const
{
    if (!cold_rate_allows(server, now))
        return false;
    const auto found = servers_.find(server.entry.id);
    if (found == servers_.end())
        return true;
    const server_state& state = found->second;
    if (now < state.avoid_until)
        return false;
    const double age = milliseconds_since(state.reported_at, now);
    const double requests_of_others =
        state.requests_of_others * std::exp(-age / report_decay_ms);
    return state.in_flight + std::floor(requests_of_others) <
           static_cast<double>(server.entry.slots + extra) +
               requests_in_transit(state, server);
}

// A slot of the server is free while a large answer is on its way to a slow
// instance, but the gate only learns of the end of the request afterwards.
double slot_gate::requests_in_transit(
    const server_state& state, const observed_server& server)
{
    return std::round(std::min(state.in_transit,
        static_cast<double>(max_transit_per_slot * server.entry.slots)));
}

bool slot_gate::is_not_excluded(
    const slot_request& request, const observed_server& server) const
{
    return std::find(request.excluded.begin(), request.excluded.end(),
               server.entry.id) == request.excluded.end();
}

double slot_gate::load(const observed_server& server) const
{
    const auto found = servers_.find(server.entry.id);
    if (found == servers_.end())
        return 0;
    return static_cast<double>(found->second.in_flight) / server.entry.slots;
}

bool slot_gate::excludes_all(
    const slot_request& request, const server_list& servers) const
{
    return !request.owner && !servers.empty() &&
           std::none_of(servers.begin(), servers.end(),
               [&](const observed_server* server) {
                   return is_not_excluded(request, *server);
               });
}

slot_gate::server_list slot_gate::servers_of_group(
    const slot_request& request) const
{
    server_list result;
    if (request.owner) {
        // The owner of a key remains allowed while its keys are moved.
        if (const observed_server* server = pool_.find(*request.owner))
            result.push_back(server);
        return result;
    }
    const auto index = index_of_group(request.group);
    if (!index)
        return result;
    // Called for each request, so that it must not build the names of groups.
    const server_list servers = pool_.of_service(request.service);
    const std::size_t groups = group_count(servers.size());
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(result),
        [&](const observed_server* server) {
            return group_index(server->id_hash, groups) == *index &&
                   pool_.usable(*server);
        });
    return result;
}

bool slot_gate::has_free_slot(const server_list& servers, time_point now) const
{
    return std::any_of(
        servers.begin(), servers.end(), [&](const observed_server* server) {
            return has_slot(*server, prefetch, now);
        });
}

std::optional<backend_server_id> slot_gate::free_server(
    const slot_request& request, const server_list& servers,
    time_point now) const
{
    if (request.owner) {
        return has_free_slot(servers, now) ? request.owner : std::nullopt;
    }
    struct candidate
    {
        const observed_server* server;
        double expected_ms;
    };
    std::vector<candidate> candidates;
    // Expected time of the fastest server, whether it has a free slot or not.
    double min_expected_ms = 0;
    for (const observed_server* server : servers) {
        if (!is_not_excluded(request, *server) ||
            !cold_rate_allows(*server, now))
            continue;
        double time = expected_ms(*server, now);
        if (server->entry.domain != request.domain)
            time += static_cast<double>(request.cross_domain_cost.count());
        const bool free_now = has_slot(*server, 0, now);
        if (!free_now)
            time += time / server->entry.slots;
        if (min_expected_ms <= 0 || time < min_expected_ms)
            min_expected_ms = time;
        if (free_now || has_slot(*server, prefetch, now))
            candidates.push_back({server, time});
    }
    // A server that is currently slow is not used if a faster one will be free
    // soon. Among the others, by time alone, the slower ones are idle while the
    // faster ones are full, and interference then hits more requests.
    const observed_server* best = nullptr;
    double best_score = 0;
    for (const candidate& item : candidates) {
        if (item.expected_ms > min_expected_ms * slow_server_factor)
            continue;
        const double score = item.expected_ms * (1 + load(*item.server));
        if (best == nullptr || score < best_score) {
            best = item.server;
            best_score = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->entry.id;
}

gate_decision slot_gate::grant(const slot_request& request,
    const backend_server_id& server, time_point now)
{
    const auto [found, is_new] = servers_.try_emplace(server);
    server_state& state = found->second;
    if (is_new)
        state.first_granted_at = now;
    state.service = request.service;
    ++state.in_flight;
    const observed_server* known = pool_.find(server);
    if (known != nullptr && pool_.cold(*known, now)) {
        state.cold_sends.push_back(now);
        while (state.cold_sends.front() < now - cold_window)
            state.cold_sends.pop_front();
    }
    const bool queued_at_server =
        known != nullptr &&
        state.in_flight >
            known->entry.slots + requests_in_transit(state, *known);
    running_[request.id] = {
        server, request.answer_deadline + report_grace, queued_at_server};
    return {request.id, slot_decision::granted, server, milliseconds(0)};
}

} // namespace filberthub
