// Input and result of planning, shared by the planner and its baselines.
//
//     template <ownership_planning Planner>
//     double churn(const Planner& planner, const ownership_table& table, ...)
//     {
//         plan_result plan = planner.plan(table, servers, weights, hints);
//         return plan.churn_ratio();
//     }

#ifndef FILBERTHUB_OWNERSHIP_PLANNING_HPP
#define FILBERTHUB_OWNERSHIP_PLANNING_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <concepts>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Whether a backend server may own groups. Only one in service may.
enum class server_state : std::uint8_t
{
    in_service,
    // It drains before it is removed.
    leaving,
    lost,
    // Operators took its failure domain out of service.
    domain_out
};

// A backend server as the planner sees it. A server of the table that is not
// among the planned ones counts as lost.
struct planned_server
{
    backend_server_id id;
    failure_domain_id domain;
    server_state state = server_state::in_service;
    // In the unit of the weights, for example slots. It is above 0.
    double capacity = 1;
    // The holder retired the server while the store was down, so that the
    // backups serve its groups already.
    bool backups_serve = false;
};

// Measured load of each group, such as the mean number of slots in use.
class group_weights
{
public:
    explicit group_weights(group_count groups, double initial = 1)
        : common_(groups.value(), initial)
    {}

    // Returns 0 for an isolated key without a weight.
    double at(key_group group) const;
    void set(key_group group, double weight);

private:
    std::vector<double> common_;
    std::unordered_map<key_group, double> isolated_;
};

// Load of a single key that is part of its common group's weight.
struct key_weight
{
    std::string key;
    double weight = 0;

    bool operator==(const key_weight&) const = default;
};

// What a planner may know besides servers and weights.
struct plan_hints
{
    // The hottest keys that are not isolated.
    std::vector<key_weight> hot_keys;
    // Newest table version of which it is known that all holders follow it and
    // that no work from before it is in progress.
    table_version settled;
};

struct group_move
{
    key_group group;
    // `no_server` in the first plan.
    server_index from = no_server;
    server_index to;

    bool operator==(const group_move&) const = default;
};

struct plan_result
{
    // The old table if nothing changed.
    ownership_table table;
    bool changed = false;
    std::vector<group_move> moves;
    // Lower bound for the moves of any plan with the same balance.
    std::size_t least_moves = 0;
    // Highest load per capacity, divided by the mean. 1 without load.
    double imbalance_before = 1;
    double imbalance_after = 1;

    // Returns moves per least possible move, or 1 if none was made. It is
    // infinite if moves were made that no change required.
    double churn_ratio() const;
};

// A way to assign groups. `plan` is pure: equal arguments give equal results.
// The first table is planned from `empty_table`. Without a server in service
// the table stays as it is.
template <class Planner>
concept ownership_planning = requires(const Planner& planner,
    const ownership_table& table, std::span<const planned_server> servers,
    const group_weights& weights, const plan_hints& hints)
{
    {
        planner.plan(table, servers, weights, hints)
        } -> std::same_as<plan_result>;
};

} // namespace filberthub

#endif
