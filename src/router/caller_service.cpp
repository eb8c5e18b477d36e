#include "router/caller_request.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>
#include <charconv>

namespace filberthub {
namespace {

namespace header = platform_api::header;

// For a request that does not say how long its caller waits.
constexpr milliseconds default_allowed{10'000};
constexpr milliseconds longest_allowed{600'000};
// Pause before the owner of a key is asked again after it refused.
constexpr milliseconds refused_pause{20};

std::optional<milliseconds> caller_time(const http_headers& headers)
{
    const auto text = headers.get(header::deadline);
    if (!text)
        return std::nullopt;
    long value = 0;
    const auto parsed =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc() || value < 0)
        return std::nullopt;
    return std::min(milliseconds(value), longest_allowed);
}

std::string seconds_text(milliseconds time)
{
    std::string digits = std::to_string(time.count() % 1000);
    digits.insert(0, 3 - digits.size(), '0');
    return std::to_string(time.count() / 1000) + "." + digits;
}

} // namespace

caller_service::caller_service(const route_settings& settings,
    deployment_view& view, gate_service& gates, metric_registry& metrics,
    std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      gates_(gates),
      clock_(std::move(clock)),
      connections_(view),
      served_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "done"}})),
      refused_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "not-run"}})),
      failed_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "unknown"}})),
      repeats_(metrics.add_counter(
          "filberthub_repeats_total", "Attempts after the first one.")),
      latency_(metrics.add_histogram("filberthub_request_ms",
          "Milliseconds from a request to its answer."))
{
    wait_timer_.setSingleShot(true);
    connect(&wait_timer_, &QTimer::timeout, this, [this] { retry_waiting(); });
}

window_budget& caller_service::budget_of(const service_id& service)
{
    return budgets_
        .try_emplace(
            service, window_budget_options{settings_.bounds.retry_ratio,
                         settings_.bounds.retry_allowance,
                         settings_.bounds.retry_window})
        .first->second;
}

void caller_service::accept(std::shared_ptr<http_exchange> exchange)
{
    const time_point now = clock_();
    auto item = std::make_shared<request>();
    item->exchange = std::move(exchange);
    item->arrived = now;
    item->position = requests_.insert(requests_.end(), item);
    const http_request& head = item->exchange->request();
    item->id = std::string(head.headers.get(header::request_id).value_or(""));
    item->routes = view_.routes();
    if (ending_) {
        fail(item, {503, return_after}, "this instance is stopping");
        return;
    }
    if (!item->routes || !view_.ready()) {
        fail(item, {503, return_after_loss}, "no configuration yet");
        return;
    }
    const auto host = head.headers.get("Host");
    if (!host) {
        fail(item, {400, std::nullopt}, "no Host field");
        return;
    }
    item->route = item->routes->find(*host, head.target);
    if (item->route == nullptr) {
        fail(item, {404, std::nullopt}, "no route");
        return;
    }
    begin(item);
}

void caller_service::begin(const request_ref& item)
{
    const http_request& head = item->exchange->request();
    item->service = choose_service(*item->route, view_.uniform_random());
    const service_rule* rule = item->routes->service(item->service);
    if (rule != nullptr && rule->keyed)
        item->key = platform_api::decode_key(head.headers);
    item->state.repeatable = item->route->repeatable;
    item->state.keyed = item->key.has_value();
    item->state.attempts_allowed = item->route->attempts;
    item->state.answer_deadline = compute_answer_deadline(item->arrived,
        caller_time(head.headers).value_or(default_allowed),
        item->route->answer_timeout);
    budget_of(item->service).on_request(item->arrived, view_.fleet_size());
    if (item->key)
        ++counts_.requests[item->service][*item->key];
    const std::weak_ptr<request> weak = item;
    item->exchange->on_cancelled([this, weak] {
        if (const request_ref same = weak.lock())
            on_cancelled(same);
    });
    advance(item);
}

http_request caller_service::forwarded(
    const request& item, time_point now) const
{
    const http_request& original = item.exchange->request();
    http_request copy;
    copy.method = original.method;
    copy.target = original.target;
    copy.headers = original.headers;
    copy.body = original.body;
    remove_hop_by_hop_fields(copy.headers);
    copy.headers.set(header::deadline,
        std::to_string(std::max<std::int64_t>(
            elapsed(now, item.state.answer_deadline).count(), 1)));
    copy.headers.set(header::expected_server, item.server.value());
    return copy;
}

void caller_service::send(
    const request_ref& item, const backend_server_id& server, time_point now)
{
    http_client* client = connections_.client_for(server);
    if (client == nullptr) {
        fail(item, failure_of(item->state, false, return_after_loss),
            "server is gone");
        return;
    }
    item->server = server;
    item->client = client;
    item->sent = now;
    if (item->state.sends > 0)
        repeats_.add();
    view_.servers().on_sent(server, now);
    item->call = client->send(forwarded(*item, now),
        std::max(elapsed(now, item->state.answer_deadline), milliseconds(1)),
        [this, item, server](http_result result) {
            item->client = nullptr;
            on_result(item, server, std::move(result));
        });
}

void caller_service::on_result(const request_ref& item,
    const backend_server_id& server, http_result result)
{
    const time_point now = clock_();
    const milliseconds taken = elapsed(item->sent, now);
    if (result.response) {
        on_answer(item, server, std::move(*result.response), taken, now);
        return;
    }
    const send_outcome outcome =
        result.sent ? send_outcome::lost : send_outcome::unreachable;
    view_.servers().on_finished(server, outcome, taken, std::nullopt, now);
    report_to_gate(*item, outcome, taken, std::nullopt);
    if (result.sent) {
        ++item->state.sends;
        item->state.may_have_run = true;
        item->used.push_back(server);
    }
    if (item->done)
        return;
    log_event(log_level::info, "attempt without an answer",
        {{log_key::request_id, item->id}, {log_key::server, server.value()},
            {"sent", result.sent}, {log_key::duration_ms, taken.count()},
            {log_key::error, result.message}});
    decide(item, {outcome}, now);
}

void caller_service::on_answer(const request_ref& item,
    const backend_server_id& server, http_response response, milliseconds taken,
    time_point now)
{
    const auto report = platform_api::decode_load(response.headers);
    send_outcome outcome = send_outcome::answered;
    if (platform_api::says_not_run(response))
        outcome = send_outcome::refused;
    else if (response.status >= 500)
        outcome = send_outcome::failed;
    else if (response.status < 300 && !response.headers.get(header::signature))
        outcome = send_outcome::lost;
    view_.servers().on_finished(server, outcome, taken, report, now);
    report_to_gate(*item, outcome, taken, report);
    ++item->state.sends;
    item->used.push_back(server);
    if (outcome != send_outcome::refused)
        item->state.may_have_run = true;
    if (item->done)
        return;
    if (outcome != send_outcome::answered) {
        log_event(log_level::info, "attempt was not served",
            {{log_key::request_id, item->id}, {log_key::server, server.value()},
                {log_key::status, response.status},
                {"not_run", outcome == send_outcome::refused},
                {log_key::duration_ms, taken.count()}});
    }
    const next_step step = after_attempt(item->state, {outcome}, now);
    if (step == next_step::deliver) {
        deliver(item, std::move(response));
        return;
    }
    if (step == next_step::repeat &&
        !budget_of(item->service).try_take(now, view_.fleet_size())) {
        if (outcome == send_outcome::failed) {
            deliver(item, std::move(response));
            return;
        }
        fail(item, failure_of(item->state, false, return_after),
            "retry budget is spent");
        return;
    }
    if (step == next_step::give_up) {
        fail(item, failure_of(item->state, false, return_after),
            "attempts are spent");
        return;
    }
    if (item->state.keyed)
        item->not_before = now + refused_pause;
    advance(item);
}

void caller_service::decide(
    const request_ref& item, const attempt_result& result, time_point now)
{
    const next_step step = after_attempt(item->state, result, now);
    if (step == next_step::repeat_without_budget) {
        advance(item);
        return;
    }
    if (step == next_step::repeat &&
        budget_of(item->service).try_take(now, view_.fleet_size())) {
        advance(item);
        return;
    }
    const bool timed_out =
        now + min_attempt_time >= item->state.answer_deadline;
    fail(item, failure_of(item->state, timed_out, return_after),
        timed_out ? "time limit reached" : "attempt failed");
}

void caller_service::deliver(const request_ref& item, http_response response)
{
    remove_hop_by_hop_fields(response.headers);
    platform_api::remove_internal_fields(response.headers);
    served_.add();
    latency_.add(static_cast<double>(elapsed(item->arrived, clock_()).count()));
    log_event(log_level::info, "request served",
        {{log_key::request_id, item->id},
            {log_key::service, item->service.value()},
            {log_key::server, item->server.value()},
            {log_key::status, response.status}, {"sends", item->state.sends},
            {"gate_ms", elapsed(item->arrived, item->sent).count()},
            {log_key::duration_ms, elapsed(item->arrived, clock_()).count()},
            {log_key::revision, item->routes->config().version.value()}});
    const std::shared_ptr<http_exchange> exchange = item->exchange;
    finish(item);
    exchange->respond(std::move(response));
}

void caller_service::fail(const request_ref& item, const failure_answer& answer,
    std::string_view reason)
{
    http_response response;
    response.status = answer.status;
    if (answer.retry_after)
        response.headers.set(
            header::retry_after, seconds_text(*answer.retry_after));
    if (!item->id.empty())
        response.headers.set(header::request_id, item->id);
    response.headers.set("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    (item->state.may_have_run ? failed_ : refused_).add();
    log_event(log_level::info, "request not served",
        {{log_key::request_id, item->id},
            {log_key::service, item->service.value()},
            {log_key::status, answer.status}, {"reason", reason},
            {"sends", item->state.sends},
            {"may_have_run", item->state.may_have_run},
            {log_key::duration_ms, elapsed(item->arrived, clock_()).count()},
            {log_key::revision,
                item->routes ? item->routes->config().version.value() : 0}});
    const std::shared_ptr<http_exchange> exchange = item->exchange;
    finish(item);
    exchange->respond(std::move(response));
}

void caller_service::finish(const request_ref& item)
{
    if (item->done)
        return;
    item->done = true;
    // The list may hold the last reference.
    const auto position = item->position;
    requests_.erase(position);
}

void caller_service::on_cancelled(const request_ref& item)
{
    if (item->done)
        return;
    withdraw(*item, clock_());
    log_event(
        log_level::debug, "caller left", {{log_key::request_id, item->id}});
    finish(item);
}

// Ends the attempt of a request, and its wait for a slot.
void caller_service::withdraw(request& item, time_point now)
{
    if (item.client != nullptr) {
        item.client->cancel(item.call);
        item.client = nullptr;
        view_.servers().on_finished(item.server, send_outcome::cancelled,
            elapsed(item.sent, now), std::nullopt, now);
    }
    item.asking = false;
    report_to_gate(
        item, send_outcome::cancelled, elapsed(item.sent, now), std::nullopt);
}

bool caller_service::is_sent(const request& item) const
{
    return item.client != nullptr && item.client->is_sent(item.call);
}

void caller_service::refuse_unsent()
{
    ending_ = true;
    const std::list<request_ref> open = requests_;
    for (const request_ref& item : open) {
        if (item->done || is_sent(*item))
            continue;
        withdraw(*item, clock_());
        fail(item, failure_of(item->state, false, return_after),
            "this instance is stopping");
    }
}

void caller_service::answer_all()
{
    refuse_unsent();
    const std::list<request_ref> open = requests_;
    for (const request_ref& item : open) {
        if (item->done)
            continue;
        item->state.may_have_run = true;
        withdraw(*item, clock_());
        fail(item, failure_of(item->state, true, return_after),
            "this instance stops before the server has answered");
    }
}

void caller_service::sweep()
{
    connections_.sweep();
}

load_counts caller_service::take_counts()
{
    for (const auto& [server, time] : gates_.gate().times().typical_slowdowns())
        counts_.slowdowns[server] = time;
    return std::exchange(counts_, {});
}

} // namespace filberthub
