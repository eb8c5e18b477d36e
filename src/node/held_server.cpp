#include "node/held_server.hpp"

#include "node/clock.hpp"

namespace filberthub {
namespace {

// A request with less time left is not sent, because the server would receive a
// deadline of 0 ms.
constexpr milliseconds min_remaining_time{2};
// Latency that the gate assumes before the first measurement.
constexpr duration initial_latency = milliseconds(10);
// Connections in addition to one per slot. Cancelling a request closes its
// connection, and the next request must not wait for a new one.
constexpr std::size_t spare_connections = 2;

gate_settings settings_of(const service_policy& policy)
{
    gate_settings settings;
    settings.slots = policy.slots;
    settings.baseline = initial_latency;
    settings.queue_capacity_per_slot = policy.queue_per_slot;
    return settings;
}

bool reports_not_run(const http_response& response)
{
    return response.headers.get("Filberthub-Not-Run") == "1";
}

answer_result classify(const http_result& result)
{
    if (!result.response)
        return result.kind == error_kind::outcome_unknown &&
                       result.message == "no answer before the deadline"
                   ? answer_result::timed_out
                   : answer_result::failed;
    if (result.response->headers.get("Filberthub-Cold"))
        return answer_result::refused_cold;
    if (reports_not_run(*result.response))
        return answer_result::refused_busy;
    return result.response->status == 503 ? answer_result::failed
                                          : answer_result::complete;
}

request_kind kind_of(const forward_message& message)
{
    return message.idempotent ? request_kind::idempotent
                              : request_kind::non_idempotent;
}

} // namespace

held_server::held_server(const service_policy& policy,
    const backend_server& server, held_server_environment environment,
    time_point now)
    : policy_(policy),
      server_(server),
      environment_(std::move(environment)),
      gate_(settings_of(policy), evidence_ramp(), gradient_limit(), now),
      client_(server.address,
          {.max_connections = std::min<std::size_t>(
               policy.slots + spare_connections, policy.connections_per_server),
              .limits = {.head_bytes = http_limits{}.head_bytes,
                  .body_bytes = http_limits{}.body_bytes},
              .number_exchanges = true}),
      probes_(server.address,
          {.max_connections = 1, .connect_timeout = milliseconds(200)}),
      grants_(server.address,
          {.max_connections = 1, .connect_timeout = milliseconds(200)})
{
    client_.on_reset([this] { gate_.on_connection_reset(clock_now()); });
}

request_number held_server::submit(forward_message message, time_point deadline,
    answer_callback done, time_point now)
{
    last_number_ = last_number_.next();
    const request_number number = last_number_;
    const gate_request offer{number, message.request_priority, deadline};
    attempt progress(kind_of(message), deadline);
    progress.on(attempt_event::route_found);
    requests_.emplace(number, held_request{std::move(message), deadline,
                                  std::move(done), progress, std::nullopt});
    if (!environment_.is_holder(now)) {
        refuse(number, error_kind::no_holder,
            "this instance does not hold " + server_.id.value());
        return number;
    }
    if (lost_) {
        refuse(number, error_kind::no_holder,
            "server " + server_.id.value() + " is lost");
        return number;
    }
    const offer_result result = gate_.offer(offer, now);
    if (result.displaced)
        refuse(result.displaced->number, result.displaced->reason,
            "displaced by a request of a higher class");
    switch (result.decision) {
    case admission_decision::admit:
        send(number, now);
        break;
    case admission_decision::wait:
        requests_.at(number).progress.on(attempt_event::queue_entered);
        break;
    case admission_decision::refuse:
        refuse(number, result.reason,
            "refused by the gate of " + server_.id.value());
        break;
    }
    return number;
}

void held_server::cancel(request_number number, time_point now)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const std::optional<call_number> call = found->second.call;
    requests_.erase(found);
    if (gate_.cancel(number, now) != cancel_result::admitted)
        return;
    if (call)
        client_.cancel(*call);
    apply(gate_.finish(number, answer_result::cancelled, now), now);
}

void held_server::send(request_number number, time_point now)
{
    held_request& request = requests_.at(number);
    request.progress.on(attempt_event::admitted);
    time_point deadline = request.deadline;
    if (request.message.keyed) {
        const auto lease_end = environment_.grants_until();
        deadline = std::min(deadline, lease_end.value_or(now));
    }
    const bool grant_missing =
        request.message.keyed && policy_.verifies_tokens &&
        now >= granted_until_[request.message.group_token];
    const bool held = environment_.is_holder(now);
    if (!held || grant_missing || deadline - now < min_remaining_time) {
        const error_kind kind = !held ? error_kind::lease_lapsed
                                : grant_missing
                                    ? error_kind::no_holder
                                    : error_kind::deadline_exceeded_not_run;
        const gate_changes changes =
            gate_.finish(number, answer_result::cancelled, now);
        refuse(number, kind, "not sent to " + server_.id.value());
        apply(changes, now);
        return;
    }
    const auto remaining = std::chrono::floor<milliseconds>(deadline - now);
    request.call = client_.send(backend_request(request, now), remaining,
        [this, number](
            http_result result) { on_result(number, std::move(result)); });
}

http_request held_server::backend_request(
    const held_request& request, time_point now) const
{
    const forward_message& message = request.message;
    http_request out;
    out.method = message.method;
    out.target = message.target;
    out.body = message.body;
    for (const auto& [name, value] : message.headers)
        out.headers.add(name, value);
    remove_hop_by_hop_fields(out.headers);
    out.headers.set("Host", to_string(server_.address));
    out.headers.set("Filberthub-Deadline-Ms",
        std::to_string(
            std::chrono::floor<milliseconds>(request.deadline - now).count()));
    if (!message.traceparent.empty())
        out.headers.set("traceparent", message.traceparent);
    if (message.keyed) {
        out.headers.set(
            "Filberthub-Key-Group", std::to_string(message.group.value()));
        const auto token = environment_.token(message.group_token);
        out.headers.set("Filberthub-Fencing-Token",
            std::to_string(token.value_or(fencing_token()).value()));
    }
    return out;
}

void held_server::on_result(request_number number, http_result result)
{
    const time_point now = clock_now();
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    held_request request = std::move(found->second);
    requests_.erase(found);
    const gate_changes changes = gate_.finish(number, classify(result), now);
    answer_with(number, std::move(request), result, now);
    apply(changes, now);
}

void held_server::answer_with(
    request_number, held_request request, http_result& result, time_point now)
{
    answer_message answer;
    answer.number = request.message.number;
    answer.load = load(now);
    // Only the result tells whether the client has written any byte.
    if (result.sent)
        request.progress.on(attempt_event::first_byte_written);
    if (result.response && !reports_not_run(*result.response)) {
        request.progress.on(attempt_event::backend_answered);
        answer.status = static_cast<std::uint16_t>(result.response->status);
        remove_hop_by_hop_fields(result.response->headers);
        for (const http_headers::field& item :
            result.response->headers.fields())
            answer.headers.emplace_back(item.name, item.value);
        answer.body = std::move(result.response->body);
        request.done(std::move(answer));
        return;
    }
    if (result.response) {
        request.progress.on(attempt_event::backend_refused);
        answer.kind = result.response->status == 409 ? error_kind::not_owner
                                                     : error_kind::overloaded;
        answer.message = "server " + server_.id.value() +
                         " did not start the request: " + result.response->body;
    } else if (!result.sent) {
        request.progress.on(result.kind == error_kind::deadline_exceeded_not_run
                                ? attempt_event::deadline_passed
                                : attempt_event::connection_unwritten);
        answer.kind =
            request.progress.failure().value_or(error_kind::overloaded);
        answer.message = std::move(result.message);
    } else {
        request.progress.on(result.kind == error_kind::bad_backend_answer
                                ? attempt_event::backend_answer_bad
                                : attempt_event::connection_lost);
        answer.kind =
            request.progress.failure().value_or(error_kind::outcome_unknown);
        answer.message = std::move(result.message);
    }
    request.done(std::move(answer));
}

void held_server::refuse(
    request_number number, error_kind kind, const std::string& why)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    held_request request = std::move(found->second);
    requests_.erase(found);
    answer_message answer;
    answer.number = request.message.number;
    answer.kind = kind;
    answer.message = why;
    answer.load = load(clock_now());
    request.done(std::move(answer));
}

void held_server::apply(const gate_changes& changes, time_point now)
{
    for (const refusal& item : changes.refused)
        refuse(item.number, item.reason, "waited for " + server_.id.value());
    for (const request_number number : changes.admitted) {
        if (requests_.contains(number))
            send(number, now);
        else
            apply(gate_.finish(number, answer_result::cancelled, now), now);
    }
}

void held_server::tick(time_point now)
{
    apply(gate_.expire(now), now);
    probe(now);
    renew_grants(now);
}

void held_server::drain(time_point now)
{
    if (draining_)
        return;
    draining_ = true;
    apply(gate_.drain(), now);
}

void held_server::abandon(time_point now)
{
    drain(now);
    while (!requests_.empty()) {
        const request_number number = requests_.begin()->first;
        const std::optional<call_number> call = requests_.begin()->second.call;
        const bool sent = call && client_.cancel(*call);
        gate_.finish(number, answer_result::cancelled, now);
        refuse(number,
            sent ? error_kind::outcome_unknown : error_kind::lease_lapsed,
            "the lease of the holder of " + server_.id.value() + " lapsed");
    }
}

void held_server::set_out_of_service(bool out, time_point now)
{
    apply(gate_.set_out_of_service(out, now), now);
}

void held_server::set_policy(const service_policy& policy)
{
    policy_ = policy;
}

bool held_server::has_request_for(key_group group) const
{
    return std::any_of(
        requests_.begin(), requests_.end(), [&](const auto& item) {
            return item.second.message.keyed &&
                   item.second.message.group == group;
        });
}

server_load held_server::load(time_point now) const
{
    const gate_summary summary = gate_.summary(now);
    return {.in_flight = summary.in_flight,
        .waiting = summary.waiting,
        .limit = summary.closed || lost_ ? 0 : summary.limit,
        .latency_us = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(
                summary.mean_latency)
                .count())};
}

} // namespace filberthub
