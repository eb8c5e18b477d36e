#include "ownership/planner_state.hpp"

#include <algorithm>

namespace filberthub::detail {

namespace {

// Returns the weights of the groups that each usable server had in the old
// table, heaviest first.
std::vector<std::vector<double>> weights_by_server(const planner_state& state)
{
    std::vector<std::vector<double>> result(state.slots.size());
    for (const planned_group& group : state.groups) {
        if (state.usable(group.old_primary))
            result[group.old_primary.value()].push_back(group.weight);
    }
    for (std::vector<double>& weights : result)
        std::ranges::sort(weights, std::greater<>());
    return result;
}

// Lower bound for the moves of a plan, and what is left for filling the empty
// servers.
struct move_bound
{
    std::size_t moves = 0;
    // Load that the empty servers still have to receive.
    double missing_load = 0;
    // Weights of further groups that may be moved to empty servers.
    std::vector<double> optional_weights;
};

// Adds the groups of servers out of service. They have to move, and may be
// moved to empty servers.
void add_forced(const planner_state& state, move_bound& result)
{
    for (const planned_group& group : state.groups) {
        if (!state.usable(group.old_primary)) {
            ++result.moves;
            result.missing_load -= group.weight;
        }
    }
}

// Adds the fewest groups that have to leave `slot` and those that may be moved
// in addition. Taking the heaviest groups first gives the lowest number of
// moves for any amount of load.
void add_donor(const planner_state& state, const plan_limits& limits,
    const server_slot& slot, const std::vector<double>& weights,
    double max_group_weight, bool rebalance, move_bound& result)
{
    double excess =
        rebalance ? slot.load - state.load_at(slot, limits.stop_ratio) : 0;
    double spare_load = slot.load - state.load_at(slot, limits.donor_ratio);
    for (const double weight : weights) {
        // A group that fits on no server is not moved.
        if (weight > max_group_weight)
            continue;
        if (excess > 0) {
            ++result.moves;
            result.missing_load -= weight;
        } else if (weight <= spare_load) {
            result.optional_weights.push_back(weight);
        } else {
            continue;
        }
        excess -= weight;
        spare_load -= weight;
    }
}

} // namespace

std::vector<std::size_t> groups_to_place(const planner_state& state)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < state.groups.size(); ++index) {
        if (!state.usable(state.groups[index].primary))
            result.push_back(index);
    }
    std::ranges::stable_sort(result, std::greater<>(),
        [&](std::size_t index) { return state.groups[index].weight; });
    return result;
}

std::size_t min_moves(const planner_state& state, const plan_limits& limits)
{
    const auto weights = weights_by_server(state);
    move_bound result;
    double max_group_weight = 0;
    bool rebalance = false;
    for (const server_index index : state.usable_servers) {
        const server_slot& slot = state.slots[index.value()];
        max_group_weight =
            std::max(max_group_weight, state.load_at(slot, limits.stop_ratio));
        rebalance |= slot.load > state.load_at(slot, limits.start_ratio);
        if (slot.load < state.load_at(slot, limits.empty_ratio))
            result.missing_load +=
                state.load_at(slot, limits.filled_ratio) - slot.load;
    }
    add_forced(state, result);
    for (const server_index index : state.usable_servers) {
        const server_slot& slot = state.slots[index.value()];
        if (slot.load >= state.load_at(slot, limits.empty_ratio))
            add_donor(state, limits, slot, weights[index.value()],
                max_group_weight, rebalance, result);
    }
    std::ranges::sort(result.optional_weights, std::greater<>());
    for (const double weight : result.optional_weights) {
        if (result.missing_load <= 0)
            break;
        result.missing_load -= weight;
        ++result.moves;
    }
    return result.moves;
}

} // namespace filberthub::detail
