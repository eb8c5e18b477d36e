#include <filberthub/routing/server_pool.hpp>

#include <filberthub/routing/server_groups.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Time constant of the return from the last report to the typical load of the
// server. Requests finish within a few service times, and others take their
// place: a decay to zero makes a busy server look idle to all instances.
constexpr double report_decay_ms = 250;
// Weight of the newest report in the typical load.
constexpr double typical_load_smoothing = 0.1;
// Weight of the newest outcome in the smoothed success rate.
constexpr double success_smoothing = 0.15;
// Lower bound of the success rate in estimates.
constexpr double min_success = 0.05;
// Doubles with each consecutive failure.
constexpr milliseconds initial_avoidance{250};
constexpr milliseconds max_avoidance{4'000};
// Fraction of the cold bound for requests that are sent without a gate. The
// gate uses up to 0.55, and the random offsets of the instances may coincide.
constexpr double gateless_cold_bound_fraction = 0.2;
// A server that cannot queue a request may never respond to it, nor to anything
// else on that connection, and the requests that others send are not all known
// here. Servers queue 8 requests and more; this counts as many as the server
// has slots, at least this number.
constexpr unsigned min_queued_without_gate = 4;
// This instance sends at most this multiple of its share of the slots, at least
// `min_sent_without_gate`.
constexpr unsigned share_factor = 3;
constexpr std::size_t min_sent_without_gate = 2;
// How long the owner of keys may receive requests after it began to drain.
// Moving the keys takes a plan, a write and a release, which is far less than
// this. The shortest time that the platform gives a leaving server is 2 s.
constexpr milliseconds keyed_grace_period{1'200};

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double smooth(double old, double sample, double weight)
{
    return old + (sample - old) * weight;
}

} // namespace

server_pool::server_pool(failure_domain_id own_domain, cold_bound bound)
    : own_domain_(std::move(own_domain)), bound_(bound)
{}

void server_pool::put(const server_entry& entry, double cold_rate,
    double uniform_random, time_point now)
{
    observed_server& server = place(entry.id, entry.service);
    // Observations of an earlier incarnation, or of a server of another
    // service, do not apply to this one.
    if (server.entry.started != entry.started ||
        server.entry.service != entry.service) {
        const unsigned in_flight = server.in_flight;
        server = {};
        server.in_flight = in_flight;
        times_.forget(entry.id);
    }
    server.entry = entry;
    server.id_hash = hash_of_server(entry.id);
    server.cold_rate = cold_rate;
    apply_announcement(server);
    if (entry.cold_left.count() > 0)
        make_cold(entry.id, entry.cold_left, uniform_random, now);
    record_usability(server, now);
}

// Returns the server with this id, stored under the service. Adds it if it is
// not known.
observed_server& server_pool::place(
    const backend_server_id& id, const service_id& service)
{
    const auto [found, is_new] = service_of_.try_emplace(id, service);
    if (is_new || found->second == service)
        return services_[service][id];
    auto node = services_.at(found->second).extract(id);
    found->second = service;
    return services_[service].insert(std::move(node)).position->second;
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
        // All instances learn of the cold server at the same time, so their
        // first requests are spread at random.
        server->next_cold_send =
            now +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                uniform_random * cold_interval_seconds(*server)));
    }
    server->cold_until = std::max(server->cold_until, now + time);
}

void server_pool::remove(const backend_server_id& id)
{
    const auto found = service_of_.find(id);
    if (found == service_of_.end())
        return;
    services_.at(found->second).erase(id);
    service_of_.erase(found);
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
    for (auto& [service, servers] : services_) {
        for (auto& [id, server] : servers)
            record_usability(server, now);
    }
}

const observed_server* server_pool::find(const backend_server_id& id) const
{
    const auto found = service_of_.find(id);
    return found == service_of_.end() ? nullptr
                                      : &services_.at(found->second).at(id);
}

observed_server* server_pool::find_mutable(const backend_server_id& id)
{
    const auto found = service_of_.find(id);
    return found == service_of_.end() ? nullptr
                                      : &services_.at(found->second).at(id);
}

std::vector<const observed_server*> server_pool::of_service(
    const service_id& service) const
{
    std::vector<const observed_server*> result;
    const auto found = services_.find(service);
    if (found == services_.end())
        return result;
    result.reserve(found->second.size());
    for (const auto& [id, server] : found->second)
        result.push_back(&server);
    return result;
}

std::size_t server_pool::count_of(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

bool server_pool::usable(const observed_server& server) const
{
    return !server.entry.draining && !server.leaving &&
           !evacuated_.contains(server.entry.domain);
}

bool server_pool::cold(const observed_server& server, time_point now) const
{
    return now < server.cold_until;
}

bool server_pool::may_send(const observed_server& server, time_point now) const
{
    return usable(server) && !resting(server, now) &&
           (!cold(server, now) || now >= server.next_cold_send);
}

bool server_pool::allows_assigned(
    const observed_server& server, bool keyed, time_point now) const
{
    if (resting(server, now))
        return false;
    return usable(server) ||
           (keyed && server.unusable_since &&
               now < *server.unusable_since + keyed_grace_period);
}

bool server_pool::may_send_keyed(
    const observed_server& server, time_point now) const
{
    if (!allows_assigned(server, true, now))
        return false;
    return !cold(server, now) || now >= server.next_cold_send;
}

double server_pool::cold_interval_seconds(const observed_server& server) const
{
    const double bound = server.cold_rate * bound_.factor + bound_.tolerance;
    const auto instances =
        static_cast<double>(std::max<std::size_t>(fleet_size_, 1));
    // Practically never.
    if (bound <= 0)
        return 3600;
    return instances / (bound * gateless_cold_bound_fraction);
}

double server_pool::expected_requests(
    const observed_server& server, time_point now) const
{
    double requests_of_others = 0;
    if (server.has_report) {
        const double age = milliseconds_between(server.reported_at, now);
        const double typical = server.typical_requests_of_others;
        requests_of_others = typical + (server.requests_of_others - typical) *
                                           std::exp(-age / report_decay_ms);
    }
    return requests_of_others + server.in_flight;
}

bool server_pool::accepts_without_gate(
    const observed_server& server, time_point now) const
{
    const unsigned slots = server.entry.slots;
    const std::size_t share = std::max(
        min_sent_without_gate, static_cast<std::size_t>(slots) * share_factor /
                                   std::max<std::size_t>(fleet_size_, 1));
    return server.in_flight < share &&
           expected_requests(server, now) <
               slots + std::max(slots, min_queued_without_gate);
}

double server_pool::capacity(const observed_server& server) const
{
    return server.entry.slots /
           times_.typical_slowdown(server.entry.id).value_or(1);
}

double server_pool::expected_ms(
    const observed_server& server, time_point now) const
{
    const double time =
        times_.expected_ms(server.entry.service, server.entry.id, now);
    const double queue =
        std::max(expected_requests(server, now) + 1 - server.entry.slots, 0.0);
    const double expected = time * (1 + queue / server.entry.slots);
    return expected / std::max(server.success, min_success);
}

std::optional<backend_server_id> server_pool::choose(const service_id& service,
    const placement_request& request, time_point now) const
{
    std::vector<const observed_server*> candidates;
    std::vector<const observed_server*> avoided;
    for (const observed_server* server : of_service(service)) {
        if (!may_send(*server, now) || !accepts_without_gate(*server, now) ||
            std::find(request.excluded.begin(), request.excluded.end(),
                server->entry.id) != request.excluded.end())
            continue;
        (now < server->avoid_until ? avoided : candidates).push_back(server);
    }
    if (candidates.empty())
        candidates = std::move(avoided);
    if (candidates.empty())
        return std::nullopt;
    return choose_of_two(candidates, request, now).entry.id;
}

// Many instances choose at the same moment by reports that are some hundred
// milliseconds old. Two servers at random, in proportion to capacity, bound how
// many of them can choose the same one; comparing the two needs only roughly
// right reports.
const observed_server& server_pool::choose_of_two(
    const std::vector<const observed_server*>& candidates,
    const placement_request& request, time_point now) const
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    double total = 0;
    for (const observed_server* server : candidates)
        weights.push_back(total += capacity(*server));
    const auto sample = [&] {
        const auto found = std::upper_bound(
            weights.begin(), weights.end(), request.uniform_random() * total);
        const auto index = static_cast<std::size_t>(found - weights.begin());
        return candidates[std::min(index, candidates.size() - 1)];
    };
    // Sampling by capacity accounts for the typical speed, so that the load of
    // the slots and the present interference remain to be compared.
    const double mean =
        std::max(times_.mean_ms(candidates.front()->entry.service), 1.0);
    const auto cost = [&](const observed_server& server) {
        const double slowdown =
            times_.expected_ms(server.entry.service, server.entry.id, now) /
            (mean * times_.typical_slowdown(server.entry.id).value_or(1));
        const double load = (expected_requests(server, now) + 1) /
                            server.entry.slots * slowdown /
                            std::max(server.success, min_success);
        return server.entry.domain == own_domain_
                   ? load
                   : load + static_cast<double>(
                                request.cross_domain_cost.count()) /
                                mean;
    };
    const observed_server* first = sample();
    const observed_server* second = sample();
    return cost(*second) < cost(*first) ? *second : *first;
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
        const double total = report->running + report->waiting;
        server->requests_of_others = std::max(total - server->in_flight, 0.0);
        server->typical_requests_of_others =
            server->has_report
                ? smooth(server->typical_requests_of_others,
                      server->requests_of_others, typical_load_smoothing)
                : server->requests_of_others;
        server->reported_at = now;
        server->has_report = true;
    }
    if (result == send_outcome::answered) {
        const bool queued = report && report->waiting > 0;
        times_.on_answer(server->entry.service, id, taken, queued, report, now);
        server->success = smooth(server->success, 1, success_smoothing);
        server->consecutive_failures = 0;
        server->avoid_until = {};
        return;
    }
    times_.on_report(id, report, now);
    if (result == send_outcome::refused || result == send_outcome::cancelled)
        return;
    server->success = smooth(server->success, 0, success_smoothing);
    if (result == send_outcome::failed)
        return;
    const unsigned doublings = std::min(server->consecutive_failures, 5U);
    ++server->consecutive_failures;
    // A single lost answer does not cause a server to be avoided.
    if (result == send_outcome::lost && server->consecutive_failures < 2)
        return;
    server->avoid_until =
        now + std::min(initial_avoidance * (1 << doublings), max_avoidance);
}

} // namespace filberthub
