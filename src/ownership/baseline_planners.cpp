#include "ownership/planner_state.hpp"

#include <filberthub/ownership/baseline_planners.hpp>

#include <cmath>
#include <cstdint>
#include <xxhash.h>

namespace filberthub {

namespace {

// Plans with `choose(state, group)` as the primary of each group.
template <class Choose>
plan_result plan_by_hash(const ownership_table& table,
    std::span<const planned_server> servers, const group_weights& weights,
    const plan_hints& hints, const Choose& choose)
{
    detail::planner_state state(table, servers, hints);
    if (!state.has_usable_server())
        return {table, false, {}, 0, 1, 1};
    state.load_groups(weights, {});
    const double before = state.imbalance();
    const std::size_t lower_bound = detail::min_moves(state, {});
    for (detail::planned_group& group : state.groups)
        state.place(group, choose(state, group));
    return std::move(state).finish(table, lower_bound, before);
}

} // namespace

plan_result modulo_planner::plan(const ownership_table& table,
    std::span<const planned_server> servers, const group_weights& weights,
    const plan_hints& hints) const
{
    const auto choose = [](const detail::planner_state& state,
                            const detail::planned_group& group) {
        const auto& usable = state.usable_servers;
        return usable[group.id.value() % usable.size()];
    };
    return plan_by_hash(table, servers, weights, hints, choose);
}

plan_result rendezvous_planner::plan(const ownership_table& table,
    std::span<const planned_server> servers, const group_weights& weights,
    const plan_hints& hints) const
{
    // Hashes of the server ids by position, computed when first needed. The ids
    // are used so that the result does not depend on positions in the table.
    std::vector<std::uint64_t> seeds;
    const auto choose = [&](const detail::planner_state& state,
                            const detail::planned_group& group) {
        const auto& listed = state.builder.draft().servers();
        for (std::size_t index = seeds.size(); index < listed.size(); ++index)
            seeds.push_back(hash_of(listed[index].value()));
        server_index best = no_server;
        double best_score = 0;
        const std::uint32_t number = group.id.value();
        for (const server_index index : state.usable_servers) {
            const std::uint64_t hash = XXH3_64bits_withSeed(
                &number, sizeof number, seeds[index.value()]);
            // Uniformly distributed between 0 and 1, both excluded.
            const double uniform =
                (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
            const double score =
                -state.slots[index.value()].capacity / std::log(uniform);
            if (best == no_server || score > best_score) {
                best = index;
                best_score = score;
            }
        }
        return best;
    };
    return plan_by_hash(table, servers, weights, hints, choose);
}

} // namespace filberthub
