// The clock of the routing process. Internal to `router`.
//
//     const time_point now = boot_time_now();

#ifndef FILBERTHUB_ROUTER_CLOCK_HPP
#define FILBERTHUB_ROUTER_CLOCK_HPP

#include <filberthub/base/types.hpp>

#include <ctime>

namespace filberthub {

// Returns the time since the machine started. Unlike the steady clock, it
// advances while the machine is suspended, so that a lease that expired in the
// meantime is detected.
inline time_point boot_time_now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace filberthub

#endif
