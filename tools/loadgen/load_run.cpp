#include "tools/loadgen/load_run.hpp"

#include "tools/common/http_tools.hpp"

#include <algorithm>
#include <iostream>

namespace filberthub::tools {
namespace {

// Time after the deadline of a request in which the answer that says so can
// arrive.
constexpr milliseconds answer_grace{500};
// A load balancer takes a target out of use after a refused connection.
constexpr milliseconds entry_down_time{1000};

void write_line(const json& line)
{
    std::cout << line.dump() << std::endl;
}

outcome history_outcome(call_outcome seen)
{
    switch (seen) {
    case call_outcome::served:
    case call_outcome::wrong:
        return outcome::done;
    case call_outcome::refused:
        return outcome::not_run;
    case call_outcome::unknown:
        break;
    }
    return outcome::unknown;
}

std::optional<error_kind> error_of(const http_response& response)
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

load_run::load_run(load_options options, const json& mix)
    : options_(std::move(options)),
      start_(present_time()),
      end_(start_ + options_.length),
      mix_(mix, options_.seed, start_),
      schedule_(options_.rate, options_.seed, start_),
      random_(options_.seed),
      id_prefix_(options_.name + "-" +
                 std::to_string(start_.time_since_epoch().count()) + "-"),
      history_(options_.history),
      arrival_timer_([this] { send_due(); })
{
    for (const endpoint& address : options_.entries) {
        entry added;
        added.client = std::make_unique<http_client>(address,
            http_client_options{.max_connections = options_.connections});
        entries_.push_back(std::move(added));
    }
    QObject::connect(
        &second_timer_, &QTimer::timeout, [this] { end_second(); });
}

void load_run::on_finished(std::function<void(int)> callback)
{
    finished_ = std::move(callback);
}

void load_run::start()
{
    second_timer_.start(std::chrono::seconds(1));
    if (options_.closed_callers == 0) {
        arrival_timer_.start(schedule_.next());
        return;
    }
    for (std::size_t caller = 0; caller < options_.closed_callers; ++caller)
        send(present_time());
}

void load_run::send_due()
{
    const time_point now = present_time();
    while (schedule_.next() < end_) {
        const std::optional<time_point> intended = schedule_.take_due(now);
        if (!intended)
            break;
        send_lag_ = std::max(send_lag_, now - *intended);
        send(*intended);
    }
    // The time of the end is needed for the check that all answers are in.
    arrival_timer_.start(std::min(schedule_.next(), end_));
    if (schedule_.next() >= end_ && now >= end_) {
        arrival_timer_.stop();
        stop_if_complete();
    }
}

void load_run::send(time_point intended)
{
    call item;
    item.entry = choose_entry(present_time());
    item.plan = mix_.next(intended);
    item.intended = intended;
    const service_load& load = mix_.services()[item.plan.service];
    item.expected.service = load.service.value();
    item.expected.request_id = id_prefix_ + std::to_string(++last_request_);
    if (item.plan.key)
        item.expected.key = "key-" + std::to_string(*item.plan.key);
    item.expected.body_bytes = load.body_bytes;
    ++in_flight_;
    total_.count_sent();
    second_.count_sent();
    services_[item.plan.service].count_sent();
    http_request request = request_for(item);
    http_client& client = *entries_[item.entry].client;
    client.send(std::move(request), load.deadline + answer_grace,
        [this, kept = std::move(item)](
            const http_result& result) { finish(kept, result); });
}

http_request load_run::request_for(const call& item) const
{
    const service_load& load = mix_.services()[item.plan.service];
    http_request request;
    request.method = load.method;
    request.target = load.path;
    request.headers.add("Host", to_string(options_.entries[item.entry]));
    request.headers.add("Filberthub-Request-Id", item.expected.request_id);
    if (item.expected.key)
        request.headers.add("Filberthub-Key", *item.expected.key);
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

void load_run::finish(const call& item, const http_result& result)
{
    const time_point now = present_time();
    call_outcome outcome = call_outcome::refused;
    if (result.response)
        outcome = judge_answer(*result.response, item.expected);
    else if (result.sent)
        outcome = call_outcome::unknown;
    else if (result.kind == error_kind::overloaded)
        entries_[item.entry].down_until = now + entry_down_time;

    const duration latency = now - item.intended;
    total_.add(outcome, latency);
    second_.add(outcome, latency);
    services_[item.plan.service].add(outcome, latency);
    if (item.plan.hot) {
        gaps_.add(item.expected.service + "/" + *item.expected.key,
            outcome == call_outcome::served, item.intended, now);
    }
    record(item, result, outcome, now);
    --in_flight_;
    if (options_.closed_callers > 0 && now < end_)
        send(now);
    stop_if_complete();
}

void load_run::record(const call& item, const http_result& result,
    call_outcome seen, time_point now)
{
    if (!history_.enabled())
        return;
    const service_load& load = mix_.services()[item.plan.service];
    history_event event;
    event.who = options_.name;
    event.what = event_kind::request;
    event.invoke = item.intended;
    event.returned = now;
    event.request = request_id(item.expected.request_id);
    event.service = load.service;
    event.key = item.expected.key.value_or("");
    event.instance = instance_id(to_string(options_.entries[item.entry]));
    event.idempotent = load.idempotent;
    event.result = history_outcome(seen);
    if (result.response)
        event.error = error_of(*result.response);
    if (event.result == outcome::done) {
        event.expected_digest = "own";
        event.digest = seen == call_outcome::wrong ? "other" : "own";
    }
    history_.append(event);
}

void load_run::end_second()
{
    json line = second_.report();
    line["second"] = ++second_number_;
    line["in_flight"] = in_flight_;
    write_line(line);
    second_ = load_tally();
}

void load_run::stop_if_complete()
{
    const time_point now = present_time();
    if (in_flight_ > 0 || now < end_ || !finished_)
        return;
    arrival_timer_.stop();
    second_timer_.stop();
    const double seconds = std::chrono::duration<double>(now - start_).count();
    for (auto& [index, tally] : services_) {
        json line = tally.report();
        line["summary"] = mix_.services()[index].service.value();
        line["method"] = mix_.services()[index].method;
        write_line(line);
    }
    write_line({{"summary", "hot-keys"}, {"keys", gaps_.report(now)}});
    json line = total_.report();
    line["summary"] = "total";
    line["seconds"] = seconds;
    line["served_per_s"] =
        static_cast<double>(total_.count(call_outcome::served)) / seconds;
    line["send_lag_max_ms"] = to_ms(send_lag_);
    write_line(line);
    // A callback that runs twice would end the program with another code.
    const std::function<void(int)> callback = std::move(finished_);
    finished_ = nullptr;
    callback(total_.count(call_outcome::wrong) > 0 ? 1 : 0);
}

} // namespace filberthub::tools
