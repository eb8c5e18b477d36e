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

// Servers ordered by load per capacity. Entries become out of date as groups
// are placed and are corrected when they reach the top.
class receivers
{
public:
    receivers(planner_state& state, double ratio,
        const std::vector<server_index>& servers)
        : state_(state), ratio_(ratio)
    {
        for (const server_index index : servers)
            queue_.emplace(-utilization(index), index);
    }

    // Returns the least loaded server, or `no_server`.
    server_index top()
    {
        while (!queue_.empty()) {
            const auto [seen, index] = queue_.top();
            const double present = -utilization(index);
            if (seen == present)
                return index;
            queue_.pop();
            queue_.emplace(present, index);
        }
        return no_server;
    }

    // Returns how much load the server can take up to the ratio.
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

class planning
{
public:
    planning(planner_state& state, const plan_limits& limits)
        : state_(state), limits_(limits)
    {
        for (const server_index index : state_.usable_servers) {
            if (load(index) < at(index, limits_.empty_ratio))
                empty_.push_back(index);
        }
    }

    // Gives each group of a server out of service a new primary.
    void place_forced()
    {
        receivers empty(state_, 1, empty_);
        receivers all(state_, limits_.stop_ratio, state_.usable_servers);
        for (const std::size_t position : detail::groups_to_place(state_)) {
            planned_group& group = state_.groups[position];
            state_.place(group, receiver_of(group, empty, all));
        }
    }

    // Moves the fewest groups that bring each server below the stop ratio.
    void relieve_overloaded()
    {
        if (state_.imbalance() <= limits_.start_ratio)
            return;
        auto groups = movable_groups();
        relieve(state_.usable_servers, groups);
        // Two hot keys on one server stay there if no other server has room
        // for one of them beside its own groups.
        bool changed = true;
        while (changed) {
            changed = false;
            for (const server_index index : state_.usable_servers) {
                if (load(index) > at(index, limits_.start_ratio) &&
                    exchange(index, groups))
                    changed = true;
            }
        }
    }

    // Gives the servers without enough load their share, heaviest groups first.
    void fill_empty()
    {
        receivers empty(state_, 1, empty_);
        std::vector<std::size_t> candidates;
        if (enough(empty))
            return;
        for (const auto& groups : movable_groups())
            candidates.insert(candidates.end(), groups.begin(), groups.end());
        sort_by_weight(candidates);
        for (const std::size_t position : candidates) {
            planned_group& group = state_.groups[position];
            const server_index to = empty.top();
            if (is_empty(group.primary) || group.weight > empty.headroom(to) ||
                group.weight > load(group.primary) -
                                   at(group.primary, limits_.donor_ratio))
                continue;
            state_.place(group, to);
            if (enough(empty))
                return;
        }
    }

private:
    // Positions of groups by server, heaviest first.
    using groups_by_server = std::vector<std::vector<std::size_t>>;

    // Takes groups off each of `servers` that is above the stop ratio, as long
    // as others have room for them.
    void relieve(
        const std::vector<server_index>& servers, groups_by_server& by_server)
    {
        receivers all(state_, limits_.stop_ratio, state_.usable_servers);
        receivers empty(state_, 1, empty_);
        for (const server_index index : servers) {
            auto& groups = by_server[index.value()];
            while (load(index) > at(index, limits_.stop_ratio)) {
                // Empty servers come first: what goes elsewhere would have to
                // be made up by further moves.
                const bool filled = enough(empty);
                server_index to = filled ? all.top() : empty.top();
                const double room =
                    filled ? all.headroom(to) : empty.headroom(to);
                auto chosen = choose(groups, index, room, filled);
                if (chosen == groups.end() && !filled) {
                    to = all.top();
                    chosen = choose(groups, index, all.headroom(to), true);
                }
                if (chosen == groups.end())
                    break;
                state_.place(state_.groups[*chosen], to);
                groups.erase(chosen);
            }
        }
    }

    // Moves a group of the overloaded `from` to a server that can give away
    // lighter groups instead. Returns false if there is none.
    bool exchange(server_index from, groups_by_server& by_server)
    {
        auto& groups = by_server[from.value()];
        const auto chosen =
            choose(groups, from, std::numeric_limits<double>::infinity(), true);
        if (chosen == groups.end())
            return false;
        planned_group& group = state_.groups[*chosen];
        server_index to = no_server;
        double least_excess = std::numeric_limits<double>::infinity();
        for (const server_index index : state_.usable_servers) {
            double lighter = 0;
            for (const std::size_t position : by_server[index.value()]) {
                if (state_.groups[position].weight < group.weight)
                    lighter += state_.groups[position].weight;
            }
            const double filled = load(index) + group.weight;
            const double excess = filled - at(index, limits_.stop_ratio);
            if (index == from || excess >= least_excess ||
                filled - lighter > at(index, limits_.start_ratio))
                continue;
            to = index;
            least_excess = excess;
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
    double at(server_index index, double ratio) const
    {
        return state_.load_at(state_.slots[index.value()], ratio);
    }
    bool is_empty(server_index index) const
    {
        return std::ranges::find(empty_, index) != empty_.end();
    }
    // Whether even the server with the least load has its share.
    bool enough(receivers& empty) const
    {
        const server_index neediest = empty.top();
        return neediest == no_server ||
               load(neediest) >= at(neediest, limits_.filled_ratio);
    }

    server_index receiver_of(
        const planned_group& group, receivers& empty, receivers& all) const
    {
        const bool backup_usable = state_.usable(group.backup);
        if (backup_usable && group.primary != no_server &&
            state_.slots[group.primary.value()].backups_serve)
            return group.backup;
        const server_index neediest = empty.top();
        if (neediest != no_server && empty.headroom(neediest) >= group.weight)
            return neediest;
        if (backup_usable && all.headroom(group.backup) >= group.weight)
            return group.backup;
        return all.top();
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

    // Returns the group to take off an overloaded server: the heaviest one that
    // fits into `room`. With `lightest`, the last one is the lightest that
    // covers the excess, so that no more load moves than necessary.
    std::vector<std::size_t>::iterator choose(std::vector<std::size_t>& groups,
        server_index from, double room, bool lightest)
    {
        const double excess = load(from) - at(from, limits_.stop_ratio);
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

// Isolates keys that are too hot for a common group, and returns those which
// cooled down and whose owner is already that of the common group.
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
            table.hot_keys().size() >= limits.most_isolated ||
            group.value() >= table.groups().value() || !settled(group))
            continue;
        state.builder.isolate(entry.key);
        isolated.push_back(entry);
        state.isolation_changed = true;
    }
    return isolated;
}

// Moves isolated keys that cooled down to the owner of their common group.
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
    std::size_t least = detail::least_moves(state, limits_);
    planning steps(state, limits_);
    steps.place_forced();
    steps.relieve_overloaded();
    steps.fill_empty();
    least += return_cooled_keys(state, limits_, weights, isolated);
    return std::move(state).finish(table, least, before);
}

} // namespace filberthub
