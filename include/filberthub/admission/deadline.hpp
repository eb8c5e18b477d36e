// Conversion of deadlines. Inside an instance a deadline is a local time point;
// a message between instances carries the remaining milliseconds, since the
// clocks of two instances may differ.
//
//     const time_point deadline = deadline_from(remaining, now);
//     if (auto left = remaining_for_hop(deadline, now, milliseconds(1)))
//         forward(*left);

#ifndef FILBERTHUB_ADMISSION_DEADLINE_HPP
#define FILBERTHUB_ADMISSION_DEADLINE_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <optional>

namespace filberthub {

// Converts remaining milliseconds from a message to a local deadline. `now` is
// the time at which the message was received.
inline time_point deadline_from(milliseconds remaining, time_point now)
{
    return now + remaining;
}

// Returns the remaining milliseconds to send to the next hop, or nothing if
// less than 1 ms is left. The value is rounded down and reduced by
// `link_latency`, the one-way latency of the link, which neither end can
// measure with its own clock.
inline std::optional<milliseconds> remaining_for_hop(
    time_point deadline, time_point now, milliseconds link_latency)
{
    const auto left =
        std::chrono::floor<milliseconds>(deadline - now) - link_latency;
    if (left < milliseconds(1))
        return std::nullopt;
    return left;
}

// Limits the deadline of a keyed request to the end of its holder's lease, so
// that no request of a former holder is in progress after the lease.
inline time_point deadline_within_lease(
    time_point deadline, time_point lease_end)
{
    return std::min(deadline, lease_end);
}

} // namespace filberthub

#endif
