#include "router/caller_request.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Requests that wait for an owner or a server are looked at this often, and
// whenever something was learned.
constexpr milliseconds wait_check{15};
// Longest wait for an owner: a move takes a fraction of it.
constexpr milliseconds longest_owner_wait{300};
// What crossing a failure domain is taken to cost: its delay, and for a large
// body also the priced bytes.
constexpr milliseconds cross_domain_cost{4};
constexpr std::size_t large_body = 16'384;
constexpr milliseconds cross_domain_cost_large{25};

} // namespace

std::optional<backend_server_id> caller_service::pick_owner(
    request& item, time_point now)
{
    auto owner = view_.owner_of(item.service, *item.key);
    if (!owner)
        return std::nullopt;
    const observed_server* server = view_.servers().find(*owner);
    if (server == nullptr || !view_.servers().may_send_keyed(*server, now) ||
        now < server->avoid_until)
        return std::nullopt;
    return owner;
}

// The keys of a lost server move when its grants have ended, which takes longer
// than a caller waits.
bool caller_service::owner_is_lost(const request& item, time_point now) const
{
    const auto owner = view_.owner_of(item.service, *item.key);
    if (!owner)
        return false;
    const observed_server* server = view_.servers().find(*owner);
    return server == nullptr || now < server->avoid_until;
}

std::optional<backend_server_id> caller_service::pick(
    request& item, time_point now)
{
    if (item.state.keyed)
        return pick_owner(item, now);
    placement_request wanted;
    wanted.cross_domain_cost = item.exchange->request().body.size() > large_body
                                   ? cross_domain_cost_large
                                   : cross_domain_cost;
    wanted.excluded = item.used;
    wanted.uniform_random = [this] { return view_.uniform_random(); };
    return view_.servers().choose(item.service, wanted, now);
}

void caller_service::advance(const request_ref& item)
{
    if (item->done || item->asking)
        return;
    const time_point now = clock_();
    if (now + min_attempt_time >= item->state.answer_deadline) {
        fail(item, failure_of(item->state, true, return_after),
            "no time left for an attempt");
        return;
    }
    if (now < item->not_before) {
        wait(item, now);
        return;
    }
    if (!request_gate_slot(item, now))
        send_without_gate(item, now);
}

// Asks the gate of the owner, or of a group of servers. Returns false if there
// is nobody to ask.
bool caller_service::request_gate_slot(const request_ref& item, time_point now)
{
    slot_request wanted;
    wanted.service = item->service;
    if (item->state.keyed) {
        wanted.owner = pick_owner(*item, now);
        if (!wanted.owner)
            return false;
        item->server = *wanted.owner;
    }
    wanted.excluded = item->used;
    wanted.domain = settings_.domain;
    wanted.cross_domain_cost =
        item->exchange->request().body.size() > large_body
            ? cross_domain_cost_large
            : cross_domain_cost;
    wanted.urgency = item->route->urgency;
    wanted.target_time = item->arrived + item->route->latency_target;
    wanted.answer_deadline = item->state.answer_deadline;
    const std::weak_ptr<request> weak = item;
    item->gate_number = gates_.request_slot(std::move(wanted),
        view_.servers().of_service(item->service).size(),
        [this, weak](const gate_reply& answer) {
            if (const request_ref same = weak.lock())
                on_gate_reply(same, answer);
        });
    item->asking = item->gate_number.has_value();
    return item->asking;
}

void caller_service::on_gate_reply(
    const request_ref& item, const gate_reply& answer)
{
    item->asking = false;
    if (item->done)
        return;
    const time_point now = clock_();
    switch (answer.verdict) {
    case gate_reply::kind::unreachable:
        item->gate_number.reset();
        log_event(log_level::info, "gate did not answer",
            {{log_key::request_id, item->id},
                {log_key::service, item->service.value()}});
        send_without_gate(item, now);
        return;
    case gate_reply::kind::refused:
        item->gate_number.reset();
        fail(item, failure_of(item->state, false, answer.wait),
            "no room before the time limit");
        return;
    case gate_reply::kind::granted:
        break;
    }
    const observed_server* server = view_.servers().find(answer.server);
    const bool fit =
        server != nullptr && now >= server->avoid_until &&
        (item->state.keyed ? !server->unusable_since ||
                                 view_.servers().may_send_keyed(*server, now)
                           : view_.servers().usable(*server));
    if (fit) {
        send(item, answer.server, now);
        return;
    }
    report_to_gate(
        *item, send_outcome::unreachable, milliseconds(0), std::nullopt);
    send_without_gate(item, now);
}

void caller_service::report_to_gate(request& item, send_outcome outcome,
    milliseconds taken, const std::optional<server_load_report>& report)
{
    if (!item.gate_number)
        return;
    gates_.finish(*item.gate_number, {outcome, taken, report});
    item.gate_number.reset();
}

void caller_service::send_without_gate(const request_ref& item, time_point now)
{
    const auto server = pick(*item, now);
    if (server) {
        send(item, *server, now);
        return;
    }
    if (!item->state.keyed) {
        // Nobody else may run it: waiting would not help.
        fail(item, failure_of(item->state, false, return_after_loss),
            "no server left to try");
        return;
    }
    if (owner_is_lost(*item, now) ||
        now >= item->arrived + longest_owner_wait) {
        fail(item, failure_of(item->state, false, return_after_loss),
            "no owner of the key");
        return;
    }
    wait(item, now);
}

void caller_service::wait(const request_ref& item, time_point)
{
    if (!item->waiting) {
        item->waiting = true;
        waiting_.push_back(item);
    }
    if (!wait_timer_.isActive())
        wait_timer_.start(wait_check);
}

void caller_service::on_view_changed()
{
    std::vector<request_ref> moved;
    for (const request_ref& item : requests_) {
        if (item->asking && item->state.keyed &&
            view_.owner_of(item->service, *item->key) != item->server)
            moved.push_back(item);
    }
    for (const request_ref& item : moved) {
        item->asking = false;
        report_to_gate(
            *item, send_outcome::cancelled, milliseconds(0), std::nullopt);
        advance(item);
    }
    retry_waiting();
}

void caller_service::retry_waiting()
{
    std::vector<request_ref> waiting;
    waiting.swap(waiting_);
    // The most urgent ones first, and among them the oldest.
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const request_ref& left, const request_ref& right) {
            return left->route->urgency < right->route->urgency;
        });
    for (const request_ref& item : waiting) {
        item->waiting = false;
        advance(item);
    }
}

} // namespace filberthub
