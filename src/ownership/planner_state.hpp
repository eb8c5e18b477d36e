// The assignment while it is planned: loads by server, weights by group.

#ifndef FILBERTHUB_OWNERSHIP_PLANNER_STATE_HPP
#define FILBERTHUB_OWNERSHIP_PLANNER_STATE_HPP

#include <filberthub/ownership/ownership_planner.hpp>

#include <cstdint>
#include <vector>

namespace filberthub::detail {

// A group, common or isolated, with its position in `planner_state::groups`.
struct planned_group
{
    key_group id;
    double weight = 0;
    // The primary in the old table and in the plan.
    server_index old_primary = no_server;
    server_index primary = no_server;
    server_index old_backup = no_server;
    server_index backup = no_server;
    // All holders know its token, so that it may move for balance. A key that
    // was just isolated, or a group that it rejoined, has a new token without a
    // move: work under the other group's number may still be in progress.
    bool settled = true;
};

// A position in the table's list of servers.
struct server_slot
{
    bool usable = false;
    bool backups_serve = false;
    double capacity = 0;
    double load = 0;
    std::uint32_t domain = 0;
};

class planner_state
{
public:
    // Reads `table` with `servers` added to its list.
    planner_state(const ownership_table& table,
        std::span<const planned_server> servers, const plan_hints& hints);

    // Reads groups and weights. To be called once after keys were isolated.
    void load_groups(const group_weights& weights,
        std::span<const key_weight> newly_isolated);

    bool has_usable_server() const
    {
        return usable_capacity_ > 0;
    }
    // Mean capacity of the servers in service.
    double mean_capacity() const;
    // The load that `slot` has at `ratio` times the mean load per capacity.
    double load_at(const server_slot& slot, double ratio) const
    {
        return ratio * mean_ * slot.capacity;
    }
    // Highest load per capacity of a server in service, divided by the mean.
    double imbalance() const;

    server_slot& slot(server_index index)
    {
        return slots[index.value()];
    }
    bool usable(server_index index) const
    {
        return index != no_server && slots[index.value()].usable;
    }

    // Makes `to` the primary of a group and moves its weight.
    void place(planned_group& group, server_index to);

    // Chooses a backup for each group that has none, or none that is valid.
    void choose_backups();

    // Makes the table and the list of moves. `least` is the lower bound.
    plan_result finish(const ownership_table& old, std::size_t least,
        double imbalance_before) &&;

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
    double mean_ = 0;
    std::uint32_t usable_domains_ = 0;
};

// Returns the position of each group with an owner out of service, heaviest
// first.
std::vector<std::size_t> groups_to_place(const planner_state& state);

// Returns a lower bound for the moves of a plan within `limits`. To be called
// before anything is placed.
std::size_t least_moves(const planner_state& state, const plan_limits& limits);

} // namespace filberthub::detail

#endif
