#include "tools/backend_standin/backend_server.hpp"

#include "tools/common/http_tools.hpp"

namespace filberthub::tools {
namespace {

constexpr std::string_view admin_path = "/_filberthub/";
constexpr std::string_view control_path = "/_control";

json header_json(const http_request& request, std::string_view name)
{
    const auto value = request.headers.get(name);
    return value ? json(*value) : json();
}

server_request server_request_of(const http_request& request)
{
    server_request parsed;
    if (const auto text = request.headers.get("Filberthub-Key-Group")) {
        parsed.group = key_group(static_cast<std::uint32_t>(
            parse_number("Filberthub-Key-Group", *text)));
    }
    if (const auto text = request.headers.get("Filberthub-Fencing-Token")) {
        parsed.token =
            fencing_token(parse_number("Filberthub-Fencing-Token", *text));
    }
    if (const auto text = request.headers.get("Filberthub-Deadline-Ms")) {
        parsed.remaining = milliseconds(static_cast<std::int64_t>(
            parse_number("Filberthub-Deadline-Ms", *text)));
    }
    return parsed;
}

fencing_token token_from_json(const json& value)
{
    if (value.is_number_unsigned())
        return fencing_token(value.get<std::uint64_t>());
    return fencing_token(parse_number(
        "token", value.is_string() ? value.get<std::string>() : value.dump()));
}

} // namespace

backend_server::backend_server(
    const server_options& options, history_file& history)
    : model_(options, steady_now()),
      history_(history),
      timer_([this] { advance(); }),
      listener_(
          {}, [this](const exchange_pointer& exchange) { handle(exchange); })
{
    listener_.listen(options.listen);
}

void backend_server::handle(const exchange_pointer& exchange)
{
    const std::string& target = exchange->request().target;
    try {
        if (target.starts_with(control_path))
            handle_control(exchange);
        else if (!target.starts_with(admin_path))
            handle_request(exchange);
        else if (model_.is_frozen(steady_now()))
            deferred_.push_back(exchange);
        else
            handle_admin(exchange);
    } catch (const error& failure) {
        http_response response = message_response(400, failure.what());
        response.headers.add("Filberthub-Not-Run", "1");
        exchange->respond(std::move(response));
    }
}

void backend_server::handle_admin(const exchange_pointer& exchange)
{
    const http_request& request = exchange->request();
    const time_point now = steady_now();
    const std::string path = request_target(request.target).path;
    if (request.method == "PUT" &&
        (path == "/_filberthub/grant" || path == "/_filberthub/revoke")) {
        handle_grant(exchange);
    } else if (request.method == "GET" && path == "/_filberthub/health") {
        const server_state state = model_.state(now);
        exchange->respond(
            json_response(state == server_state::fallen ? 503 : 200,
                json{{"id", model_.options().id.value()},
                    {"state", to_string(state)}}));
    } else if (request.method == "GET" && path == "/_filberthub/load") {
        advance();
        const reported_load report = model_.report(now);
        exchange->respond(
            json_response(200, json{{"in_flight", report.in_flight},
                                   {"state", to_string(report.state)}}));
    } else {
        exchange->respond(message_response(404, "no call " + path));
    }
}

void backend_server::handle_grant(const exchange_pointer& exchange)
{
    const http_request& request = exchange->request();
    const json document = parse_json(request.body, error_kind::bad_request);
    json_reader reader(document, error_kind::bad_request);
    const std::vector<group_range> groups =
        groups_from_json(reader.value("groups"));
    const fencing_token token = token_from_json(reader.value("token"));
    bool accepted = false;
    if (request.target.starts_with("/_filberthub/grant")) {
        const duration lease = duration_or(reader, "lease_ms", duration(0));
        accepted = model_.grants().grant(groups, token, steady_now() + lease);
    } else {
        accepted = model_.grants().revoke(groups, token);
    }
    exchange->respond(
        accepted ? json_response(200, json::object())
                 : message_response(409, "a group has seen a higher token"));
}

void backend_server::handle_request(const exchange_pointer& exchange)
{
    const server_request parsed = server_request_of(exchange->request());
    const std::uint64_t number = ++last_request_number_;
    unanswered_.emplace(number, exchange);
    exchange->on_cancelled([this, number] {
        // A request that was already started is processed to its end.
        if (model_.cancel(number))
            unanswered_.erase(number);
    });
    model_.offer(number, parsed, steady_now());
    advance();
}

void backend_server::handle_control(const exchange_pointer& exchange)
{
    if (exchange->request().method == "GET") {
        exchange->respond(json_response(200, counters()));
        return;
    }
    const json document =
        parse_json(exchange->request().body, error_kind::bad_request);
    json_reader reader(document, error_kind::bad_request);
    const std::string state = reader.string_or("state", "");
    const duration period = duration_or(reader, "ms",
        state == "cold" ? model_.options().cold_time : duration(0));
    const double factor =
        reader.has("factor") ? reader.value("factor").get<double>() : 1.0;
    model_.set_report_lag(
        duration_or(reader, "report_lag_ms", model_.options().report_lag));
    reader.finish();
    const time_point now = steady_now();
    if (state == "cold")
        model_.start_cold(period, now);
    else if (state == "warm")
        model_.reset_to_warm(now);
    else if (state == "drain")
        model_.drain(now);
    else if (state == "slow")
        model_.slow_down(factor, now);
    else if (state == "freeze")
        model_.freeze(period, now);
    else if (!state.empty() && state != "crash-connections")
        reader.fail(
            "state", "\"" + state +
                         "\" is none of cold, warm, drain, slow, freeze, "
                         "crash-connections");
    exchange->respond(json_response(200, counters()));
    if (state == "crash-connections")
        listener_.abort_connections();
    advance();
}

json backend_server::counters() const
{
    const server_counters& values = model_.counters();
    return json{{"id", model_.options().id.value()},
        {"service", model_.options().service.value()},
        {"state", to_string(model_.state(steady_now()))},
        {"in_flight", model_.in_flight()},
        {"connections", listener_.connection_count()},
        {"received", values.received}, {"completed", values.completed},
        {"cut", values.cut}, {"cancelled", values.cancelled},
        {"refused_full", values.refused_full},
        {"refused_draining", values.refused_draining},
        {"refused_fallen", values.refused_fallen},
        {"refused_token", values.refused_token},
        {"refused_deadline", values.refused_deadline},
        {"cold_overloads", values.cold_overloads},
        {"most_in_flight", values.most_in_flight}};
}

void backend_server::advance()
{
    const time_point now = steady_now();
    const advance_result result = model_.advance(now);
    for (const request_event& event : result.events)
        finish(event);
    if (result.crashed)
        listener_.abort_connections();
    if (!model_.is_frozen(now)) {
        std::vector<exchange_pointer> deferred;
        deferred.swap(deferred_);
        for (const exchange_pointer& exchange : deferred)
            handle(exchange);
    }
    if (const auto next = model_.next_event(now))
        timer_.start(*next);
    else
        timer_.stop();
}

void backend_server::finish(const request_event& event)
{
    const auto found = unanswered_.find(event.number);
    if (found == unanswered_.end())
        return;
    const exchange_pointer exchange = found->second;
    unanswered_.erase(found);
    if (event.result == request_result::refused) {
        http_response response = message_response(event.status, event.reason);
        if (event.states_not_run)
            response.headers.add("Filberthub-Not-Run", "1");
        exchange->respond(std::move(response));
        return;
    }
    record_execution(exchange->request(), event);
    if (event.result == request_result::completed)
        exchange->respond(answer_to(exchange->request()));
}

http_response backend_server::answer_to(const http_request& request) const
{
    http_response response = json_response(
        200, json{{"server", model_.options().id.value()},
                 {"service", model_.options().service.value()},
                 {"method", request.method}, {"target", request.target},
                 {"request_id", header_json(request, "Filberthub-Request-Id")},
                 {"key", header_json(request, "Filberthub-Key")},
                 {"body_bytes", request.body.size()}});
    if (const auto value = request.headers.get("Filberthub-Exchange"))
        response.headers.add("Filberthub-Exchange", *value);
    return response;
}

void backend_server::record_execution(
    const http_request& request, const request_event& event)
{
    if (!history_.enabled())
        return;
    const server_options& options = model_.options();
    const auto text = [&](std::string_view name) {
        return std::string(request.headers.get(name).value_or(""));
    };
    history_event execution;
    execution.who = options.id.value();
    execution.what = event_kind::execute;
    execution.invoke = event.start;
    execution.returned = event.end;
    execution.result =
        event.result == request_result::cut ? outcome::unknown : outcome::done;
    execution.server = options.id;
    execution.domain = options.domain;
    execution.service = options.service;
    execution.key = text("Filberthub-Key");
    execution.request = request_id(text("Filberthub-Request-Id"));
    execution.idempotent = options.idempotent;
    const server_request parsed = server_request_of(request);
    execution.group = parsed.group;
    if (parsed.token.value() != 0)
        execution.token = parsed.token;
    history_.append(execution);
}

} // namespace filberthub::tools
