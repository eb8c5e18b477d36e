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

// One incarnation of a backend server. A server that restarts with the same id
// holds none of the keys that were granted to it before.
struct server_incarnation
{
    backend_server_id id;
    // Start time of the process in Unix milliseconds.
    std::uint64_t started = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const server_incarnation&) const = default;
};

// A server that owned keys before their current owner, and the token of its
// grant.
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
    // Servers that may still hold the keys; empty once the owner has accepted
    // them.
    std::vector<previous_owner> previous;

    // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_number
    auto operator<=>(const key_range&) const = default;
};

// The key ownership of one service. Ranges are disjoint and sorted. Keys that
// are in no range have no owner.
struct key_table
{
    std::vector<key_range> ranges;
    // Greater than every token used for the service so far.
    fencing_token next_token{1};

    // Returns the range of a key, or null.
    const key_range* find(key_number key) const;

    // Throws `error` of kind `bad_policy` if the text is malformed.
    static key_table from_text(const std::string& text);
    std::string text() const;
};

} // namespace filberthub

#endif
