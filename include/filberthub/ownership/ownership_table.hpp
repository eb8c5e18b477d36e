// The ownership table of a service: which backend server owns each key.
//
//     const assignment& owner = table.find("map-81F2");
//     const backend_server_id& server = table.server(owner.primary);
//
// A table is immutable. A new one is made by a builder from the old one:
//
//     ownership_table_builder builder(table, table.version().next());
//     builder.move(group, to);
//     ownership_table changed = std::move(builder).build();

#ifndef FILBERTHUB_OWNERSHIP_OWNERSHIP_TABLE_HPP
#define FILBERTHUB_OWNERSHIP_OWNERSHIP_TABLE_HPP

#include <filberthub/ownership/key_group.hpp>

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Number of a committed state of a table. It is stored in the table and differs
// from the version of the store's object, because tokens are derived from it
// before the commit.
using table_version = strong_number<struct table_version_tag, std::uint32_t>;
// Position in the table's list of backend servers. A server keeps its position
// for as long as it is in the list.
using server_index = strong_number<struct server_index_tag, std::uint16_t>;
inline constexpr server_index no_server{0xFFFF};

// The part of a fencing token that grows whenever a group changes its server.
using group_token = strong_number<struct group_token_tag, std::uint32_t>;

// Highest version whose token fits in 32 bits.
inline constexpr table_version maximum_table_version{0x7FFFFFFE};

// Returns the token of a group that moved at `version`. Tokens of moves are
// even. The odd token that follows is reserved for the backup: it is above the
// primary's token and below that of the next move.
inline group_token token_of_move(table_version version)
{
    return group_token(2 * version.value());
}

// Returns the version at which a group with `token` was last moved.
inline table_version version_of_token(group_token token)
{
    return table_version(token.value() / 2);
}

// The owner of a group.
struct assignment
{
    server_index primary = no_server;
    // Takes over if the primary is lost while the store is unavailable;
    // `no_server` if there is no other server.
    server_index backup = no_server;
    // The primary before the last move, until that move is known to be settled.
    server_index previous = no_server;
    group_token token;

    // Returns the token with which the backup serves the group.
    group_token backup_token() const
    {
        return token.next();
    }

    bool operator==(const assignment&) const = default;
};

// Returns the fencing token that is sent to a server. `fleet_version` is below
// 2^29 and `position` in the holder list below 8; otherwise it throws `error`
// of kind `internal`.
fencing_token make_fencing_token(
    group_token token, std::uint64_t fleet_version, std::uint32_t position);

// An isolated key: one with a group of its own, so that it can be moved without
// the other keys of its common group. The number of the group is not below the
// group count.
struct hot_key
{
    std::string key;
    key_group group;
    assignment owner;

    bool operator==(const hot_key&) const = default;
};

// A server that owned a group before a move that is not known to be settled.
struct earlier_owner
{
    key_group group;
    server_index server;
    // The token of the move that replaced it.
    group_token token;

    // NOLINTNEXTLINE(modernize-use-nullptr): see strong.hpp
    auto operator<=>(const earlier_owner&) const = default;
};

// A release that the primary of a group waits for. A release with a lower token
// than `token` does not count, because the server may have owned the group
// again since.
struct pending_release
{
    server_index server;
    group_token token;

    bool operator==(const pending_release&) const = default;
};

// Guarantees that each group has exactly one primary, and that the backup is
// another server than the primary. Only version 0 has no primaries.
class ownership_table
{
public:
    const service_id& service() const
    {
        return service_;
    }
    table_version version() const
    {
        return version_;
    }
    group_count groups() const
    {
        return groups_;
    }

    // Returns the owner of `key`. Call this for each request; it allocates
    // nothing.
    const assignment& find(std::string_view key) const
    {
        const std::uint64_t hash = hash_of(key);
        if (may_be_hot(hash)) {
            const hot_key* hot = find_hot(hash, key);
            if (hot != nullptr)
                return hot->owner;
        }
        return owners_[group_of_hash(hash, groups_).value()];
    }

    // Returns the group of `key`, which may be that of an isolated key.
    key_group group_of_key(std::string_view key) const;

    // Returns the owner of a group. Throws `error` of kind `internal` if the
    // table has no such group.
    const assignment& at(key_group group) const;
    bool has_group(key_group group) const;

    // Returns the servers by position. A free position has an empty id.
    const std::vector<backend_server_id>& servers() const
    {
        return servers_;
    }
    // Returns the id of a server. Throws `error` of kind `no_holder` for
    // `no_server` and for positions beyond the list.
    const backend_server_id& server(server_index index) const;
    std::optional<server_index> index_of(const backend_server_id& id) const;

    // Returns the isolated keys, ordered by group number.
    const std::vector<hot_key>& hot_keys() const
    {
        return hot_;
    }
    // Returns the owners before `previous`, ordered by group. Only a group that
    // moved again before its last move was settled has any.
    const std::vector<earlier_owner>& earlier_owners() const
    {
        return earlier_;
    }
    // Returns the releases that the primary of `group` has to wait for before
    // it serves the group; the expiry of the lease of a server's holder
    // replaces its release. Each server is listed once, with the token of the
    // last move that replaced it.
    std::vector<pending_release> releases_before(key_group group) const;

    bool operator==(const ownership_table& other) const;

private:
    friend class ownership_table_builder;

    ownership_table(service_id service, group_count groups)
        : service_(std::move(service)), groups_(groups), owners_(groups.value())
    {}

    // Each isolated key sets one of 4,096 bits, so that most other keys need no
    // lookup. The bit is selected by other bits of the hash than the group.
    static constexpr std::size_t filter_bits = 4096;
    static std::size_t filter_bit(std::uint64_t hash)
    {
        return hash >> 52U;
    }
    bool may_be_hot(std::uint64_t hash) const
    {
        return hot_filter_[filter_bit(hash)];
    }

    const hot_key* find_hot(std::uint64_t hash, std::string_view key) const;

    service_id service_;
    table_version version_;
    group_count groups_;
    std::vector<backend_server_id> servers_;
    std::vector<assignment> owners_;
    std::vector<hot_key> hot_;
    std::vector<earlier_owner> earlier_;
    // From the hash of an isolated key to its position in `hot_`.
    std::unordered_map<std::uint64_t, std::size_t> hot_index_;
    std::bitset<filter_bits> hot_filter_;
};

// Returns a table of version 0, which has no owners. The first table is planned
// from it. It is never stored.
ownership_table empty_table(service_id service, group_count groups);

// Builds a table. All functions throw `error` of kind `internal` for a group or
// a server that the table does not contain.
class ownership_table_builder
{
public:
    ownership_table_builder(
        service_id service, group_count groups, table_version version);
    // Starts from a copy of `base` with the version `version`.
    ownership_table_builder(ownership_table base, table_version version);

    // Returns the position of `id`. Adds the server if it is not in the list.
    server_index add_server(const backend_server_id& id);
    // Replaces the list of servers; used by the decoder.
    void set_servers(std::vector<backend_server_id> servers);
    // Frees the position of a server that no assignment refers to.
    void remove_server(server_index index);

    // Sets an assignment as given; used by the decoder and for the first table.
    void set(key_group group, const assignment& owner);
    // Makes `to` the primary of a group under a new token. The old primary is
    // kept as the server that has to release the group.
    void move(key_group group, server_index to);
    // Changes the backup and leaves primary and token as they are.
    void set_backup(key_group group, server_index backup);
    // Raises the token of a group without a move. A lower token has no effect.
    void raise_token(key_group group, group_token token);

    // Gives `key` a group of its own with its current owner and a new token.
    key_group isolate(std::string_view key);
    // Adds an isolated key with its assignment; used by the decoder.
    void set_hot_key(hot_key entry);
    // Removes all isolated keys; used by the decoder.
    void clear_hot_keys();
    // Returns an isolated key to its common group. Throws if their primaries
    // differ. The token of the common group is raised above that of the key.
    void rejoin(key_group group);

    // Replaces the list of earlier owners; used by the decoder.
    void set_earlier_owners(std::vector<earlier_owner> earlier);
    // Drops the move history up to and including version `settled`.
    void settle(table_version settled);

    // Returns the current state, which is not checked yet.
    const ownership_table& draft() const
    {
        return table_;
    }

    // Checks and returns the table. Throws `error` of kind `internal` with the
    // first invalid group, server or version.
    ownership_table build() &&;

private:
    assignment& owner(key_group group);
    void check_server(server_index index, key_group group) const;
    void index_hot_keys();

    ownership_table table_;
};

} // namespace filberthub

#endif
