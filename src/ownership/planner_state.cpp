#include "ownership/planner_state.hpp"

#include <filberthub/base/error.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_set>

namespace filberthub::detail {

namespace {

// Minimum weight of a group, as a part of the mean weight. It spreads groups
// without load over the servers, too.
constexpr double idle_share_of_mean = 0.01;
// Number of random candidates of which the least loaded becomes the backup. Two
// avoid most of the imbalance of a single random choice; four cost little more.
constexpr int backup_candidates = 4;
// Number of random servers that are tried to find the candidates.
constexpr std::uint64_t backup_attempts = 32;

// Finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

void check(std::span<const planned_server> servers)
{
    std::unordered_set<backend_server_id> seen;
    for (const planned_server& server : servers) {
        if (server.id.empty() || !seen.insert(server.id).second) {
            throw error(error_kind::internal,
                "server \"" + server.id.value() +
                    "\": expected an id that is not empty and not used twice");
        }
        if (!(server.capacity > 0)) {
            throw error(error_kind::internal,
                "server " + server.id.value() + " has capacity " +
                    std::to_string(server.capacity) + ": expected above 0");
        }
    }
}

// Maximum number of distinct tokens of a table. Each one has an entry in the
// JSON encoding, and with 4,096 entries the position takes 12 bits for each
// group.
constexpr std::size_t max_tokens = 4096;

// Raises the tokens of the groups that moved longest ago to a common token.
// This is safe without a move, because the higher token goes to the same
// server.
void merge_old_tokens(
    ownership_table_builder& builder, std::span<const planned_group> groups)
{
    const ownership_table& table = builder.draft();
    std::set<group_token> tokens;
    for (const planned_group& group : groups)
        tokens.insert(table.at(group.id).token);
    if (tokens.size() <= max_tokens)
        return;
    const group_token merged = *std::next(
        tokens.begin(), static_cast<std::ptrdiff_t>(tokens.size() / 2));
    for (const planned_group& group : groups) {
        if (table.at(group.id).previous == no_server)
            builder.raise_token(group.id, merged);
    }
}

} // namespace

planner_state::planner_state(const ownership_table& table,
    std::span<const planned_server> servers, const plan_hints& hints)
    : builder(table, table.version().next()),
      servers_(servers.begin(), servers.end()),
      settled_(hints.settled)
{
    check(servers);
    builder.settle(hints.settled);
    std::vector<server_index> positions;
    std::unordered_map<backend_server_id, server_index> positions_by_id;
    const auto& listed = table.servers();
    for (std::size_t index = 0; index < listed.size(); ++index)
        positions_by_id.emplace(
            listed[index], server_index(static_cast<std::uint16_t>(index)));
    for (const planned_server& server : servers) {
        const auto found = positions_by_id.find(server.id);
        positions.push_back(found != positions_by_id.end()
                                ? found->second
                                : builder.add_server(server.id));
    }
    slots.resize(builder.draft().servers().size());
    std::map<failure_domain_id, std::uint32_t> domains;
    std::unordered_set<std::uint32_t> domains_in_service;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const planned_server& server = servers[index];
        const auto number = static_cast<std::uint32_t>(domains.size() + 1);
        server_slot& slot = slots[positions[index].value()];
        slot.usable = server.state == server_state::in_service;
        slot.backups_serve = server.backups_serve;
        slot.capacity = server.capacity;
        slot.domain = domains.try_emplace(server.domain, number).first->second;
        if (slot.usable) {
            usable_servers.push_back(positions[index]);
            usable_capacity_ += slot.capacity;
            domains_in_service.insert(slot.domain);
        }
    }
    std::ranges::sort(usable_servers);
    usable_domains_ = static_cast<std::uint32_t>(domains_in_service.size());
}

void planner_state::load_groups(
    const group_weights& weights, std::span<const key_weight> newly_isolated)
{
    const ownership_table& table = builder.draft();
    const auto add = [&](key_group id, const assignment& owner) {
        groups.push_back({id, std::max(weights.at(id), 0.0), owner.primary,
            owner.primary, owner.backup, owner.backup,
            version_of_token(owner.token) <= settled_});
    };
    groups.reserve(table.groups().value() + table.hot_keys().size());
    for (std::uint32_t number = 0; number < table.groups().value(); ++number)
        add(key_group(number), table.at(key_group(number)));
    for (const hot_key& entry : table.hot_keys())
        add(entry.group, entry.owner);
    for (const key_weight& entry : newly_isolated) {
        const key_group common = group_of(entry.key, table.groups());
        const key_group isolated = table.group_of_key(entry.key);
        for (planned_group& group : groups) {
            if (group.id == isolated)
                group.weight = entry.weight;
        }
        double& common_weight = groups[common.value()].weight;
        common_weight = std::max(common_weight - entry.weight, 0.0);
    }
    double total = 0;
    for (const planned_group& group : groups)
        total += group.weight;
    const double mean = total / static_cast<double>(groups.size());
    const double idle_weight = total > 0 ? mean * idle_share_of_mean : 1;
    total = 0;
    for (planned_group& group : groups) {
        group.weight = std::max(group.weight, idle_weight);
        total += group.weight;
        if (usable(group.primary))
            slot(group.primary).load += group.weight;
    }
    mean_utilization_ = usable_capacity_ > 0 ? total / usable_capacity_ : 0;
}

double planner_state::mean_capacity() const
{
    return usable_capacity_ / static_cast<double>(usable_servers.size());
}

double planner_state::imbalance() const
{
    double highest = 0;
    double load = 0;
    for (const server_index index : usable_servers) {
        const server_slot& slot = slots[index.value()];
        highest = std::max(highest, slot.load / slot.capacity);
        load += slot.load;
    }
    return load > 0 ? highest * usable_capacity_ / load : 1;
}

void planner_state::place(planned_group& group, server_index to)
{
    if (usable(group.primary))
        slot(group.primary).load -= group.weight;
    group.primary = to;
    slot(to).load += group.weight;
}

bool planner_state::valid_backup(const planned_group& group) const
{
    return usable(group.backup) && group.backup != group.primary &&
           (usable_domains_ < 2 || slots[group.backup.value()].domain !=
                                       slots[group.primary.value()].domain);
}

void planner_state::choose_backups()
{
    std::vector<double> loads(slots.size());
    for (const planned_group& group : groups) {
        if (valid_backup(group))
            loads[group.backup.value()] += group.weight;
    }
    for (planned_group& group : groups) {
        if (valid_backup(group))
            continue;
        group.backup = find_backup(group, loads);
        if (group.backup != no_server)
            loads[group.backup.value()] += group.weight;
    }
}

server_index planner_state::find_backup(
    const planned_group& group, const std::vector<double>& loads) const
{
    if (usable_servers.size() < 2)
        return no_server;
    server_index best = no_server;
    double best_load = std::numeric_limits<double>::max();
    planned_group candidate = group;
    const auto consider = [&](server_index index) {
        candidate.backup = index;
        if (!valid_backup(candidate))
            return false;
        const double load =
            loads[index.value()] / slots[index.value()].capacity;
        if (load < best_load) {
            best = index;
            best_load = load;
        }
        return true;
    };
    int found = 0;
    for (std::uint64_t attempt = 0;
         attempt < backup_attempts && found < backup_candidates; ++attempt) {
        const std::uint64_t hash =
            mix(group.id.value() * backup_attempts + attempt);
        if (consider(usable_servers[hash % usable_servers.size()]))
            ++found;
    }
    if (best == no_server)
        std::ranges::for_each(usable_servers, consider);
    return best;
}

void planner_state::remove_unused_servers(
    std::span<const planned_server> servers)
{
    const ownership_table& table = builder.draft();
    std::unordered_set<backend_server_id> used;
    for (const planned_server& server : servers)
        used.insert(server.id);
    std::vector<bool> referenced(table.servers().size());
    const auto mark_referenced = [&](server_index index) {
        if (index != no_server)
            referenced[index.value()] = true;
    };
    for (const planned_group& group : groups) {
        const assignment& owner = table.at(group.id);
        mark_referenced(owner.primary);
        mark_referenced(owner.backup);
        mark_referenced(owner.previous);
    }
    for (const earlier_owner& entry : table.earlier_owners())
        mark_referenced(entry.server);
    // A copy, because each removal may shorten the list.
    const std::vector<backend_server_id> listed = table.servers();
    for (std::size_t index = 0; index < listed.size(); ++index) {
        if (!listed[index].empty() && !referenced[index] &&
            !used.contains(listed[index]))
            builder.remove_server(
                server_index(static_cast<std::uint16_t>(index)));
    }
}

plan_result planner_state::finish(const ownership_table& old_table,
    std::size_t lower_bound, double imbalance_before) &&
{
    choose_backups();
    std::vector<group_move> moves;
    bool backups_changed = false;
    bool unsettled = false;
    for (const planned_group& group : groups) {
        if (group.primary != group.old_primary) {
            // If the backup serves the group, it has to release it as well.
            if (group.old_backup != no_server &&
                slot(group.old_primary).backups_serve)
                builder.move(group.id, group.old_backup);
            builder.move(group.id, group.primary);
            moves.push_back({group.id, group.old_primary, group.primary});
        }
        if (builder.draft().at(group.id).backup != group.backup) {
            builder.set_backup(group.id, group.backup);
            backups_changed = true;
        }
        unsettled |= builder.draft().at(group.id).previous != no_server;
    }
    remove_unused_servers(servers_);
    // A table that only drops settled moves is made once, after the last move
    // is settled.
    bool history_ended = false;
    for (const planned_group& group : groups) {
        history_ended |= !unsettled && old_table.has_group(group.id) &&
                         old_table.at(group.id).previous != no_server;
    }
    const bool changed = !moves.empty() || backups_changed || history_ended ||
                         isolation_changed ||
                         builder.draft().servers() != old_table.servers();
    const double after = imbalance();
    if (!changed)
        return {old_table, false, {}, lower_bound, imbalance_before, after};
    merge_old_tokens(builder, groups);
    return {std::move(builder).build(), true, std::move(moves), lower_bound,
        imbalance_before, after};
}

} // namespace filberthub::detail
