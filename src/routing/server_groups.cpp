#include <filberthub/routing/server_groups.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace filberthub {

std::size_t group_count(std::size_t servers)
{
    return std::max<std::size_t>(
        1, (servers + target_group_size / 2) / target_group_size);
}

std::uint64_t hash_of_server(const backend_server_id& id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

std::size_t group_index(std::uint64_t server_hash, std::size_t groups)
{
    return groups <= 1 ? 0 : server_hash % groups;
}

std::optional<std::size_t> index_of_group(std::string_view name)
{
    const std::string_view digits = name.substr(name.rfind('/') + 1);
    std::size_t index = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return index;
}

std::string group_of_server(
    const server_entry& server, bool keyed, std::size_t groups)
{
    if (keyed)
        return server.service.value() + "/" + server.id.value();
    return server.service.value() + "/" +
           std::to_string(group_index(hash_of_server(server.id), groups));
}

} // namespace filberthub
