#include <filberthub/base/error.hpp>
#include <filberthub/ownership/ownership_table.hpp>

#include <algorithm>

namespace filberthub {

namespace {

constexpr std::uint64_t fleet_version_limit = 1ULL << 29U;
constexpr std::uint32_t holder_position_limit = 8;

[[noreturn]] void fail(const std::string& message)
{
    throw error(error_kind::internal, message);
}

} // namespace

fencing_token make_fencing_token(
    group_token token, std::uint64_t fleet_version, std::uint32_t position)
{
    if (fleet_version >= fleet_version_limit ||
        position >= holder_position_limit) {
        fail("fleet version " + std::to_string(fleet_version) +
             " and holder position " + std::to_string(position) +
             " do not fit in a fencing token: expected below 2^29 and 8");
    }
    const std::uint64_t low = fleet_version * holder_position_limit + position;
    return fencing_token(std::uint64_t{token.value()} << 32U | low);
}

key_group ownership_table::group_of_key(std::string_view key) const
{
    const std::uint64_t hash = hash_of(key);
    const hot_key* hot = find_hot(hash, key);
    return hot != nullptr ? hot->group : group_of_hash(hash, groups_);
}

const hot_key* ownership_table::find_hot(
    std::uint64_t hash, std::string_view key) const
{
    const auto found = hot_index_.find(hash);
    if (found == hot_index_.end() || hot_[found->second].key != key)
        return nullptr;
    return &hot_[found->second];
}

bool ownership_table::has_group(key_group group) const
{
    return group.value() < groups_.value() ||
           std::ranges::binary_search(hot_, group, {}, &hot_key::group);
}

const assignment& ownership_table::at(key_group group) const
{
    if (group.value() < groups_.value())
        return owners_[group.value()];
    const auto found =
        std::ranges::lower_bound(hot_, group, {}, &hot_key::group);
    if (found == hot_.end() || found->group != group) {
        fail("service " + service_.value() + " has no key group " +
             std::to_string(group.value()));
    }
    return found->owner;
}

const backend_server_id& ownership_table::server(server_index index) const
{
    if (index.value() >= servers_.size()) {
        throw error(error_kind::no_holder,
            "service " + service_.value() + " has no server " +
                std::to_string(index.value()) + ": expected below " +
                std::to_string(servers_.size()));
    }
    return servers_[index.value()];
}

std::optional<server_index> ownership_table::index_of(
    const backend_server_id& id) const
{
    const auto found = std::ranges::find(servers_, id);
    if (id.empty() || found == servers_.end())
        return std::nullopt;
    return server_index(static_cast<std::uint16_t>(found - servers_.begin()));
}

std::vector<pending_release> ownership_table::releases_before(
    key_group group) const
{
    const assignment& owner = at(group);
    std::vector<pending_release> result;
    const auto add = [&](server_index server, group_token token) {
        // The primary may itself be an earlier owner. Its release is not
        // awaited, because the same holder admits the requests.
        if (server == no_server || server == owner.primary)
            return;
        for (pending_release& entry : result) {
            if (entry.server == server) {
                entry.token = std::max(entry.token, token);
                return;
            }
        }
        result.push_back({server, token});
    };
    add(owner.previous, owner.token);
    auto entry =
        std::ranges::lower_bound(earlier_, group, {}, &earlier_owner::group);
    for (; entry != earlier_.end() && entry->group == group; ++entry)
        add(entry->server, entry->token);
    return result;
}

bool ownership_table::operator==(const ownership_table& other) const
{
    return service_ == other.service_ && version_ == other.version_ &&
           groups_ == other.groups_ && servers_ == other.servers_ &&
           owners_ == other.owners_ && hot_ == other.hot_ &&
           earlier_ == other.earlier_;
}

} // namespace filberthub
