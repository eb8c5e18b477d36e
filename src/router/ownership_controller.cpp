#include "router/ownership_controller.hpp"

#include <filberthub/telemetry/log.hpp>

#include <platform/grant_api.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

constexpr milliseconds plan_interval{250};
constexpr milliseconds read_retry{400};
constexpr milliseconds grant_timeout{400};
// A release is answered when the running work of its keys has ended.
constexpr milliseconds release_timeout{1'500};
// Commands in a row without an answer after which the keys of a server move.
constexpr unsigned unanswered_command_limit = 3;
// A server far from the mean is taken for this slow or fast at most.
constexpr double least_slowdown = 0.25;
constexpr double most_slowdown = 4;
// Weight of a report in the slowdown of a server.
constexpr double report_weight = 0.2;
// A cold server takes twice as long, and its bound leaves room for this part.
constexpr double cold_capacity = 0.4;
// Terms are in the upper part of the version of a served object.
constexpr unsigned term_shift = 32;

bool answered_by_another(
    const http_response& response, const backend_server_id& expected)
{
    const auto seen =
        response.headers.get(platform_api::header::answering_server);
    return response.status == 421 && seen && *seen != expected.value();
}

} // namespace

ownership_controller::service_ownership::service_ownership(
    const key_granter_options& grants)
    : keys(grants, key_plan_options{})
{}

ownership_controller::ownership_controller(const route_settings& settings,
    deployment_view& view, store_session& store, std::uint64_t term,
    time_point old_lease_end, std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      store_(store),
      term_(term),
      earlier_grants_end_(
          old_lease_end + key_granter_options{}.max_grant_duration()),
      clock_(std::move(clock))
{
    read_tables();
}

ownership_controller::~ownership_controller()
{
    *alive_ = false;
}

void ownership_controller::read_tables()
{
    reading_ = true;
    store_.call(platform_api::list_call(object_kind::key_ownership, ""),
        [this, alive = alive_](store_outcome outcome, const std::string& body) {
            if (!*alive)
                return;
            reading_ = false;
            next_read_ = clock_() + read_retry;
            if (outcome == store_outcome::not_found) {
                tables_read_ = true;
                return;
            }
            if (outcome != store_outcome::done)
                return;
            try {
                const auto page =
                    platform_api::decode_list(object_kind::key_ownership, body);
                for (const versioned_object& item : page.objects) {
                    const auto name = platform_api::object_name(
                        object_kind::key_ownership, item.key);
                    stored_[service_id(*name)] = {
                        key_table::from_text(*item.value),
                        platform_api::store_revision_of(item.version)};
                }
                tables_read_ = true;
            } catch (const error& failure) {
                log_event(log_level::error, "ownership tables are malformed",
                    {{log_key::error, failure.what()}});
            }
        });
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
        if (!rule.keyed || services_.contains(id))
            continue;
        auto& service = services_.try_emplace(id, grants).first->second;
        const auto found = stored_.find(id);
        if (found == stored_.end())
            service.keys.start(std::nullopt, 0, earlier_grants_end_, now);
        else
            service.keys.start(found->second.first, found->second.second,
                earlier_grants_end_, now);
    }
}

void ownership_controller::work(time_point now)
{
    if (!tables_read_) {
        if (!reading_ && now >= next_read_)
            read_tables();
        return;
    }
    start_services(now);
    for (auto& [id, service] : services_) {
        end_stale_incarnations(service);
        if (now >= service.next_plan) {
            service.next_plan = now + plan_interval;
            plan(id, service, now);
        }
        if (!service.keys.active())
            continue;
        send_commands(id, service, now);
        publish(id, service, now);
    }
}

// A server that started again under its old id holds nothing of before.
void ownership_controller::end_stale_incarnations(service_ownership& service)
{
    std::vector<server_incarnation> ended;
    const auto check = [&](const server_incarnation& server) {
        const auto present = view_.incarnation_of(server.id);
        if (present && *present != server.started)
            ended.push_back(server);
    };
    for (const key_range& range : service.keys.table().ranges) {
        check(range.owner);
        for (const previous_owner& old : range.previous)
            check(old.server);
    }
    for (const server_incarnation& server : ended)
        service.keys.grants().on_incarnation_ended(server);
}

std::vector<key_server> ownership_controller::key_servers(
    const service_id& id, service_ownership& service, time_point now) const
{
    const server_pool& pool = view_.servers();
    std::vector<key_server> result;
    for (const observed_server* server : pool.of_service(id)) {
        key_server item;
        item.incarnation = {server->entry.id, server->entry.started};
        if (!pool.usable(*server) ||
            lost_incarnations_.contains(item.incarnation) ||
            service.keys.grants().unanswered(item.incarnation) >=
                unanswered_command_limit)
            continue;
        item.capacity = server->entry.slots;
        // The gate keeps the bound of a cold server; it can do a part of its
        // usual work.
        if (pool.cold(*server, now))
            item.capacity *= cold_capacity;
        const auto slowdown = slowdowns_.find(server->entry.id);
        if (slowdown != slowdowns_.end())
            item.capacity /=
                std::clamp(slowdown->second, least_slowdown, most_slowdown);
        result.push_back(item);
    }
    return result;
}

void ownership_controller::plan(
    const service_id& id, service_ownership& service, time_point now)
{
    if (service.read_back) {
        read_back(id);
        return;
    }
    const auto next = service.keys.plan(key_servers(id, service, now), now);
    if (next)
        write(id, *next);
}

void ownership_controller::write(const service_id& id, const table_write& item)
{
    const std::string& name = id.value();
    http_request request =
        item.base_revision == 0
            ? platform_api::create_call(
                  object_kind::key_ownership, name, item.text)
            : platform_api::replace_call(object_kind::key_ownership, name,
                  item.base_revision, item.text);
    store_.call(
        std::move(request), [this, alive = alive_, id](store_outcome outcome,
                                const std::string& body) {
            if (*alive)
                on_write_reply(id, outcome, body);
        });
}

void ownership_controller::on_write_reply(
    const service_id& id, store_outcome outcome, const std::string& body)
{
    service_ownership& service = services_.at(id);
    if (outcome == store_outcome::refused) {
        service.keys.on_write_failed();
        return;
    }
    if (outcome != store_outcome::done) {
        // The write may have happened: the object tells.
        service.read_back = true;
        return;
    }
    try {
        const auto object = platform_api::decode_object(body);
        service.keys.on_written(object.store_revision, clock_());
        log_event(log_level::info, "ownership table committed",
            {{log_key::service, id.value()},
                {"ranges", service.keys.table().ranges.size()},
                {"store_version", object.store_revision}});
        work(clock_());
    } catch (const error& failure) {
        log_event(log_level::warn, "reply to a table write is malformed",
            {{log_key::error, failure.what()}});
        service.read_back = true;
    }
}

void ownership_controller::read_back(const service_id& id)
{
    service_ownership& service = services_.at(id);
    service.read_back = false;
    store_.call(platform_api::read_call(object_kind::key_ownership, id.value()),
        [this, alive = alive_, id](
            store_outcome outcome, const std::string& body) {
            if (!*alive)
                return;
            service_ownership& item = services_.at(id);
            if (outcome == store_outcome::not_found) {
                item.keys.on_write_failed();
                return;
            }
            if (outcome != store_outcome::done) {
                item.read_back = true;
                return;
            }
            try {
                const auto object = platform_api::decode_object(body);
                const key_table table = key_table::from_text(object.content);
                if (table.text() == item.keys.pending_text()) {
                    item.keys.on_written(object.store_revision, clock_());
                } else {
                    item.keys.on_write_failed();
                }
            } catch (const error& failure) {
                log_event(log_level::warn, "ownership table is malformed",
                    {{log_key::error, failure.what()}});
                item.read_back = true;
            }
        });
}

void ownership_controller::send_commands(
    const service_id& id, service_ownership& service, time_point now)
{
    for (const grant_command& command : service.keys.grants().due(now)) {
        if (view_.incarnation_of(command.server.id)) {
            send_command(id, command);
            continue;
        }
        // The entry is gone, but the server may go on; its address is known
        // while a client exists.
        if (clients_.contains(command.server.id))
            send_command(id, command);
        else
            service.keys.grants().on_reply(
                command.number, grant_reply::unclear, {}, now);
    }
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
        // This may run in a callback of the old client.
        if (client)
            client.release()->deleteLater();
        client = std::make_unique<http_client>(server->entry.address, options);
    }
    return *client;
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
    // An address may belong to another server by now.
    request.headers.set(
        platform_api::header::expected_server, command.server.id.value());
    client.send(std::move(request),
        command.release ? release_timeout : grant_timeout,
        [this, alive = alive_, id, command](http_result result) {
            if (!*alive)
                return;
            grant_reply reply = grant_reply::unclear;
            std::string handover;
            if (!result.response && !result.sent) {
                reply = grant_reply::unsent;
            } else if (result.response && result.response->status == 200) {
                reply = grant_reply::accepted;
                handover = platform_api::decode_handover(*result.response);
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
                        {log_key::error, result.message}});
            }
            service_ownership& service = services_.at(id);
            const time_point now = clock_();
            if (result.response &&
                answered_by_another(*result.response, command.server.id)) {
                // A process has its address alone, so the old one has ended.
                service.keys.grants().on_incarnation_ended(command.server);
                lost_incarnations_.insert(command.server);
            }
            service.keys.grants().on_reply(
                command.number, reply, handover, now);
            if (command.release ||
                !service.keys.grants().is_granted(command.token))
                work(now);
            else
                publish(id, service, now);
        });
}

void ownership_controller::publish(
    const service_id& id, service_ownership& service, time_point now)
{
    const std::string text =
        deployment_view::served_text(service.keys.grants().granted());
    if (text == service.served)
        return;
    service.served = text;
    ++published_;
    view_.update({deployment_view::served_key(id),
                     object_version((term_ << term_shift) + published_), text},
        now);
}

void ownership_controller::on_predecessor_stopped(time_point old_lease_end)
{
    earlier_grants_end_ = std::min(earlier_grants_end_,
        old_lease_end + key_granter_options{}.max_grant_duration());
    for (auto& [id, service] : services_)
        service.keys.shorten_earlier_grants(earlier_grants_end_);
}

void ownership_controller::on_report(const load_counts& counts)
{
    for (const auto& [service, keys] : counts.requests) {
        const auto found = services_.find(service);
        if (found == services_.end())
            continue;
        for (const auto& [key, count] : keys)
            found->second.keys.on_requests(key, count);
    }
    for (const auto& [server, time] : counts.slowdowns) {
        const auto [found, is_new] = slowdowns_.try_emplace(server, time);
        if (!is_new)
            found->second += (time - found->second) * report_weight;
    }
}

} // namespace filberthub
