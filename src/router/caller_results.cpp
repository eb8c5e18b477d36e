// Results of the attempts of `caller_service`, and the answers to its callers.

#include "router/caller_request.hpp"

#include <filberthub/routing/retry_spread.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

namespace header = platform_api::header;

// Pause before the next attempt of a request with a key that its owner refused.
constexpr milliseconds pause_after_refusal{20};

// Returns the time in seconds with three decimals.
std::string format_seconds(milliseconds time)
{
    std::string digits = std::to_string(time.count() % 1000);
    digits.insert(0, 3 - digits.size(), '0');
    return std::to_string(time.count() / 1000) + "." + digits;
}

} // namespace

void caller_service::on_result(const request_ptr& request,
    const backend_server_id& server, http_result result)
{
    const time_point now = clock_();
    const milliseconds taken = elapsed(request->sent, now);
    request->connection_wait = result.connection_wait;
    connection_wait_.add(static_cast<double>(result.connection_wait.count()));
    if (result.withdrawn) {
        on_withdrawn(request, now);
        return;
    }
    if (result.sent)
        log_send_to_leaving_server(*request, server);
    if (result.response) {
        on_answer(request, server, std::move(*result.response), taken, now);
        return;
    }
    const send_outcome outcome =
        result.sent ? send_outcome::lost : send_outcome::unreachable;
    view_.servers().on_finished(server, outcome, taken, std::nullopt, now);
    report_to_gate(*request, outcome, taken, std::nullopt);
    count_result(server, true);
    if (result.sent) {
        ++request->state.sends;
        request->state.may_have_run = true;
        request->tried_servers.push_back(server);
    }
    if (request->finished)
        return;
    log_event(log_level::info, "attempt got no answer",
        {{log_key::request_id, request->id}, {log_key::server, server.value()},
            {"sent", result.sent},
            {"connection_ms", result.connection_wait.count()},
            {log_key::duration_ms, taken.count()},
            {log_key::error, result.message}});
    on_failed_attempt(request, {outcome}, now);
}

void caller_service::count_result(const backend_server_id& server, bool failed)
{
    result_counts& counts = counts_.results[server];
    ++counts.results;
    counts.failures += failed ? 1 : 0;
}

// Chooses again for a request whose server may not get it any more. No byte of
// it was sent.
void caller_service::on_withdrawn(const request_ptr& request, time_point now)
{
    log_event(log_level::info, "attempt was withdrawn before it was sent",
        {{log_key::request_id, request->id},
            {log_key::server, request->server.value()},
            {"connection_ms", elapsed(request->sent, now).count()}});
    if (request->client != nullptr) {
        request->client->cancel(request->call);
        request->client = nullptr;
    }
    view_.servers().on_finished(request->server, send_outcome::cancelled,
        elapsed(request->sent, now), std::nullopt, now);
    report_to_gate(
        *request, send_outcome::cancelled, milliseconds(0), std::nullopt);
    start_attempt(request);
}

// Records that the server is leaving or wants no requests for some time. No
// request that is not yet sent reaches it afterwards.
void caller_service::record_announcements(const caller_request& request,
    const http_response& response, time_point now)
{
    server_pool& servers = view_.servers();
    const bool newly_leaving =
        platform_api::says_leaving(response.headers) &&
        servers.set_leaving(request.server, request.server_started, now);
    if (newly_leaving) {
        log_event(log_level::info, "server says that it is leaving",
            {{log_key::server, request.server.value()},
                {"started", request.server_started}});
    }
    const auto rest = platform_api::decode_rest(response);
    if (rest) {
        servers.set_resting(
            request.server, request.server_started, now + *rest, now);
        log_event(log_level::info, "server wants no requests for some time",
            {{log_key::server, request.server.value()},
                {log_key::duration_ms, rest->count()}});
    }
    if (!newly_leaving && !rest)
        return;
    // Not at once: the request of this answer is being handled.
    QTimer::singleShot(0, this, [this] {
        move_waiting();
        withdraw_unsent();
    });
}

// Logs a request whose first byte was sent after the server was known to leave.
void caller_service::log_send_to_leaving_server(
    const caller_request& request, const backend_server_id& server)
{
    const observed_server* known = view_.servers().find(server);
    if (known == nullptr || !known->unusable_since)
        return;
    const time_point started = request.sent + request.connection_wait;
    if (started <= *known->unusable_since)
        return;
    sends_to_leaving_servers_.add();
    log_event(log_level::info, "request was sent to a leaving server",
        {{log_key::request_id, request.id}, {log_key::server, server.value()},
            {"keyed", request.state.keyed},
            {"leaving_ms", elapsed(*known->unusable_since, started).count()},
            {"gate_ms", elapsed(request.arrived, request.sent).count()},
            {"connection_ms", request.connection_wait.count()}});
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
    if (request->key && outcome == send_outcome::answered) {
        route_times_.on_answer(route_times_id(*request), server, taken,
            report && report->waiting > 0, report, now);
    }
    record_announcements(*request, response, now);
    report_to_gate(*request, outcome, taken, report);
    // Status 421 says that the server does not own the key, not that it fails.
    if (response.status != 421)
        count_result(server, outcome != send_outcome::answered);
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
            {"connection_ms", request->connection_wait.count()},
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
    if (answer.retry_after) {
        // A request that fails before its route is known has no deadline yet.
        const milliseconds wait = *answer.retry_after;
        const bool is_spread = !answer.exact_wait &&
                               request->state.answer_deadline != time_point();
        response.headers.set(header::retry_after,
            format_seconds(is_spread ? spread_retry(wait,
                                           elapsed(clock_(),
                                               request->state.answer_deadline),
                                           view_.uniform_random())
                                     : wait));
    }
    if (answer.status == 401)
        response.headers.set("WWW-Authenticate", "Bearer");
    if (!request->id.empty())
        response.headers.set(header::request_id, request->id);
    response.headers.set("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    (request->state.may_have_run ? unknown_ : not_run_).add();
    count_rejection(reason);
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

void caller_service::count_rejection(std::string_view reason)
{
    auto found = rejections_.find(reason);
    if (found == rejections_.end()) {
        counter& added = metrics_.add_counter("filberthub_rejections_total",
            "Requests that were not served, by reason.",
            {{"reason", std::string(reason)}});
        found = rejections_.emplace(reason, &added).first;
    }
    found->second->add();
}

void caller_service::finish(const request_ptr& request)
{
    if (request->finished)
        return;
    request->finished = true;
    if (!request->state.may_have_run)
        credit_request(*request);
    // The list may hold the last reference to the request, which contains the
    // iterator.
    const auto position = request->position;
    requests_.erase(position);
}

} // namespace filberthub
