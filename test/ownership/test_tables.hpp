// Ownership tables for tests.

#ifndef FILBERTHUB_TEST_OWNERSHIP_TEST_TABLES_HPP
#define FILBERTHUB_TEST_OWNERSHIP_TEST_TABLES_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <string>

namespace filberthub::test {

// Returns a table that assigns the groups to the servers in turn. The backup of
// a group is the next server.
inline ownership_table round_robin_table(
    std::uint32_t servers, group_count groups)
{
    ownership_table_builder builder(
        service_id("kartlas"), groups, table_version(1));
    for (std::uint32_t index = 0; index < servers; ++index)
        builder.add_server(
            backend_server_id("kartlas-" + std::to_string(index)));
    for (std::uint32_t group = 0; group < groups.value(); ++group) {
        assignment owner;
        owner.primary =
            server_index(static_cast<std::uint16_t>(group % servers));
        if (servers > 1)
            owner.backup =
                server_index(static_cast<std::uint16_t>((group + 1) % servers));
        owner.token = token_of_move(table_version(1));
        builder.set(key_group(group), owner);
    }
    return std::move(builder).build();
}

} // namespace filberthub::test

#endif
