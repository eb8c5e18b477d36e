// Plans which backend server owns each key group, with as few moves as
// possible.
//
//     ownership_planner planner;
//     plan_result plan = planner.plan(table, servers, weights, hints);
//     if (plan.changed)
//         commit(encode(plan.table));

#ifndef FILBERTHUB_OWNERSHIP_OWNERSHIP_PLANNER_HPP
#define FILBERTHUB_OWNERSHIP_OWNERSHIP_PLANNER_HPP

#include <filberthub/ownership/planning.hpp>

namespace filberthub {

// Thresholds of the planner. A ratio is the load per capacity of a server,
// divided by the mean of the service. A share is a part of a server's capacity.
struct plan_limits
{
    // Balancing starts when a server is above this ratio.
    double start_ratio = 1.08;
    // Balancing stops when no server is above this ratio. The gap to
    // `start_ratio` keeps groups from moving back and forth as measured weights
    // vary.
    double stop_ratio = 1.04;
    // A server below this ratio, such as a new one, counts as empty and is
    // filled.
    double empty_ratio = 0.5;
    // An empty server is filled at least to this ratio, and at most to 1.
    double filled_ratio = 0.96;
    // Filling an empty server takes no other server below this ratio.
    double donor_ratio = 0.92;
    // A key above this share is isolated.
    double isolate_share = 0.25;
    // An isolated key below this share returns to its common group.
    double rejoin_share = 0.125;
    // Each delta contains all isolated keys, so their number is limited.
    std::size_t max_isolated_keys = 64;
};

// Guarantees that each group of a server out of service moves exactly once,
// that other groups move only for the reasons in `plan_limits`, and that no
// group moves for balance before its last move is settled. A change of a backup
// never changes a primary.
class ownership_planner
{
public:
    explicit ownership_planner(plan_limits limits = {}) : limits_(limits) {}

    // Returns the next table. Call this when a server changes its state and
    // whenever new weights are reported. Throws `error` of kind `internal` if
    // two servers have the same id or a capacity is not above 0.
    plan_result plan(const ownership_table& table,
        std::span<const planned_server> servers, const group_weights& weights,
        const plan_hints& hints = {}) const;

private:
    plan_limits limits_;
};

static_assert(ownership_planning<ownership_planner>);

} // namespace filberthub

#endif
