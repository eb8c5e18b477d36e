// The commands that `ownership_controller` sends to servers, and their answers.

#include "router/ownership_controller.hpp"

#include "router/fleet_timing.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <platform/grant_api.hpp>

namespace filberthub {
namespace {

constexpr milliseconds grant_timeout{400};
// A server answers a release after the running requests for the keys have
// ended.
constexpr milliseconds release_timeout{1'500};
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

// Records whether the event loop was delayed. To be called before the events of
// a turn are handled.
void ownership_controller::note_turn(time_point now)
{
    if (last_turn_ && now > *last_turn_ + max_tick_pause)
        late_until_ = now + grant_timeout;
    last_turn_ = now;
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
    const std::size_t probes = send_probes(id, service, now);
    const auto commands =
        service.keys.granter().due(now, max_commands_per_turn);
    for (const grant_command& command : commands)
        try_send(id, service, command, now);
    return std::max(probes, commands.size());
}

std::size_t ownership_controller::send_probes(
    const service_id& id, service_ownership& service, time_point now)
{
    std::size_t sent = 0;
    for (const server_incarnation& server : service.silent_servers) {
        const auto command = service.keys.granter().probe(server, now);
        if (!command)
            continue;
        try_send(id, service, *command, now);
        if (++sent >= max_commands_per_turn)
            break;
    }
    return sent;
}

void ownership_controller::try_send(const service_id& id,
    service_ownership& service, const grant_command& command, time_point now)
{
    const auto give_up = [&] {
        service.keys.granter().on_reply(
            command.number, grant_reply::unclear, {}, now);
    };
    // A server that is no longer registered may still run. Its address is known
    // while it has a client.
    if (view_.incarnation_of(command.server.id) ||
        clients_.contains(command.server.id))
        guard_callback(
            "command to a server", [&] { send_command(id, command); }, give_up);
    else
        give_up();
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
        std::move(request),
        command.release && !command.probe ? release_timeout : grant_timeout,
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
            if (!command.probe &&
                (reply != grant_reply::accepted || command.release)) {
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
                service.keys.granter().on_incarnation_ended(
                    command.server, now);
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

} // namespace filberthub
