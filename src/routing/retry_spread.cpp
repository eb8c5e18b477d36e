#include <filberthub/routing/retry_spread.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Callers ignore a longer wait than this part of their time left.
constexpr int honored_part = 3;
// Ends of the period in which room is expected, relative to the expected wait.
// The waits at a gate vary by about half of their mean.
constexpr double earliest = 0.5;
constexpr double latest = 1.5;
// A shorter time brings the caller back before anything has changed.
constexpr double min_retry_ms = 20;

} // namespace

milliseconds spread_retry(
    milliseconds wait, milliseconds time_left, double uniform_random)
{
    const double longest =
        std::max(static_cast<double>(time_left.count()) / honored_part, 1.0);
    const auto expected = static_cast<double>(wait.count());
    const double last =
        std::min(std::max(expected * latest, min_retry_ms), longest);
    // If the period exceeds what callers honor, all of that time is used.
    const double first = std::min(
        std::max(std::min(expected, last) * earliest, min_retry_ms), last);
    return milliseconds(static_cast<std::int64_t>(
        std::floor(first + (last - first) * uniform_random)));
}

} // namespace filberthub
