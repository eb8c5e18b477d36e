// Common ways to assign keys, as baselines for measurements. They ignore
// weights, and balance and churn follow from hashing alone.
//
//     plan_result plan = rendezvous_planner().plan(table, servers, weights,
//     {});

#ifndef FILBERTHUB_OWNERSHIP_BASELINE_PLANNERS_HPP
#define FILBERTHUB_OWNERSHIP_BASELINE_PLANNERS_HPP

#include <filberthub/ownership/planning.hpp>

namespace filberthub {

// Assigns group g to server g modulo the number of servers in service.
class modulo_planner
{
public:
    plan_result plan(const ownership_table& table,
        std::span<const planned_server> servers, const group_weights& weights,
        const plan_hints& hints = {}) const;
};

// Assigns each group to the server with the highest hash of group and server,
// weighted by capacity (rendezvous hashing, Thaler and Ravishankar).
class rendezvous_planner
{
public:
    plan_result plan(const ownership_table& table,
        std::span<const planned_server> servers, const group_weights& weights,
        const plan_hints& hints = {}) const;
};

static_assert(ownership_planning<modulo_planner>);
static_assert(ownership_planning<rendezvous_planner>);

} // namespace filberthub

#endif
