#include "tools/model/load_tally.hpp"

#include <algorithm>
#include <cmath>

namespace filberthub::tools {
namespace {

double to_ms(duration value)
{
    // Microseconds are enough for a report and keep it short.
    const auto us =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<double>(us) / 1000;
}

bool repeats(const http_response& response, const expected_echo& expected)
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

std::string_view to_string(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::served:
        return "served";
    case call_outcome::refused:
        return "not-run";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::wrong:
        break;
    }
    return "wrong";
}

call_outcome judge_answer(
    const http_response& response, const expected_echo& expected)
{
    const auto outcome = response.headers.get("Filberthub-Outcome");
    if (outcome == "not-run" ||
        (!outcome && response.headers.get("Filberthub-Not-Run") == "1"))
        return call_outcome::refused;
    if (outcome == "unknown" || response.status >= 300)
        return call_outcome::unknown;
    return repeats(response, expected) ? call_outcome::served
                                       : call_outcome::wrong;
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

void load_tally::add(call_outcome outcome, duration latency)
{
    ++counts_[outcome];
    if (outcome == call_outcome::served)
        latencies_.add(latency);
}

std::uint64_t load_tally::count(call_outcome outcome) const
{
    const auto found = counts_.find(outcome);
    return found == counts_.end() ? 0 : found->second;
}

json load_tally::report()
{
    return json{{"sent", sent_}, {"served", count(call_outcome::served)},
        {"refused", count(call_outcome::refused)},
        {"unknown", count(call_outcome::unknown)},
        {"wrong", count(call_outcome::wrong)},
        {"p50_ms", to_ms(latencies_.quantile(0.5))},
        {"p90_ms", to_ms(latencies_.quantile(0.9))},
        {"p99_ms", to_ms(latencies_.quantile(0.99))},
        {"p999_ms", to_ms(latencies_.quantile(0.999))},
        {"max_ms", to_ms(latencies_.quantile(1))}};
}

void key_gaps::add(const std::string& key, bool served, time_point intended,
    time_point returned)
{
    state& item = keys_[key];
    item.last_return = returned;
    if (!served) {
        if (!item.unserved_since)
            item.unserved_since = intended;
        return;
    }
    ++item.served;
    if (item.unserved_since) {
        item.longest_unserved =
            std::max(item.longest_unserved, returned - *item.unserved_since);
        item.unserved_since.reset();
    }
    item.longest_gap = std::max(
        item.longest_gap, returned - item.last_served.value_or(intended));
    item.last_served = returned;
}

json key_gaps::report(time_point end) const
{
    json result = json::array();
    for (const auto& [key, item] : keys_) {
        duration unserved = item.longest_unserved;
        if (item.unserved_since)
            unserved = std::max(unserved, end - *item.unserved_since);
        duration gap = item.longest_gap;
        if (item.last_served && item.unserved_since)
            gap = std::max(gap, end - *item.last_served);
        result.push_back({{"key", key}, {"served", item.served},
            {"longest_gap_ms", to_ms(gap)},
            {"longest_unserved_ms", to_ms(unserved)}});
    }
    return result;
}

} // namespace filberthub::tools
