#include <filberthub/base/error.hpp>
#include <filberthub/ownership/ownership_table.hpp>

#include <algorithm>
#include <unordered_set>

namespace filberthub {

namespace {

[[noreturn]] void fail(const std::string& message)
{
    throw error(error_kind::internal, message);
}

} // namespace

ownership_table empty_table(service_id service, group_count groups)
{
    return ownership_table_builder(std::move(service), groups, table_version(0))
        .build();
}

ownership_table_builder::ownership_table_builder(
    service_id service, group_count groups, table_version version)
    : table_(std::move(service), groups)
{
    table_.version_ = version;
}

ownership_table_builder::ownership_table_builder(
    ownership_table base, table_version version)
    : table_(std::move(base))
{
    table_.version_ = version;
}

server_index ownership_table_builder::add_server(const backend_server_id& id)
{
    if (const auto known = table_.index_of(id))
        return *known;
    auto& servers = table_.servers_;
    auto slot = std::ranges::find(servers, backend_server_id());
    if (slot == servers.end()) {
        servers.emplace_back();
        slot = servers.end() - 1;
    }
    *slot = id;
    return server_index(static_cast<std::uint16_t>(slot - servers.begin()));
}

void ownership_table_builder::set_servers(
    std::vector<backend_server_id> servers)
{
    table_.servers_ = std::move(servers);
}

void ownership_table_builder::remove_server(server_index index)
{
    if (index.value() >= table_.servers_.size())
        fail("cannot remove server " + std::to_string(index.value()) +
             ", which is not in the list");
    table_.servers_[index.value()] = backend_server_id();
    while (!table_.servers_.empty() && table_.servers_.back().empty())
        table_.servers_.pop_back();
}

assignment& ownership_table_builder::owner(key_group group)
{
    return const_cast<assignment&>(table_.at(group));
}

void ownership_table_builder::check_server(
    server_index index, key_group group) const
{
    const auto& servers = table_.servers_;
    if (index.value() >= servers.size() || servers[index.value()].empty()) {
        fail("group " + std::to_string(group.value()) + " refers to server " +
             std::to_string(index.value()) + ", which is not in the list of " +
             std::to_string(servers.size()));
    }
}

void ownership_table_builder::set(key_group group, const assignment& value)
{
    owner(group) = value;
}

void ownership_table_builder::move(key_group group, server_index to)
{
    check_server(to, group);
    assignment& current = owner(group);
    if (current.primary == to)
        return;
    if (current.previous != no_server) {
        // The last move is not settled, so the owner before it may still have
        // requests in progress.
        auto& earlier = table_.earlier_;
        const earlier_owner entry{group, current.previous, current.token};
        earlier.insert(std::ranges::upper_bound(earlier, entry), entry);
    }
    current.previous = current.primary;
    current.primary = to;
    current.token = token_of_move(table_.version_);
    if (current.backup == to)
        current.backup = no_server;
}

void ownership_table_builder::set_backup(key_group group, server_index backup)
{
    if (backup != no_server)
        check_server(backup, group);
    owner(group).backup = backup;
}

void ownership_table_builder::raise_token(key_group group, group_token token)
{
    assignment& current = owner(group);
    current.token = std::max(current.token, token);
}

key_group ownership_table_builder::isolate(std::string_view key)
{
    key_group group(table_.groups_.value());
    for (const hot_key& entry : table_.hot_) {
        if (entry.group == group)
            group = group.next();
    }
    hot_key entry{std::string(key), group, table_.find(key)};
    // The number may have belonged to another key before, so a new token is
    // needed.
    entry.owner.token = token_of_move(table_.version_);
    set_hot_key(std::move(entry));
    return group;
}

void ownership_table_builder::set_hot_key(hot_key entry)
{
    auto& hot = table_.hot_;
    const auto position =
        std::ranges::lower_bound(hot, entry.group, {}, &hot_key::group);
    if (entry.group.value() < table_.groups_.value() ||
        (position != hot.end() && position->group == entry.group)) {
        fail("isolated key \"" + entry.key + "\" has group " +
             std::to_string(entry.group.value()) +
             ", expected a free number from " +
             std::to_string(table_.groups_.value()));
    }
    if (table_.hot_index_.contains(hash_of(entry.key)))
        fail("key \"" + entry.key +
             "\" or another key with the same hash is already isolated");
    hot.insert(position, std::move(entry));
    index_hot_keys();
}

void ownership_table_builder::clear_hot_keys()
{
    table_.hot_.clear();
    index_hot_keys();
}

void ownership_table_builder::rejoin(key_group group)
{
    auto& hot = table_.hot_;
    const auto found =
        std::ranges::lower_bound(hot, group, {}, &hot_key::group);
    if (found == hot.end() || found->group != group)
        fail("no isolated key has group " + std::to_string(group.value()));
    const key_group common = group_of(found->key, table_.groups_);
    if (owner(common).primary != found->owner.primary) {
        fail("isolated key \"" + found->key + "\" is on server " +
             std::to_string(found->owner.primary.value()) +
             ", expected that of its common group, " +
             std::to_string(owner(common).primary.value()));
    }
    raise_token(common, token_of_move(table_.version_));
    hot.erase(found);
    std::erase_if(table_.earlier_,
        [&](const earlier_owner& entry) { return entry.group == group; });
    index_hot_keys();
}

void ownership_table_builder::index_hot_keys()
{
    table_.hot_index_.clear();
    table_.hot_filter_.reset();
    for (std::size_t index = 0; index < table_.hot_.size(); ++index) {
        const std::uint64_t hash = hash_of(table_.hot_[index].key);
        table_.hot_index_.emplace(hash, index);
        table_.hot_filter_.set(ownership_table::filter_bit(hash));
    }
}

void ownership_table_builder::set_earlier_owners(
    std::vector<earlier_owner> earlier)
{
    std::ranges::sort(earlier);
    table_.earlier_ = std::move(earlier);
}

void ownership_table_builder::settle(table_version settled)
{
    const auto drop_previous = [&](assignment& owner) {
        if (version_of_token(owner.token) <= settled)
            owner.previous = no_server;
    };
    for (assignment& owner : table_.owners_)
        drop_previous(owner);
    for (hot_key& entry : table_.hot_)
        drop_previous(entry.owner);
    std::erase_if(table_.earlier_, [&](const earlier_owner& entry) {
        return version_of_token(entry.token) <= settled;
    });
}

ownership_table ownership_table_builder::build() &&
{
    std::unordered_set<backend_server_id> seen;
    for (const backend_server_id& id : table_.servers_) {
        if (!id.empty() && !seen.insert(id).second)
            fail("server " + id.value() + " is listed twice");
    }
    if (table_.version_ > maximum_table_version)
        fail("table version " + std::to_string(table_.version_.value()) +
             " is above the maximum");
    const auto check = [&](key_group group, const assignment& owner) {
        if (table_.version_ == table_version(0))
            return;
        check_server(owner.primary, group);
        if (owner.backup != no_server)
            check_server(owner.backup, group);
        if (owner.previous != no_server)
            check_server(owner.previous, group);
        if (owner.backup == owner.primary) {
            fail("group " + std::to_string(group.value()) +
                 " has the same server as primary and backup");
        }
        if (version_of_token(owner.token) > table_.version_) {
            fail("group " + std::to_string(group.value()) + " has token " +
                 std::to_string(owner.token.value()) +
                 ", which is above that of table version " +
                 std::to_string(table_.version_.value()));
        }
    };
    for (std::uint32_t group = 0; group < table_.groups_.value(); ++group)
        check(key_group(group), table_.owners_[group]);
    for (const hot_key& entry : table_.hot_)
        check(entry.group, entry.owner);
    for (const earlier_owner& entry : table_.earlier_) {
        check_server(entry.server, entry.group);
        if (!table_.has_group(entry.group))
            fail("an earlier owner refers to the unknown group " +
                 std::to_string(entry.group.value()));
    }
    return std::move(table_);
}

} // namespace filberthub
