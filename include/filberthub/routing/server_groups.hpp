// Division of the backend servers of a service into groups that share a gate.
//
//     std::string group = group_of_server(entry, keyed, group_count(servers));

#ifndef FILBERTHUB_ROUTING_SERVER_GROUPS_HPP
#define FILBERTHUB_ROUTING_SERVER_GROUPS_HPP

#include <filberthub/routing/server_pool.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace filberthub {

// Approximate number of servers per group of an unkeyed service: enough to
// balance load well, and few enough for a small instance to run the gate.
inline constexpr std::size_t target_group_size = 12;

// Returns the number of groups of an unkeyed service with this many servers.
std::size_t group_count(std::size_t servers);

// Returns the hash of a server's id that decides about its group.
std::uint64_t hash_of_server(const backend_server_id& id);

// Returns the number of the group of a server of an unkeyed service.
std::size_t group_index(std::uint64_t server_hash, std::size_t groups);

// Returns the number at the end of the name of a group, or nothing if the name
// is not that of a group of an unkeyed service.
std::optional<std::size_t> index_of_group(std::string_view name);

// Returns the name of the group of a server. Each server of a keyed service has
// a group of its own; `groups` is ignored then.
std::string group_of_server(
    const server_entry& server, bool keyed, std::size_t groups);

} // namespace filberthub

#endif
