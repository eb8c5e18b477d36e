// What a gate learns from the latency of answers.
//
//     service_time times(8ms);
//     times.add(latency);
//     duration mean = times.mean();

#ifndef FILBERTHUB_ADMISSION_SERVICE_TIME_HPP
#define FILBERTHUB_ADMISSION_SERVICE_TIME_HPP

#include <filberthub/base/types.hpp>

namespace filberthub {

// Keeps a moving mean and the baseline, the latency of a warm server without a
// queue.
class service_time
{
public:
    explicit service_time(duration baseline);

    // To be called for each complete answer.
    void add(duration latency);

    duration mean() const
    {
        return mean_;
    }

    duration baseline() const
    {
        return baseline_;
    }

    // The least time in which an answer can be expected. A waiting request
    // with less time left is refused.
    duration fastest() const
    {
        return baseline_ / 2;
    }

    // Whether an answer counts as evidence for a further slot.
    bool good(duration latency) const
    {
        return latency <= 2 * baseline_;
    }

    // Whether an answer says that the server is no longer the known one.
    bool suspicious(duration latency) const
    {
        return latency > 3 * baseline_;
    }

private:
    duration baseline_;
    duration mean_;
};

} // namespace filberthub

#endif
