#include <filberthub/routing/server_pool.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Requests of others in a report are gone after a few service times.
constexpr double report_memory_ms = 250;
constexpr double success_weight = 0.15;
// Doubles with each failure in a row.
constexpr milliseconds first_avoidance{250};
constexpr milliseconds longest_avoidance{4'000};
// Part of the bound for requests that go to a cold server without its gate. The
// gate uses up to 0.55, and turns that are drawn at random bunch up.
constexpr double used_cold_bound = 0.2;
// A move of keys takes a plan, a write and a release, far less than this; the
// platform's tightest bound for leaving servers is 2 s.
constexpr milliseconds keyed_leave_time{1'200};

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double smooth(double old, double seen, double weight)
{
    return old + (seen - old) * weight;
}

} // namespace

server_pool::server_pool(failure_domain_id own_domain, cold_bound bound)
    : own_domain_(std::move(own_domain)), bound_(bound)
{}

void server_pool::put(const server_entry& entry, double cold_rate,
    double uniform_random, time_point now)
{
    auto [found, is_new] = servers_.try_emplace(entry.id);
    observed_server& server = found->second;
    if (!is_new && server.entry.started != entry.started) {
        // Another incarnation: nothing that was observed of the old one holds.
        const unsigned in_flight = server.in_flight;
        server = {};
        server.in_flight = in_flight;
        times_.forget(entry.id);
    }
    if (!is_new && server.entry.service != entry.service)
        by_service_[server.entry.service].erase(entry.id);
    server.entry = entry;
    server.rate_tolerated_cold = cold_rate;
    by_service_[entry.service].insert(entry.id);
    if (entry.cold_left.count() > 0)
        make_cold(entry.id, entry.cold_left, uniform_random, now);
    record_usability(server, now);
}

void server_pool::record_usability(
    observed_server& server, time_point now) const
{
    if (usable(server))
        server.unusable_since.reset();
    else if (!server.unusable_since)
        server.unusable_since = now;
}

void server_pool::make_cold(const backend_server_id& id, milliseconds time,
    double uniform_random, time_point now)
{
    observed_server* server = find_mutable(id);
    if (server == nullptr)
        return;
    if (!cold(*server, now)) {
        // Instances learn this at the same moment and must not start together.
        server->next_cold_send =
            now +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                uniform_random * cold_interval_seconds(*server)));
    }
    server->cold_until = std::max(server->cold_until, now + time);
}

void server_pool::remove(const backend_server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    by_service_[found->second.entry.service].erase(id);
    servers_.erase(found);
    times_.forget(id);
}

void server_pool::set_unusable_since(
    const backend_server_id& id, time_point since)
{
    observed_server* server = find_mutable(id);
    if (server != nullptr && server->unusable_since)
        server->unusable_since = std::min(*server->unusable_since, since);
}

void server_pool::set_evacuated(
    const failure_domain_id& domain, bool evacuated, time_point now)
{
    if (evacuated)
        evacuated_.insert(domain);
    else
        evacuated_.erase(domain);
    for (auto& [id, server] : servers_)
        record_usability(server, now);
}

const observed_server* server_pool::find(const backend_server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

observed_server* server_pool::find_mutable(const backend_server_id& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const observed_server*> server_pool::of_service(
    const service_id& service) const
{
    std::vector<const observed_server*> result;
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return result;
    result.reserve(found->second.size());
    for (const backend_server_id& id : found->second)
        result.push_back(&servers_.at(id));
    return result;
}

bool server_pool::usable(const observed_server& server) const
{
    return !server.entry.draining && !evacuated_.contains(server.entry.domain);
}

bool server_pool::cold(const observed_server& server, time_point now) const
{
    return now < server.cold_until;
}

bool server_pool::may_send(const observed_server& server, time_point now) const
{
    return usable(server) &&
           (!cold(server, now) || now >= server.next_cold_send);
}

bool server_pool::may_send_keyed(
    const observed_server& server, time_point now) const
{
    if (server.unusable_since &&
        now >= *server.unusable_since + keyed_leave_time)
        return false;
    return !cold(server, now) || now >= server.next_cold_send;
}

double server_pool::cold_interval_seconds(const observed_server& server) const
{
    const double bound =
        server.rate_tolerated_cold * bound_.factor + bound_.tolerance;
    const auto instances =
        static_cast<double>(std::max<std::size_t>(fleet_size_, 1));
    if (bound <= 0)
        return 3600;
    return instances / (bound * used_cold_bound);
}

double server_pool::expected_requests(
    const observed_server& server, time_point now) const
{
    double requests_of_others = 0;
    if (server.has_report) {
        const double age = milliseconds_between(server.reported, now);
        requests_of_others =
            server.requests_of_others * std::exp(-age / report_memory_ms);
    }
    return requests_of_others + server.in_flight;
}

double server_pool::expected_ms(
    const observed_server& server, time_point now) const
{
    const double time =
        times_.expected_ms(server.entry.service, server.entry.id, now);
    const double queue =
        std::max(expected_requests(server, now) + 1 - server.entry.slots, 0.0);
    const double expected = time * (1 + queue / server.entry.slots);
    return expected / std::max(server.success, 0.05);
}

std::optional<backend_server_id> server_pool::choose(const service_id& service,
    const placement_request& request, time_point now) const
{
    std::vector<const observed_server*> fit;
    std::vector<const observed_server*> avoided;
    for (const observed_server* server : of_service(service)) {
        if (!may_send(*server, now) ||
            std::find(request.excluded.begin(), request.excluded.end(),
                server->entry.id) != request.excluded.end())
            continue;
        (now < server->avoid_until ? avoided : fit).push_back(server);
    }
    if (fit.empty())
        fit = std::move(avoided);
    if (fit.empty())
        return std::nullopt;
    // Reports age between requests. Looking at a part of the servers keeps
    // instances with the same reports from choosing the same server.
    const std::size_t looks = std::max<std::size_t>(2, (fit.size() + 1) / 2);
    const observed_server* best = nullptr;
    double best_ms = 0;
    for (std::size_t look = 0; look < looks && look < fit.size(); ++look) {
        const auto left = static_cast<double>(fit.size() - look);
        const auto index =
            look + static_cast<std::size_t>(request.uniform_random() * left);
        std::swap(fit[look], fit[std::min(index, fit.size() - 1)]);
        const observed_server* server = fit[look];
        double time = expected_ms(*server, now);
        if (server->entry.domain != own_domain_)
            time += static_cast<double>(request.cross_domain_cost.count());
        if (best == nullptr || time < best_ms) {
            best = server;
            best_ms = time;
        }
    }
    return best->entry.id;
}

void server_pool::on_sent(const backend_server_id& id, time_point now)
{
    observed_server* server = find_mutable(id);
    if (server == nullptr)
        return;
    ++server->in_flight;
    if (cold(*server, now)) {
        server->next_cold_send = now + std::chrono::duration_cast<duration>(
                                           std::chrono::duration<double>(
                                               cold_interval_seconds(*server)));
    }
}

void server_pool::on_finished(const backend_server_id& id, send_outcome result,
    milliseconds taken, const std::optional<server_load_report>& report,
    time_point now)
{
    observed_server* server = find_mutable(id);
    if (server == nullptr)
        return;
    if (server->in_flight > 0)
        --server->in_flight;
    if (report) {
        const double all = report->running + report->waiting;
        server->requests_of_others = std::max(all - server->in_flight, 0.0);
        server->reported = now;
        server->has_report = true;
    }
    if (result == send_outcome::answered) {
        const bool queued = report && report->waiting > 0;
        times_.on_answer(server->entry.service, id, taken, queued, report, now);
        server->success = smooth(server->success, 1, success_weight);
        server->failures_in_row = 0;
        server->avoid_until = {};
        return;
    }
    times_.on_report(id, report, now);
    if (result == send_outcome::refused || result == send_outcome::cancelled)
        return;
    server->success = smooth(server->success, 0, success_weight);
    if (result == send_outcome::failed)
        return;
    const unsigned doublings = std::min(server->failures_in_row, 5U);
    ++server->failures_in_row;
    // One broken answer among good ones is no reason to leave a server out.
    if (result == send_outcome::lost && server->failures_in_row < 2)
        return;
    server->avoid_until =
        now + std::min(first_avoidance * (1 << doublings), longest_avoidance);
}

} // namespace filberthub
