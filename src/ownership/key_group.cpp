#include <filberthub/base/error.hpp>
#include <filberthub/ownership/key_group.hpp>

#include <algorithm>
#include <bit>
#include <string>
#include <xxhash.h>

namespace filberthub {

namespace {
constexpr std::size_t groups_per_server = 64;
} // namespace

group_count::group_count(std::uint32_t value) : value_(value)
{
    if (!std::has_single_bit(value) || value > maximum) {
        throw error(error_kind::internal,
            "group count " + std::to_string(value) +
                " is not a power of two from 1 to " + std::to_string(maximum));
    }
}

group_count group_count_for(std::size_t servers)
{
    const std::size_t wanted =
        std::bit_ceil(std::max<std::size_t>(servers, 1) * groups_per_server);
    return group_count(static_cast<std::uint32_t>(
        std::min<std::size_t>(wanted, group_count::maximum)));
}

std::uint64_t hash_of(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

key_group group_of(std::string_view key, group_count groups)
{
    return group_of_hash(hash_of(key), groups);
}

} // namespace filberthub
