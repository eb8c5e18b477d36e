#include <filberthub/routing/slot_gate.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Part of the expected work that has to fit before the caller leaves. Work
// times vary, so a request a little short of time may still be served.
constexpr double hopeless_part = 0.8;
// Requests in a queue that can no longer all be in time, with the two slots
// that most servers have.
constexpr std::size_t overload_queue = 4;
// Work times vary by about half of their mean. Under overload each request is
// served when it is barely in time, so that without a margin half are late.
constexpr double goal_margin = 1.6;
// How much longer a request waits that others overtake.
constexpr double overtaken_factor = 2;
constexpr milliseconds first_avoidance{250};
constexpr milliseconds longest_avoidance{2'000};
constexpr milliseconds least_return{20};
constexpr milliseconds longest_return{500};

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

milliseconds rounded(double value)
{
    return milliseconds(std::llround(value));
}

// Orders by urgency. Among equals, those that can still be in time come first,
// and of these the one with the earliest target, or under overload the one with
// the latest: otherwise each would be served when it is barely in time.
bool before(const slot_request& left, const slot_request& right, time_point now,
    double work_ms, bool overload = false)
{
    if (left.urgency != right.urgency)
        return left.urgency < right.urgency;
    const time_point finish =
        now +
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(work_ms * goal_margin));
    const bool left_in_time = finish <= left.target_time;
    const bool right_in_time = finish <= right.target_time;
    if (left_in_time != right_in_time)
        return left_in_time;
    return left_in_time && overload ? left.target_time > right.target_time
                                    : left.target_time < right.target_time;
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

double slot_gate::work_ms(const slot_request& request, time_point now) const
{
    if (request.owner) {
        const observed_server* server = pool_.find(*request.owner);
        return server == nullptr ? 0 : expected_ms(*server, now);
    }
    return times_.mean_ms(request.service);
}

bool slot_gate::hopeless(
    const slot_request& request, double wait_ms, time_point now) const
{
    return milliseconds_between(now, request.answer_deadline) <
           wait_ms + work_ms(request, now) * hopeless_part;
}

// Requests that can still be in time overtake one that cannot, so that the
// latter waits longer than those ahead of it now take.
double slot_gate::overtaken_wait_ms(
    const slot_request& request, double wait_ms, time_point now) const
{
    const bool in_time = milliseconds_between(now, request.target_time) >
                         wait_ms + work_ms(request, now);
    return in_time ? wait_ms : wait_ms * overtaken_factor;
}

double slot_gate::requests_per_ms(
    const slot_request& request, time_point now) const
{
    double rate = 0;
    const auto add = [&](const observed_server& server) {
        rate += server.entry.slots / std::max(expected_ms(server, now), 1.0);
    };
    if (request.owner) {
        if (const observed_server* server = pool_.find(*request.owner))
            add(*server);
        return rate;
    }
    const auto all = pool_.of_service(request.service);
    const std::size_t groups = group_count(all.size());
    for (const observed_server* server : all) {
        if (pool_.usable(*server) &&
            group_of_server(server->entry, false, groups) == request.group)
            add(*server);
    }
    return rate;
}

double slot_gate::expected_wait_ms(
    const slot_request& request, time_point now) const
{
    const double rate = requests_per_ms(request, now);
    if (rate <= 0)
        return static_cast<double>(longest_return.count());
    const double work = work_ms(request, now);
    std::size_t ahead = 1;
    const auto queue = queues_.find(request.group);
    if (queue != queues_.end()) {
        ahead += static_cast<std::size_t>(std::count_if(queue->second.begin(),
            queue->second.end(), [&](const slot_request& other) {
                // Equals are served in the order of their arrival.
                return !before(request, other, now, work);
            }));
    }
    return static_cast<double>(ahead) / rate;
}

std::vector<gate_decision> slot_gate::request_slot(
    slot_request request, time_point now)
{
    std::vector<gate_decision> decisions;
    if (running_.contains(request.id))
        return decisions;
    auto& queue = queues_[request.group];
    if (std::any_of(queue.begin(), queue.end(),
            [&](const slot_request& other) { return other.id == request.id; }))
        return decisions;
    // Waiting requests had no slot either, unless a server joined.
    if (const auto server = free_server(request, now)) {
        decisions.push_back(grant(request, *server, now));
        return decisions;
    }
    const double wait = expected_wait_ms(request, now);
    if (hopeless(request, overtaken_wait_ms(request, wait, now), now)) {
        decisions.push_back({request.id, gate_verdict::refused, {},
            std::clamp(rounded(wait / 2), least_return, longest_return)});
        return decisions;
    }
    decisions.push_back({request.id, gate_verdict::queued, {}, rounded(wait)});
    queue.push_back(std::move(request));
    return decisions;
}

void slot_gate::refuse_hopeless(std::vector<slot_request>& queue,
    time_point now, std::vector<gate_decision>& decisions) const
{
    // Without a server a request waits for one to join.
    const double rate = requests_per_ms(queue.front(), now);
    const bool overload = queue.size() > overload_queue;
    double ahead = 0;
    std::erase_if(queue, [&](const slot_request& request) {
        // The queue is in the order of service.
        const double wait = rate > 0 ? ahead / rate : 0;
        if (!hopeless(request,
                overload ? overtaken_wait_ms(request, wait, now) : wait, now)) {
            ++ahead;
            return false;
        }
        decisions.push_back({request.id, gate_verdict::refused, {},
            std::clamp(rounded(wait / 2), least_return, longest_return)});
        return true;
    });
}

void slot_gate::dispatch(const std::string& group, time_point now,
    std::vector<gate_decision>& decisions)
{
    const auto found = queues_.find(group);
    if (found == queues_.end())
        return;
    std::vector<slot_request>& queue = found->second;
    while (!queue.empty()) {
        const double work = work_ms(queue.front(), now);
        const bool overload = queue.size() > overload_queue;
        std::stable_sort(queue.begin(), queue.end(),
            [&](const slot_request& left, const slot_request& right) {
                return before(left, right, now, work, overload);
            });
        refuse_hopeless(queue, now, decisions);
        bool granted = false;
        for (auto at = queue.begin(); at != queue.end(); ++at) {
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

std::vector<gate_decision> slot_gate::finish(
    const slot_request_id& id, const gate_result& result, time_point now)
{
    std::vector<gate_decision> decisions;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        for (auto& [group, queue] : queues_) {
            std::erase_if(queue,
                [&](const slot_request& other) { return other.id == id; });
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
        state.requests_of_others = std::max(all - state.in_flight, 0.0);
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
