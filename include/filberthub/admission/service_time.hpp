// What a gate learns from the latency of answers.
//
//     service_time times(8ms);
//     times.add(latency);
//     duration mean = times.mean();

#ifndef FILBERTHUB_ADMISSION_SERVICE_TIME_HPP
#define FILBERTHUB_ADMISSION_SERVICE_TIME_HPP

#include <filberthub/base/types.hpp>

#include <optional>

namespace filberthub {

// Keeps a moving mean and the baseline, the latency of a warm server without a
// queue.
class service_time
{
public:
    explicit service_time(duration baseline);

    // To be called for each complete answer. `current` is whether the request
    // was sent after the last `forget`, `warm` whether the ramp has reached all
    // slots.
    void add(duration latency, bool current, bool warm);

    duration mean() const
    {
        return mean_;
    }

    duration baseline() const
    {
        return baseline_;
    }

    // The time that an answer needs with some certainty: 95% of lognormal
    // answers with sigma 0.5 come within 2 times the mean. A waiting request
    // with less time left is refused, because a late answer is useless and
    // takes the slot of one that would be in time.
    duration needed() const
    {
        return 2 * mean_;
    }

    // To be called when the state of the server becomes unknown: earlier
    // answers say nothing about it.
    void forget()
    {
        recent_.reset();
    }

    // Whether the recent answers are evidence for a further slot.
    bool good() const
    {
        return recent_ && 2 * *recent_ <= 3 * baseline_;
    }

    // Whether the recent answers say that the server is no longer the known
    // one.
    bool suspicious() const
    {
        return recent_ && *recent_ > 3 * baseline_;
    }

private:
    duration baseline_;
    duration mean_;
    // Moving mean since the last `forget`. A single answer is no evidence: of
    // lognormal answers with sigma 0.5, 5% are over 2 times the mean.
    std::optional<duration> recent_;
};

} // namespace filberthub

#endif
