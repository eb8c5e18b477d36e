#include <filberthub/admission/service_time.hpp>

#include <algorithm>

namespace filberthub {

service_time::service_time(duration baseline)
    : baseline_(baseline), mean_(baseline)
{}

void service_time::add(duration latency, bool current, bool warm)
{
    mean_ += (latency - mean_) / 8;
    if (current)
        recent_ = recent_ ? *recent_ + (latency - *recent_) / 16 : latency;
    // Slow answers of a server in cold start move the baseline slowly, so that
    // the cold start does not become the baseline. Those of a warm server count
    // in full, or a service with a long tail would have a baseline far below
    // its mean.
    const duration counted = std::min(latency, 4 * baseline_);
    const bool slow = latency > 2 * baseline_ && !warm;
    baseline_ += (counted - baseline_) / (slow ? 1024 : 64);
    baseline_ = std::max(baseline_, duration(1000));
}

} // namespace filberthub
