// The fleet table: the members with their witnesses, and the holder list of
// each backend server.
//
//     fleet_table table = fleet_table_from_json(text);
//     for (const holder_entry& entry : table.holders(server)) ...

#ifndef FILBERTHUB_MEMBERSHIP_FLEET_TABLE_HPP
#define FILBERTHUB_MEMBERSHIP_FLEET_TABLE_HPP

#include <filberthub/membership/messages.hpp>
#include <filberthub/membership/protocol.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// A member of the fleet: one incarnation of an instance.
struct fleet_member
{
    member_key key;
    endpoint address;
    failure_domain_id domain;
    std::vector<instance_id> witnesses;
    // The witnesses before the last change, until the member reports that a
    // majority of both lists has acknowledged the version `changed`.
    std::vector<instance_id> previous;
    // Version at which `witnesses` last changed.
    object_version changed;
    // Whether the member has held its lease. Only then may it be in a holder
    // list, because a lease that is not held proves a lapse only if it was held
    // before.
    bool ready = false;

    bool operator==(const fleet_member&) const = default;
};

// A place in the holder list of a server.
struct holder_entry
{
    member_key member;
    // Version at which the member was appended. It distinguishes a released
    // place from a later place of the same member.
    object_version since;

    bool operator==(const holder_entry&) const = default;
};

// The holder list of a server. A removed server keeps its list until each place
// has been released or the lease of its member has lapsed. Otherwise the server
// could return with a new list while an instance still acts on the old one.
struct holder_list
{
    std::vector<holder_entry> entries;
    bool removed = false;
    // Whether a place was ever removed. If not, the first place has no earlier
    // holder whose records it would have to collect.
    bool replaced = false;

    bool operator==(const holder_list&) const = default;
};

// An immutable version of the fleet table. It always satisfies the checks of
// `fleet_table_builder::build`.
class fleet_table
{
public:
    fleet_table() = default;

    object_version version() const
    {
        return version_;
    }

    // Returns the members ordered by key. `member_ages` and the JSON form refer
    // to members by their index in this order.
    const std::vector<fleet_member>& members() const
    {
        return members_;
    }

    // Returns the member or null.
    const fleet_member* find(const member_key& key) const;
    // Returns the incarnation of `instance` in the table, or null.
    const fleet_member* find(const instance_id& instance) const;

    const std::map<backend_server_id, holder_list>& servers() const
    {
        return servers_;
    }

    // Returns the holder list of `server`; empty if it is not in the table.
    std::span<const holder_entry> holders(
        const backend_server_id& server) const;

    // Returns the members by planner rank, lowest first.
    std::vector<member_key> ranking() const;

    bool operator==(const fleet_table&) const = default;

private:
    friend class fleet_table_builder;

    object_version version_;
    std::vector<fleet_member> members_;
    std::map<backend_server_id, holder_list> servers_;
};

// Builds a fleet table from nothing or from an earlier one.
class fleet_table_builder
{
public:
    fleet_table_builder() = default;
    explicit fleet_table_builder(const fleet_table& base) : table_(base) {}

    fleet_table_builder& version(object_version value);
    fleet_table_builder& member(fleet_member value);
    fleet_table_builder& server(backend_server_id id, holder_list list);

    // Returns the table. Throws `error` of kind `bad_policy` that names the
    // path if an instance occurs twice, a holder is not a ready member, a list
    // has more than `holder_list_limit` places or the same member twice, or an
    // instance has more than `witness_count` witnesses, is its own witness or
    // has the same witness twice.
    fleet_table build() const;

private:
    fleet_table table_;
};

// Reads the table from JSON. Throws `error` of kind `bad_policy` that names the
// path, the value seen and what was expected.
fleet_table fleet_table_from_json(std::string_view text);
// Returns the JSON text that `fleet_table_from_json` reads.
std::string to_json(const fleet_table& table);

} // namespace filberthub

#endif
