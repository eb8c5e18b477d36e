// Plans which backend server owns which group, with the fewest moves.
//
//     ownership_planner planner;
//     plan_result plan = planner.plan(table, servers, weights, hints);
//     if (plan.changed)
//         commit(encode(plan.table));

#ifndef FILBERTHUB_OWNERSHIP_OWNERSHIP_PLANNER_HPP
#define FILBERTHUB_OWNERSHIP_OWNERSHIP_PLANNER_HPP

#include <filberthub/ownership/planning.hpp>

namespace filberthub {

// Ratios are load per capacity, divided by the mean of the service.
struct plan_limits
{
    // Groups are moved for balance only if a server is above this ratio ...
    double start_ratio = 1.08;
    // ... and then until no server is above this one. The gap keeps groups
    // from moving back and forth as measured weights vary.
    double stop_ratio = 1.04;
    // A server below this ratio, such as a new one, is filled ...
    double empty_ratio = 0.5;
    // ... at least to this ratio, and at most to 1.
    double filled_ratio = 0.96;
    // Filling takes no server below this ratio.
    double donor_ratio = 0.92;
    // A key above this part of a server's capacity is isolated ...
    double isolate_share = 0.25;
    // ... and below this part it returns to its common group.
    double rejoin_share = 0.125;
    // Isolated keys are part of each delta, so their number is limited.
    std::size_t most_isolated = 64;
};

// Guarantees that groups of servers out of service move, each once; that other
// groups move only for the reasons in `plan_limits`; and that no group moves
// for balance while its last move is not settled. Changes of backups never
// change a primary.
class ownership_planner
{
public:
    explicit ownership_planner(plan_limits limits = {}) : limits_(limits) {}

    // Returns the next table. To be called when a server changes its state and
    // whenever new weights are reported. Throws `error` of kind `internal` if
    // two servers have one id or a capacity is not above 0.
    plan_result plan(const ownership_table& table,
        std::span<const planned_server> servers, const group_weights& weights,
        const plan_hints& hints = {}) const;

private:
    plan_limits limits_;
};

static_assert(ownership_planning<ownership_planner>);

} // namespace filberthub

#endif
