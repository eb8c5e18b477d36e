#include "router/caller_request.hpp"

#include <filberthub/membership/rendezvous.hpp>
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

} // namespace

caller_service::caller_service(const route_settings& settings,
    deployment_view& view, gate_service& gates, metric_registry& metrics,
    std::shared_ptr<memory_budget> budget, std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      gates_(gates),
      metrics_(metrics),
      clock_(std::move(clock)),
      connections_(view, std::move(budget)),
      quota_(settings.bounds.quota),
      done_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "done"}})),
      not_run_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "not-run"}})),
      unknown_(metrics.add_counter("filberthub_requests_total",
          "Requests by outcome.", {{"outcome", "unknown"}})),
      repeats_(metrics.add_counter(
          "filberthub_repeats_total", "Attempts after the first one.")),
      unknown_keys_(metrics.add_counter("filberthub_unknown_keys_total",
          "Requests with a missing, unknown or revoked API key.")),
      sends_to_leaving_servers_(
          metrics.add_counter("filberthub_sends_to_leaving_servers_total",
              "Requests sent after their server was known to leave.")),
      told_wait_(metrics.add_histogram("filberthub_gate_told_wait_ms",
          "Milliseconds of wait that gates told to queued requests at first.")),
      gate_wait_(metrics.add_histogram("filberthub_gate_wait_ms",
          "Milliseconds from a request to the grant of its slot.")),
      connection_wait_(metrics.add_histogram("filberthub_connection_wait_ms",
          "Milliseconds from the choice of a server to the first byte sent.")),
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

milliseconds caller_service::age_of(
    const caller_request& request, milliseconds timeout)
{
    // Routes are replaced as a whole, by a new configuration.
    if (ages_routes_ != request.routes) {
        ages_routes_ = request.routes;
        ages_.clear();
    }
    return ages_[request.route].on_request(timeout, request.arrived);
}

void caller_service::accept(std::shared_ptr<http_exchange> exchange)
{
    const time_point now = clock_();
    auto request = std::make_shared<caller_request>();
    request->exchange = std::move(exchange);
    request->arrived = now;
    request->position = requests_.insert(requests_.end(), request);
    guard(request, "new request", [&] { admit(request); });
}

// Ends a request whose handling has failed. It is not known how far it came, so
// that the answer does not say that it has not run.
void caller_service::abandon(const request_ptr& request)
{
    if (request->finished)
        return;
    request->state.may_have_run = true;
    cancel_attempt(*request, clock_());
    fail(request, failure_of(request->state, false, retry_delay),
        "the request failed inside this instance");
}

void caller_service::admit(const request_ptr& request)
{
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
    if (!identify_account(*request, request->routes)) {
        reject_key(request);
        return;
    }
    if (!count_request(request))
        return;
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
    const auto caller_timeout = decode_caller_timeout(original.headers);
    request->state.answer_deadline = compute_answer_deadline(request->arrived,
        caller_timeout.value_or(default_caller_timeout),
        request->route->answer_timeout);
    if (caller_timeout)
        request->age = age_of(*request, *caller_timeout);
    if (shutdown_ && !shutdown_->takes_request(
                         request->arrived, request->state.answer_deadline)) {
        fail(request, {503, retry_delay}, "this instance is stopping");
        return;
    }
    budget_of(request->service)
        .on_request(request->arrived, view_.fleet_size());
    if (request->key) {
        ++counts_.requests[request->service][*request->key];
        // The mean of the route, as the durations of single requests vary more
        // than their number.
        counts_.work_ms[request->service][*request->key] +=
            static_cast<std::uint32_t>(
                std::max(route_times_.mean_ms(route_times_id(*request)), 1.0));
    }
    const std::weak_ptr<caller_request> weak_request = request;
    request->exchange->on_cancelled([this, weak_request] {
        if (const request_ptr live_request = weak_request.lock())
            guard(live_request, "cancelled request",
                [&] { on_cancelled(live_request); });
    });
    start_attempt(request);
}

// The requests of a route to a service have a mean duration of their own. The
// name of a route may be any text, so that it is not a part of the id.
service_id caller_service::route_times_id(const caller_request& request)
{
    return service_id(std::to_string(
        rendezvous_weight(request.service.value(), request.route->name)));
}

http_request caller_service::make_forwarded_request(
    const caller_request& request, time_point now) const
{
    const http_request& original = request.exchange->request();
    http_request copy;
    copy.method = original.method;
    copy.target = original.target;
    copy.headers = original.headers;
    // Keeps the exchange, and with it the body, until it is sent.
    copy.shared_body =
        std::shared_ptr<const std::string>(request.exchange, &original.body);
    remove_hop_by_hop_fields(copy.headers);
    set_account_field(request, copy.headers);
    copy.headers.set(header::deadline,
        std::to_string(std::max<std::int64_t>(
            elapsed(now, request.state.answer_deadline).count(), 1)));
    copy.headers.set(header::expected_server, request.server.value());
    return copy;
}

// Whether the server that was chosen for the request may get it now. It may
// have announced that it is leaving while the request waited for a connection.
bool caller_service::may_still_send(
    const caller_request& request, time_point now) const
{
    const observed_server* server = view_.servers().find(request.server);
    return server != nullptr &&
           view_.servers().allows_assigned(*server, request.state.keyed, now);
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
    const auto make_request = [this, request]() -> std::optional<http_request> {
        const time_point started = clock_();
        if (!may_still_send(*request, started))
            return std::nullopt;
        request->server_started =
            view_.servers().find(request->server)->entry.started;
        return make_forwarded_request(*request, started);
    };
    const bool sent_before =
        std::find(request->tried_servers.begin(), request->tried_servers.end(),
            server) != request->tried_servers.end();
    const connection_choice choice =
        sent_before ? connection_choice::unused : connection_choice::any;
    request->call = client->send_when_free(
        make_request,
        std::max(elapsed(now, request->state.answer_deadline), milliseconds(1)),
        [this, request, server](http_result result) {
            request->client = nullptr;
            guard(request, "result of an attempt",
                [&] { on_result(request, server, std::move(result)); });
        },
        choice);
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
        if (is_sent(request))
            request.state.may_have_run = true;
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

void caller_service::begin_shutdown(const shutdown_plan& plan)
{
    shutdown_ = plan;
}

void caller_service::refuse_unsent()
{
    stopping_ = true;
    const std::list<request_ptr> open_requests = requests_;
    for (const request_ptr& request : open_requests) {
        if (request->finished || is_sent(*request))
            continue;
        guard(request, "request at the stop", [&] {
            cancel_attempt(*request, clock_());
            fail(request, failure_of(request->state, false, retry_delay),
                "this instance is stopping");
        });
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
    // In each report, because a report or its coordinator may be lost.
    counts_.leaving = view_.servers().leaving_servers();
    quota_.set_bounds(settings_.bounds.quota);
    quota_.set_fleet_size(view_.fleet_size());
    if (quota_.active())
        counts_.quota = quota_.take_report(clock_());
    return std::exchange(counts_, {});
}

} // namespace filberthub
