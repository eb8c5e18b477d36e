// Maps keys to key groups. A key group is the unit of ownership: all keys of a
// group have the same backend server.
//
//     group_count groups = group_count_for(14);      // 1,024
//     key_group group = group_of("map-81F2", groups);

#ifndef FILBERTHUB_OWNERSHIP_KEY_GROUP_HPP
#define FILBERTHUB_OWNERSHIP_KEY_GROUP_HPP

#include <filberthub/base/types.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace filberthub {

// Number of key groups of a service. It is a power of two, so that a bit mask
// selects the group.
class group_count
{
public:
    // Throws `error` of kind `internal` if `value` is not a power of two
    // between 1 and `maximum`.
    explicit group_count(std::uint32_t value);

    std::uint32_t value() const
    {
        return value_;
    }

    auto operator<=>(const group_count&) const = default;

    static constexpr std::uint32_t maximum = 1U << 20U;

private:
    std::uint32_t value_;
};

// Returns the smallest count with at least 64 groups per backend server, at
// most `group_count::maximum`. With fewer groups per server the load cannot be
// balanced to within 1.04 times the mean.
group_count group_count_for(std::size_t servers);

// Returns the XXH3-64 hash of a key. All instances and releases have to agree
// on it, because a change moves every key.
std::uint64_t hash_of(std::string_view key);

// Returns the group of a key whose hash is `hash`.
inline key_group group_of_hash(std::uint64_t hash, group_count groups)
{
    return key_group(static_cast<std::uint32_t>(hash) & (groups.value() - 1));
}

key_group group_of(std::string_view key, group_count groups);

} // namespace filberthub

#endif
