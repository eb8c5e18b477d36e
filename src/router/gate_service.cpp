#include "router/gate_service.hpp"

#include "router/peer_messages.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/membership/rendezvous.hpp>
#include <filberthub/telemetry/log.hpp>

#include <QtNetwork/QNetworkDatagram>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Time to the first reply of a gate. A round trip in a region takes some
// milliseconds; the rest is for a busy instance on a small processor.
constexpr milliseconds reply_timeout{60};
// A queued request is told the expected wait. If it has no decision after this
// multiple of it plus the slack, it is sent without the gate.
constexpr int expected_wait_factor = 3;
constexpr milliseconds expected_wait_slack{150};
// Time for which no slots are requested from an instance that did not reply.
constexpr milliseconds unreachable_pause{400};
// Interval at which the deadlines of replies are checked.
constexpr milliseconds deadline_interval{15};
// Interval of sweeps while requests wait at a gate of this instance; ten times
// as long when none do.
constexpr milliseconds sweep_interval{40};
// Time for messages in one turn of the event loop. Under overload they arrive
// faster than a small processor handles them.
constexpr milliseconds max_reading_time{10};

// Kinds of messages, the first element of each.
// [1, number, service, group, owner or "", urgency, ms to the target time,
//  ms to the answer deadline, failure domain, cross-domain cost in ms,
//  excluded servers]
constexpr int slot_request_message = 1;
// [2, number, decision, server, wait in ms]
constexpr int decision_message = 2;
// [3, number, outcome, ms taken, running, waiting, slots, slowdown]; no load
// report if slots is 0, and no slowdown if that is 0.
constexpr int finish_message = 3;

milliseconds time_left(time_point now, time_point then)
{
    return std::chrono::duration_cast<milliseconds>(then - now);
}

} // namespace

gate_service::gate_service(const route_settings& settings,
    const deployment_view& view, std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      clock_(std::move(clock)),
      gate_(view.servers(), settings.bounds.cold)
{
    connect(
        &socket_, &QUdpSocket::readyRead, this, [this] { read_datagrams(); });
    reading_timer_.setSingleShot(true);
    connect(
        &reading_timer_, &QTimer::timeout, this, [this] { read_datagrams(); });
    deadline_timer_.setSingleShot(true);
    connect(&deadline_timer_, &QTimer::timeout, this,
        [this] { check_deadlines(); });
    sweep_timer_.setSingleShot(true);
    connect(&sweep_timer_, &QTimer::timeout, this, [this] { sweep(); });
}

void gate_service::start()
{
    const QHostAddress address(QString::fromStdString(settings_.peers.address));
    if (!socket_.bind(address, settings_.peers.port)) {
        throw error(error_kind::bad_settings,
            "cannot bind UDP " + to_string(settings_.peers) + ": " +
                socket_.errorString().toStdString());
    }
}

endpoint gate_service::address() const
{
    return {settings_.peers.address, socket_.localPort()};
}

// Weighted rendezvous hashing: instances with a larger share of a processor
// host proportionally more gates.
const live_instance* gate_service::choose_gate_host(
    const std::string& group) const
{
    const live_instance* best = nullptr;
    double best_score = 0;
    for (const live_instance& member : view_.members()) {
        const auto weight = rendezvous_weight(group, member.id.value());
        // 53 bits of the hash as a number in (0, 1).
        const double uniform =
            (static_cast<double>(weight >> 11U) + 0.5) / 9007199254740992.0;
        const double score = -member.processor_share / std::log(uniform);
        if (best == nullptr || score > best_score) {
            best = &member;
            best_score = score;
        }
    }
    return best;
}

const live_instance* gate_service::find_gate_host(const std::string& group)
{
    if (hosts_version_ != view_.members_version()) {
        hosts_version_ = view_.members_version();
        hosts_.clear();
    }
    const auto [found, is_new] = hosts_.try_emplace(group, nullptr);
    if (is_new)
        found->second = choose_gate_host(group);
    return found->second;
}

std::optional<std::uint64_t> gate_service::request_slot(
    slot_request request, std::size_t servers_of_service, callback on_reply)
{
    const time_point now = clock_();
    if (request.owner) {
        const observed_server* server = view_.servers().find(*request.owner);
        if (server == nullptr)
            return std::nullopt;
        request.group = group_of_server(server->entry, true, 1);
    } else {
        const std::size_t groups = group_count(servers_of_service);
        const std::size_t index = last_number_ % groups;
        request.group = request.service.value() + "/" + std::to_string(index);
    }
    const live_instance* host = find_gate_host(request.group);
    if (host == nullptr)
        return std::nullopt;
    const auto unreachable = unreachable_until_.find(host->address);
    if (unreachable != unreachable_until_.end() && now < unreachable->second)
        return std::nullopt;
    const std::uint64_t number = ++last_number_;
    pending_[number] = {
        std::move(on_reply), host->address, now + reply_timeout, false};
    if (!deadline_timer_.isActive())
        deadline_timer_.start(deadline_interval);
    json excluded = json::array();
    for (const backend_server_id& id : request.excluded)
        excluded.push_back(id.value());
    send({slot_request_message, number, request.service.value(), request.group,
             request.owner ? request.owner->value() : "", request.urgency,
             time_left(now, request.target_time).count(),
             time_left(now, request.answer_deadline).count(),
             request.domain.value(), request.cross_domain_cost.count(),
             excluded},
        host->address);
    return number;
}

void gate_service::finish(std::uint64_t number, const gate_result& result)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const endpoint gate_address = found->second.gate_address;
    pending_.erase(found);
    const server_load_report report =
        result.report.value_or(server_load_report{0, 0, 0, std::nullopt});
    send({finish_message, number, static_cast<int>(result.outcome),
             result.taken.count(), report.running, report.waiting, report.slots,
             report.slowdown.value_or(0)},
        gate_address);
}

void gate_service::send(const json& message, const endpoint& target)
{
    if (target == settings_.peers) {
        // Handled in the next turn of the event loop: `request_slot` must
        // return the number before the reply arrives.
        QTimer::singleShot(
            0, this, [this, message, target] { on_message(message, target); });
        return;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(message);
    socket_.writeDatagram(reinterpret_cast<const char*>(bytes.data()),
        static_cast<qint64>(bytes.size()),
        QHostAddress(QString::fromStdString(target.address)), target.port);
}

void gate_service::read_datagrams()
{
    const time_point end = clock_() + max_reading_time;
    while (socket_.hasPendingDatagrams()) {
        if (clock_() >= end) {
            reading_timer_.start(0);
            return;
        }
        const QNetworkDatagram datagram = socket_.receiveDatagram();
        const QByteArray bytes = datagram.data();
        const endpoint sender{
            QHostAddress(datagram.senderAddress().toIPv4Address())
                .toString()
                .toStdString(),
            static_cast<std::uint16_t>(datagram.senderPort())};
        try {
            on_message(decode_datagram(bytes.begin(), bytes.end()), sender);
        } catch (const std::exception& failure) {
            log_event(log_level::warn, "malformed datagram on the peer port",
                {{log_key::peer, to_string(sender)},
                    {log_key::error, shorten(failure.what())}});
        }
    }
}

void gate_service::on_message(const json& message, const endpoint& sender)
{
    const time_point now = clock_();
    switch (message.at(0).get<int>()) {
    case slot_request_message:
        on_slot_request(message, sender, now);
        return;
    case decision_message:
        on_decision(message.at(1).get<std::uint64_t>(),
            read_enum(message.at(2), slot_decision::refused),
            message.at(3).get<std::string>(), read_milliseconds(message.at(4)));
        return;
    case finish_message:
        on_finish(message, sender, now);
        return;
    default:
        log_event(log_level::warn, "unknown kind of datagram on the peer port",
            {{log_key::peer, to_string(sender)}});
    }
}

void gate_service::on_slot_request(
    const json& message, const endpoint& sender, time_point now)
{
    slot_request request;
    request.id = {
        instance_id(to_string(sender)), message.at(1).get<std::uint64_t>()};
    request.service = service_id(message.at(2).get<std::string>());
    request.group = message.at(3).get<std::string>();
    const auto owner = message.at(4).get<std::string>();
    if (!owner.empty())
        request.owner = backend_server_id(owner);
    request.urgency = message.at(5).get<unsigned>();
    request.target_time = now + read_milliseconds(message.at(6));
    request.answer_deadline = now + read_milliseconds(message.at(7));
    request.domain = failure_domain_id(message.at(8).get<std::string>());
    request.cross_domain_cost = read_milliseconds(message.at(9));
    for (const json& id : message.at(10))
        request.excluded.emplace_back(id.get<std::string>());
    send_decisions(gate_.request_slot(std::move(request), now));
    if (!sweep_timer_.isActive())
        sweep_timer_.start(sweep_interval);
}

void gate_service::on_finish(
    const json& message, const endpoint& sender, time_point now)
{
    gate_result result;
    result.outcome = read_enum(message.at(2), send_outcome::cancelled);
    result.taken = read_milliseconds(message.at(3));
    const auto slots = message.at(6).get<unsigned>();
    if (slots > 0) {
        result.report = server_load_report{message.at(4).get<unsigned>(),
            message.at(5).get<unsigned>(), slots, std::nullopt};
        const auto slowdown = message.at(7).get<double>();
        if (slowdown > 0)
            result.report->slowdown = slowdown;
    }
    send_decisions(gate_.finish(
        {instance_id(to_string(sender)), message.at(1).get<std::uint64_t>()},
        result, now));
}

void gate_service::send_decisions(const std::vector<gate_decision>& decisions)
{
    for (const gate_decision& decision : decisions) {
        send({decision_message, decision.id.number,
                 static_cast<int>(decision.decision), decision.server.value(),
                 decision.wait.count()},
            endpoint_from_string(decision.id.requester.value()));
    }
}

void gate_service::on_decision(std::uint64_t number, slot_decision decision,
    const std::string& server, milliseconds wait)
{
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second.granted)
        return;
    pending_request& request = found->second;
    if (decision == slot_decision::queued) {
        request.reply_deadline =
            clock_() + wait * expected_wait_factor + expected_wait_slack;
        return;
    }
    const callback on_reply = std::move(request.on_reply);
    if (decision == slot_decision::refused) {
        pending_.erase(found);
        on_reply({gate_reply::kind::refused, {}, wait});
        return;
    }
    // The entry is kept until `finish` reports the end.
    request.granted = true;
    on_reply({gate_reply::kind::granted, backend_server_id(server), wait});
}

void gate_service::check_deadlines()
{
    const time_point now = clock_();
    std::vector<std::uint64_t> overdue;
    bool waiting = false;
    for (const auto& [number, request] : pending_) {
        if (request.granted)
            continue;
        if (now >= request.reply_deadline)
            overdue.push_back(number);
        else
            waiting = true;
    }
    for (const std::uint64_t number : overdue) {
        const auto found = pending_.find(number);
        if (found == pending_.end())
            continue;
        const callback on_reply = std::move(found->second.on_reply);
        unreachable_until_[found->second.gate_address] =
            now + unreachable_pause;
        // Withdraws the request, so that a gate that is only slow does not
        // count it as running.
        finish(number, {send_outcome::cancelled, milliseconds(0), {}});
        on_reply({});
    }
    if (waiting && !deadline_timer_.isActive())
        deadline_timer_.start(deadline_interval);
}

void gate_service::sweep()
{
    send_decisions(gate_.sweep(clock_()));
    if (gate_.waiting() > 0)
        sweep_timer_.start(sweep_interval);
    else
        sweep_timer_.start(sweep_interval * 10);
}

} // namespace filberthub
