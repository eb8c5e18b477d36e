#include "node/holder_service.hpp"

#include "node/clock.hpp"
#include "node/route.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{10};
// Releases are repeated as long as the ownership table lists them, because a
// message can be lost and the new holder waits for it.
constexpr milliseconds release_interval{100};
// Interval at which servers are handed over to balance the load.
constexpr milliseconds rebalance_interval{1000};

answer_message make_refusal(
    const forward_message& message, error_kind kind, const std::string& why)
{
    answer_message answer;
    answer.number = message.number;
    answer.kind = kind;
    answer.message = why;
    return answer;
}

} // namespace

holder_service::holder_service(holder_environment environment)
    : environment_(std::move(environment))
{
    connect(&timer_, &QTimer::timeout, this, [this] { tick(clock_now()); });
}

void holder_service::start()
{
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(tick_interval);
}

void holder_service::refresh()
{
    const shared_policy document = environment_.policy->document();
    if (!document)
        return;
    const time_point now = clock_now();
    std::set<backend_server_id> wanted;
    for (const backend_server_id& server :
        environment_.fleet->tracker().held_servers())
        wanted.insert(server);
    for (const auto& [name, policy] : document->services()) {
        for (const backend_server& server : policy.servers) {
            if (!wanted.contains(server.id))
                continue;
            if (!held_.contains(server.id))
                add(policy, server, now);
            held_entry& held = *held_.at(server.id);
            held.server->set_policy(policy);
            held.server->set_out_of_service(
                !document->in_service(server.domain), now);
            const ownership_table* table = environment_.ownership->find(name);
            if (policy.kind == routing::by_key && table != nullptr)
                held.handover.adopt(*table);
        }
    }
    std::vector<backend_server_id> dropped;
    for (const auto& item : held_) {
        if (!wanted.contains(item.first))
            dropped.push_back(item.first);
    }
    for (const backend_server_id& server : dropped)
        drop(server);
}

void holder_service::add(
    const service_policy& policy, const backend_server& server, time_point now)
{
    auto held = std::make_unique<held_entry>();
    held->service = policy.name;
    held->handover = group_handover(server.id);
    held->held_since = now;
    held->server = std::make_unique<held_server>(
        policy, server, make_environment(server.id), now);
    log_event(log_level::info, "took over a server",
        {{log_key::server, server.id.value()}});
    held_.emplace(server.id, std::move(held));
    environment_.at_most_once->on_held(server.id, now);
    if (draining_)
        held_.at(server.id)->server->drain(now);
}

void holder_service::drop(const backend_server_id& server)
{
    const auto found = held_.find(server);
    environment_.ownership->forget(found->second->service, server);
    environment_.at_most_once->on_dropped(server);
    log_event(log_level::info, "no longer holds a server",
        {{log_key::server, server.value()}});
    // Deleted later, because a callback of the object may be running.
    found->second->server.release()->deleteLater();
    held_.erase(found);
}

held_server_environment holder_service::make_environment(
    const backend_server_id& server)
{
    fleet_service* fleet = environment_.fleet;
    held_server_environment result;
    result.is_holder = [fleet, server](time_point now) {
        return fleet->tracker().is_holder(server, now) &&
               fleet->connectivity().may_send_new_work(now);
    };
    result.grants_until = [fleet] { return fleet->lease().grants_until(); };
    result.token = [fleet, server](
                       std::uint32_t group) -> std::optional<fencing_token> {
        const auto holder = fleet->tracker().token(server);
        if (!holder)
            return std::nullopt;
        return make_fencing_token(group_token(group), *holder / 8, *holder % 8);
    };
    result.groups = [this, server] {
        const auto found = held_.find(server);
        return found == held_.end()
                   ? std::map<std::uint32_t, std::vector<key_group>>{}
                   : found->second->handover.ready();
    };
    result.on_lost_changed = [this, server](bool lost) {
        const auto found = held_.find(server);
        if (found == held_.end())
            return;
        environment_.ownership->report(found->second->service, server,
            lost ? server_state::lost : server_state::in_service);
    };
    return result;
}

held_request_handle holder_service::submit(
    forward_message message, answer_callback done)
{
    const time_point now = clock_now();
    const backend_server_id server = message.server;
    const auto found = held_.find(server);
    if (found == held_.end()) {
        done(make_refusal(message, error_kind::no_holder,
            "this instance does not hold " + server.value()));
        return {server, {}};
    }
    held_entry& held = *found->second;
    const bool runs_at_server = message.idempotent || message.recorded;
    if (runs_at_server && message.keyed &&
        !held.handover.serves(
            message.group, group_token(message.group_token))) {
        done(make_refusal(message, error_kind::not_owner,
            "group " + std::to_string(message.group.value()) +
                " is not served by " + server.value() + " under token " +
                std::to_string(message.group_token)));
        return {server, {}};
    }
    const time_point deadline = now + milliseconds(message.remaining_ms);
    if (!message.idempotent && !message.recorded) {
        if (draining_ || held.releasing) {
            done(make_refusal(message, error_kind::shutting_down,
                server.value() + " is being handed over"));
            return {server, {}};
        }
        environment_.at_most_once->submit(
            std::move(message), deadline, std::move(done),
            [this](forward_message recorded, answer_callback answered) {
                run_recorded(std::move(recorded), std::move(answered), 0);
            },
            now);
        return {server, {}};
    }
    return {server, held.server->submit(
                        std::move(message), deadline, std::move(done), now)};
}

// Sets the server of a keyed recorded request to the owner of its key, or to
// none if there is no owner.
void holder_service::route_to_owner(forward_message& message) const
{
    message.server = backend_server_id();
    const ownership_table* table =
        environment_.ownership->find(message.service);
    const auto key = std::find_if(
        message.headers.begin(), message.headers.end(), [](const auto& item) {
            return same_header_name(item.first, "Filberthub-Key");
        });
    if (table == nullptr || key == message.headers.end())
        return;
    const assignment& owner = table->find(key->second);
    if (owner.primary == no_server)
        return;
    message.group = table->group_of_key(key->second);
    message.group_token = owner.token.value();
    message.server = table->server(owner.primary);
}

// Each server is tried once. The next one is tried only if the answer proves
// that the request did not run.
void holder_service::run_recorded(
    forward_message message, answer_callback done, std::size_t position)
{
    constexpr std::size_t max_servers = 4;
    if (message.keyed)
        route_to_owner(message);
    message.server = server_for(message, position);
    const bool last =
        message.server.empty() || position + 1 >= max_servers || message.keyed;
    if (message.server.empty()) {
        done(make_refusal(message, error_kind::no_holder,
            "no server of " + message.service.value() + " is left to try"));
        return;
    }
    forward_message next = last ? forward_message() : message;
    environment_.relay(std::move(message),
        [this, next = std::move(next), done = std::move(done), position, last](
            answer_message answer) {
            const bool not_run =
                answer.status == 0 &&
                answer_for(answer.kind).result == outcome::not_run &&
                answer.kind != error_kind::deadline_exceeded_not_run;
            if (last || !not_run)
                done(std::move(answer));
            else
                run_recorded(next, done, position + 1);
        });
}

backend_server_id holder_service::server_for(
    const forward_message& message, std::size_t position) const
{
    const shared_policy document = environment_.policy->document();
    const service_policy* service = document->find(message.service);
    if (service == nullptr)
        return {};
    if (message.keyed)
        return position == 0 ? message.server : backend_server_id();
    const auto order = home_order(*service, message.id);
    std::vector<const backend_server*> usable;
    for (const backend_server* server : order) {
        if (document->in_service(server->domain))
            usable.push_back(server);
    }
    return position < usable.size() ? usable[position]->id
                                    : backend_server_id();
}

void holder_service::cancel(const held_request_handle& handle)
{
    const auto found = held_.find(handle.server);
    if (found != held_.end())
        found->second->server->cancel(handle.number, clock_now());
}

void holder_service::on_group_released(const group_released_message& message)
{
    for (const auto& item : held_) {
        if (item.second->service == message.service)
            item.second->handover.on_released(
                message.group, group_token(message.token), message.server);
    }
}

void holder_service::abandon()
{
    timer_.stop();
    for (const auto& item : held_)
        item.second->server->abandon(clock_now());
}

void holder_service::begin_drain()
{
    draining_ = true;
    for (const auto& item : held_)
        item.second->server->drain(clock_now());
}

std::vector<backend_server_id> holder_service::held_servers() const
{
    std::vector<backend_server_id> servers;
    for (const auto& item : held_)
        servers.push_back(item.first);
    return servers;
}

void holder_service::tick(time_point now)
{
    for (const auto& item : held_)
        item.second->server->tick(now);
    environment_.at_most_once->tick(now);
    send_group_releases(now);
    hand_over(now);
}

// Returns whether groups that moved away from the server may be released: every
// grant and request of an earlier holder has ended `witness_expiry` after this
// instance became the holder. The caller checks those of this instance.
bool holder_service::may_release(const held_entry& held, time_point now) const
{
    return now - held.held_since >= witness_expiry;
}

void holder_service::send_group_releases(time_point now)
{
    if (now < next_releases_)
        return;
    next_releases_ = now + release_interval;
    for (const auto& item : held_) {
        const held_entry& held = *item.second;
        if (held.handover.departed().empty() || !may_release(held, now))
            continue;
        std::map<std::uint32_t, std::vector<key_group>> granted;
        for (const departed_group& group : held.handover.departed()) {
            if (held.server->has_request_for(group.group))
                continue;
            if (held.server->is_granted(group.group, now)) {
                granted[group.token.value()].push_back(group.group);
                continue;
            }
            const group_released_message message{
                held.service, group.group, group.token.value(), item.first};
            send_to_holders(group.successor, message);
        }
        if (!granted.empty())
            item.second->server->revoke(
                granted.begin()->first, granted.begin()->second);
    }
}

void holder_service::send_to_holders(
    const backend_server_id& server, const peer_message& message)
{
    const fleet_table_ptr& table = environment_.fleet->table();
    if (!table)
        return;
    for (const holder_entry& place : table->holders(server)) {
        if (place.member == environment_.fleet->lease().self())
            on_group_released(std::get<group_released_message>(message));
        else
            environment_.hub->send(place.member.instance, message);
    }
}

// Hands over servers: all of them if this instance leaves or is out of service,
// otherwise those that another instance should hold. A server is released once
// none of its requests is in progress.
void holder_service::hand_over(time_point now)
{
    if (!draining_ && now >= next_rebalance_) {
        next_rebalance_ = now + rebalance_interval;
        for (const backend_server_id& server :
            environment_.fleet->servers_to_release(now)) {
            const auto found = held_.find(server);
            if (found == held_.end()) {
                environment_.fleet->release(server);
                continue;
            }
            found->second->releasing = true;
            found->second->server->drain(now);
        }
    }
    if (environment_.is_out_of_service()) {
        for (const auto& item : held_) {
            item.second->releasing = true;
            item.second->server->drain(now);
        }
    }
    std::vector<backend_server_id> ready;
    for (const auto& item : held_) {
        const bool is_leaving = draining_ || item.second->releasing;
        if (is_leaving && item.second->server->idle() &&
            !environment_.at_most_once->has_pending(item.first))
            ready.push_back(item.first);
    }
    for (const backend_server_id& server : ready) {
        environment_.fleet->release(server);
        drop(server);
    }
}

} // namespace filberthub
