// How `slot_gate` chooses a server, and what it notes of a grant.

#include <filberthub/routing/slot_gate.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

constexpr double others_memory_ms = 300;
// One request waits at the server while its slots are busy, so that a slot is
// not idle for the time of a round trip.
constexpr unsigned prefetch = 1;
// Waiting for a faster server takes about as long as its work.
constexpr double slow_server_factor = 2;
// A slot whose instance was lost is used again this long after its request
// must have ended.
constexpr milliseconds report_grace{150};
// The rest of the bound is for instances that cannot reach the gate, and for
// requests that were granted earlier and arrive late.
constexpr double used_cold_bound = 0.55;
constexpr milliseconds cold_window{1'100};
// A gate that has just begun does not know what its predecessor granted.
constexpr double new_gate_part = 0.5;

double milliseconds_since(time_point from, time_point now)
{
    return std::chrono::duration<double, std::milli>(now - from).count();
}

} // namespace

bool slot_gate::cold_turn(const observed_server& server, time_point now) const
{
    if (!pool_.cold(server, now))
        return true;
    double allowed =
        (server.rate_tolerated_cold * bound_.factor + bound_.tolerance) *
        used_cold_bound;
    const auto found = servers_.find(server.entry.id);
    if (found == servers_.end())
        return allowed >= 1;
    if (now < found->second.begun + cold_window)
        allowed *= new_gate_part;
    const auto recent = std::count_if(found->second.cold_sends.begin(),
        found->second.cold_sends.end(),
        [now](time_point sent) { return sent > now - cold_window; });
    return static_cast<double>(recent) + 1 <= allowed;
}

bool slot_gate::has_slot(
    const observed_server& server, unsigned extra, time_point now) const
{
    if (!cold_turn(server, now))
        return false;
    const auto found = servers_.find(server.entry.id);
    if (found == servers_.end())
        return true;
    const server_state& state = found->second;
    if (now < state.avoid_until)
        return false;
    const double age = milliseconds_since(state.reported, now);
    const double requests_of_others =
        state.requests_of_others * std::exp(-age / others_memory_ms);
    return state.in_flight + std::floor(requests_of_others) <
           static_cast<double>(server.entry.slots + extra);
}

bool slot_gate::fits(
    const slot_request& request, const observed_server& server) const
{
    return std::find(request.excluded.begin(), request.excluded.end(),
               server.entry.id) == request.excluded.end();
}

std::optional<backend_server_id> slot_gate::free_server(
    const slot_request& request, time_point now) const
{
    if (request.owner) {
        const observed_server* server = pool_.find(*request.owner);
        if (server == nullptr || !has_slot(*server, prefetch, now))
            return std::nullopt;
        return request.owner;
    }
    const std::vector<const observed_server*> all =
        pool_.of_service(request.service);
    const std::size_t groups = group_count(all.size());
    const observed_server* best = nullptr;
    double best_ms = 0;
    // What the best server would take, free or not.
    double ideal_ms = 0;
    for (const observed_server* server : all) {
        if (!pool_.usable(*server) || !fits(request, *server) ||
            group_of_server(server->entry, false, groups) != request.group ||
            !cold_turn(*server, now))
            continue;
        double time = expected_ms(*server, now);
        if (server->entry.domain != request.domain)
            time += static_cast<double>(request.cross_domain_cost.count());
        const bool at_once = has_slot(*server, 0, now);
        if (!at_once)
            time += time / server->entry.slots;
        if (ideal_ms <= 0 || time < ideal_ms)
            ideal_ms = time;
        if (!at_once && !has_slot(*server, prefetch, now))
            continue;
        if (best == nullptr || time < best_ms) {
            best = server;
            best_ms = time;
        }
    }
    // A server that is slow at the moment is left alone if a faster one will be
    // free soon.
    if (best == nullptr || best_ms > ideal_ms * slow_server_factor)
        return std::nullopt;
    return best->entry.id;
}

gate_decision slot_gate::grant(const slot_request& request,
    const backend_server_id& server, time_point now)
{
    const auto [found, is_new] = servers_.try_emplace(server);
    server_state& state = found->second;
    if (is_new)
        state.begun = now;
    state.service = request.service;
    ++state.in_flight;
    const observed_server* known = pool_.find(server);
    if (known != nullptr && pool_.cold(*known, now)) {
        state.cold_sends.push_back(now);
        while (state.cold_sends.front() < now - cold_window)
            state.cold_sends.pop_front();
    }
    const bool queued =
        known != nullptr && state.in_flight > known->entry.slots;
    running_[request.id] = {
        server, request.answer_deadline + report_grace, queued};
    return {request.id, gate_verdict::granted, server, milliseconds(0)};
}

} // namespace filberthub
