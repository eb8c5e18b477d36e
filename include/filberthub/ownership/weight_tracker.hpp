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

// Finds the heaviest keys among many with a fixed number of counters
// (space-saving, Metwally, Agrawal and El Abbadi). A key with more than
// total / counters is always among them.
class key_sketch
{
public:
    // Throws `error` of kind `internal` if `counters` is 0.
    explicit key_sketch(std::size_t counters);

    struct counter
    {
        std::string key;
        // Not below the true weight, and at most `excess` above it.
        double weight = 0;
        double excess = 0;
    };

    void add(std::string_view key, double weight);
    // Multiplies all weights by `factor`.
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
    // Older load counts less: its part after this time is 1/e. Ten seconds are
    // two reports, which smooths out single long requests and still follows
    // keys that become hot within minutes.
    duration time_constant = std::chrono::seconds(10);
    // With 256 counters, a key with 1% of the load is certain to be found.
    std::size_t counters = 256;
    // Longer keys are counted for their group only, which bounds the memory.
    std::size_t longest_key = 256;
};

// The weight of a group or key is the mean number of its requests in progress.
class weight_tracker
{
public:
    // Throws `error` of kind `internal` if the time constant is not above 0.
    explicit weight_tracker(group_count groups, weight_tracker_options options);

    // Counts a request that kept a slot for `busy`. To be called when it ended.
    void record(
        key_group group, std::string_view key, duration busy, time_point now);

    // Returns the present weights, 0 before the first request.
    group_weights weights(time_point now) const;
    // Returns the heaviest keys, heaviest first, with weights that are certain:
    // what may belong to other keys of the sketch is left out.
    std::vector<key_weight> hottest(std::size_t count, time_point now) const;

private:
    // Returns what a request that ended at `now` counts, relative to `origin_`.
    double growth(time_point now) const;
    // Converts a sum to a weight.
    double rate(double sum, time_point now) const;
    void move_origin(time_point now);

    weight_tracker_options options_;
    std::vector<double> common_;
    std::unordered_map<key_group, double> isolated_;
    key_sketch sketch_;
    std::optional<time_point> first_;
    time_point origin_;
};

} // namespace filberthub

#endif
