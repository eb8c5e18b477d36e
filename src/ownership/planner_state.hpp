// The working state of a planner: servers with their loads, groups with their
// weights and planned owners.
//
//     planner_state state(table, servers, hints);
//     state.load_groups(weights, {});
//     state.place(group, to);
//     return std::move(state).finish(table, bound, imbalance);

#ifndef FILBERTHUB_OWNERSHIP_PLANNER_STATE_HPP
#define FILBERTHUB_OWNERSHIP_PLANNER_STATE_HPP

#include <filberthub/ownership/ownership_planner.hpp>

#include <cstdint>
#include <vector>

namespace filberthub::detail {

// A group as element of `planner_state::groups`. The common groups come first,
// by number; the groups of isolated keys follow.
struct planned_group
{
    key_group id;
    double weight = 0;
    // The primary in the old table and in the plan.
    server_index old_primary = no_server;
    server_index primary = no_server;
    server_index old_backup = no_server;
    server_index backup = no_server;
    // All holders know the token of the group, so that it may move for balance.
    // A key that was just isolated, or a common group that a key has rejoined,
    // has a new token without a move: requests under the number of the other
    // group may still be in progress.
    bool settled = true;
};

// The server at a position of the table's list.
struct server_slot
{
    // In service.
    bool usable = false;
    // See `planned_server::backups_serve`.
    bool backups_serve = false;
    double capacity = 0;
    double load = 0;
    std::uint32_t domain = 0;
};

// Guarantees that the loads of the servers match the planned primaries of the
// groups.
class planner_state
{
public:
    // Starts from `table` and adds `servers` to its list.
    planner_state(const ownership_table& table,
        std::span<const planned_server> servers, const plan_hints& hints);

    // Reads groups and weights. Call this once, after keys have been isolated.
    void load_groups(const group_weights& weights,
        std::span<const key_weight> newly_isolated);

    bool has_usable_server() const
    {
        return usable_capacity_ > 0;
    }
    // Returns the mean capacity of the servers in service.
    double mean_capacity() const;
    // Returns the load of `slot` at `ratio` times the mean load per capacity.
    double load_at(const server_slot& slot, double ratio) const
    {
        return ratio * mean_utilization_ * slot.capacity;
    }
    // Returns the highest load per capacity of a server in service, divided by
    // the mean.
    double imbalance() const;

    server_slot& slot(server_index index)
    {
        return slots[index.value()];
    }
    bool usable(server_index index) const
    {
        return index != no_server && slots[index.value()].usable;
    }

    // Makes `to` the planned primary of a group and moves the weight to it.
    void place(planned_group& group, server_index to);

    // Chooses a backup for each group without a valid one.
    void choose_backups();

    // Builds the table and the list of moves. `lower_bound` is the lower bound
    // for the number of moves.
    plan_result finish(const ownership_table& old_table,
        std::size_t lower_bound, double imbalance_before) &&;

    ownership_table_builder builder;
    std::vector<planned_group> groups;
    std::vector<server_slot> slots;
    // Positions of the servers in service.
    std::vector<server_index> usable_servers;
    bool isolation_changed = false;

private:
    bool valid_backup(const planned_group& group) const;
    server_index find_backup(
        const planned_group& group, const std::vector<double>& loads) const;
    void remove_unused_servers(std::span<const planned_server> servers);

    std::vector<planned_server> servers_;
    table_version settled_;
    double usable_capacity_ = 0;
    double mean_utilization_ = 0;
    std::uint32_t usable_domains_ = 0;
};

// Returns the positions in `planner_state::groups` of the groups whose primary
// is out of service, heaviest first.
std::vector<std::size_t> groups_to_place(const planner_state& state);

// Returns a lower bound for the number of moves of a plan within `limits`. Call
// this before any group is placed.
std::size_t min_moves(const planner_state& state, const plan_limits& limits);

} // namespace filberthub::detail

#endif
