#include "tools/model/server_model.hpp"

#include <algorithm>
#include <array>

namespace filberthub::tools {
namespace {

constexpr duration max_report_lag = std::chrono::seconds(60);
constexpr double max_duration_ms = 86'400'000;

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

std::string_view to_string(server_state state)
{
    constexpr std::array<std::string_view, 4> names = {
        "warm", "cold", "draining", "fallen"};
    return names.at(static_cast<std::size_t>(state));
}

duration duration_or(
    json_reader& reader, const std::string& field, duration fallback)
{
    if (!reader.has(field))
        return fallback;
    const json& value = reader.value(field);
    if (!value.is_number() || value.get<double>() < 0 ||
        value.get<double>() > max_duration_ms)
        reader.fail(field, value.dump() + " is not a number of ms up to 1 day");
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value.get<double>()));
}

server_options server_options_from_json(const json& document)
{
    json_reader reader(document);
    server_options options;
    options.id = backend_server_id(reader.string("id"));
    options.listen = endpoint_from_string(reader.string("listen"));
    options.service = service_id(reader.string("service"));
    options.domain = failure_domain_id(reader.string("domain"));
    options.slots =
        static_cast<std::size_t>(reader.integer("slots", 1, 100'000));
    options.queue = static_cast<std::size_t>(reader.integer_or(
        "queue", 0, 100'000, static_cast<std::int64_t>(2 * options.slots)));
    options.service_time =
        duration_or(reader, "service_ms", options.service_time);
    options.cold_time = duration_or(reader, "cold_ms", options.cold_time);
    options.cold_limit = static_cast<std::size_t>(
        reader.integer_or("cold_limit", 1, 100'000, 1));
    options.checks_tokens = reader.boolean_or("checks_tokens", true);
    options.idempotent = reader.boolean_or("idempotent", true);
    options.report_lag =
        duration_or(reader, "report_lag_ms", options.report_lag);
    reader.finish();
    return options;
}

server_model::server_model(server_options options, time_point now)
    : options_(std::move(options)), cold_until_(now + options_.cold_time)
{
    record_load(now);
}

void server_model::offer(
    std::uint64_t number, const server_request& request, time_point now)
{
    ++counters_.received;
    arrivals_.push_back({number, request, now, {}, {}});
}

bool server_model::cancel(std::uint64_t number)
{
    const auto has_number = [number](const tracked_request& tracked) {
        return tracked.number == number;
    };
    const std::size_t removed = std::erase_if(arrivals_, has_number) +
                                std::erase_if(waiting_, has_number);
    counters_.cancelled += removed;
    return removed > 0;
}

advance_result server_model::advance(time_point now)
{
    advance_result result;
    if (is_frozen(now))
        return result;
    complete_finished(now, result);
    start_waiting(now, result);
    while (!arrivals_.empty()) {
        const tracked_request arrival = arrivals_.front();
        arrivals_.pop_front();
        admit(arrival, now, result);
    }
    record_load(now);
    return result;
}

std::optional<time_point> server_model::next_event(time_point now) const
{
    std::optional<time_point> next;
    for (const tracked_request& tracked : running_)
        next = next ? std::min(*next, tracked.end) : tracked.end;
    if (!arrivals_.empty())
        next = now;
    if (is_frozen(now))
        next = std::max(next.value_or(frozen_until_), frozen_until_);
    return next;
}

void server_model::complete_finished(time_point now, advance_result& result)
{
    std::erase_if(running_, [&](const tracked_request& tracked) {
        if (tracked.end > now)
            return false;
        ++counters_.completed;
        result.events.push_back({.number = tracked.number,
            .result = request_result::completed,
            .start = tracked.start,
            .end = now});
        return true;
    });
}

void server_model::admit(
    const tracked_request& arrival, time_point now, advance_result& result)
{
    if (state(now) == server_state::fallen) {
        // A process that restarts does not know which requests it ran before
        // the crash, so the refusal does not state that the request did not
        // run.
        ++counters_.refused_fallen;
        result.events.push_back({.number = arrival.number,
            .result = request_result::refused,
            .status = 503,
            .reason = "the server fell over"});
        return;
    }
    if (draining_) {
        ++counters_.refused_draining;
        result.events.push_back({.number = arrival.number,
            .result = request_result::refused,
            .status = 503,
            .states_not_run = true,
            .reason = "the server drains"});
        return;
    }
    if (std::optional<request_event> refused = refusal_of(arrival, now)) {
        result.events.push_back(*refused);
        return;
    }
    if (now < cold_until_ && in_flight() >= options_.cold_limit) {
        ++counters_.cold_overloads;
        crash(now, result);
        return;
    }
    if (running_.size() < options_.slots && waiting_.empty()) {
        start_request(arrival, now);
    } else if (waiting_.size() < options_.queue) {
        waiting_.push_back(arrival);
        counters_.most_in_flight =
            std::max<std::uint64_t>(counters_.most_in_flight, in_flight());
    } else {
        ++counters_.refused_full;
        result.events.push_back({.number = arrival.number,
            .result = request_result::refused,
            .status = 503,
            .states_not_run = true,
            .reason = "slots and queue are full"});
    }
}

std::optional<request_event> server_model::refusal_of(
    const tracked_request& tracked, time_point now)
{
    request_event event{.number = tracked.number,
        .result = request_result::refused,
        .status = 503,
        .states_not_run = true};
    if (tracked.request.remaining &&
        now > tracked.received + *tracked.request.remaining) {
        ++counters_.refused_deadline;
        event.reason = "the deadline has passed";
        return event;
    }
    if (options_.checks_tokens && tracked.request.group &&
        !grants_.allows(*tracked.request.group, tracked.request.token, now)) {
        ++counters_.refused_token;
        event.status = 409;
        event.reason = "no live grant for this token";
        return event;
    }
    return std::nullopt;
}

void server_model::start_waiting(time_point now, advance_result& result)
{
    const std::size_t limit =
        now < cold_until_ ? std::min(options_.slots, options_.cold_limit)
                          : options_.slots;
    while (!waiting_.empty() && running_.size() < limit) {
        if (std::optional<request_event> refused =
                refusal_of(waiting_.front(), now)) {
            waiting_.pop_front();
            result.events.push_back(*refused);
            continue;
        }
        const tracked_request tracked = waiting_.front();
        waiting_.pop_front();
        start_request(tracked, now);
    }
}

void server_model::start_request(tracked_request tracked, time_point now)
{
    const double factor =
        now < cold_until_ ? cold_slowdown * slowdown_ : slowdown_;
    tracked.start = now;
    tracked.end = now + scaled(options_.service_time, factor);
    running_.push_back(tracked);
    counters_.most_in_flight =
        std::max<std::uint64_t>(counters_.most_in_flight, in_flight());
}

void server_model::crash(time_point now, advance_result& result)
{
    for (const tracked_request& tracked : running_) {
        ++counters_.cut;
        result.events.push_back({.number = tracked.number,
            .result = request_result::cut,
            .start = tracked.start,
            .end = now});
    }
    running_.clear();
    waiting_.clear();
    fallen_until_ = now + restart_time;
    // The server restarts as a new process, which is cold.
    cold_until_ = fallen_until_ + options_.cold_time;
    result.crashed = true;
}

void server_model::start_cold(duration length, time_point now)
{
    cold_until_ = now + length;
    record_load(now);
}

void server_model::reset_to_warm(time_point now)
{
    cold_until_ = now;
    fallen_until_ = now;
    draining_ = false;
    slowdown_ = 1;
    record_load(now);
}

void server_model::drain(time_point now)
{
    draining_ = true;
    record_load(now);
}

void server_model::slow_down(double factor, time_point now)
{
    slowdown_ = factor;
    record_load(now);
}

void server_model::freeze(duration length, time_point now)
{
    frozen_until_ = now + length;
}

bool server_model::is_frozen(time_point now) const
{
    return now < frozen_until_;
}

server_state server_model::state(time_point now) const
{
    if (now < fallen_until_)
        return server_state::fallen;
    if (draining_)
        return server_state::draining;
    return now < cold_until_ ? server_state::cold : server_state::warm;
}

std::size_t server_model::in_flight() const
{
    return running_.size() + waiting_.size();
}

reported_load server_model::report(time_point now) const
{
    if (options_.report_lag.count() == 0)
        return {in_flight(), state(now)};
    reported_load result;
    for (const load_sample& sample : samples_) {
        if (sample.time > now - options_.report_lag)
            break;
        result = sample.report;
    }
    return result;
}

void server_model::set_report_lag(duration lag)
{
    options_.report_lag = std::min(lag, max_report_lag);
}

void server_model::record_load(time_point now)
{
    // Without a lag, `report` does not use samples.
    if (options_.report_lag.count() == 0) {
        samples_.clear();
        return;
    }
    samples_.push_back({now, {in_flight(), state(now)}});
    while (samples_.size() > 1 && samples_[1].time < now - options_.report_lag)
        samples_.pop_front();
}

} // namespace filberthub::tools
