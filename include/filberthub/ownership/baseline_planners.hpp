// Baseline planners for measurements: modulo hashing and rendezvous hashing.
// They ignore weights, so that balance and churn depend on the hash alone.
//
//     rendezvous_planner planner;
//     plan_result result = planner.plan(table, servers, weights);

#ifndef FILBERTHUB_OWNERSHIP_BASELINE_PLANNERS_HPP
#define FILBERTHUB_OWNERSHIP_BASELINE_PLANNERS_HPP

#include <filberthub/ownership/planning.hpp>

namespace filberthub {

// Assigns group `g` to the server in service at position `g` modulo the number
// of servers in service. Most groups move when that number changes.
class modulo_planner
{
public:
    plan_result plan(const ownership_table& table,
        std::span<const planned_server> servers, const group_weights& weights,
        const plan_hints& hints = {}) const;
};

// Assigns each group to the server with the highest hash of group and server,
// weighted by capacity (rendezvous hashing, Thaler and Ravishankar). When a
// server is added or removed, only groups of that server move.
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
