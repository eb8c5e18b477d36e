// The clock of the routing process. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_CLOCK_HPP
#define FILBERTHUB_ROUTER_CLOCK_HPP

#include <filberthub/base/types.hpp>

#include <ctime>

namespace filberthub {

// Returns the time since the machine started. Unlike the steady clock it counts
// while the process is suspended, so that a lease that ended meanwhile is seen.
inline time_point present_time()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace filberthub

#endif
