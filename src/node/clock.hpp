// The one place of the node from which the present time comes.

#ifndef FILBERTHUB_NODE_CLOCK_HPP
#define FILBERTHUB_NODE_CLOCK_HPP

#include <filberthub/base/types.hpp>

namespace filberthub {

// Monotonic time of this machine. It goes on while the process is stopped, so
// that a lease that lapsed in the meantime is seen as lapsed.
inline time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace filberthub

#endif
