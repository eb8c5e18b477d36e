#include <filberthub/routing/key_load.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace filberthub {
namespace {

// Long enough to see a hot range in some tens of requests, and short enough to
// see it within half a second.
constexpr double latest_time_ms = 430;
// Reports cover the time since the one before, so that the counts of a new hot
// range grow later than the requests for it by about this time.
constexpr double report_lead_ms = 150;
// Upper bound of the correction for counts that have just begun to grow.
constexpr double max_onset_factor = 2;
// Keys on each side of a key whose counts tell whether it is hot.
constexpr key_number window_radius = 16;
constexpr key_number window_keys = 2 * window_radius + 1;
// A window is hot if its count exceeds this multiple of the expected count by
// this number. The largest of 4,000 windows exceeds it by chance less than once
// in several minutes.
constexpr double min_hot_ratio = 2;
constexpr double min_hot_excess = 8;
// A key with this multiple of the mean of its window, and this number of
// requests more, is a hot key by itself.
constexpr double min_standout_ratio = 3;
constexpr double min_standout_excess = 6;
// Number of requests by which the count of a key is drawn toward the mean of
// its window: single counts of one or two requests do not tell keys apart.
constexpr double window_mean_weight = 4;
// Bound of the work of a request, relative to the mean, so that one report
// cannot outweigh all others.
constexpr double max_relative_work = 20;
// Load relative to the share of a server that makes the plan urgent.
constexpr double min_surge_ratio = 2;

} // namespace

void key_load::start(time_point now)
{
    updated_at_ = now;
}

void key_load::add(key_number key, double requests)
{
    mean_.add(key, requests);
    latest_.add(key, requests);
}

void key_load::add_work(key_number key, double requests, double work_ms)
{
    work_requests_ += requests;
    work_ms_ += work_ms;
    const double mean_ms = work_ms_ / std::max(work_requests_, 1.0);
    const double relative = mean_ms > 0 ? work_ms / mean_ms : requests;
    add(key, std::min(relative, requests * max_relative_work));
}

std::vector<key_number> key_load::keys_beyond(double capacity) const
{
    std::vector<key_number> result;
    if (work_requests_ < 1)
        return result;
    const double limit = capacity * mean_time_ms * work_requests_ / work_ms_;
    for (key_number key = 0; key < key_count; ++key) {
        if (expected().of(key) > limit)
            result.push_back(key);
    }
    return result;
}

void key_load::update(time_point now)
{
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - updated_at_).count();
    updated_at_ = now;
    mean_.decay(std::exp(-age_ms / mean_time_ms));
    latest_.decay(std::exp(-age_ms / latest_time_ms));
    work_requests_ *= std::exp(-age_ms / mean_time_ms);
    work_ms_ *= std::exp(-age_ms / mean_time_ms);
    const double hot_ms =
        static_cast<double>(hot_for(now).value_or(milliseconds(0)).count());
    const double grown =
        1 - std::exp(-(hot_ms + report_lead_ms) / latest_time_ms);
    if (!may_have_hot_keys()) {
        hot_since_.reset();
        return;
    }
    expected_ = mean_;
    if (!add_hot_keys(std::min(1 / grown, max_onset_factor)))
        hot_since_.reset();
    else if (!hot_since_)
        hot_since_ = now;
}

std::optional<milliseconds> key_load::hot_for(time_point now) const
{
    if (!hot_since_)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - *hot_since_);
}

bool key_load::may_have_hot_keys() const
{
    // Two neighboring blocks contain each window that begins in the first.
    double previous = 0;
    for (key_number first = 0; first < key_count; first += window_keys) {
        double block = 0;
        const key_number end = std::min(first + window_keys, key_count);
        for (key_number key = first; key < end; ++key)
            block += latest_.of(key);
        if (previous + block > min_hot_excess)
            return true;
        previous = block;
    }
    return false;
}

bool key_load::add_hot_keys(double onset_factor)
{
    constexpr double scale = mean_time_ms / latest_time_ms;
    // Sums over all keys before the index.
    std::vector<double> latest(key_count + 1, 0);
    std::vector<double> mean(key_count + 1, 0);
    for (key_number key = 0; key < key_count; ++key) {
        latest[key + 1] = latest[key] + latest_.of(key);
        mean[key + 1] = mean[key] + mean_.of(key);
    }
    const auto sum = [](const std::vector<double>& sums, key_number key) {
        return sums[std::min(key + window_radius + 1, key_count)] -
               sums[key - std::min(key, window_radius)];
    };
    const double uniform = latest_.total() * window_keys / key_count;
    hot_.assign(key_count, false);
    std::vector<bool> stands_out(key_count, false);
    std::vector<double> others(key_count + 1, 0);
    bool any = false;
    for (key_number key = 0; key < key_count; ++key) {
        const double usual = std::max(sum(mean, key) / scale, uniform);
        const double count = sum(latest, key);
        const double own = latest_.of(key);
        hot_[key] = count > min_hot_ratio * usual + min_hot_excess;
        any = any || hot_[key];
        stands_out[key] =
            own > min_standout_ratio * (count - own) / (window_keys - 1) +
                      min_standout_excess;
        others[key + 1] = others[key] + (stands_out[key] ? 0 : own);
    }
    if (!any)
        return false;
    for (key_number key = 0; key < key_count; ++key) {
        if (!hot_[key])
            continue;
        double count = latest_.of(key);
        const double mean_count = sum(others, key) / window_keys;
        if (!stands_out[key] && mean_count > 0)
            count = (count + window_mean_weight) /
                    (1 + window_mean_weight / mean_count);
        const double load = count * scale * onset_factor;
        if (load > mean_.of(key))
            expected_.add(key, load - mean_.of(key));
    }
    return true;
}

bool key_load::is_in_surge(
    const key_table& table, const std::vector<key_server>& servers) const
{
    if (!hot_since_)
        return false;
    double capacity = 0;
    std::map<server_incarnation, double> capacities;
    for (const key_server& server : servers) {
        capacity += server.capacity;
        capacities.emplace(server.incarnation, server.capacity);
    }
    struct owner_load
    {
        double total = 0;
        // Number of keys that could be moved away.
        key_number hot_keys = 0;
        key_number keys = 0;
    };
    std::map<server_incarnation, owner_load> loads;
    for (const key_range& range : table.ranges) {
        owner_load& load = loads[range.owner];
        load.keys += range.last - range.first + 1;
        for (key_number key = range.first; key <= range.last; ++key) {
            load.total += expected_.of(key);
            load.hot_keys += hot_[key] ? 1 : 0;
        }
    }
    return std::any_of(loads.begin(), loads.end(), [&](const auto& item) {
        const auto& [server, load] = item;
        const auto found = capacities.find(server);
        return found != capacities.end() && load.hot_keys > 0 &&
               load.keys > 1 &&
               load.total > min_surge_ratio * expected_.total() *
                                found->second / capacity;
    });
}

} // namespace filberthub
