// Which backend server owns which keys of a service.
//
//     key_table table = key_table::from_text(text);
//     const key_range* range = table.find(4711);

#ifndef FILBERTHUB_ROUTING_KEY_TABLE_HPP
#define FILBERTHUB_ROUTING_KEY_TABLE_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace filberthub {

using key_number = std::uint32_t;
inline constexpr key_number key_count = 65'536;

// One incarnation of a backend server. A server that restarts under its old id
// holds nothing of what was granted before.
struct server_incarnation
{
    backend_server_id id;
    // Start of the process in Unix milliseconds.
    std::uint64_t started = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const server_incarnation&) const = default;
};

// A server that held keys before their present owner.
struct previous_owner
{
    server_incarnation server;
    fencing_token token;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const previous_owner&) const = default;
};

// Keys from `first` to `last`, both included, with one owner.
struct key_range
{
    key_number first = 0;
    key_number last = 0;
    server_incarnation owner;
    // Unique in the table.
    fencing_token token;
    // Servers that may still hold the keys; empty once the owner has begun.
    std::vector<previous_owner> previous;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const key_range&) const = default;
};

// All ranges are disjoint and sorted. Keys without a range have no owner.
struct key_table
{
    std::vector<key_range> ranges;
    // Greater than every token that was ever used for the service.
    fencing_token next_token{1};

    // Returns the range of a key, or null.
    const key_range* find(key_number key) const;

    // Both throw or report `error` of kind `bad_policy` for a malformed text.
    static key_table from_text(const std::string& text);
    std::string text() const;
};

} // namespace filberthub

#endif
