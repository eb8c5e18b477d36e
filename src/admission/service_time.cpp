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
        recent_mean_ = recent_mean_
                           ? *recent_mean_ + (latency - *recent_mean_) / 16
                           : latency;
    // Slow answers of a server in cold start have a small weight, so that the
    // latency of the cold start does not become the baseline. Those of a warm
    // server have the full weight; otherwise the baseline of a service with a
    // long tail would be far below its mean.
    const duration bounded_latency = std::min(latency, 4 * baseline_);
    const bool slow = latency > 2 * baseline_ && !warm;
    baseline_ += (bounded_latency - baseline_) / (slow ? 1024 : 64);
    baseline_ = std::max(baseline_, duration(1000));
}

} // namespace filberthub
