#include "router/caller_request.hpp"

#include <filberthub/routing/owner_wait.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Interval at which waiting requests are tried again; they are also tried when
// the view changes.
constexpr milliseconds retry_interval{15};
// Cost of sending a request to another failure domain, as the time that a
// server there must save: the network delay, and for a large body also the
// price of the traffic.
constexpr milliseconds cross_domain_cost{4};
constexpr std::size_t large_body_bytes = 16'384;
constexpr milliseconds cross_domain_cost_large_body{25};

} // namespace

// Returns the owner of the request's key if it may get the request now.
std::optional<backend_server_id> caller_service::usable_owner(
    caller_request& request, time_point now)
{
    auto owner = view_.owner_of(request.service, *request.key);
    if (!owner)
        return std::nullopt;
    const observed_server* server = view_.servers().find(*owner);
    if (server == nullptr || !view_.servers().may_send_keyed(*server, now) ||
        now < server->avoid_until)
        return std::nullopt;
    return owner;
}

// Whether the owner of the request's key is gone or failing. Its keys move only
// when its grants have ended, which takes longer than a caller waits.
bool caller_service::owner_is_lost(
    const caller_request& request, time_point now) const
{
    const auto owner = view_.owner_of(request.service, *request.key);
    if (!owner)
        return false;
    const observed_server* server = view_.servers().find(*owner);
    return server == nullptr || now < server->avoid_until;
}

// Tells why no request for this key can be sent now.
std::string_view caller_service::owner_problem(
    const caller_request& request, time_point now) const
{
    const auto owner = view_.owner_of(request.service, *request.key);
    if (!owner)
        return "no owner of the key";
    const server_pool& servers = view_.servers();
    const observed_server* server = servers.find(*owner);
    if (server == nullptr)
        return "the owner of the key is not registered";
    if (now < server->avoid_until)
        return "the owner of the key has failed";
    if (!servers.allows_assigned(*server, true, now))
        return "the owner of the key takes no requests";
    if (!servers.accepts_without_gate(*server, now))
        return "the owner of the key is full and its gate is not reachable";
    return "the owner of the key is cold";
}

// Returns for how long the owner of the request's key wants no requests.
milliseconds caller_service::owner_rest(
    const caller_request& request, time_point now) const
{
    const auto owner = view_.owner_of(request.service, *request.key);
    const observed_server* server =
        owner ? view_.servers().find(*owner) : nullptr;
    if (server == nullptr || !view_.servers().resting(*server, now))
        return milliseconds(0);
    return elapsed(now, server->rests_until) + milliseconds(1);
}

std::optional<backend_server_id> caller_service::choose_server(
    caller_request& request, time_point now)
{
    if (request.state.keyed) {
        auto owner = usable_owner(request, now);
        if (owner && !view_.servers().accepts_without_gate(
                         *view_.servers().find(*owner), now))
            owner.reset();
        return owner;
    }
    placement_request placement;
    placement.cross_domain_cost =
        request.exchange->request().body.size() > large_body_bytes
            ? cross_domain_cost_large_body
            : cross_domain_cost;
    placement.excluded = request.tried_servers;
    placement.uniform_random = [this] { return view_.uniform_random(); };
    return view_.servers().choose(request.service, placement, now);
}

void caller_service::start_attempt(const request_ptr& request)
{
    if (request->finished || request->waiting_for_slot)
        return;
    if (!confirm_account(request))
        return;
    const time_point now = clock_();
    if (now + min_attempt_time >= request->state.answer_deadline) {
        fail(request, failure_of(request->state, true, retry_delay),
            "no time left for an attempt");
        return;
    }
    if (now < request->not_before) {
        retry_later(request, now);
        return;
    }
    if (!request_gate_slot(request, now))
        send_without_gate(request, now, "no reachable gate");
}

// Requests a slot from the gate of the key's owner, or of a group of servers.
// Returns false if there is no usable owner or no reachable gate.
bool caller_service::request_gate_slot(
    const request_ptr& request, time_point now)
{
    slot_request slot;
    slot.service = request->service;
    if (request->state.keyed) {
        slot.owner = usable_owner(*request, now);
        if (!slot.owner)
            return false;
        request->server = *slot.owner;
    }
    // The gate does not know which servers this instance may not send to.
    slot.excluded = view_.servers().withdrawn_servers(request->service, now);
    slot.excluded.insert(slot.excluded.end(), request->tried_servers.begin(),
        request->tried_servers.end());
    slot.domain = settings_.domain;
    slot.cross_domain_cost =
        request->exchange->request().body.size() > large_body_bytes
            ? cross_domain_cost_large_body
            : cross_domain_cost;
    slot.urgency = request->urgency();
    slot.age = request->age;
    // The caller counts from its first attempt.
    slot.target_time =
        request->arrived - request->age + request->route->latency_target;
    slot.answer_deadline = request->state.answer_deadline;
    const std::weak_ptr<caller_request> weak_request = request;
    request->slot_number = gates_.request_slot(std::move(slot),
        view_.uniform_random(), [this, weak_request](const gate_reply& reply) {
            if (const request_ptr live_request = weak_request.lock())
                guard(live_request, "reply of a gate",
                    [&] { on_gate_reply(live_request, reply); });
        });
    request->waiting_for_slot = request->slot_number.has_value();
    return request->waiting_for_slot;
}

void caller_service::on_gate_reply(
    const request_ptr& request, const gate_reply& reply)
{
    request->waiting_for_slot = false;
    if (request->finished)
        return;
    const time_point now = clock_();
    if (reply.told_wait)
        told_wait_.add(static_cast<double>(reply.told_wait->count()));
    switch (reply.decision) {
    case gate_reply::kind::unreachable:
    case gate_reply::kind::no_reply: {
        const bool silent = reply.decision == gate_reply::kind::unreachable;
        request->slot_number.reset();
        log_event(log_level::info, "gate did not answer",
            {{log_key::request_id, request->id},
                {log_key::service, request->service.value()},
                {"host_silent", silent}});
        send_without_gate(request, now, silent ? "host is silent" : "no reply");
        return;
    }
    case gate_reply::kind::refused:
        request->slot_number.reset();
        fail(request, failure_of(request->state, false, reply.wait),
            "no room before the time limit");
        return;
    case gate_reply::kind::granted:
        break;
    }
    const observed_server* server = view_.servers().find(reply.server);
    const bool withdrawn =
        server != nullptr &&
        (server->leaving || view_.servers().resting(*server, now));
    const bool fits =
        server != nullptr && now >= server->avoid_until &&
        !view_.servers().resting(*server, now) &&
        (request->state.keyed ? !server->unusable_since ||
                                    view_.servers().may_send_keyed(*server, now)
                              : view_.servers().usable(*server));
    if (fits) {
        gate_wait_.add(
            static_cast<double>(elapsed(request->arrived, now).count()));
        send(request, reply.server, now);
        return;
    }
    // Other instances may still send to a server that has withdrawn from this
    // one only.
    report_to_gate(*request,
        withdrawn ? send_outcome::cancelled : send_outcome::unreachable,
        milliseconds(0), std::nullopt);
    send_without_gate(request, now, "granted server is not usable");
}

void caller_service::report_to_gate(caller_request& request,
    send_outcome outcome, milliseconds taken,
    const std::optional<server_load_report>& report)
{
    if (!request.slot_number)
        return;
    gates_.finish(*request.slot_number, {outcome, taken, report});
    request.slot_number.reset();
}

void caller_service::send_without_gate(
    const request_ptr& request, time_point now, const char* reason)
{
    const auto server = choose_server(*request, now);
    if (server) {
        counter*& sent = without_gate_[reason];
        if (sent == nullptr) {
            sent = &metrics_.add_counter("filberthub_sends_without_gate_total",
                "Requests sent to a server without a slot of its gate.",
                {{"reason", reason}});
        }
        sent->add();
        send(request, *server, now);
        return;
    }
    if (!request->state.keyed) {
        // No other server may run it, so that waiting would not help.
        fail(request, failure_of(request->state, false, retry_delay_after_loss),
            "no server left to try");
        return;
    }
    const milliseconds rest = owner_rest(*request, now);
    if (!may_wait_for_owner(*request, now + rest)) {
        failure_answer answer = failure_of(request->state, false,
            rest.count() > 0 ? rest : retry_delay_after_loss);
        answer.exact_wait = rest.count() > 0;
        fail(request, answer,
            rest.count() > 0 ? "the owner of the key wants no requests"
                             : owner_problem(*request, now));
        return;
    }
    if (owner_is_lost(*request, now)) {
        fail(request, failure_of(request->state, false, retry_delay_after_loss),
            owner_problem(*request, now));
        return;
    }
    retry_later(request, now);
}

// Whether the request may wait for an owner of its key that can take it. A key
// that moves has no owner. An owner that is cold or rests keeps its keys, so
// that waiting for longer would not help.
bool caller_service::may_wait_for_owner(
    const caller_request& request, time_point now) const
{
    ownerless_request waiting;
    waiting.arrived = request.arrived;
    waiting.answer_deadline = request.state.answer_deadline;
    if (!view_.owner_of(request.service, *request.key)) {
        waiting.latency_target = request.route->latency_target;
        waiting.service_time = milliseconds(static_cast<std::int64_t>(
            view_.servers().times().mean_ms(request.service)));
    }
    // The list is tried in order of urgency, so that it holds those before this
    // request.
    return owner_wait().may_wait(waiting, waiting_requests_.size(), now);
}

void caller_service::retry_later(const request_ptr& request, time_point)
{
    if (!request->waiting_for_retry) {
        request->waiting_for_retry = true;
        waiting_requests_.push_back(request);
    }
    if (!retry_timer_.isActive())
        retry_timer_.start(retry_interval);
}

void caller_service::on_view_changed()
{
    confirm_accounts();
    move_waiting();
    withdraw_unsent();
    retry_waiting();
}

// Starts the requests again that wait for a slot of a server that no longer
// owns their key or wants no requests.
void caller_service::move_waiting()
{
    const time_point now = clock_();
    std::vector<request_ptr> moved_requests;
    for (const request_ptr& request : requests_) {
        if (request->waiting_for_slot && request->state.keyed &&
            (view_.owner_of(request->service, *request->key) !=
                    request->server ||
                !may_still_send(*request, now)))
            moved_requests.push_back(request);
    }
    for (const request_ptr& request : moved_requests) {
        guard(request, "move of a waiting request", [&] {
            request->waiting_for_slot = false;
            report_to_gate(*request, send_outcome::cancelled, milliseconds(0),
                std::nullopt);
            start_attempt(request);
        });
    }
}

// A request that waits for a connection to a server that may not get it any
// more would wait in vain.
void caller_service::withdraw_unsent()
{
    const time_point now = clock_();
    std::vector<request_ptr> unsent_requests;
    for (const request_ptr& request : requests_) {
        if (request->client != nullptr && !may_still_send(*request, now) &&
            !is_sent(*request))
            unsent_requests.push_back(request);
    }
    for (const request_ptr& request : unsent_requests) {
        if (request->client != nullptr)
            guard(request, "withdrawal of an attempt",
                [&] { on_withdrawn(request, now); });
    }
}

void caller_service::retry_waiting()
{
    std::vector<request_ptr> waiting;
    waiting.swap(waiting_requests_);
    // The most urgent requests first; among equals, the one that has waited
    // longest.
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const request_ptr& left, const request_ptr& right) {
            return left->urgency() < right->urgency();
        });
    for (const request_ptr& request : waiting) {
        request->waiting_for_retry = false;
        guard(request, "waiting request", [&] { start_attempt(request); });
    }
}

} // namespace filberthub
