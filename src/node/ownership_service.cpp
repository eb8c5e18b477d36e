#include "node/ownership_service.hpp"

#include "node/clock.hpp"
#include "node/while_alive.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{100};
// A planner of rank n waits n times as long, and a holder that reports a
// server does not wait.
constexpr milliseconds rank_delay{1000};

} // namespace

ownership_service::ownership_service(ownership_environment environment)
    : environment_(std::move(environment))
{
    connect(&timer_, &QTimer::timeout, this, [this] { tick(clock_now()); });
}

void ownership_service::start()
{
    timer_.start(tick_interval);
}

void ownership_service::apply_policy()
{
    for (const auto& [name, policy] : environment_.policy()->services()) {
        if (policy.kind != routing::by_key)
            continue;
        const bool added = entries_.try_emplace(name).second;
        entries_.at(name).dirty = true;
        if (!added)
            continue;
        environment_.news->add(ownership_prefix + name.value(),
            {.version =
                    [this, id = name] {
                        const ownership_table* table = find(id);
                        return object_version(
                            table == nullptr ? 0 : table->version().value());
                    },
                .text =
                    [this, id = name](
                        object_version) { return encode(*find(id)).dump(); },
                .adopt =
                    [this, id = name](object_version, const std::string& text) {
                        adopt(id, decode_table(
                                      parse_json(text, error_kind::internal)));
                    }});
        read(name);
    }
}

const ownership_table* ownership_service::find(const service_id& service) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end() || !found->second.table)
        return nullptr;
    return &*found->second.table;
}

void ownership_service::report(const service_id& service,
    const backend_server_id& server, server_state state)
{
    const auto found = entries_.find(service);
    if (found == entries_.end())
        return;
    auto& observed = found->second.observed;
    const auto known = observed.find(server);
    if (known != observed.end() && known->second == state)
        return;
    observed[server] = state;
    found->second.dirty = true;
    tick(clock_now());
}

void ownership_service::forget(
    const service_id& service, const backend_server_id& server)
{
    const auto found = entries_.find(service);
    if (found != entries_.end())
        found->second.observed.erase(server);
}

void ownership_service::tick(time_point now)
{
    for (auto& [service, item] : entries_) {
        if (item.busy)
            continue;
        // Also without a change of its own, a planner looks for a service
        // whose table does not exist yet.
        const bool missing = !item.table;
        if (missing && !item.store_read)
            read(service);
        else if (missing || item.dirty)
            plan(service, item, now);
    }
}

void ownership_service::read(const service_id& service)
{
    entry& item = entries_.at(service);
    item.busy = true;
    environment_.store->get(path_of(service),
        while_alive(this, [this, service](const store_reply& reply) {
            entry& read_entry = entries_.at(service);
            read_entry.busy = false;
            if (reply.status == store_status::unavailable)
                return;
            read_entry.store_read = true;
            read_entry.store_version = reply.version;
            if (reply.status == store_status::not_found)
                return;
            try {
                ownership_table table =
                    decode_table(parse_json(reply.value, error_kind::internal));
                read_entry.stored = table.version();
                adopt(service, std::move(table));
            } catch (const error& failure) {
                log_event(log_level::error, "the ownership table is not valid",
                    {{log_key::service, service.value()},
                        {log_key::error, std::string_view(failure.what())}});
            }
        }));
}

void ownership_service::adopt(const service_id& service, ownership_table table)
{
    entry& item = entries_.at(service);
    if (item.table && table.version() <= item.table->version())
        return;
    item.table = std::move(table);
    // The new table may not yet reflect what was observed here.
    item.dirty = item.dirty || !item.observed.empty();
    if (changed)
        changed(service);
}

std::vector<planned_server> ownership_service::planned_servers(
    const service_policy& policy, const entry& item) const
{
    const shared_policy document = environment_.policy();
    std::set<backend_server_id> owners;
    if (item.table) {
        for (std::uint32_t group = 0; group < item.table->groups().value();
             ++group) {
            const assignment& owner = item.table->at(key_group(group));
            if (owner.primary != no_server)
                owners.insert(item.table->server(owner.primary));
        }
    }
    std::vector<planned_server> servers;
    for (const backend_server& server : policy.servers) {
        planned_server planned{.id = server.id,
            .domain = server.domain,
            .capacity = static_cast<double>(policy.slots)};
        const auto observed = item.observed.find(server.id);
        // A server without groups may be lost; only its holder knows better.
        if (!document->in_service(server.domain))
            planned.state = server_state::domain_out;
        else if (observed != item.observed.end())
            planned.state = observed->second;
        else if (item.table && !owners.contains(server.id))
            planned.state = server_state::lost;
        servers.push_back(std::move(planned));
    }
    return servers;
}

void ownership_service::plan(
    const service_id& service, entry& item, time_point now)
{
    const shared_policy document = environment_.policy();
    const service_policy* policy = document ? document->find(service) : nullptr;
    if (policy == nullptr)
        return;
    const bool outdated = item.table && item.stored < item.table->version();
    if (!item.store_read || outdated) {
        read(service);
        return;
    }
    const ownership_table base =
        item.table
            ? *item.table
            : empty_table(service, group_count_for(policy->servers.size()));
    const std::vector<planned_server> servers = planned_servers(*policy, item);
    const group_weights weights(base.groups());
    plan_hints hints;
    hints.settled = environment_.settled(service);
    const plan_result result =
        ownership_planner().plan(base, servers, weights, hints);
    if (!result.changed) {
        item.dirty = false;
        item.change_wanted.reset();
        return;
    }
    if (!item.change_wanted)
        item.change_wanted = now;
    const auto position = environment_.rank();
    if (!position)
        return;
    const duration wait =
        item.observed.empty()
            ? duration(rank_delay * static_cast<std::int64_t>(*position))
            : duration(0);
    if (now - *item.change_wanted >= wait)
        commit(service, result.table);
}

void ownership_service::commit(
    const service_id& service, const ownership_table& table)
{
    entry& item = entries_.at(service);
    item.busy = true;
    environment_.store->put(path_of(service), item.store_version,
        encode(table).dump(),
        while_alive(this, [this, service, table](const store_reply& reply) {
            entry& written = entries_.at(service);
            written.busy = false;
            written.change_wanted.reset();
            if (reply.status != store_status::ok) {
                // After a conflict or a lost reply, what is in the store
                // decides.
                written.store_read = false;
                read(service);
                return;
            }
            written.store_version = reply.version;
            written.stored = table.version();
            log_event(log_level::info, "committed an ownership table",
                {{log_key::service, service.value()},
                    {"table_version", table.version().value()}});
            adopt(service, table);
        }));
}

std::string ownership_service::path_of(const service_id& service) const
{
    return "ownership/" + environment_.region.value() + "/" + service.value();
}

} // namespace filberthub
