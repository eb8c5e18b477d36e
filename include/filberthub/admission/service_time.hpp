// Estimates the service time of one backend server from the latency of answers.
//
//     service_time times(8ms);
//     times.add(latency, true, true);
//     duration mean = times.mean();

#ifndef FILBERTHUB_ADMISSION_SERVICE_TIME_HPP
#define FILBERTHUB_ADMISSION_SERVICE_TIME_HPP

#include <filberthub/base/types.hpp>

#include <optional>

namespace filberthub {

// Maintains a moving mean of the latency, and the baseline, which is the
// latency of a warm server without a queue.
class service_time
{
public:
    explicit service_time(duration baseline);

    // Call for each complete answer and each request that timed out. `current`
    // tells whether the request was sent after the last `reset_recent`, `warm`
    // whether the ramp allows all slots.
    void add(duration latency, bool current, bool warm);

    duration mean() const
    {
        return mean_;
    }

    duration baseline() const
    {
        return baseline_;
    }

    // Returns the time within which about 95% of the answers arrive: 95% of
    // lognormal latencies with sigma 0.5 are below 2 times the mean. A waiting
    // request with less time left should be refused, because a late answer is
    // useless and takes the slot of a request that could finish in time.
    duration required_time() const
    {
        return 2 * mean_;
    }

    // Call when the state of the server becomes unknown, because earlier
    // answers are no evidence about it.
    void reset_recent()
    {
        recent_mean_.reset();
    }

    // Whether the recent mean is at most 1.5 times the baseline, which is
    // evidence that the server can use another slot.
    bool near_baseline() const
    {
        return recent_mean_ && 2 * *recent_mean_ <= 3 * baseline_;
    }

    // Whether the recent mean is more than 3 times the baseline, which suggests
    // that the state of the server has changed.
    bool far_above_baseline() const
    {
        return recent_mean_ && *recent_mean_ > 3 * baseline_;
    }

private:
    duration baseline_;
    duration mean_;
    // Moving mean since the last `reset_recent`. A single answer is no
    // evidence, since 5% of lognormal latencies with sigma 0.5 are above 2
    // times the mean.
    std::optional<duration> recent_mean_;
};

} // namespace filberthub

#endif
