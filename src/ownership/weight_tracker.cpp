#include <filberthub/base/error.hpp>
#include <filberthub/ownership/weight_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {

namespace {

// A request that ends at time t is weighted by exp((t - origin) / time
// constant). The origin is moved before this factor exceeds the range of a
// double.
constexpr double max_growth = 1e100;
// Sum in seconds, relative to the origin, below which an isolated key counts as
// unused and is dropped.
constexpr double min_sum = 1e-12;

double ratio(duration part, duration whole)
{
    return std::chrono::duration<double>(part) /
           std::chrono::duration<double>(whole);
}

} // namespace

key_sketch::key_sketch(std::size_t counters) : limit_(counters)
{
    if (counters == 0)
        throw error(error_kind::internal,
            "key sketch with 0 counters: expected at least 1");
    counters_.reserve(counters);
}

void key_sketch::add(std::string_view key, double weight)
{
    const std::uint64_t hash = hash_of(key);
    const auto found = positions_.find(hash);
    if (found != positions_.end()) {
        counters_[found->second].weight += weight;
        return;
    }
    if (counters_.size() < limit_) {
        positions_.emplace(hash, counters_.size());
        counters_.push_back({std::string(key), weight, 0});
        return;
    }
    // The counter with the lowest weight is reused. That weight bounds the
    // error of the new key.
    const auto lightest =
        std::ranges::min_element(counters_, {}, &counter::weight);
    positions_.erase(hash_of(lightest->key));
    positions_.emplace(
        hash, static_cast<std::size_t>(lightest - counters_.begin()));
    lightest->key = key;
    lightest->error_bound = lightest->weight;
    lightest->weight += weight;
}

void key_sketch::scale(double factor)
{
    for (counter& entry : counters_) {
        entry.weight *= factor;
        entry.error_bound *= factor;
    }
}

weight_tracker::weight_tracker(
    group_count groups, weight_tracker_options options)
    : options_(options), common_(groups.value()), sketch_(options.counters)
{
    if (options.time_constant <= duration::zero()) {
        throw error(error_kind::internal,
            "time constant of " +
                std::to_string(options.time_constant.count()) +
                " ns: expected above 0");
    }
}

void weight_tracker::record(
    key_group group, std::string_view key, duration busy, time_point now)
{
    if (!first_record_) {
        first_record_ = now;
        origin_ = now;
    }
    if (growth(now) > max_growth)
        move_origin(now);
    const double weight =
        std::chrono::duration<double>(busy).count() * growth(now);
    if (group.value() < common_.size())
        common_[group.value()] += weight;
    else
        isolated_[group] += weight;
    if (key.size() <= options_.max_key_size)
        sketch_.add(key, weight);
}

double weight_tracker::growth(time_point now) const
{
    return std::exp(ratio(now - origin_, options_.time_constant));
}

double weight_tracker::weight_of(double sum, time_point now) const
{
    if (!first_record_ || now <= *first_record_)
        return 0;
    // A tracker that is younger than the time constant has recorded only a part
    // of the busy time that a full history would contain.
    const double observed_share =
        1 - std::exp(-ratio(now - *first_record_, options_.time_constant));
    const double time_constant_s =
        std::chrono::duration<double>(options_.time_constant).count();
    return sum / growth(now) / (time_constant_s * observed_share);
}

void weight_tracker::move_origin(time_point now)
{
    const double factor = 1 / growth(now);
    for (double& sum : common_)
        sum *= factor;
    for (auto& [group, sum] : isolated_)
        sum *= factor;
    std::erase_if(
        isolated_, [](const auto& entry) { return entry.second < min_sum; });
    sketch_.scale(factor);
    origin_ = now;
}

group_weights weight_tracker::weights(time_point now) const
{
    group_weights result(
        group_count(static_cast<std::uint32_t>(common_.size())), 0);
    for (std::size_t index = 0; index < common_.size(); ++index) {
        result.set(key_group(static_cast<std::uint32_t>(index)),
            weight_of(common_[index], now));
    }
    for (const auto& [group, sum] : isolated_)
        result.set(group, weight_of(sum, now));
    return result;
}

std::vector<key_weight> weight_tracker::hottest(
    std::size_t count, time_point now) const
{
    std::vector<key_weight> result;
    for (const key_sketch::counter& entry : sketch_.counters()) {
        const double weight = weight_of(entry.weight - entry.error_bound, now);
        if (weight > 0)
            result.push_back({entry.key, weight});
    }
    std::ranges::sort(result, std::greater<>(), &key_weight::weight);
    result.resize(std::min(result.size(), count));
    return result;
}

} // namespace filberthub
