// The groups of backend servers that share a gate.
//
//     std::string group = group_of_server(entry, keyed, group_count(servers));

#ifndef FILBERTHUB_ROUTING_SERVER_GROUPS_HPP
#define FILBERTHUB_ROUTING_SERVER_GROUPS_HPP

#include <filberthub/routing/server_pool.hpp>

#include <string>

namespace filberthub {

// Groups of an unkeyed service have about this many servers: enough to balance
// well, and few enough for a small instance to admit to.
inline constexpr std::size_t group_size = 12;

// Returns the number of groups of a service with so many servers.
std::size_t group_count(std::size_t servers);

// Returns the name of the group of a server.
std::string group_of_server(
    const server_entry& server, bool keyed, std::size_t groups);

} // namespace filberthub

#endif
