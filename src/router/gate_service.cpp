#include "router/gate_service.hpp"

#include "router/gate_messages.hpp"
#include "router/peer_messages.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/membership/rendezvous.hpp>
#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <QtNetwork/QNetworkDatagram>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Interval at which open questions are checked.
constexpr milliseconds deadline_interval{15};
// Time for messages in one turn of the event loop. Under overload they arrive
// faster than a small processor handles them.
constexpr milliseconds max_reading_time{10};

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
      gate_(view.servers(), settings.bounds.cold),
      last_number_(
          static_cast<std::uint64_t>(clock_().time_since_epoch().count()))
{
    connect(
        &socket_, &QUdpSocket::readyRead, this, [this] { read_datagrams(); });
    reading_timer_.setSingleShot(true);
    connect(
        &reading_timer_, &QTimer::timeout, this, [this] { read_datagrams(); });
    deadline_timer_.setSingleShot(true);
    connect(&deadline_timer_, &QTimer::timeout, this, [this] {
        guard_callback(
            "questions to gates", [this] { check_deadlines(); },
            [this] { deadline_timer_.start(deadline_interval); });
    });
    sweep_timer_.setSingleShot(true);
    connect(&sweep_timer_, &QTimer::timeout, this, [this] {
        guard_callback(
            "sweep of the gates", [this] { sweep(); },
            [this] { sweep_timer_.start(deadline_interval); });
    });
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
    slot_request request, double uniform_random, callback on_reply)
{
    const time_point now = clock_();
    if (request.owner) {
        const observed_server* server = view_.servers().find(*request.owner);
        if (server == nullptr)
            return std::nullopt;
        request.group = group_of_server(server->entry, true, 1);
    } else {
        // A group without usable servers holds requests until one joins.
        const std::size_t index = groups_
                                      .choose(view_.servers(), request.service,
                                          request.excluded, uniform_random, now)
                                      .value_or(0);
        request.group = request.service.value() + "/" + std::to_string(index);
    }
    const live_instance* host = find_gate_host(request.group);
    if (host == nullptr)
        return std::nullopt;
    if (!liveness_.may_ask(host->address, now))
        return std::nullopt;
    const std::uint64_t number = ++last_number_;
    const slot_question question(host->address, request.answer_deadline);
    const auto added = pending_.emplace(
        number, pending_request{std::move(on_reply), std::move(request),
                    question, std::nullopt, false});
    ask(number, added.first->second, now);
    if (!deadline_timer_.isActive())
        deadline_timer_.start(deadline_interval);
    return number;
}

void gate_service::ask(
    std::uint64_t number, pending_request& pending, time_point now)
{
    liveness_.on_asked(pending.question, now);
    const slot_request& request = pending.request;
    json excluded = json::array();
    for (const backend_server_id& id : request.excluded)
        excluded.push_back(id.value());
    send({slot_request_message, number, request.service.value(), request.group,
             request.owner ? request.owner->value() : "", request.urgency,
             time_left(now, request.target_time).count(),
             time_left(now, request.answer_deadline).count(),
             request.domain.value(), request.cross_domain_cost.count(),
             excluded, request.age.count()},
        pending.question.host);
}

void gate_service::finish(std::uint64_t number, const gate_result& result)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const endpoint gate_address = found->second.question.host;
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
        QTimer::singleShot(0, this, [this, message, target] {
            guard_callback(
                "message to a gate of this instance",
                [&] { on_message(message, target); }, [] {});
        });
        return;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(message);
    socket_.writeDatagram(reinterpret_cast<const char*>(bytes.data()),
        static_cast<qint64>(bytes.size()),
        QHostAddress(QString::fromStdString(target.address)), target.port);
}

bool gate_service::read_datagrams()
{
    const time_point end = clock_() + max_reading_time;
    while (socket_.hasPendingDatagrams()) {
        if (clock_() >= end) {
            reading_timer_.start(0);
            return false;
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
            count_rejected(rejected_input::peer_message);
            log_event(log_level::warn, "malformed datagram on the peer port",
                {{log_key::peer, to_string(sender)},
                    {log_key::error, shorten(failure.what())}});
        }
    }
    return true;
}

void gate_service::on_message(const json& message, const endpoint& sender)
{
    const time_point now = clock_();
    switch (message.at(0).get<int>()) {
    case slot_request_message:
        on_slot_request(message, sender, now);
        return;
    case decision_message:
        on_decision(message, sender, now);
        return;
    case finish_message:
        on_finish(message, sender, now);
        return;
    default:
        log_event(log_level::warn, "unknown kind of datagram on the peer port",
            {{log_key::peer, to_string(sender)}});
    }
}

void gate_service::on_decision(
    const json& message, const endpoint& sender, time_point now)
{
    const auto number = message.at(1).get<std::uint64_t>();
    const auto decision = read_enum(message.at(2), slot_decision::refused);
    const backend_server_id server(message.at(3).get<std::string>());
    const milliseconds wait = read_milliseconds(message.at(4));
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second.question.host != sender) {
        liveness_.on_late_reply(sender, now);
        // Otherwise the gate keeps a slot or a place in its queue for a request
        // that this instance has given up.
        if (decision != slot_decision::refused) {
            send({finish_message, number,
                     static_cast<int>(send_outcome::cancelled), 0, 0, 0, 0, 0},
                sender);
        }
        return;
    }
    pending_request& request = found->second;
    if (request.granted)
        return;
    if (decision == slot_decision::queued) {
        liveness_.on_queued(request.question, wait, now);
        note_wait(request.request, wait, now);
        if (!request.told_wait)
            request.told_wait = wait;
        return;
    }
    liveness_.on_decided(request.question, now);
    const callback on_reply = std::move(request.on_reply);
    const std::optional<milliseconds> told_wait = request.told_wait;
    if (decision == slot_decision::refused) {
        pending_.erase(found);
        on_reply({gate_reply::kind::refused, {}, wait, told_wait});
        return;
    }
    // The entry is kept until `finish` reports the end.
    request.granted = true;
    if (!told_wait)
        note_wait(request.request, milliseconds(0), now);
    on_reply({gate_reply::kind::granted, server, wait, told_wait});
}

void gate_service::note_wait(
    const slot_request& request, milliseconds wait, time_point now)
{
    if (!request.owner)
        groups_.on_wait(request.group, wait, now);
}

void gate_service::check_deadlines()
{
    // A reply that has arrived counts, even if this process was suspended and
    // has not read it yet.
    if (!read_datagrams()) {
        deadline_timer_.start(deadline_interval);
        return;
    }
    const time_point now = clock_();
    if (checked_version_ != view_.members_version())
        ask_moved_gates(now);
    std::vector<std::pair<std::uint64_t, gate_reply::kind>> given_up;
    bool waiting = false;
    for (auto& [number, request] : pending_) {
        if (request.granted)
            continue;
        waiting = true;
        switch (liveness_.next_step(request.question, now)) {
        case question_step::wait:
            break;
        case question_step::ask:
            ask(number, request, now);
            break;
        case question_step::host_silent:
            given_up.emplace_back(number, gate_reply::kind::unreachable);
            break;
        case question_step::no_reply:
            given_up.emplace_back(number, gate_reply::kind::no_reply);
            break;
        }
    }
    for (const auto& [number, reason] : given_up)
        give_up(number, reason);
    if (waiting && !deadline_timer_.isActive())
        deadline_timer_.start(deadline_interval);
}

// Withdraws waiting requests whose gate is now hosted by another instance, and
// asks there.
void gate_service::ask_moved_gates(time_point now)
{
    checked_version_ = view_.members_version();
    std::set<endpoint> addresses;
    for (const live_instance& member : view_.members())
        addresses.insert(member.address);
    liveness_.keep_only(addresses);
    for (auto& [number, request] : pending_) {
        if (request.granted)
            continue;
        const live_instance* host = find_gate_host(request.request.group);
        if (host == nullptr || host->address == request.question.host)
            continue;
        send({finish_message, number, static_cast<int>(send_outcome::cancelled),
                 0, 0, 0, 0, 0},
            request.question.host);
        request.question =
            slot_question(host->address, request.request.answer_deadline);
        ask(number, request, now);
    }
}

void gate_service::give_up(std::uint64_t number, gate_reply::kind reason)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const callback on_reply = std::move(found->second.on_reply);
    const std::optional<milliseconds> told_wait = found->second.told_wait;
    // Withdraws the request, so that a gate that is only slow does not count it
    // as running.
    finish(number, {send_outcome::cancelled, milliseconds(0), {}});
    on_reply({reason, {}, milliseconds(0), told_wait});
}

} // namespace filberthub
