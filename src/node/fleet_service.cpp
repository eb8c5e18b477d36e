#include "node/fleet_service.hpp"

#include "node/clock.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds status_interval{250};
// Number of receivers of status messages. It exceeds the number of planners, so
// that the loss of all planners at once does not stop planning.
constexpr std::size_t status_receiver_count = 5;
// The load is balanced once the table has not changed for this time.
constexpr milliseconds rebalance_delay{3000};

} // namespace

fleet_service::fleet_service(fleet_environment environment)
    : environment_(std::move(environment)),
      lease_({environment_.self.id, environment_.self.run}, clock_now()),
      ledger_(lease_, clock_now()),
      tracker_(lease_),
      connectivity_(environment_.self.id)
{
    environment_.dissemination->add(fleet_object,
        {.version =
                [this] {
                    return table_ ? table_->version() : object_version();
                },
            .text = [this](object_version) { return to_json(*table_); },
            .adopt =
                [this](object_version, const std::string& text) {
                    adopt(fleet_table_from_json(text), clock_now());
                }});
    connect(&timer_, &QTimer::timeout, this, [this] { tick(clock_now()); });
}

void fleet_service::start()
{
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(tick_interval);
}

void fleet_service::tick(time_point now)
{
    if (lease_.lapsed(now) && !lapse_reported_) {
        lapse_reported_ = true;
        log_event(log_level::warn, "the lease lapsed",
            {{log_key::incarnation, environment_.self.run.value()}});
        if (on_lapsed)
            on_lapsed();
        return;
    }
    send_lease_messages(now);
    announce(now);
    refresh_instances(now);
    send_status(now);
    plan(now);
    renew_without_witnesses(now);
    if (tracker_.is_behind() && !reading_)
        read_table();

    std::set<backend_server_id> held;
    for (const backend_server_id& server : tracker_.held_servers())
        held.insert(server);
    if (held != held_) {
        held_ = std::move(held);
        if (on_changed)
            on_changed();
    }
}

void fleet_service::send_lease_messages(time_point now)
{
    if (auto message = lease_.heartbeat_due(now)) {
        message->known = environment_.dissemination->summary();
        send_to(lease_.targets(), *message);
    }
    for (const auto& notice : ledger_.notices_due(now))
        send_to(notice.to, notice.message);
    for (const auto& query : tracker_.queries_due(now))
        send_to(query.to, query.message);
    for (const auto& release : tracker_.releases_due(now))
        send_to(release.to, release.message);
}

void fleet_service::send_to(
    const std::vector<instance_id>& to, const peer_message& message)
{
    for (const instance_id& instance : to) {
        if (instance == environment_.self.id)
            handle(message, clock_now());
        else
            environment_.hub->send(instance, message);
    }
}

bool fleet_service::handle(const peer_message& message, time_point now)
{
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        on_heartbeat(*beat, now);
    } else if (const auto* ack = std::get_if<heartbeat_ack>(&message)) {
        on_ack(*ack, now);
    } else if (const auto* query = std::get_if<expiry_query>(&message)) {
        if (const auto answer = ledger_.on_query(*query, now))
            send_to({query->from.instance}, *answer);
    } else if (const auto* notice = std::get_if<lease_expired>(&message)) {
        tracker_.on_lease_expired(*notice, now);
        inputs_changed_ = true;
    } else if (const auto* release = std::get_if<released>(&message)) {
        tracker_.on_released(*release);
        inputs_changed_ = true;
    } else if (const auto* status = std::get_if<member_status>(&message)) {
        inputs_changed_ = inputs_changed_ || statuses_[status->from] != *status;
        statuses_[status->from] = *status;
    } else {
        return false;
    }
    return true;
}

void fleet_service::on_heartbeat(const heartbeat& message, time_point now)
{
    environment_.dissemination->on_summary(
        message.from.instance, message.known, now);
    auto ack = ledger_.on_heartbeat(message, now);
    if (!ack)
        return;
    ack->known = environment_.dissemination->summary();
    ack->known.store_age = connectivity_.store_age(now);
    ack->evidence = connectivity_.ages(now);
    environment_.hub->send(message.from.instance, *ack);
}

void fleet_service::on_ack(const heartbeat_ack& message, time_point now)
{
    environment_.dissemination->on_summary(
        message.from.instance, message.known, now);
    const auto sent = lease_.sent_at(message.number);
    lease_.on_ack(message, now);
    if (sent)
        connectivity_.on_ack(message, *sent);
    tracker_.on_acknowledged();
}

void fleet_service::adopt(const fleet_table& table, time_point now)
{
    if (table_ && table.version() <= table_->version())
        return;
    for (const fleet_member& member : table.members()) {
        environment_.hub->set_address(member.key.instance, member.address);
        record_witnesses_[member.key] =
            member.previous.empty() ? member.witnesses : member.previous;
    }
    table_ = std::make_shared<const fleet_table>(table);
    for (const auto& [server, list] : table_->servers()) {
        std::set<member_key> before;
        for (const holder_entry& place : list.entries) {
            if (place.member == lease_.self()) {
                listed_before_[server].merge(before);
                break;
            }
            before.insert(place.member);
        }
    }
    table_changed_ = now;
    lease_.adopt(*table_, now);
    ledger_.adopt(table_, now);
    tracker_.adopt(table_, now);
    connectivity_.adopt(table_);
    std::erase_if(statuses_,
        [&](const auto& item) { return table_->find(item.first) == nullptr; });
    change_needed_since_.reset();
    inputs_changed_ = true;
    if (on_changed)
        on_changed();
}

void fleet_service::send_status(time_point now)
{
    const auto status = lease_.status();
    if (!table_ || !status || now < next_status_)
        return;
    next_status_ = now + status_interval;
    std::vector<instance_id> to;
    for (const member_key& member : table_->ranking()) {
        if (to.size() < status_receiver_count)
            to.push_back(member.instance);
    }
    send_to(to, *status);
}

void fleet_service::depart()
{
    lease_.depart();
    next_status_ = {};
    send_status(clock_now());
}

void fleet_service::set_leaving()
{
    environment_.self.leaving = true;
    next_announce_ = {};
}

void fleet_service::release(const backend_server_id& server)
{
    tracker_.release(server);
}

std::vector<instance_id> fleet_service::witnesses_of(
    const member_key& member) const
{
    const auto found = record_witnesses_.find(member);
    return found == record_witnesses_.end() ? std::vector<instance_id>{}
                                            : found->second;
}

std::optional<std::vector<member_key>> fleet_service::former_holders(
    const backend_server_id& server) const
{
    const auto listed = listed_before_.find(server);
    if (listed != listed_before_.end() && !listed->second.empty())
        return std::vector<member_key>(
            listed->second.begin(), listed->second.end());
    const auto list = table_->servers().find(server);
    if (list == table_->servers().end() || list->second.replaced)
        return std::nullopt;
    return std::vector<member_key>{};
}

std::optional<std::size_t> fleet_service::rank() const
{
    if (!table_)
        return std::nullopt;
    const std::vector<member_key> ranking = table_->ranking();
    const auto found = std::find(ranking.begin(), ranking.end(), lease_.self());
    if (found == ranking.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - ranking.begin());
}

std::vector<backend_server_id> fleet_service::servers_to_release(
    time_point now) const
{
    if (!table_ || now - table_changed_ < rebalance_delay)
        return {};
    return filberthub::places_to_release(*table_, lease_.self());
}

} // namespace filberthub
