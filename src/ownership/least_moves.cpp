#include "ownership/planner_state.hpp"

#include <algorithm>

namespace filberthub::detail {

namespace {

// Weights of the groups that each server keeps, heaviest first.
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

// What the plan has to do at least.
struct bound
{
    std::size_t moves = 0;
    // Load that the servers without enough load still have to receive.
    double needed = 0;
    // Weights of further groups that donors may give.
    std::vector<double> gifts;
};

// Groups of servers out of service have to move, and may fill empty servers.
void add_forced(const planner_state& state, bound& result)
{
    for (const planned_group& group : state.groups) {
        if (!state.usable(group.old_primary)) {
            ++result.moves;
            result.needed -= group.weight;
        }
    }
}

// Adds the fewest groups that have to leave `slot` and those which may follow
// them. Heaviest groups first is the least number for any amount of load.
void add_donor(const planner_state& state, const plan_limits& limits,
    const server_slot& slot, const std::vector<double>& weights, double largest,
    bool relieve, bound& result)
{
    double excess =
        relieve ? slot.load - state.load_at(slot, limits.stop_ratio) : 0;
    double surplus = slot.load - state.load_at(slot, limits.donor_ratio);
    for (const double weight : weights) {
        // A group that fits on no server is left where it is.
        if (weight > largest)
            continue;
        if (excess > 0) {
            ++result.moves;
            result.needed -= weight;
        } else if (weight <= surplus) {
            result.gifts.push_back(weight);
        } else {
            continue;
        }
        excess -= weight;
        surplus -= weight;
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

std::size_t least_moves(const planner_state& state, const plan_limits& limits)
{
    const auto weights = weights_by_server(state);
    bound result;
    double largest = 0;
    bool relieve = false;
    for (const server_index index : state.usable_servers) {
        const server_slot& slot = state.slots[index.value()];
        largest = std::max(largest, state.load_at(slot, limits.stop_ratio));
        relieve |= slot.load > state.load_at(slot, limits.start_ratio);
        if (slot.load < state.load_at(slot, limits.empty_ratio))
            result.needed +=
                state.load_at(slot, limits.filled_ratio) - slot.load;
    }
    add_forced(state, result);
    for (const server_index index : state.usable_servers) {
        const server_slot& slot = state.slots[index.value()];
        if (slot.load >= state.load_at(slot, limits.empty_ratio))
            add_donor(state, limits, slot, weights[index.value()], largest,
                relieve, result);
    }
    std::ranges::sort(result.gifts, std::greater<>());
    for (const double weight : result.gifts) {
        if (result.needed <= 0)
            break;
        result.needed -= weight;
        ++result.moves;
    }
    return result.moves;
}

} // namespace filberthub::detail
