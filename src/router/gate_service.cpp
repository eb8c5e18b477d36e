#include "router/gate_service.hpp"

#include <filberthub/membership/rendezvous.hpp>
#include <filberthub/telemetry/log.hpp>

#include <QtNetwork/QNetworkDatagram>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// A round trip in a region takes some milliseconds; the rest is for a busy
// instance on a small processor.
constexpr milliseconds answer_timeout{60};
// A queued request is told the expected wait; it goes on alone when that is
// exceeded by far.
constexpr int wait_factor = 3;
constexpr milliseconds wait_slack{150};
constexpr milliseconds silence_pause{400};
constexpr milliseconds check_interval{15};
constexpr milliseconds sweep_interval{40};

// Kinds of messages.
constexpr int ask_message = 1;
constexpr int decision_message = 2;
constexpr int done_message = 3;

milliseconds until(time_point now, time_point then)
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
    connect(&socket_, &QUdpSocket::readyRead, this, [this] { read(); });
    check_timer_.setSingleShot(true);
    connect(&check_timer_, &QTimer::timeout, this, [this] { check(); });
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

// Larger processors host proportionally more gates.
const live_instance* gate_service::host_of(const std::string& group) const
{
    const live_instance* best = nullptr;
    double best_score = 0;
    for (const live_instance& member : view_.members()) {
        const auto weight = rendezvous_weight(group, member.id.value());
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

std::optional<std::uint64_t> gate_service::request_slot(
    slot_request request, std::size_t servers_of_service, callback answer)
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
    const live_instance* host = host_of(request.group);
    if (host == nullptr)
        return std::nullopt;
    const auto silent = silent_until_.find(host->address);
    if (silent != silent_until_.end() && now < silent->second)
        return std::nullopt;
    const std::uint64_t number = ++last_number_;
    pending_[number] = {
        std::move(answer), host->address, now + answer_timeout, false};
    if (!check_timer_.isActive())
        check_timer_.start(check_interval);
    json excluded = json::array();
    for (const backend_server_id& id : request.excluded)
        excluded.push_back(id.value());
    send(
        {ask_message, number, request.service.value(), request.group,
            request.owner ? request.owner->value() : "", request.urgency,
            until(now, request.target_time).count(),
            until(now, request.answer_deadline).count(), request.domain.value(),
            request.cross_domain_cost.count(), excluded},
        host->address);
    return number;
}

void gate_service::finish(std::uint64_t number, const gate_result& result)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const endpoint host = found->second.host;
    pending_.erase(found);
    const server_load_report report =
        result.report.value_or(server_load_report{0, 0, 0, std::nullopt});
    send({done_message, number, static_cast<int>(result.outcome),
             result.taken.count(), report.running, report.waiting, report.slots,
             report.slowdown.value_or(0)},
        host);
}

void gate_service::send(const json& message, const endpoint& target)
{
    if (target == settings_.peers) {
        // The answer must not arrive before the caller has its number.
        QTimer::singleShot(
            0, this, [this, message, target] { on_message(message, target); });
        return;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(message);
    socket_.writeDatagram(reinterpret_cast<const char*>(bytes.data()),
        static_cast<qint64>(bytes.size()),
        QHostAddress(QString::fromStdString(target.address)), target.port);
}

void gate_service::read()
{
    while (socket_.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = socket_.receiveDatagram();
        const QByteArray bytes = datagram.data();
        const endpoint sender{
            QHostAddress(datagram.senderAddress().toIPv4Address())
                .toString()
                .toStdString(),
            static_cast<std::uint16_t>(datagram.senderPort())};
        try {
            on_message(json::from_cbor(bytes.begin(), bytes.end()), sender);
        } catch (const json::exception& failure) {
            log_event(log_level::warn, "datagram is malformed",
                {{log_key::peer, to_string(sender)},
                    {log_key::error, failure.what()}});
        }
    }
}

void gate_service::on_message(const json& message, const endpoint& sender)
{
    const time_point now = clock_();
    switch (message.at(0).get<int>()) {
    case ask_message:
        on_ask(message, sender, now);
        return;
    case decision_message:
        on_decision(message.at(1).get<std::uint64_t>(),
            static_cast<gate_verdict>(message.at(2).get<int>()),
            message.at(3).get<std::string>(),
            milliseconds(message.at(4).get<std::int64_t>()));
        return;
    case done_message:
        on_done(message, sender, now);
        return;
    default:
        log_event(log_level::warn, "datagram of an unknown kind",
            {{log_key::peer, to_string(sender)}});
    }
}

void gate_service::on_ask(
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
    request.target_time = now + milliseconds(message.at(6).get<std::int64_t>());
    request.answer_deadline =
        now + milliseconds(message.at(7).get<std::int64_t>());
    request.domain = failure_domain_id(message.at(8).get<std::string>());
    request.cross_domain_cost = milliseconds(message.at(9).get<std::int64_t>());
    for (const json& id : message.at(10))
        request.excluded.emplace_back(id.get<std::string>());
    tell(gate_.request_slot(std::move(request), now));
    if (!sweep_timer_.isActive())
        sweep_timer_.start(sweep_interval);
}

void gate_service::on_done(
    const json& message, const endpoint& sender, time_point now)
{
    gate_result result;
    const int outcome = message.at(2).get<int>();
    if (outcome < 0 || outcome > static_cast<int>(send_outcome::cancelled))
        return;
    result.outcome = static_cast<send_outcome>(outcome);
    result.taken = milliseconds(message.at(3).get<std::int64_t>());
    const auto slots = message.at(6).get<unsigned>();
    if (slots > 0) {
        result.report = server_load_report{message.at(4).get<unsigned>(),
            message.at(5).get<unsigned>(), slots, std::nullopt};
        const auto slowdown = message.at(7).get<double>();
        if (slowdown > 0)
            result.report->slowdown = slowdown;
    }
    tell(gate_.finish(
        {instance_id(to_string(sender)), message.at(1).get<std::uint64_t>()},
        result, now));
}

void gate_service::tell(const std::vector<gate_decision>& decisions)
{
    for (const gate_decision& decision : decisions) {
        send({decision_message, decision.id.number,
                 static_cast<int>(decision.verdict), decision.server.value(),
                 decision.wait.count()},
            endpoint_from_string(decision.id.requester.value()));
    }
}

void gate_service::on_decision(std::uint64_t number, gate_verdict verdict,
    const std::string& server, milliseconds wait)
{
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second.granted)
        return;
    pending& item = found->second;
    if (verdict == gate_verdict::queued) {
        item.until = clock_() + wait * wait_factor + wait_slack;
        return;
    }
    const callback answer = std::move(item.answer);
    if (verdict == gate_verdict::refused) {
        pending_.erase(found);
        answer({gate_reply::kind::refused, {}, wait});
        return;
    }
    // Stays until `finish` reports the end.
    item.granted = true;
    answer({gate_reply::kind::granted, backend_server_id(server), wait});
}

void gate_service::check()
{
    const time_point now = clock_();
    std::vector<std::uint64_t> silent;
    bool waiting = false;
    for (const auto& [number, item] : pending_) {
        if (item.granted)
            continue;
        if (now >= item.until)
            silent.push_back(number);
        else
            waiting = true;
    }
    for (const std::uint64_t number : silent) {
        const auto found = pending_.find(number);
        if (found == pending_.end())
            continue;
        const callback answer = std::move(found->second.answer);
        silent_until_[found->second.host] = now + silence_pause;
        // A gate that is only slow must not count the request as running.
        finish(number, {send_outcome::cancelled, milliseconds(0), {}});
        answer({});
    }
    if (waiting && !check_timer_.isActive())
        check_timer_.start(check_interval);
}

void gate_service::sweep()
{
    tell(gate_.sweep(clock_()));
    if (gate_.waiting() > 0)
        sweep_timer_.start(sweep_interval);
    else
        sweep_timer_.start(sweep_interval * 10);
}

} // namespace filberthub
