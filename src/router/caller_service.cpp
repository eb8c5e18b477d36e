#include "router/caller_request.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>
#include <charconv>

namespace filberthub {
namespace {

namespace header = platform_api::header;

// For a request that does not say how long its caller waits.
constexpr milliseconds default_caller_timeout{10'000};
// A longer wait of a caller is cut to this.
constexpr milliseconds max_caller_timeout{600'000};
// Pause before the next attempt of a request with a key that its owner refused.
constexpr milliseconds pause_after_refusal{20};

// Returns how long the caller waits, if its request says so.
std::optional<milliseconds> decode_caller_timeout(const http_headers& headers)
{
    const auto text = headers.get(header::deadline);
    if (!text)
        return std::nullopt;
    long value = 0;
    const auto parsed =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc() || value < 0)
        return std::nullopt;
    return std::min(milliseconds(value), max_caller_timeout);
}

// Returns the time in seconds with three decimals.
std::string format_seconds(milliseconds time)
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
      done_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "done"}})),
      not_run_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "not-run"}})),
      unknown_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "unknown"}})),
      repeats_(metrics.add_counter(
          "filberthub_repeats_total", "Attempts after the first one.")),
      latency_(metrics.add_histogram("filberthub_request_ms",
          "Milliseconds from a request to its answer."))
{
    retry_timer_.setSingleShot(true);
    connect(&retry_timer_, &QTimer::timeout, this, [this] { retry_waiting(); });
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
    auto request = std::make_shared<caller_request>();
    request->exchange = std::move(exchange);
    request->arrived = now;
    request->position = requests_.insert(requests_.end(), request);
    const http_request& original = request->exchange->request();
    request->id =
        std::string(original.headers.get(header::request_id).value_or(""));
    request->routes = view_.routes();
    if (stopping_) {
        fail(request, {503, retry_delay}, "this instance is stopping");
        return;
    }
    if (!request->routes || !view_.ready()) {
        fail(request, {503, retry_delay_after_loss}, "no configuration yet");
        return;
    }
    const auto host = original.headers.get("Host");
    if (!host) {
        fail(request, {400, std::nullopt}, "no Host field");
        return;
    }
    request->route = request->routes->find(*host, original.target);
    if (request->route == nullptr) {
        fail(request, {404, std::nullopt}, "no route");
        return;
    }
    start_request(request);
}

void caller_service::start_request(const request_ptr& request)
{
    const http_request& original = request->exchange->request();
    request->service = choose_service(*request->route, view_.uniform_random());
    const service_rule* rule = request->routes->service(request->service);
    if (rule != nullptr && rule->keyed)
        request->key = platform_api::decode_key(original.headers);
    request->state.repeatable = request->route->repeatable;
    request->state.keyed = request->key.has_value();
    request->state.attempts_allowed = request->route->attempts;
    request->state.answer_deadline = compute_answer_deadline(request->arrived,
        decode_caller_timeout(original.headers)
            .value_or(default_caller_timeout),
        request->route->answer_timeout);
    budget_of(request->service)
        .on_request(request->arrived, view_.fleet_size());
    if (request->key)
        ++counts_.requests[request->service][*request->key];
    const std::weak_ptr<caller_request> weak_request = request;
    request->exchange->on_cancelled([this, weak_request] {
        if (const request_ptr live_request = weak_request.lock())
            on_cancelled(live_request);
    });
    start_attempt(request);
}

http_request caller_service::make_forwarded_request(
    const caller_request& request, time_point now) const
{
    const http_request& original = request.exchange->request();
    http_request copy;
    copy.method = original.method;
    copy.target = original.target;
    copy.headers = original.headers;
    copy.body = original.body;
    remove_hop_by_hop_fields(copy.headers);
    copy.headers.set(header::deadline,
        std::to_string(std::max<std::int64_t>(
            elapsed(now, request.state.answer_deadline).count(), 1)));
    copy.headers.set(header::expected_server, request.server.value());
    return copy;
}

void caller_service::send(
    const request_ptr& request, const backend_server_id& server, time_point now)
{
    http_client* client = connections_.client_for(server);
    if (client == nullptr) {
        fail(request, failure_of(request->state, false, retry_delay_after_loss),
            "server is gone");
        return;
    }
    request->server = server;
    request->client = client;
    request->sent = now;
    if (request->state.sends > 0)
        repeats_.add();
    view_.servers().on_sent(server, now);
    request->call = client->send(make_forwarded_request(*request, now),
        std::max(elapsed(now, request->state.answer_deadline), milliseconds(1)),
        [this, request, server](http_result result) {
            request->client = nullptr;
            on_result(request, server, std::move(result));
        });
}

void caller_service::on_result(const request_ptr& request,
    const backend_server_id& server, http_result result)
{
    const time_point now = clock_();
    const milliseconds taken = elapsed(request->sent, now);
    if (result.response) {
        on_answer(request, server, std::move(*result.response), taken, now);
        return;
    }
    const send_outcome outcome =
        result.sent ? send_outcome::lost : send_outcome::unreachable;
    view_.servers().on_finished(server, outcome, taken, std::nullopt, now);
    report_to_gate(*request, outcome, taken, std::nullopt);
    if (result.sent) {
        ++request->state.sends;
        request->state.may_have_run = true;
        request->tried_servers.push_back(server);
    }
    if (request->finished)
        return;
    log_event(log_level::info, "attempt got no answer",
        {{log_key::request_id, request->id}, {log_key::server, server.value()},
            {"sent", result.sent}, {log_key::duration_ms, taken.count()},
            {log_key::error, result.message}});
    on_failed_attempt(request, {outcome}, now);
}

void caller_service::on_answer(const request_ptr& request,
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
    report_to_gate(*request, outcome, taken, report);
    ++request->state.sends;
    request->tried_servers.push_back(server);
    if (outcome != send_outcome::refused)
        request->state.may_have_run = true;
    if (request->finished)
        return;
    if (outcome != send_outcome::answered) {
        log_event(log_level::info, "attempt was refused or failed",
            {{log_key::request_id, request->id},
                {log_key::server, server.value()},
                {log_key::status, response.status},
                {"not_run", outcome == send_outcome::refused},
                {log_key::duration_ms, taken.count()}});
    }
    const next_step step = after_attempt(request->state, {outcome}, now);
    if (step == next_step::deliver) {
        deliver(request, std::move(response));
        return;
    }
    if (step == next_step::repeat &&
        !budget_of(request->service).try_take(now, view_.fleet_size())) {
        if (outcome == send_outcome::failed) {
            deliver(request, std::move(response));
            return;
        }
        fail(request, failure_of(request->state, false, retry_delay),
            "retry budget is spent");
        return;
    }
    if (step == next_step::give_up) {
        fail(request, failure_of(request->state, false, retry_delay),
            "attempts are spent");
        return;
    }
    if (request->state.keyed)
        request->not_before = now + pause_after_refusal;
    start_attempt(request);
}

void caller_service::on_failed_attempt(
    const request_ptr& request, const attempt_result& result, time_point now)
{
    const next_step step = after_attempt(request->state, result, now);
    if (step == next_step::repeat_without_budget) {
        start_attempt(request);
        return;
    }
    if (step == next_step::repeat &&
        budget_of(request->service).try_take(now, view_.fleet_size())) {
        start_attempt(request);
        return;
    }
    const bool timed_out =
        now + min_attempt_time >= request->state.answer_deadline;
    fail(request, failure_of(request->state, timed_out, retry_delay),
        timed_out ? "time limit reached" : "attempt failed");
}

void caller_service::deliver(const request_ptr& request, http_response response)
{
    remove_hop_by_hop_fields(response.headers);
    platform_api::remove_internal_fields(response.headers);
    done_.add();
    latency_.add(
        static_cast<double>(elapsed(request->arrived, clock_()).count()));
    log_event(log_level::info, "request served",
        {{log_key::request_id, request->id},
            {log_key::service, request->service.value()},
            {log_key::server, request->server.value()},
            {log_key::status, response.status}, {"sends", request->state.sends},
            {"gate_ms", elapsed(request->arrived, request->sent).count()},
            {log_key::duration_ms, elapsed(request->arrived, clock_()).count()},
            {log_key::revision, request->routes->config().version.value()}});
    const std::shared_ptr<http_exchange> exchange = request->exchange;
    finish(request);
    exchange->respond(std::move(response));
}

void caller_service::fail(const request_ptr& request,
    const failure_answer& answer, std::string_view reason)
{
    http_response response;
    response.status = answer.status;
    if (answer.retry_after)
        response.headers.set(
            header::retry_after, format_seconds(*answer.retry_after));
    if (!request->id.empty())
        response.headers.set(header::request_id, request->id);
    response.headers.set("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    (request->state.may_have_run ? unknown_ : not_run_).add();
    log_event(log_level::info, "request not served",
        {{log_key::request_id, request->id},
            {log_key::service, request->service.value()},
            {log_key::status, answer.status}, {"reason", reason},
            {"sends", request->state.sends},
            {"may_have_run", request->state.may_have_run},
            {log_key::duration_ms, elapsed(request->arrived, clock_()).count()},
            {log_key::revision, request->routes
                                    ? request->routes->config().version.value()
                                    : 0}});
    const std::shared_ptr<http_exchange> exchange = request->exchange;
    finish(request);
    exchange->respond(std::move(response));
}

void caller_service::finish(const request_ptr& request)
{
    if (request->finished)
        return;
    request->finished = true;
    // The list may hold the last reference to the request, which contains the
    // iterator.
    const auto position = request->position;
    requests_.erase(position);
}

void caller_service::on_cancelled(const request_ptr& request)
{
    if (request->finished)
        return;
    cancel_attempt(*request, clock_());
    log_event(log_level::debug, "caller cancelled its request",
        {{log_key::request_id, request->id}});
    finish(request);
}

// Ends the open attempt of a request, and withdraws or frees its slot.
void caller_service::cancel_attempt(caller_request& request, time_point now)
{
    if (request.client != nullptr) {
        request.client->cancel(request.call);
        request.client = nullptr;
        view_.servers().on_finished(request.server, send_outcome::cancelled,
            elapsed(request.sent, now), std::nullopt, now);
    }
    request.waiting_for_slot = false;
    report_to_gate(request, send_outcome::cancelled, elapsed(request.sent, now),
        std::nullopt);
}

bool caller_service::is_sent(const caller_request& request) const
{
    return request.client != nullptr && request.client->is_sent(request.call);
}

void caller_service::refuse_unsent()
{
    stopping_ = true;
    const std::list<request_ptr> open_requests = requests_;
    for (const request_ptr& request : open_requests) {
        if (request->finished || is_sent(*request))
            continue;
        cancel_attempt(*request, clock_());
        fail(request, failure_of(request->state, false, retry_delay),
            "this instance is stopping");
    }
}

void caller_service::answer_all()
{
    refuse_unsent();
    const std::list<request_ptr> open_requests = requests_;
    for (const request_ptr& request : open_requests) {
        if (request->finished)
            continue;
        request->state.may_have_run = true;
        cancel_attempt(*request, clock_());
        fail(request, failure_of(request->state, true, retry_delay),
            "this instance stops before the server has answered");
    }
}

void caller_service::sweep()
{
    connections_.sweep();
}

load_counts caller_service::take_load_counts()
{
    for (const auto& [server, slowdown] :
        gates_.gate().times().typical_slowdowns())
        counts_.slowdowns[server] = slowdown;
    return std::exchange(counts_, {});
}

} // namespace filberthub
