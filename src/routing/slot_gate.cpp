#include <filberthub/routing/slot_gate.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

constexpr double others_memory_ms = 300;
// One request waits at the server while its slots are busy, so that a slot is
// not idle for the time of a round trip.
constexpr unsigned prefetch = 1;
// Part of the expected work that has to fit before the caller leaves. Work
// times vary, so a request a little short of time may still be served.
constexpr double hopeless_part = 0.8;
// Waiting for a faster server takes about as long as its work.
constexpr double slow_server_factor = 2;
// Requests in a queue that can no longer all be in time, with the two slots
// that most servers have.
constexpr std::size_t overload_queue = 4;
// Work times vary by about half of their mean. Under overload each request is
// served when it is barely in time, so that without a margin half are late.
constexpr double goal_margin = 1.6;
// Requests that can still be in time overtake one that cannot, so that it waits
// longer than those ahead of it now take.
constexpr double overtaken_factor = 2;
// A slot whose instance was lost is used again this long after its request
// must have ended.
constexpr milliseconds report_grace{150};
constexpr milliseconds first_avoidance{250};
constexpr milliseconds longest_avoidance{2'000};
constexpr milliseconds least_return{20};
constexpr milliseconds longest_return{500};
// The rest of the bound is for instances that cannot reach the gate, and for
// requests that were granted earlier and arrive late.
constexpr double used_cold_bound = 0.55;
constexpr milliseconds cold_window{1'100};
// A gate that has just begun does not know what its predecessor granted.
constexpr double new_gate_part = 0.5;

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

milliseconds rounded(double value)
{
    return milliseconds(std::llround(value));
}

// Orders by urgency. Among equals, those that can still be in time come first,
// and of these the one with the earliest goal, or under overload the one with
// the latest: otherwise each would be served when it is barely in time.
bool before(const gate_request_slot& left, const gate_request_slot& right,
    time_point now, double work_ms, bool overload = false)
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    const time_point finish =
        now +
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(work_ms * goal_margin));
    const bool left_in_time = finish <= left.goal;
    const bool right_in_time = finish <= right.goal;
    if (left_in_time != right_in_time)
        return left_in_time;
    return left_in_time && overload ? left.goal > right.goal
                                    : left.goal < right.goal;
}

} // namespace

slot_gate::slot_gate(const server_pool& pool, cold_bound bound)
    : pool_(pool), bound_(bound)
{}

double slot_gate::expected_ms(
    const observed_server& server, time_point now) const
{
    return times_.expected_ms(server.entry.service, server.entry.id, now);
}

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
    const double age = milliseconds_between(state.reported, now);
    const double others = state.others * std::exp(-age / others_memory_ms);
    return state.in_flight + std::floor(others) <
           static_cast<double>(server.entry.slots + extra);
}

bool slot_gate::fits(
    const gate_request_slot& request, const observed_server& server) const
{
    return std::find(request.excluded.begin(), request.excluded.end(),
               server.entry.id) == request.excluded.end();
}

std::optional<backend_server_id> slot_gate::free_server(
    const gate_request_slot& request, time_point now) const
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
            time += static_cast<double>(request.remote_cost.count());
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
    if (best == nullptr || !worth_using(request, best_ms, ideal_ms))
        return std::nullopt;
    return best->entry.id;
}

// A server that is slow at the moment is left alone if a faster one will be
// free soon.
bool slot_gate::worth_using(
    const gate_request_slot&, double expected, double ideal) const
{
    return expected <= ideal * slow_server_factor;
}

gate_decision slot_gate::grant(const gate_request_slot& request,
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
    running_[request.id] = {server, request.give_up + report_grace, queued};
    return {request.id, gate_verdict::granted, server, milliseconds(0)};
}

double slot_gate::work_ms(
    const gate_request_slot& request, time_point now) const
{
    if (request.owner) {
        const observed_server* server = pool_.find(*request.owner);
        return server == nullptr ? 0 : expected_ms(*server, now);
    }
    return times_.mean_ms(request.service);
}

bool slot_gate::hopeless(const gate_request_slot& request, time_point now) const
{
    return milliseconds_between(now, request.give_up) <
           work_ms(request, now) * hopeless_part;
}

double slot_gate::expected_wait_ms(
    const gate_request_slot& request, time_point now) const
{
    double rate = 0;
    double work = times_.mean_ms(request.service);
    const auto add = [&](const observed_server& server) {
        work = expected_ms(server, now);
        rate += server.entry.slots / std::max(work, 1.0);
    };
    if (request.owner) {
        if (const observed_server* server = pool_.find(*request.owner))
            add(*server);
    } else {
        const auto all = pool_.of_service(request.service);
        const std::size_t groups = group_count(all.size());
        for (const observed_server* server : all) {
            if (pool_.usable(*server) &&
                group_of_server(server->entry, false, groups) == request.group)
                add(*server);
        }
    }
    if (rate <= 0)
        return static_cast<double>(longest_return.count());
    std::size_t ahead = 1;
    const auto queue = queues_.find(request.group);
    if (queue != queues_.end()) {
        ahead += static_cast<std::size_t>(std::count_if(queue->second.begin(),
            queue->second.end(), [&](const gate_request_slot& other) {
                // Equals are served in the order of their arrival.
                return !before(request, other, now, work);
            }));
    }
    return static_cast<double>(ahead) / rate;
}

std::vector<gate_decision> slot_gate::ask(
    gate_request_slot request, time_point now)
{
    std::vector<gate_decision> decisions;
    if (running_.contains(request.id))
        return decisions;
    auto& queue = queues_[request.group];
    if (std::any_of(
            queue.begin(), queue.end(), [&](const gate_request_slot& other) {
                return other.id == request.id;
            }))
        return decisions;
    // Waiting requests had no slot either, unless a server joined.
    if (const auto server = free_server(request, now)) {
        decisions.push_back(grant(request, *server, now));
        return decisions;
    }
    const double wait = expected_wait_ms(request, now);
    const bool in_time =
        milliseconds_between(now, request.goal) > wait + work_ms(request, now);
    const double likely_wait = in_time ? wait : wait * overtaken_factor;
    if (milliseconds_between(now, request.give_up) <
        likely_wait + work_ms(request, now) * hopeless_part) {
        decisions.push_back({request.id, gate_verdict::refused, {},
            std::clamp(rounded(wait / 2), least_return, longest_return)});
        return decisions;
    }
    decisions.push_back({request.id, gate_verdict::queued, {}, rounded(wait)});
    queue.push_back(std::move(request));
    return decisions;
}

void slot_gate::dispatch(const std::string& group, time_point now,
    std::vector<gate_decision>& decisions)
{
    const auto found = queues_.find(group);
    if (found == queues_.end())
        return;
    std::vector<gate_request_slot>& queue = found->second;
    while (!queue.empty()) {
        const double work = work_ms(queue.front(), now);
        const bool overload = queue.size() > overload_queue;
        std::stable_sort(queue.begin(), queue.end(),
            [&](const gate_request_slot& left, const gate_request_slot& right) {
                return before(left, right, now, work, overload);
            });
        bool granted = false;
        for (auto at = queue.begin(); at != queue.end(); ++at) {
            if (hopeless(*at, now)) {
                decisions.push_back({at->id, gate_verdict::refused, {},
                    std::clamp(rounded(expected_wait_ms(*at, now) / 2),
                        least_return, longest_return)});
                queue.erase(at);
                granted = true;
                break;
            }
            const auto server = free_server(*at, now);
            if (!server)
                continue;
            decisions.push_back(grant(*at, *server, now));
            queue.erase(at);
            granted = true;
            break;
        }
        if (!granted)
            return;
    }
}

std::vector<gate_decision> slot_gate::done(
    const ticket& id, const gate_result& result, time_point now)
{
    std::vector<gate_decision> decisions;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        for (auto& [group, queue] : queues_) {
            std::erase_if(queue,
                [&](const gate_request_slot& other) { return other.id == id; });
        }
        return decisions;
    }
    const backend_server_id server = found->second.server;
    const bool queued = found->second.queued;
    running_.erase(found);
    server_state& state = servers_[server];
    if (state.in_flight > 0)
        --state.in_flight;
    if (result.report) {
        const double all = result.report->running + result.report->waiting;
        state.others = std::max(all - state.in_flight, 0.0);
        state.reported = now;
    }
    if (result.outcome == send_outcome::answered) {
        times_.on_answer(
            state.service, server, result.taken, queued, result.report, now);
        state.failures = 0;
        state.avoid_until = {};
    } else {
        times_.on_report(server, result.report, now);
    }
    if (result.outcome == send_outcome::lost ||
        result.outcome == send_outcome::unreachable) {
        const unsigned doublings = std::min(state.failures, 4U);
        ++state.failures;
        if (result.outcome == send_outcome::unreachable || state.failures > 2)
            state.avoid_until =
                now +
                std::min(first_avoidance * (1 << doublings), longest_avoidance);
    }
    for (auto& [group, queue] : queues_) {
        if (!queue.empty() && queue.front().service == state.service)
            dispatch(group, now, decisions);
    }
    return decisions;
}

std::vector<gate_decision> slot_gate::sweep(time_point now)
{
    std::vector<gate_decision> decisions;
    for (auto at = running_.begin(); at != running_.end();) {
        if (now < at->second.until) {
            ++at;
            continue;
        }
        server_state& state = servers_[at->second.server];
        if (state.in_flight > 0)
            --state.in_flight;
        at = running_.erase(at);
    }
    for (auto& [group, queue] : queues_)
        dispatch(group, now, decisions);
    std::erase_if(
        queues_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(servers_, [this](const auto& item) {
        const bool gone =
            item.second.in_flight == 0 && pool_.find(item.first) == nullptr;
        if (gone)
            times_.forget(item.first);
        return gone;
    });
    return decisions;
}

std::size_t slot_gate::waiting() const
{
    std::size_t count = 0;
    for (const auto& [group, queue] : queues_)
        count += queue.size();
    return count;
}

} // namespace filberthub
