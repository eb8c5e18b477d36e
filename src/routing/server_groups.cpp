#include <filberthub/routing/server_groups.hpp>

#include <xxhash.h>

#include <algorithm>

namespace filberthub {

std::size_t group_count(std::size_t servers)
{
    return std::max<std::size_t>(
        1, (servers + target_group_size / 2) / target_group_size);
}

std::string group_of_server(
    const server_entry& server, bool keyed, std::size_t groups)
{
    if (keyed)
        return server.service.value() + "/" + server.id.value();
    const std::size_t index =
        groups <= 1
            ? 0
            : XXH3_64bits(server.id.value().data(), server.id.value().size()) %
                  groups;
    return server.service.value() + "/" + std::to_string(index);
}

} // namespace filberthub
