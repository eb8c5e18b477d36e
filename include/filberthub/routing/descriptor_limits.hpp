// Divides the descriptors of a process among its listeners, and chooses which
// connection makes room for a new one. No I/O.
//
//     const auto limits = descriptor_limits::of_process(descriptors);
//     options.max_connections = limits.callers;
//
// Designed for up to 10,000 connections; the choice looks at all of them.

#ifndef FILBERTHUB_ROUTING_DESCRIPTOR_LIMITS_HPP
#define FILBERTHUB_ROUTING_DESCRIPTOR_LIMITS_HPP

#include <filberthub/base/types.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace filberthub {

// Maximum numbers of accepted connections. The rest is for servers, the store,
// files and connections to other instances.
struct descriptor_limits
{
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t operators = 0;
    std::size_t readiness = 0;

    // Returns the limits of a process that may open `descriptors`.
    static descriptor_limits of_process(std::size_t descriptors);
};

struct connection_activity
{
    // Whether a request waits for its response.
    bool serving = false;
    // When the client last sent or read a byte.
    time_point progress;
};

// Returns the index of the connection to close for a new one: the one without
// an open request that has been inactive for longest. Returns nothing if all
// have one; the new connection is then refused.
std::optional<std::size_t> connection_to_close(
    const std::vector<connection_activity>& connections);

} // namespace filberthub

#endif
