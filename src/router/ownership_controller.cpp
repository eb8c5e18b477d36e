#include "router/ownership_controller.hpp"

#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// A longer interval delays the detection of hot keys. The coordinators of the
// services plan anew less often while there are none.
constexpr milliseconds plan_interval{100};
// Bounds of the slowdown that is assumed for a server whose work takes much
// shorter or longer than the mean.
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 4;
// Weight of a new report in the moving average of a server's slowdown.
constexpr double slowdown_report_weight = 0.2;
// Part of the usual capacity of a cold server: requests take it twice as long,
// and the limit for cold servers leaves room for this part.
constexpr double cold_capacity_factor = 0.4;

} // namespace

ownership_controller::service_ownership::service_ownership(
    const key_granter_options& grants)
    : keys(grants, key_plan_options{})
{}

ownership_controller::ownership_controller(const route_settings& settings,
    deployment_view& view, store_session& store, std::uint64_t term,
    time_point earlier_leases_end, std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      store_(store),
      term_(term),
      earlier_grants_end_(
          earlier_leases_end + key_granter_options{}.max_grant_duration()),
      clock_(std::move(clock))
{
    advance_timer_.setSingleShot(true);
    QObject::connect(&advance_timer_, &QTimer::timeout, [this] {
        guard_callback(
            "work of the coordinator", [this] { advance(clock_()); },
            [this] { on_failure_(); });
    });
    command_timer_.setSingleShot(true);
    QObject::connect(&command_timer_, &QTimer::timeout, [this] {
        guard_callback(
            "work of the coordinator", [this] { send_due_commands(clock_()); },
            [this] { on_failure_(); });
    });
    read_tables();
}

ownership_controller::~ownership_controller()
{
    *alive_ = false;
}

void ownership_controller::start_services(time_point now)
{
    const auto routes = view_.routes();
    if (!routes)
        return;
    key_granter_options grants;
    grants.grant_duration =
        std::min(grants.grant_duration, settings_.bounds.grant_duration_limit);
    for (const auto& [id, rule] : routes->config().services) {
        if (!rule.keyed || services_.contains(id) ||
            unreadable_tables_.contains(id))
            continue;
        auto& service = services_.try_emplace(id, grants).first->second;
        service.committed_at = now;
        service.keys.on_epoch(
            store_.epoch(), unseen_grants_end_, others_unseen_);
        const auto found = stored_tables_.find(id);
        if (found == stored_tables_.end())
            service.keys.start(std::nullopt, store_.absent_revision(),
                earlier_grants_end_, now);
        else
            service.keys.start(found->second.first, found->second.second,
                earlier_grants_end_, now);
    }
}

void ownership_controller::advance(time_point now)
{
    note_turn(now);
    if (now >= lease_end_)
        return;
    const bool needs_read = !tables_read_ || !unreadable_tables_.empty();
    if (needs_read && !table_read_open_ && now >= next_table_read_)
        read_tables();
    if (!tables_read_)
        return;
    start_services(now);
    for (auto& [id, service] : services_) {
        replace_stale_incarnations(service);
        if (now >= service.next_plan) {
            service.next_plan = now + plan_interval;
            plan(id, service, now);
        }
        if (!service.keys.active())
            continue;
        publish(id, service, now);
    }
    send_due_commands(now);
}

// Replaces servers that have restarted under the same id by their present
// incarnations.
void ownership_controller::replace_stale_incarnations(
    service_ownership& service)
{
    std::set<server_incarnation> stale;
    const auto add_if_stale = [&](const server_incarnation& server) {
        const auto present = view_.incarnation_of(server.id);
        if (present && *present != server.started)
            stale.insert(server);
    };
    for (const key_range& range : service.keys.table().ranges) {
        add_if_stale(range.owner);
        for (const previous_owner& previous : range.previous)
            add_if_stale(previous.server);
    }
    for (const server_incarnation& server : stale) {
        service.keys.granter().on_server_restarted(
            server, {server.id, *view_.incarnation_of(server.id)});
    }
}

void ownership_controller::note_silent_servers(
    const service_id& id, service_ownership& service)
{
    const server_pool& pool = view_.servers();
    std::set<server_incarnation> silent;
    for (const observed_server* server : pool.of_service(id)) {
        const server_incarnation candidate{
            server->entry.id, server->entry.started};
        if (pool.usable(*server) && service.keys.granter().silent(candidate))
            silent.insert(candidate);
    }
    const auto log_change = [&](const char* event, const auto& server) {
        log_event(log_level::info, event,
            {{log_key::server, server.id.value()},
                {log_key::service, id.value()},
                {"unanswered", service.keys.granter().unanswered(server)}});
    };
    for (const server_incarnation& server : silent) {
        if (!service.silent_servers.contains(server))
            log_change("server answers no commands; it gets no keys", server);
    }
    for (const server_incarnation& server : service.silent_servers) {
        if (!silent.contains(server))
            log_change("server may get keys again", server);
    }
    service.silent_servers = std::move(silent);
}

std::vector<key_server> ownership_controller::key_servers(
    const service_id& id, service_ownership& service, time_point now)
{
    const server_pool& pool = view_.servers();
    std::vector<key_server> result;
    for (const observed_server* server : pool.of_service(id)) {
        key_server candidate;
        candidate.incarnation = {server->entry.id, server->entry.started};
        if (!pool.usable(*server) ||
            service.keys.granter().silent(candidate.incarnation))
            continue;
        candidate.capacity = server->entry.slots;
        // The gate enforces the limit of a cold server, which can do only a
        // part of its usual work.
        if (pool.cold(*server, now))
            candidate.capacity *= cold_capacity_factor;
        const auto slowdown = slowdowns_.find(server->entry.id);
        if (slowdown != slowdowns_.end())
            candidate.capacity /=
                std::clamp(slowdown->second, min_slowdown, max_slowdown);
        candidate.capacity *= health_.capacity_factor(server->entry.id, now);
        result.push_back(candidate);
    }
    return result;
}

void ownership_controller::plan(
    const service_id& id, service_ownership& service, time_point now)
{
    if (service.needs_read_back) {
        // A write from before a restore must not be found and adopted before
        // the grants of all other coordinators have ended.
        if (now >= unseen_grants_end_)
            read_back(id);
        return;
    }
    note_silent_servers(id, service);
    const std::vector<key_server> servers = key_servers(id, service, now);
    const auto next = service.keys.plan(servers, now);
    report_heavy_keys(id, service, servers, now);
    if (next)
        write(id, *next);
}

std::map<service_id, ownership_controller::progress>
ownership_controller::grant_progress(time_point now) const
{
    std::map<service_id, progress> result;
    for (const auto& [id, service] : services_) {
        progress state;
        state.keys = service.keys.granter().coverage(now);
        state.table_age = std::chrono::duration_cast<milliseconds>(
            now - service.committed_at);
        state.write_open = service.keys.write_open();
        state.heavy_keys = service.heavy_keys.size();
        state.silent_servers = service.silent_servers.size();
        result.emplace(id, state);
    }
    return result;
}

void ownership_controller::on_predecessor_stopped(time_point earlier_leases_end)
{
    earlier_grants_end_ = std::min(earlier_grants_end_,
        earlier_leases_end + key_granter_options{}.max_grant_duration());
    for (auto& [id, service] : services_)
        service.keys.shorten_earlier_grants(earlier_grants_end_);
}

void ownership_controller::on_epoch(time_point unseen_grants_end)
{
    unseen_grants_end_ = unseen_grants_end;
    if (services_.empty()) {
        stored_tables_.clear();
        tables_read_ = false;
    }
    for (auto& [id, service] : services_) {
        service.keys.on_epoch(
            store_.epoch(), unseen_grants_end, others_unseen_);
        service.needs_read_back = true;
    }
}

void ownership_controller::on_report(const load_counts& counts)
{
    for (const auto& [service, keys] : counts.requests) {
        const auto found = services_.find(service);
        if (found == services_.end())
            continue;
        const auto work = counts.work_ms.find(service);
        for (const auto& [key, count] : keys) {
            if (work != counts.work_ms.end() && work->second.contains(key))
                found->second.keys.on_work(key, count, work->second.at(key));
            else
                found->second.keys.on_requests(key, count);
        }
    }
    for (const auto& [server, results] : counts.results)
        health_.add(server, results, clock_());
    for (const auto& [server, slowdown] : counts.slowdowns) {
        const auto [found, is_new] = slowdowns_.try_emplace(server, slowdown);
        if (!is_new)
            found->second +=
                (slowdown - found->second) * slowdown_report_weight;
    }
}

} // namespace filberthub
