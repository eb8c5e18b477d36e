#include <filberthub/base/error.hpp>
#include <filberthub/ownership/weight_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {

namespace {

// Recent requests count exp(age of the origin / time constant). The origin is
// moved long before that exceeds the range of a double.
constexpr double most_growth = 1e100;
// An isolated key below this part of a request was not used for long.
constexpr double least_sum = 1e-12;

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
    // The lightest counter is reused, and its weight bounds the error.
    const auto lightest =
        std::ranges::min_element(counters_, {}, &counter::weight);
    positions_.erase(hash_of(lightest->key));
    positions_.emplace(
        hash, static_cast<std::size_t>(lightest - counters_.begin()));
    lightest->key = key;
    lightest->excess = lightest->weight;
    lightest->weight += weight;
}

void key_sketch::scale(double factor)
{
    for (counter& entry : counters_) {
        entry.weight *= factor;
        entry.excess *= factor;
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
    if (!first_) {
        first_ = now;
        origin_ = now;
    }
    if (growth(now) > most_growth)
        move_origin(now);
    const double weight =
        std::chrono::duration<double>(busy).count() * growth(now);
    if (group.value() < common_.size())
        common_[group.value()] += weight;
    else
        isolated_[group] += weight;
    if (key.size() <= options_.longest_key)
        sketch_.add(key, weight);
}

double weight_tracker::growth(time_point now) const
{
    return std::exp(ratio(now - origin_, options_.time_constant));
}

double weight_tracker::rate(double sum, time_point now) const
{
    if (!first_ || now <= *first_)
        return 0;
    // A tracker that is younger than the time constant has seen only a part of
    // what would count.
    const double seen =
        1 - std::exp(-ratio(now - *first_, options_.time_constant));
    const double constant =
        std::chrono::duration<double>(options_.time_constant).count();
    return sum / growth(now) / (constant * seen);
}

void weight_tracker::move_origin(time_point now)
{
    const double factor = 1 / growth(now);
    for (double& sum : common_)
        sum *= factor;
    for (auto& [group, sum] : isolated_)
        sum *= factor;
    std::erase_if(
        isolated_, [](const auto& entry) { return entry.second < least_sum; });
    sketch_.scale(factor);
    origin_ = now;
}

group_weights weight_tracker::weights(time_point now) const
{
    group_weights result(
        group_count(static_cast<std::uint32_t>(common_.size())), 0);
    for (std::size_t index = 0; index < common_.size(); ++index) {
        result.set(key_group(static_cast<std::uint32_t>(index)),
            rate(common_[index], now));
    }
    for (const auto& [group, sum] : isolated_)
        result.set(group, rate(sum, now));
    return result;
}

std::vector<key_weight> weight_tracker::hottest(
    std::size_t count, time_point now) const
{
    std::vector<key_weight> result;
    for (const key_sketch::counter& entry : sketch_.counters()) {
        const double certain = rate(entry.weight - entry.excess, now);
        if (certain > 0)
            result.push_back({entry.key, certain});
    }
    std::ranges::sort(result, std::greater<>(), &key_weight::weight);
    result.resize(std::min(result.size(), count));
    return result;
}

} // namespace filberthub
