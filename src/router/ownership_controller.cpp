#include "router/ownership_controller.hpp"

#include "router/fleet_timing.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <platform/grant_api.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// A longer interval delays the detection of hot keys. The coordinators of the
// services plan anew less often while there are none.
constexpr milliseconds plan_interval{100};
constexpr milliseconds grant_timeout{400};
// A server answers a release after the running requests for the keys have
// ended.
constexpr milliseconds release_timeout{1'500};
// After this number of consecutive commands without an answer, the keys of a
// server move to other servers.
constexpr unsigned unanswered_command_limit = 3;
// Bounds of the slowdown that is assumed for a server whose work takes much
// shorter or longer than the mean.
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 4;
// Weight of a new report in the moving average of a server's slowdown.
constexpr double slowdown_report_weight = 0.2;
// Part of the usual capacity of a cold server: requests take it twice as long,
// and the limit for cold servers leaves room for this part.
constexpr double cold_capacity_factor = 0.4;
// Each command costs a connection or a write. The commands for all ranges after
// a takeover would keep the coordinator from answering other instances.
constexpr std::size_t max_commands_per_turn = 32;

// A pause of this length between the ticks of the coordinator means that its
// event loop was delayed: time-outs are over before answers are read.
constexpr milliseconds max_tick_pause{250};

// Returns the id of the server that has answered, if it tells.
std::string_view answering_server(const http_response& response)
{
    return response.headers.get(platform_api::header::answering_server)
        .value_or("");
}

bool answered_by_another(
    const http_response& response, const backend_server_id& expected)
{
    const std::string_view answering = answering_server(response);
    return response.status == 421 && !answering.empty() &&
           answering != expected.value();
}

// Returns the handover in the answer to a command. A malformed one is left out:
// the next holder of the keys is then slow for a while.
key_handover read_handover(
    const http_response& response, const backend_server_id& server)
{
    try {
        return platform_api::decode_handover(response);
    } catch (const error& failure) {
        count_rejected(rejected_input::handover);
        log_event(log_level::warn, "handover of a server is malformed",
            {{log_key::server, server.value()},
                {log_key::error, failure.what()}});
        return {};
    }
}

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
    QObject::connect(
        &advance_timer_, &QTimer::timeout, [this] { advance(clock_()); });
    command_timer_.setSingleShot(true);
    QObject::connect(&command_timer_, &QTimer::timeout,
        [this] { send_due_commands(clock_()); });
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

// Records whether the event loop was delayed. To be called before the events of
// a turn are handled.
void ownership_controller::note_turn(time_point now)
{
    if (last_turn_ && now > *last_turn_ + max_tick_pause)
        late_until_ = now + grant_timeout;
    last_turn_ = now;
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

std::vector<key_server> ownership_controller::key_servers(
    const service_id& id, service_ownership& service, time_point now)
{
    const server_pool& pool = view_.servers();
    std::vector<key_server> result;
    for (const observed_server* server : pool.of_service(id)) {
        key_server candidate;
        candidate.incarnation = {server->entry.id, server->entry.started};
        if (!pool.usable(*server) ||
            lost_incarnations_.contains(candidate.incarnation) ||
            service.keys.granter().unanswered(candidate.incarnation) >=
                unanswered_command_limit)
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
    const std::vector<key_server> servers = key_servers(id, service, now);
    const auto next = service.keys.plan(servers, now);
    report_heavy_keys(id, service, servers, now);
    if (next)
        write(id, *next);
}

void ownership_controller::send_due_commands(time_point now)
{
    if (now >= lease_end_)
        return;
    bool more = false;
    for (auto& [id, service] : services_) {
        if (service.keys.active())
            more |= send_commands(id, service, now) >= max_commands_per_turn;
    }
    if (more)
        command_timer_.start(0);
}

std::size_t ownership_controller::send_commands(
    const service_id& id, service_ownership& service, time_point now)
{
    const auto commands =
        service.keys.granter().due(now, max_commands_per_turn);
    for (const grant_command& command : commands) {
        if (view_.incarnation_of(command.server.id)) {
            send_command(id, command);
            continue;
        }
        // The server is no longer registered but may still run. Its address is
        // known while it has a client.
        if (clients_.contains(command.server.id))
            send_command(id, command);
        else
            service.keys.granter().on_reply(
                command.number, grant_reply::unclear, {}, now);
    }
    return commands.size();
}

http_client& ownership_controller::client_of(const backend_server_id& id)
{
    const observed_server* server = view_.servers().find(id);
    std::unique_ptr<http_client>& client = clients_[id];
    if (server != nullptr &&
        (!client || client->address() != server->entry.address)) {
        http_client_options options;
        options.max_connections = 2;
        options.connect_timeout = milliseconds(250);
        options.idle_limit = milliseconds(5'000);
        // A grant that arrives after its keys have moved gives them a second
        // owner.
        options.delivery_limit = grant_timeout;
        // The function may run in a callback of the old client, which must not
        // be destroyed there.
        if (client)
            client.release()->deleteLater();
        client = std::make_unique<http_client>(server->entry.address, options);
        client->on_reset([this, alive = alive_, id] {
            if (*alive)
                on_connection_lost(id);
        });
    }
    return *client;
}

void ownership_controller::on_connection_lost(const backend_server_id& id)
{
    for (auto& [service, ownership] : services_) {
        if (ownership.keys.granter().on_connection_lost(id)) {
            log_event(log_level::info,
                "server closed a connection; its keys get new tokens",
                {{log_key::server, id.value()},
                    {log_key::service, service.value()}});
        }
    }
}

void ownership_controller::send_command(
    const service_id& id, const grant_command& command)
{
    const platform_api::grant_call_content content{
        command.first, command.last, command.token};
    http_request request = command.release
                               ? platform_api::release_call(content)
                               : platform_api::grant_call(content,
                                     command.grant_duration, command.handover);
    http_client& client = client_of(command.server.id);
    // The address may belong to another server in the meantime.
    request.headers.set(
        platform_api::header::expected_server, command.server.id.value());
    client.send(
        std::move(request), command.release ? release_timeout : grant_timeout,
        [this, alive = alive_, id, command](http_result result) {
            if (!*alive)
                return;
            const time_point now = clock_();
            note_turn(now);
            grant_reply reply =
                now < late_until_ ? grant_reply::delayed : grant_reply::unclear;
            key_handover handover;
            if (!result.response && !result.sent) {
                reply = grant_reply::unsent;
            } else if (result.response && result.response->status == 200) {
                reply = grant_reply::accepted;
                handover = read_handover(*result.response, command.server.id);
            } else if (result.response && result.response->status == 409) {
                reply = grant_reply::outdated;
            }
            if (reply != grant_reply::accepted || command.release) {
                log_event(log_level::info,
                    command.release ? "keys released" : "grant not accepted",
                    {{log_key::server, command.server.id.value()},
                        {"first", command.first}, {"last", command.last},
                        {log_key::token, command.token.value()},
                        {log_key::status,
                            result.response ? result.response->status : 0},
                        {"answered_by",
                            result.response
                                ? shorten(answering_server(*result.response))
                                : std::string()},
                        {log_key::error, shorten(result.message)}});
            }
            service_ownership& service = services_.at(id);
            if (result.response &&
                answered_by_another(*result.response, command.server.id)) {
                // Two processes cannot share an address, so the expected server
                // has ended.
                service.keys.granter().on_incarnation_ended(command.server);
                lost_incarnations_.insert(command.server);
            }
            service.keys.granter().on_reply(
                command.number, reply, handover, now);
            // Nothing follows from a renewal.
            const bool needs_work =
                command.release ||
                !service.keys.granter().is_granted(command.token) ||
                service.published_version !=
                    service.keys.granter().granted_version();
            if (needs_work && !advance_timer_.isActive()) {
                advance_timer_.start(fleet_timing::answer_delay(
                    service.keys.table().ranges.size()));
            }
        },
        // A late second answer to a grant would pass for the answer to the
        // release, and its keys would have two owners.
        command.release ? connection_choice::unused : connection_choice::any);
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
