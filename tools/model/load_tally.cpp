#include "tools/model/load_tally.hpp"

#include <algorithm>
#include <cmath>

namespace filberthub::tools {
namespace {

double to_ms(duration value)
{
    // Truncated to microseconds to keep the report short.
    const auto us =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<double>(us) / 1000;
}

bool echoes_request(
    const http_response& response, const expected_echo& expected)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return false;
    const json key = expected.key ? json(*expected.key) : json();
    return body.value("service", json()) == json(expected.service) &&
           body.value("request_id", json()) == json(expected.request_id) &&
           body.value("key", json()) == key &&
           body.value("body_bytes", json()) == json(expected.body_bytes);
}

} // namespace

std::string_view to_string(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::served:
        return "served";
    case request_outcome::refused:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::wrong:
        break;
    }
    return "wrong";
}

request_outcome classify_answer(
    const http_response& response, const expected_echo& expected)
{
    const auto outcome = response.headers.get("Filberthub-Outcome");
    if (outcome == "not-run" ||
        (!outcome && response.headers.get("Filberthub-Not-Run") == "1"))
        return request_outcome::refused;
    if (outcome == "unknown" || response.status >= 300)
        return request_outcome::unknown;
    return echoes_request(response, expected) ? request_outcome::served
                                              : request_outcome::wrong;
}

duration latency_samples::quantile(double share)
{
    if (values_.empty())
        return duration(0);
    if (!sorted_) {
        std::sort(values_.begin(), values_.end());
        sorted_ = true;
    }
    const double rank = std::ceil(share * static_cast<double>(values_.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values_[std::min(index, values_.size() - 1)];
}

void load_tally::add(request_outcome outcome, duration latency)
{
    ++counts_[outcome];
    if (outcome == request_outcome::served)
        latencies_.add(latency);
}

std::uint64_t load_tally::count(request_outcome outcome) const
{
    const auto found = counts_.find(outcome);
    return found == counts_.end() ? 0 : found->second;
}

json load_tally::report()
{
    return json{{"sent", sent_}, {"served", count(request_outcome::served)},
        {"refused", count(request_outcome::refused)},
        {"unknown", count(request_outcome::unknown)},
        {"wrong", count(request_outcome::wrong)},
        {"p50_ms", to_ms(latencies_.quantile(0.5))},
        {"p90_ms", to_ms(latencies_.quantile(0.9))},
        {"p99_ms", to_ms(latencies_.quantile(0.99))},
        {"p999_ms", to_ms(latencies_.quantile(0.999))},
        {"max_ms", to_ms(latencies_.quantile(1))}};
}

void key_gap_tracker::add(const std::string& key, bool served,
    time_point intended, time_point returned)
{
    key_state& gap_state = keys_[key];
    gap_state.last_return = returned;
    if (!served) {
        if (!gap_state.unserved_since)
            gap_state.unserved_since = intended;
        return;
    }
    ++gap_state.served;
    if (gap_state.unserved_since) {
        gap_state.longest_unserved = std::max(
            gap_state.longest_unserved, returned - *gap_state.unserved_since);
        gap_state.unserved_since.reset();
    }
    gap_state.longest_gap = std::max(gap_state.longest_gap,
        returned - gap_state.last_served.value_or(intended));
    gap_state.last_served = returned;
}

json key_gap_tracker::report(time_point end) const
{
    json result = json::array();
    for (const auto& [key, gap_state] : keys_) {
        duration unserved = gap_state.longest_unserved;
        if (gap_state.unserved_since)
            unserved = std::max(unserved, end - *gap_state.unserved_since);
        duration gap = gap_state.longest_gap;
        if (gap_state.last_served && gap_state.unserved_since)
            gap = std::max(gap, end - *gap_state.last_served);
        result.push_back({{"key", key}, {"served", gap_state.served},
            {"longest_gap_ms", to_ms(gap)},
            {"longest_unserved_ms", to_ms(unserved)}});
    }
    return result;
}

} // namespace filberthub::tools
