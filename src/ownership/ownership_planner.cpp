#include "ownership/planner_state.hpp"

#include <filberthub/ownership/ownership_planner.hpp>

#include <algorithm>
#include <limits>
#include <queue>

namespace filberthub {

namespace {

using detail::planned_group;
using detail::planner_state;
using detail::server_slot;

// Priority queue of servers by load per capacity. Entries become stale as
// groups are placed; they are corrected when they reach the top.
class receiver_queue
{
public:
    receiver_queue(planner_state& state, double ratio,
        const std::vector<server_index>& servers)
        : state_(state), ratio_(ratio)
    {
        for (const server_index index : servers)
            queue_.emplace(-utilization(index), index);
    }

    // Returns the server with the lowest load per capacity, or `no_server` if
    // there are no servers.
    server_index top()
    {
        while (!queue_.empty()) {
            const auto [queued, index] = queue_.top();
            const double current = -utilization(index);
            if (queued == current)
                return index;
            queue_.pop();
            queue_.emplace(current, index);
        }
        return no_server;
    }

    // Returns the load that the server can take until it reaches the ratio.
    double headroom(server_index index) const
    {
        const server_slot& slot = state_.slots[index.value()];
        return state_.load_at(slot, ratio_) - slot.load;
    }

private:
    double utilization(server_index index) const
    {
        const server_slot& slot = state_.slots[index.value()];
        return slot.load / slot.capacity;
    }

    planner_state& state_;
    double ratio_;
    std::priority_queue<std::pair<double, server_index>> queue_;
};

// Chooses the primaries of a plan. Call the steps in the order of their
// declaration.
class rebalancer
{
public:
    rebalancer(planner_state& state, const plan_limits& limits)
        : state_(state), limits_(limits)
    {
        for (const server_index index : state_.usable_servers) {
            if (load(index) < load_at(index, limits_.empty_ratio))
                empty_.push_back(index);
        }
    }

    // Assigns each group of a server out of service to a new primary.
    void place_forced()
    {
        receiver_queue empty_servers(state_, 1, empty_);
        receiver_queue all_servers(
            state_, limits_.stop_ratio, state_.usable_servers);
        for (const std::size_t position : detail::groups_to_place(state_)) {
            planned_group& group = state_.groups[position];
            state_.place(group, receiver_of(group, empty_servers, all_servers));
        }
    }

    // Moves as few groups as possible until each server is below the stop
    // ratio.
    void relieve_overloaded()
    {
        if (state_.imbalance() <= limits_.start_ratio)
            return;
        auto groups = movable_groups();
        relieve(state_.usable_servers, groups);
        // If two heavy groups are on one server and no other server has room
        // for either of them, that server first has to move lighter groups
        // away.
        bool changed = true;
        while (changed) {
            changed = false;
            for (const server_index index : state_.usable_servers) {
                if (load(index) > load_at(index, limits_.start_ratio) &&
                    exchange(index, groups))
                    changed = true;
            }
        }
    }

    // Fills the empty servers, heaviest groups first.
    void fill_empty()
    {
        receiver_queue empty_servers(state_, 1, empty_);
        std::vector<std::size_t> candidates;
        if (all_filled(empty_servers))
            return;
        for (const auto& groups : movable_groups())
            candidates.insert(candidates.end(), groups.begin(), groups.end());
        sort_by_weight(candidates);
        for (const std::size_t position : candidates) {
            planned_group& group = state_.groups[position];
            const server_index to = empty_servers.top();
            if (is_empty(group.primary) ||
                group.weight > empty_servers.headroom(to) ||
                group.weight > load(group.primary) -
                                   load_at(group.primary, limits_.donor_ratio))
                continue;
            state_.place(group, to);
            if (all_filled(empty_servers))
                return;
        }
    }

private:
    // Positions of groups by server, heaviest first.
    using groups_by_server = std::vector<std::vector<std::size_t>>;

    // Moves groups away from each of `servers` that is above the stop ratio, as
    // long as other servers have room for them.
    void relieve(
        const std::vector<server_index>& servers, groups_by_server& by_server)
    {
        receiver_queue all_servers(
            state_, limits_.stop_ratio, state_.usable_servers);
        receiver_queue empty_servers(state_, 1, empty_);
        for (const server_index index : servers) {
            auto& groups = by_server[index.value()];
            while (load(index) > load_at(index, limits_.stop_ratio)) {
                // Empty servers are preferred: a group moved elsewhere would
                // not help to fill them and would cost further moves.
                const bool filled = all_filled(empty_servers);
                server_index to =
                    filled ? all_servers.top() : empty_servers.top();
                const double room = filled ? all_servers.headroom(to)
                                           : empty_servers.headroom(to);
                auto chosen = choose_group(groups, index, room, filled);
                if (chosen == groups.end() && !filled) {
                    to = all_servers.top();
                    chosen = choose_group(
                        groups, index, all_servers.headroom(to), true);
                }
                if (chosen == groups.end())
                    break;
                state_.place(state_.groups[*chosen], to);
                groups.erase(chosen);
            }
        }
    }

    // Moves a group of the overloaded `from` to a server that can move lighter
    // groups away in return. Returns false if there is no such server.
    bool exchange(server_index from, groups_by_server& by_server)
    {
        auto& groups = by_server[from.value()];
        const auto chosen = choose_group(
            groups, from, std::numeric_limits<double>::infinity(), true);
        if (chosen == groups.end())
            return false;
        planned_group& group = state_.groups[*chosen];
        server_index to = no_server;
        double min_excess = std::numeric_limits<double>::infinity();
        for (const server_index index : state_.usable_servers) {
            double lighter = 0;
            for (const std::size_t position : by_server[index.value()]) {
                if (state_.groups[position].weight < group.weight)
                    lighter += state_.groups[position].weight;
            }
            const double filled = load(index) + group.weight;
            const double excess = filled - load_at(index, limits_.stop_ratio);
            if (index == from || excess >= min_excess ||
                filled - lighter > load_at(index, limits_.start_ratio))
                continue;
            to = index;
            min_excess = excess;
        }
        if (to == no_server)
            return false;
        state_.place(group, to);
        groups.erase(chosen);
        relieve({to}, by_server);
        return true;
    }

    double load(server_index index) const
    {
        return state_.slots[index.value()].load;
    }
    double load_at(server_index index, double ratio) const
    {
        return state_.load_at(state_.slots[index.value()], ratio);
    }
    bool is_empty(server_index index) const
    {
        return std::ranges::find(empty_, index) != empty_.end();
    }
    // Returns whether all empty servers have reached the filled ratio.
    bool all_filled(receiver_queue& empty_servers) const
    {
        const server_index least_loaded = empty_servers.top();
        return least_loaded == no_server ||
               load(least_loaded) >=
                   load_at(least_loaded, limits_.filled_ratio);
    }

    server_index receiver_of(const planned_group& group,
        receiver_queue& empty_servers, receiver_queue& all_servers) const
    {
        const bool backup_usable = state_.usable(group.backup);
        if (backup_usable && group.primary != no_server &&
            state_.slots[group.primary.value()].backups_serve)
            return group.backup;
        const server_index least_loaded = empty_servers.top();
        if (least_loaded != no_server &&
            empty_servers.headroom(least_loaded) >= group.weight)
            return least_loaded;
        if (backup_usable && all_servers.headroom(group.backup) >= group.weight)
            return group.backup;
        return all_servers.top();
    }

    void sort_by_weight(std::vector<std::size_t>& positions) const
    {
        std::ranges::stable_sort(positions, std::greater<>(),
            [&](std::size_t index) { return state_.groups[index].weight; });
    }

    groups_by_server movable_groups() const
    {
        groups_by_server result(state_.slots.size());
        for (std::size_t index = 0; index < state_.groups.size(); ++index) {
            const planned_group& group = state_.groups[index];
            if (group.settled)
                result[group.primary.value()].push_back(index);
        }
        for (auto& positions : result)
            sort_by_weight(positions);
        return result;
    }

    // Returns the group to move away from an overloaded server: the heaviest
    // one that fits into `room`. With `lightest`, it is the lightest of these
    // that covers the excess if there is one, so that no more load moves than
    // necessary.
    std::vector<std::size_t>::iterator choose_group(
        std::vector<std::size_t>& groups, server_index from, double room,
        bool lightest)
    {
        const double excess = load(from) - load_at(from, limits_.stop_ratio);
        const auto weight = [&](std::size_t position) {
            return state_.groups[position].weight;
        };
        const auto fits =
            std::ranges::lower_bound(groups, room, std::greater<>(), weight);
        const auto lighter =
            std::ranges::upper_bound(groups, excess, std::greater<>(), weight);
        return lightest && lighter > fits ? lighter - 1 : fits;
    }

    planner_state& state_;
    const plan_limits& limits_;
    std::vector<server_index> empty_;
};

// Isolates keys whose load is too high for a common group, and returns keys
// whose load has fallen to their common group if it has the same owner. Returns
// the newly isolated keys.
std::vector<key_weight> change_isolation(planner_state& state,
    const plan_limits& limits, const group_weights& weights,
    const plan_hints& hints)
{
    const double capacity = state.mean_capacity();
    const auto settled = [&](key_group group) {
        const assignment& owner = state.builder.draft().at(group);
        return state.usable(owner.primary) &&
               version_of_token(owner.token) <= hints.settled;
    };
    const std::vector<hot_key> hot_keys = state.builder.draft().hot_keys();
    for (const hot_key& entry : hot_keys) {
        const ownership_table& table = state.builder.draft();
        const key_group common = group_of(entry.key, table.groups());
        if (weights.at(entry.group) < limits.rejoin_share * capacity &&
            settled(entry.group) && settled(common) &&
            table.at(common).primary == entry.owner.primary) {
            state.builder.rejoin(entry.group);
            state.isolation_changed = true;
        }
    }
    std::vector<key_weight> isolated;
    for (const key_weight& entry : hints.hot_keys) {
        const ownership_table& table = state.builder.draft();
        const key_group group = table.group_of_key(entry.key);
        if (entry.weight <= limits.isolate_share * capacity ||
            table.hot_keys().size() >= limits.max_isolated_keys ||
            group.value() >= table.groups().value() || !settled(group))
            continue;
        state.builder.isolate(entry.key);
        isolated.push_back(entry);
        state.isolation_changed = true;
    }
    return isolated;
}

// Moves isolated keys whose load has fallen to the owner of their common group,
// so that a later plan can return them to it. Returns the number of added
// moves.
std::size_t return_cooled_keys(planner_state& state, const plan_limits& limits,
    const group_weights& weights, std::span<const key_weight> newly_isolated)
{
    const ownership_table& table = state.builder.draft();
    std::size_t moves = 0;
    for (std::size_t index = table.groups().value();
         index < state.groups.size(); ++index) {
        planned_group& group = state.groups[index];
        const std::string& key =
            table.hot_keys()[index - table.groups().value()].key;
        const bool is_new = std::ranges::find(newly_isolated, key,
                                &key_weight::key) != newly_isolated.end();
        const planned_group& common =
            state.groups[group_of(key, table.groups()).value()];
        if (is_new || !group.settled || group.primary == common.primary ||
            weights.at(group.id) >= limits.rejoin_share * state.mean_capacity())
            continue;
        moves += group.primary == group.old_primary ? 1 : 0;
        state.place(group, common.primary);
    }
    return moves;
}

} // namespace

plan_result ownership_planner::plan(const ownership_table& table,
    std::span<const planned_server> servers, const group_weights& weights,
    const plan_hints& hints) const
{
    planner_state state(table, servers, hints);
    if (!state.has_usable_server())
        return {table, false, {}, 0, 1, 1};
    const std::vector<key_weight> isolated =
        change_isolation(state, limits_, weights, hints);
    state.load_groups(weights, isolated);
    const double before = state.imbalance();
    std::size_t lower_bound = detail::min_moves(state, limits_);
    rebalancer steps(state, limits_);
    steps.place_forced();
    steps.relieve_overloaded();
    steps.fill_empty();
    lower_bound += return_cooled_keys(state, limits_, weights, isolated);
    return std::move(state).finish(table, lower_bound, before);
}

} // namespace filberthub
