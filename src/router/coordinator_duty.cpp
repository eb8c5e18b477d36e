#include "router/coordinator_duty.hpp"

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
// Orders in a row without an answer after which the keys of a server move.
constexpr unsigned lost_after_orders = 3;
// A server far from the mean is taken for this slow or fast at most.
constexpr double least_pace = 0.25;
constexpr double most_pace = 4;
// Weight of a report in the pace of a server.
constexpr double report_weight = 0.2;
// A cold server takes twice as long, and its bound leaves room for this part.
constexpr double cold_capacity = 0.4;
// Terms are in the upper part of the version of a served fact.
constexpr unsigned term_shift = 32;

bool answered_by_another(
    const http_response& response, const backend_server_id& expected)
{
    const auto seen =
        response.headers.get(platform_api::header::answering_server);
    return response.status == 421 && seen && *seen != expected.value();
}

} // namespace

coordinator_duty::service_duty::service_duty(const key_granter_options& grants)
    : keys(grants, key_plan_options{})
{}

coordinator_duty::coordinator_duty(const route_settings& own, beliefs& known,
    store_session& store, std::uint64_t term, time_point old_lease_end,
    std::function<time_point()> clock)
    : own_(own),
      known_(known),
      store_(store),
      term_(term),
      old_holds_end_(old_lease_end + key_granter_options{}.longest_hold()),
      clock_(std::move(clock))
{
    read_tables();
}

coordinator_duty::~coordinator_duty()
{
    *alive_ = false;
}

void coordinator_duty::read_tables()
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
                for (const fact& item : page.facts) {
                    const auto name = platform_api::name_in(
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

void coordinator_duty::begin_services(time_point now)
{
    const auto routes = known_.routes();
    if (!routes)
        return;
    key_granter_options grants;
    grants.hold = std::min(grants.hold, own_.bounds.longest_grant);
    for (const auto& [id, rule] : routes->config().services) {
        if (!rule.keyed || duties_.contains(id))
            continue;
        auto& duty = duties_.try_emplace(id, grants).first->second;
        const auto found = stored_.find(id);
        if (found == stored_.end())
            duty.keys.begin(std::nullopt, 0, old_holds_end_, now);
        else
            duty.keys.begin(
                found->second.first, found->second.second, old_holds_end_, now);
    }
}

void coordinator_duty::work(time_point now)
{
    if (!tables_read_) {
        if (!reading_ && now >= next_read_)
            read_tables();
        return;
    }
    begin_services(now);
    for (auto& [id, duty] : duties_) {
        end_dead_lives(duty);
        if (now >= duty.next_plan) {
            duty.next_plan = now + plan_interval;
            plan(id, duty, now);
        }
        if (!duty.keys.active())
            continue;
        send_orders(id, duty, now);
        publish(id, duty, now);
    }
}

// A server that started again under its old id holds nothing of before.
void coordinator_duty::end_dead_lives(service_duty& duty)
{
    std::vector<server_life> ended;
    const auto check = [&](const server_life& life) {
        const auto present = known_.life_of(life.id);
        if (present && *present != life.started)
            ended.push_back(life);
    };
    for (const key_range& range : duty.keys.table().ranges) {
        check(range.owner);
        for (const previous_owner& old : range.previous)
            check(old.server);
    }
    for (const server_life& life : ended)
        duty.keys.grants().on_life_ended(life);
}

std::vector<key_server> coordinator_duty::key_servers(
    const service_id& id, service_duty& duty, time_point now) const
{
    const server_pool& pool = known_.servers();
    std::vector<key_server> result;
    for (const observed_server* server : pool.of_service(id)) {
        key_server item;
        item.life = {server->entry.id, server->entry.started};
        if (!pool.usable(*server) || lost_lives_.contains(item.life) ||
            duty.keys.grants().unanswered(item.life) >= lost_after_orders)
            continue;
        item.capacity = server->entry.slots;
        // The gate keeps the bound of a cold server; it can do a part of its
        // usual work.
        if (pool.cold(*server, now))
            item.capacity *= cold_capacity;
        const auto pace = paces_.find(server->entry.id);
        if (pace != paces_.end())
            item.capacity /= std::clamp(pace->second, least_pace, most_pace);
        result.push_back(item);
    }
    return result;
}

void coordinator_duty::plan(
    const service_id& id, service_duty& duty, time_point now)
{
    if (duty.read_back) {
        read_back(id);
        return;
    }
    const auto next = duty.keys.plan(key_servers(id, duty, now), now);
    if (next)
        write(id, *next);
}

void coordinator_duty::write(const service_id& id, const table_write& item)
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

void coordinator_duty::on_write_reply(
    const service_id& id, store_outcome outcome, const std::string& body)
{
    service_duty& duty = duties_.at(id);
    if (outcome == store_outcome::refused) {
        duty.keys.on_write_failed();
        return;
    }
    if (outcome != store_outcome::done) {
        // The write may have happened: the object tells.
        duty.read_back = true;
        return;
    }
    try {
        const auto object = platform_api::decode_object(body);
        duty.keys.on_written(object.store_revision, clock_());
        log_event(log_level::info, "ownership table committed",
            {{log_key::service, id.value()},
                {"ranges", duty.keys.table().ranges.size()},
                {"store_version", object.store_revision}});
        work(clock_());
    } catch (const error& failure) {
        log_event(log_level::warn, "reply to a table write is malformed",
            {{log_key::error, failure.what()}});
        duty.read_back = true;
    }
}

void coordinator_duty::read_back(const service_id& id)
{
    service_duty& duty = duties_.at(id);
    duty.read_back = false;
    store_.call(platform_api::read_call(object_kind::key_ownership, id.value()),
        [this, alive = alive_, id](
            store_outcome outcome, const std::string& body) {
            if (!*alive)
                return;
            service_duty& item = duties_.at(id);
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

void coordinator_duty::send_orders(
    const service_id& id, service_duty& duty, time_point now)
{
    for (const grant_order& order : duty.keys.grants().due(now)) {
        if (known_.life_of(order.server.id)) {
            send_order(id, order);
            continue;
        }
        // The entry is gone, but the server may go on; its address is known
        // while a client exists.
        if (clients_.contains(order.server.id))
            send_order(id, order);
        else
            duty.keys.grants().on_reply(
                order.number, grant_reply::unclear, {}, now);
    }
}

http_client& coordinator_duty::client_of(const backend_server_id& id)
{
    const observed_server* server = known_.servers().find(id);
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

void coordinator_duty::send_order(
    const service_id& id, const grant_order& order)
{
    const platform_api::grant_call_content content{
        order.first, order.last, order.token};
    http_request request = order.release ? platform_api::release_call(content)
                                         : platform_api::grant_call(content,
                                               order.hold, order.handover);
    http_client& client = client_of(order.server.id);
    // An address may belong to another server by now.
    request.headers.set(
        platform_api::header::expected_server, order.server.id.value());
    client.send(std::move(request),
        order.release ? release_timeout : grant_timeout,
        [this, alive = alive_, id, order](http_result result) {
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
            if (reply != grant_reply::accepted || order.release) {
                log_event(log_level::info,
                    order.release ? "keys released" : "grant not accepted",
                    {{log_key::server, order.server.id.value()},
                        {"first", order.first}, {"last", order.last},
                        {log_key::token, order.token.value()},
                        {log_key::status,
                            result.response ? result.response->status : 0},
                        {log_key::error, result.message}});
            }
            service_duty& duty = duties_.at(id);
            const time_point now = clock_();
            if (result.response &&
                answered_by_another(*result.response, order.server.id)) {
                // A process has its address alone, so the old one has ended.
                duty.keys.grants().on_life_ended(order.server);
                lost_lives_.insert(order.server);
            }
            duty.keys.grants().on_reply(order.number, reply, handover, now);
            if (order.release || !duty.keys.grants().is_granted(order.token))
                work(now);
            else
                publish(id, duty, now);
        });
}

void coordinator_duty::publish(
    const service_id& id, service_duty& duty, time_point now)
{
    const std::string text = beliefs::served_text(duty.keys.grants().granted());
    if (text == duty.served)
        return;
    duty.served = text;
    ++published_;
    known_.learn({beliefs::served_key(id),
                     object_version((term_ << term_shift) + published_), text},
        now);
}

void coordinator_duty::on_predecessor_stopped(time_point old_lease_end)
{
    old_holds_end_ = std::min(
        old_holds_end_, old_lease_end + key_granter_options{}.longest_hold());
    for (auto& [id, duty] : duties_)
        duty.keys.shorten_old_holds(old_holds_end_);
}

void coordinator_duty::on_report(const load_counts& counts)
{
    for (const auto& [service, keys] : counts.requests) {
        const auto found = duties_.find(service);
        if (found == duties_.end())
            continue;
        for (const auto& [key, count] : keys)
            found->second.keys.on_requests(key, count);
    }
    for (const auto& [server, time] : counts.paces) {
        const auto [found, is_new] = paces_.try_emplace(server, time);
        if (!is_new)
            found->second += (time - found->second) * report_weight;
    }
}

} // namespace filberthub
