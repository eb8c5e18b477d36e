// The part of `gate_service` that runs the gates of this instance.

#include "router/gate_messages.hpp"
#include "router/gate_service.hpp"
#include "router/peer_messages.hpp"

namespace filberthub {
namespace {

// Interval of sweeps while requests wait at a gate of this instance; ten times
// as long when none do.
constexpr milliseconds sweep_interval{40};

} // namespace

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
    // Missing in messages of earlier releases.
    if (message.size() > 11)
        request.age = read_milliseconds(message.at(11));
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

void gate_service::sweep()
{
    send_decisions(gate_.sweep(clock_()));
    if (gate_.waiting() > 0)
        sweep_timer_.start(sweep_interval);
    else
        sweep_timer_.start(sweep_interval * 10);
}

} // namespace filberthub
