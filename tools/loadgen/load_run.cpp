#include "tools/loadgen/load_run.hpp"

#include "tools/common/http_tools.hpp"

#include <algorithm>
#include <iostream>

namespace filberthub::tools {
namespace {

// Extra time after the deadline of a request, in which an answer that reports
// the missed deadline can still arrive.
constexpr milliseconds answer_grace{500};
// Time without requests to an entry that refused a connection. Models a load
// balancer, which takes such a target out of use.
constexpr milliseconds entry_retry_delay{1000};

void write_line(const json& line)
{
    std::cout << line.dump() << std::endl;
}

outcome history_outcome(request_outcome classified)
{
    switch (classified) {
    case request_outcome::served:
    case request_outcome::wrong:
        return outcome::done;
    case request_outcome::refused:
        return outcome::not_run;
    case request_outcome::unknown:
        break;
    }
    return outcome::unknown;
}

std::optional<error_kind> error_kind_of(const http_response& response)
{
    const auto name = response.headers.get("Filberthub-Error");
    for (std::size_t number = 0; name && number < error_kind_count; ++number) {
        const auto kind = static_cast<error_kind>(number);
        if (answer_for(kind).name == *name)
            return kind;
    }
    return std::nullopt;
}

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

load_run::load_run(load_run_options options, const json& mix)
    : options_(std::move(options)),
      start_(steady_now()),
      end_(start_ + options_.run_time),
      mix_(mix, options_.seed, start_),
      schedule_(options_.rate, options_.seed, start_),
      random_(options_.seed),
      request_id_prefix_(options_.name + "-" +
                         std::to_string(start_.time_since_epoch().count()) +
                         "-"),
      history_(options_.history),
      arrival_timer_([this] { send_due_requests(); })
{
    for (const endpoint& address : options_.entries) {
        entry added;
        added.client = std::make_unique<http_client>(address,
            http_client_options{.max_connections = options_.connections});
        entries_.push_back(std::move(added));
    }
    QObject::connect(
        &second_timer_, &QTimer::timeout, [this] { report_second(); });
}

void load_run::on_finished(std::function<void(int)> callback)
{
    on_finished_ = std::move(callback);
}

void load_run::start()
{
    second_timer_.start(std::chrono::seconds(1));
    if (options_.closed_callers == 0) {
        arrival_timer_.start(schedule_.next());
        return;
    }
    for (std::size_t caller = 0; caller < options_.closed_callers; ++caller)
        send(steady_now());
}

void load_run::send_due_requests()
{
    const time_point now = steady_now();
    while (schedule_.next() < end_) {
        const std::optional<time_point> intended = schedule_.take_due(now);
        if (!intended)
            break;
        send_lag_ = std::max(send_lag_, now - *intended);
        send(*intended);
    }
    // Also fires at the end of the run, to check whether all answers have
    // arrived.
    arrival_timer_.start(std::min(schedule_.next(), end_));
    if (schedule_.next() >= end_ && now >= end_) {
        arrival_timer_.stop();
        finish_if_complete();
    }
}

void load_run::send(time_point intended)
{
    pending_request pending;
    pending.entry = choose_entry(steady_now());
    pending.plan = mix_.next(intended);
    pending.intended = intended;
    const service_load& load = mix_.services()[pending.plan.service];
    pending.expected.service = load.service.value();
    pending.expected.request_id =
        request_id_prefix_ + std::to_string(++last_request_number_);
    if (pending.plan.key)
        pending.expected.key = "key-" + std::to_string(*pending.plan.key);
    pending.expected.body_bytes = load.body_bytes;
    ++in_flight_;
    total_tally_.count_sent();
    second_tally_.count_sent();
    service_tallies_[pending.plan.service].count_sent();
    http_request request = http_request_for(pending);
    http_client& client = *entries_[pending.entry].client;
    client.send(std::move(request), load.deadline + answer_grace,
        [this, sent = std::move(pending)](
            const http_result& result) { finish(sent, result); });
}

http_request load_run::http_request_for(const pending_request& pending) const
{
    const service_load& load = mix_.services()[pending.plan.service];
    http_request request;
    request.method = load.method;
    request.target = load.path;
    request.headers.add("Host", to_string(options_.entries[pending.entry]));
    request.headers.add("Filberthub-Request-Id", pending.expected.request_id);
    if (pending.expected.key)
        request.headers.add("Filberthub-Key", *pending.expected.key);
    request.headers.add(
        "Filberthub-Idempotent", load.idempotent ? "true" : "false");
    request.headers.add("Filberthub-Priority", load.priority);
    request.headers.add(
        "Filberthub-Deadline-Ms", std::to_string(load.deadline.count()));
    request.body.assign(load.body_bytes, 'x');
    return request;
}

std::size_t load_run::choose_entry(time_point now)
{
    const std::size_t first = random_() % entries_.size();
    for (std::size_t step = 0; step < entries_.size(); ++step) {
        const std::size_t index = (first + step) % entries_.size();
        if (entries_[index].down_until <= now)
            return index;
    }
    return first;
}

void load_run::finish(const pending_request& pending, const http_result& result)
{
    const time_point now = steady_now();
    request_outcome outcome = request_outcome::refused;
    if (result.response)
        outcome = classify_answer(*result.response, pending.expected);
    else if (result.sent)
        outcome = request_outcome::unknown;
    else if (result.kind == error_kind::overloaded)
        entries_[pending.entry].down_until = now + entry_retry_delay;

    const duration latency = now - pending.intended;
    total_tally_.add(outcome, latency);
    second_tally_.add(outcome, latency);
    service_tallies_[pending.plan.service].add(outcome, latency);
    if (pending.plan.hot) {
        hot_key_gaps_.add(
            pending.expected.service + "/" + *pending.expected.key,
            outcome == request_outcome::served, pending.intended, now);
    }
    record(pending, result, outcome, now);
    --in_flight_;
    if (options_.closed_callers > 0 && now < end_)
        send(now);
    finish_if_complete();
}

void load_run::record(const pending_request& pending, const http_result& result,
    request_outcome classified, time_point now)
{
    if (!history_.enabled())
        return;
    const service_load& load = mix_.services()[pending.plan.service];
    history_event event;
    event.who = options_.name;
    event.what = event_kind::request;
    event.invoke = pending.intended;
    event.returned = now;
    event.request = request_id(pending.expected.request_id);
    event.service = load.service;
    event.key = pending.expected.key.value_or("");
    event.instance = instance_id(to_string(options_.entries[pending.entry]));
    event.idempotent = load.idempotent;
    event.result = history_outcome(classified);
    if (result.response)
        event.error = error_kind_of(*result.response);
    if (event.result == outcome::done) {
        event.expected_digest = "own";
        event.digest = classified == request_outcome::wrong ? "other" : "own";
    }
    history_.append(event);
}

void load_run::report_second()
{
    json line = second_tally_.report();
    line["second"] = ++second_number_;
    line["in_flight"] = in_flight_;
    write_line(line);
    second_tally_ = load_tally();
}

void load_run::finish_if_complete()
{
    const time_point now = steady_now();
    if (in_flight_ > 0 || now < end_ || !on_finished_)
        return;
    arrival_timer_.stop();
    second_timer_.stop();
    const double seconds = std::chrono::duration<double>(now - start_).count();
    for (auto& [index, tally] : service_tallies_) {
        json line = tally.report();
        line["summary"] = mix_.services()[index].service.value();
        line["method"] = mix_.services()[index].method;
        write_line(line);
    }
    write_line({{"summary", "hot-keys"}, {"keys", hot_key_gaps_.report(now)}});
    json line = total_tally_.report();
    line["summary"] = "total";
    line["seconds"] = seconds;
    line["served_per_s"] =
        static_cast<double>(total_tally_.count(request_outcome::served)) /
        seconds;
    line["send_lag_max_ms"] = to_ms(send_lag_);
    write_line(line);
    // Cleared before the call, so that the callback runs only once; a second
    // call could change the exit code.
    const std::function<void(int)> callback = std::move(on_finished_);
    on_finished_ = nullptr;
    callback(total_tally_.count(request_outcome::wrong) > 0 ? 1 : 0);
}

} // namespace filberthub::tools
