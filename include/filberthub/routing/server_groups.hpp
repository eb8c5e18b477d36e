// Division of the backend servers of a service into groups that share a gate.
//
//     std::string group = group_of_server(entry, keyed, group_count(servers));

#ifndef FILBERTHUB_ROUTING_SERVER_GROUPS_HPP
#define FILBERTHUB_ROUTING_SERVER_GROUPS_HPP

#include <filberthub/routing/server_pool.hpp>

#include <string>

namespace filberthub {

// Approximate number of servers per group of an unkeyed service: enough to
// balance load well, and few enough for a small instance to run the gate.
inline constexpr std::size_t target_group_size = 12;

// Returns the number of groups of an unkeyed service with this many servers.
std::size_t group_count(std::size_t servers);

// Returns the name of the group of a server. Each server of a keyed service has
// a group of its own; `groups` is ignored then.
std::string group_of_server(
    const server_entry& server, bool keyed, std::size_t groups);

} // namespace filberthub

#endif
