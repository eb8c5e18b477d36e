// Measures the load of key groups and finds hot keys in bounded memory.
//
//     weight_tracker tracker(table.groups(), {});
//     tracker.record(group, key, busy, now);
//     group_weights weights = tracker.weights(now);
//     std::vector<key_weight> hot = tracker.hottest(10, now);

#ifndef FILBERTHUB_OWNERSHIP_WEIGHT_TRACKER_HPP
#define FILBERTHUB_OWNERSHIP_WEIGHT_TRACKER_HPP

#include <filberthub/ownership/planning.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Finds the heaviest of many keys with a fixed number of counters (space-saving
// algorithm, Metwally, Agrawal and El Abbadi). A key whose weight is above
// `total / counters` always has a counter.
class key_sketch
{
public:
    // Throws `error` of kind `internal` if `counters` is 0.
    explicit key_sketch(std::size_t counters);

    struct counter
    {
        std::string key;
        // Not below the true weight, and at most `error_bound` above it.
        double weight = 0;
        double error_bound = 0;
    };

    void add(std::string_view key, double weight);
    // Multiplies all weights and error bounds by `factor`.
    void scale(double factor);

    const std::vector<counter>& counters() const
    {
        return counters_;
    }

private:
    std::size_t limit_;
    std::vector<counter> counters_;
    // Positions of the counters by hash of the key.
    std::unordered_map<std::uint64_t, std::size_t> positions_;
};

struct weight_tracker_options
{
    // Time after which the weight of a request has decayed to 1/e. Ten seconds
    // are two report intervals, which smooths out single long requests and
    // still follows keys whose load rises within minutes.
    duration time_constant = std::chrono::seconds(10);
    // With 256 counters, a key with 1% of the load is always found.
    std::size_t counters = 256;
    // In bytes. Longer keys are counted only for their group, which bounds the
    // memory.
    std::size_t max_key_size = 256;
};

// Measures weights. The weight of a group or key is the mean number of its
// requests in progress, with exponential decay.
class weight_tracker
{
public:
    // Throws `error` of kind `internal` if the time constant is not above 0.
    explicit weight_tracker(group_count groups, weight_tracker_options options);

    // Counts a request that occupied a slot for `busy`. Call this when the
    // request has ended.
    void record(
        key_group group, std::string_view key, duration busy, time_point now);

    // Returns the current weights, which are 0 before the first request.
    group_weights weights(time_point now) const;
    // Returns at most `count` keys, heaviest first. Each weight is a lower
    // bound of the true weight: the error bound of the sketch is subtracted.
    std::vector<key_weight> hottest(std::size_t count, time_point now) const;

private:
    // Returns the factor of a request that ended at `now`, relative to one that
    // ended at `origin_`.
    double growth(time_point now) const;
    // Converts a decayed sum of busy time to a weight.
    double weight_of(double sum, time_point now) const;
    void move_origin(time_point now);

    weight_tracker_options options_;
    std::vector<double> common_;
    std::unordered_map<key_group, double> isolated_;
    key_sketch sketch_;
    std::optional<time_point> first_record_;
    time_point origin_;
};

} // namespace filberthub

#endif
