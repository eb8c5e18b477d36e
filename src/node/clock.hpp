// The clock of the node.
//
//     const time_point now = clock_now();

#ifndef FILBERTHUB_NODE_CLOCK_HPP
#define FILBERTHUB_NODE_CLOCK_HPP

#include <filberthub/base/types.hpp>

namespace filberthub {

// Returns the monotonic time of this machine. The clock continues while the
// process is stopped, so that a lease which lapsed meanwhile is seen as lapsed.
// All code of the node takes the present time from here.
inline time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace filberthub

#endif
