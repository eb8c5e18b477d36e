#include <filberthub/admission/service_time.hpp>

#include <algorithm>

namespace filberthub {

service_time::service_time(duration baseline)
    : baseline_(baseline), mean_(baseline)
{}

void service_time::add(duration latency, bool current)
{
    mean_ += (latency - mean_) / 8;
    if (current)
        recent_ = recent_ ? *recent_ + (latency - *recent_) / 8 : latency;
    // Slow answers move the baseline slowly, so that a cold start does not
    // become the baseline, but a lasting change of the service does.
    if (latency <= 2 * baseline_)
        baseline_ += (latency - baseline_) / 64;
    else
        baseline_ += (std::min(latency, 4 * baseline_) - baseline_) / 1024;
    baseline_ = std::max(baseline_, duration(1000));
}

} // namespace filberthub
