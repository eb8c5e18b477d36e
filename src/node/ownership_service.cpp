#include "node/ownership_service.hpp"

#include "node/clock.hpp"
#include "node/while_alive.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{100};
// A planner of rank n waits n times this delay before it commits. A holder that
// reported the state of a server does not wait.
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
        const bool added = services_.try_emplace(name).second;
        services_.at(name).needs_planning = true;
        if (!added)
            continue;
        environment_.dissemination->add(ownership_prefix + name.value(),
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
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.table)
        return nullptr;
    return &*found->second.table;
}

void ownership_service::report(const service_id& service,
    const backend_server_id& server, server_state state)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    auto& observed = found->second.observed;
    const auto known = observed.find(server);
    if (known != observed.end() && known->second == state)
        return;
    observed[server] = state;
    found->second.needs_planning = true;
    tick(clock_now());
}

void ownership_service::forget(
    const service_id& service, const backend_server_id& server)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        found->second.observed.erase(server);
}

void ownership_service::tick(time_point now)
{
    for (auto& [service, state] : services_) {
        if (state.store_call_pending)
            continue;
        // A service without a table is planned even if no input has changed.
        const bool missing = !state.table;
        if (missing && !state.store_read)
            read(service);
        else if (missing || state.needs_planning)
            plan(service, state, now);
    }
}

void ownership_service::read(const service_id& service)
{
    service_state& state = services_.at(service);
    state.store_call_pending = true;
    environment_.store->get(path_of(service),
        while_alive(this, [this, service](const store_reply& reply) {
            service_state& read_state = services_.at(service);
            read_state.store_call_pending = false;
            if (reply.status == store_status::unavailable)
                return;
            read_state.store_read = true;
            read_state.store_version = reply.version;
            if (reply.status == store_status::not_found)
                return;
            try {
                ownership_table table =
                    decode_table(parse_json(reply.value, error_kind::internal));
                read_state.stored_version = table.version();
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
    service_state& state = services_.at(service);
    if (state.table && table.version() <= state.table->version())
        return;
    state.table = std::move(table);
    // The new table may not reflect the states that this instance observed.
    state.needs_planning = state.needs_planning || !state.observed.empty();
    if (on_changed)
        on_changed(service);
}

std::vector<planned_server> ownership_service::planned_servers(
    const service_policy& policy, const service_state& state) const
{
    const shared_policy document = environment_.policy();
    std::set<backend_server_id> owners;
    if (state.table) {
        for (std::uint32_t group = 0; group < state.table->groups().value();
             ++group) {
            const assignment& owner = state.table->at(key_group(group));
            if (owner.primary != no_server)
                owners.insert(state.table->server(owner.primary));
        }
    }
    std::vector<planned_server> servers;
    for (const backend_server& server : policy.servers) {
        planned_server planned{.id = server.id,
            .domain = server.domain,
            .capacity = static_cast<double>(policy.slots)};
        const auto observed = state.observed.find(server.id);
        // Only the holder of a server knows its state. For other instances a
        // server without groups counts as lost.
        if (!document->in_service(server.domain))
            planned.state = server_state::domain_out;
        else if (observed != state.observed.end())
            planned.state = observed->second;
        else if (state.table && !owners.contains(server.id))
            planned.state = server_state::lost;
        servers.push_back(std::move(planned));
    }
    return servers;
}

void ownership_service::plan(
    const service_id& service, service_state& state, time_point now)
{
    const shared_policy document = environment_.policy();
    const service_policy* policy = document ? document->find(service) : nullptr;
    if (policy == nullptr)
        return;
    const bool outdated =
        state.table && state.stored_version < state.table->version();
    if (!state.store_read || outdated) {
        read(service);
        return;
    }
    const ownership_table base =
        state.table
            ? *state.table
            : empty_table(service, group_count_for(policy->servers.size()));
    const std::vector<planned_server> servers = planned_servers(*policy, state);
    const group_weights weights(base.groups());
    plan_hints hints;
    hints.settled = environment_.settled_version(service);
    const plan_result result =
        ownership_planner().plan(base, servers, weights, hints);
    if (!result.changed) {
        state.needs_planning = false;
        state.change_needed_since.reset();
        return;
    }
    if (!state.change_needed_since)
        state.change_needed_since = now;
    const auto position = environment_.rank();
    if (!position)
        return;
    const duration wait =
        state.observed.empty()
            ? duration(rank_delay * static_cast<std::int64_t>(*position))
            : duration(0);
    if (now - *state.change_needed_since >= wait)
        commit(service, result.table);
}

void ownership_service::commit(
    const service_id& service, const ownership_table& table)
{
    service_state& state = services_.at(service);
    state.store_call_pending = true;
    environment_.store->put(path_of(service), state.store_version,
        encode(table).dump(),
        while_alive(this, [this, service, table](const store_reply& reply) {
            service_state& written_state = services_.at(service);
            written_state.store_call_pending = false;
            written_state.change_needed_since.reset();
            if (reply.status != store_status::ok) {
                // After a conflict or a lost reply, the stored table is
                // authoritative.
                written_state.store_read = false;
                read(service);
                return;
            }
            written_state.store_version = reply.version;
            written_state.stored_version = table.version();
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
