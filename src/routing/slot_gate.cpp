#include <filberthub/routing/slot_gate.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Fraction of the expected work that must fit before the answer deadline. Below
// 1, because work times vary and a request that is slightly late on average may
// still be answered in time.
constexpr double required_work_fraction = 0.8;
// Queued requests for each slot above which not all requests can meet their
// target time. A bound that ignores the slots made the last requests of a large
// group wait until their deadline.
constexpr std::size_t overload_requests_per_slot = 2;
// Factor on the expected work in the test for the target time. Work times vary
// by about half of their mean, and under overload each request is served when
// it can barely meet its target, so that half would be late without a margin.
constexpr double target_time_margin = 1.6;
// Factor on the expected wait of a request that others overtake.
constexpr double overtaken_wait_factor = 2;
// Weight of the newest report in the number of requests in transit.
constexpr double in_transit_smoothing = 0.2;
constexpr milliseconds initial_avoidance{250};
constexpr milliseconds max_avoidance{2'000};
// Bounds on the wait that a refusal suggests.
constexpr milliseconds min_retry_after{20};
constexpr milliseconds max_retry_after{500};
// A request waits this long for a server to join a group that has none.
constexpr milliseconds max_wait_for_server{500};

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

milliseconds round_to_milliseconds(double value)
{
    return milliseconds(std::llround(value));
}

// Order of service: by urgency, then requests that can still meet their target
// time, then callers that were rejected before, then the earliest target time.
// Under overload, the latest target time of those that can be met comes first,
// since otherwise each request would be served when it is barely in time.
bool is_served_before(const slot_request& left, const slot_request& right,
    time_point now, double work_ms, bool overload = false)
{
    if (left.urgency != right.urgency)
        return left.urgency < right.urgency;
    const time_point expected_finish =
        now + std::chrono::duration_cast<duration>(
                  std::chrono::duration<double, std::milli>(
                      work_ms * target_time_margin));
    const bool left_in_time = expected_finish <= left.target_time;
    const bool right_in_time = expected_finish <= right.target_time;
    if (left_in_time != right_in_time)
        return left_in_time;
    const bool left_is_retry = left.age.count() > 0;
    const bool right_is_retry = right.age.count() > 0;
    if (left_is_retry != right_is_retry)
        return left_is_retry;
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

bool slot_gate::cannot_finish_in_time(
    const slot_request& request, double wait_ms, time_point now) const
{
    return milliseconds_between(now, request.answer_deadline) <
           wait_ms + work_ms(request, now) * required_work_fraction;
}

// A request that cannot meet its target time is overtaken by requests that can,
// so that it waits longer than for the requests ahead of it now.
double slot_gate::wait_with_overtaking_ms(
    const slot_request& request, double wait_ms, time_point now) const
{
    const bool in_time = milliseconds_between(now, request.target_time) >
                         wait_ms + work_ms(request, now);
    return in_time ? wait_ms : wait_ms * overtaken_wait_factor;
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
    for (const observed_server* server : servers_of_group(request))
        add(*server);
    return rate;
}

double slot_gate::expected_wait_ms(
    const slot_request& request, time_point now) const
{
    const double rate = requests_per_ms(request, now);
    if (rate <= 0)
        return static_cast<double>(max_retry_after.count());
    const double work = work_ms(request, now);
    std::size_t ahead = 1;
    const auto queue = queues_.find(request.group);
    if (queue != queues_.end()) {
        ahead += static_cast<std::size_t>(std::count_if(queue->second.begin(),
            queue->second.end(), [&](const slot_request& other) {
                // Requests of the same urgency are served in the order of
                // arrival.
                return other.id != request.id &&
                       !is_served_before(request, other, now, work);
            }));
    }
    return static_cast<double>(ahead) / rate;
}

std::vector<gate_decision> slot_gate::request_slot(
    slot_request request, time_point now)
{
    std::vector<gate_decision> decisions;
    const auto running = running_.find(request.id);
    if (running != running_.end()) {
        // The decision was lost, or is on its way.
        decisions.push_back({request.id, slot_decision::granted,
            running->second.server, milliseconds(0)});
        return decisions;
    }
    auto& queue = queues_[request.group];
    if (std::any_of(queue.begin(), queue.end(), [&](const slot_request& other) {
            return other.id == request.id;
        })) {
        decisions.push_back({request.id, slot_decision::queued, {},
            round_to_milliseconds(expected_wait_ms(request, now))});
        return decisions;
    }
    // Queued requests found no free slot either, unless a server has joined
    // since.
    const server_list servers = servers_of_group(request);
    if (const auto server = free_server(request, servers, now)) {
        decisions.push_back(grant(request, *server, now));
        return decisions;
    }
    if (excludes_all(request, servers)) {
        decisions.push_back(
            {request.id, slot_decision::refused, {}, max_retry_after});
        return decisions;
    }
    request.queued_at = now;
    const double wait = expected_wait_ms(request, now);
    if (cannot_finish_in_time(
            request, wait_with_overtaking_ms(request, wait, now), now)) {
        decisions.push_back({request.id, slot_decision::refused, {},
            std::clamp(round_to_milliseconds(wait / 2), min_retry_after,
                max_retry_after)});
        return decisions;
    }
    decisions.push_back(
        {request.id, slot_decision::queued, {}, round_to_milliseconds(wait)});
    queue.push_back(std::move(request));
    return decisions;
}

bool slot_gate::is_overloaded(
    const std::vector<slot_request>& queue, const server_list& servers)
{
    std::size_t slots = 0;
    for (const observed_server* server : servers)
        slots += server->entry.slots;
    return queue.size() >
           overload_requests_per_slot * std::max<std::size_t>(slots, 1);
}

void slot_gate::refuse_late_requests(std::vector<slot_request>& queue,
    bool overload, time_point now, std::vector<gate_decision>& decisions) const
{
    // If there is no server, requests wait for one to join.
    const double rate = requests_per_ms(queue.front(), now);
    double ahead = 0;
    std::erase_if(queue, [&](const slot_request& request) {
        // The queue is sorted in the order of service.
        const double wait = rate > 0 ? ahead / rate : 0;
        const bool server_missing =
            rate <= 0 && now >= request.queued_at + max_wait_for_server;
        if (!server_missing &&
            !cannot_finish_in_time(request,
                overload ? wait_with_overtaking_ms(request, wait, now) : wait,
                now)) {
            ++ahead;
            return false;
        }
        decisions.push_back({request.id, slot_decision::refused, {},
            std::clamp(round_to_milliseconds(wait / 2), min_retry_after,
                max_retry_after)});
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
    if (queue.empty())
        return;
    const server_list servers = servers_of_group(queue.front());
    while (!queue.empty()) {
        const double work = work_ms(queue.front(), now);
        const bool overload = is_overloaded(queue, servers);
        std::stable_sort(queue.begin(), queue.end(),
            [&](const slot_request& left, const slot_request& right) {
                return is_served_before(left, right, now, work, overload);
            });
        refuse_late_requests(queue, overload, now, decisions);
        // Under overload the queue is long and mostly no slot is free.
        if (!has_free_slot(servers, now))
            return;
        bool granted = false;
        for (auto it = queue.begin(); it != queue.end(); ++it) {
            const auto server = free_server(*it, servers, now);
            if (!server)
                continue;
            decisions.push_back(grant(*it, *server, now));
            queue.erase(it);
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
    const bool queued_at_server = found->second.queued_at_server;
    running_.erase(found);
    server_state& state = servers_[server];
    if (state.in_flight > 0)
        --state.in_flight;
    if (result.report) {
        const double total = result.report->running + result.report->waiting;
        state.requests_of_others = std::max(total - state.in_flight, 0.0);
        state.reported_at = now;
        state.in_transit +=
            (std::max(state.in_flight - total, 0.0) - state.in_transit) *
            in_transit_smoothing;
    }
    if (result.outcome == send_outcome::answered) {
        times_.on_answer(state.service, server, result.taken, queued_at_server,
            result.report, now);
        state.consecutive_failures = 0;
        state.avoid_until = {};
    } else {
        times_.on_report(server, result.report, now);
    }
    if (result.outcome == send_outcome::lost ||
        result.outcome == send_outcome::unreachable) {
        const unsigned doublings = std::min(state.consecutive_failures, 4U);
        ++state.consecutive_failures;
        if (result.outcome == send_outcome::unreachable ||
            state.consecutive_failures > 2)
            state.avoid_until =
                now +
                std::min(initial_avoidance * (1 << doublings), max_avoidance);
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
    for (auto it = running_.begin(); it != running_.end();) {
        if (now < it->second.expires) {
            ++it;
            continue;
        }
        server_state& state = servers_[it->second.server];
        if (state.in_flight > 0)
            --state.in_flight;
        it = running_.erase(it);
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
