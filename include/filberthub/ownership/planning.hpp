// Input and result of planning, shared by `ownership_planner` and the baseline
// planners.
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

// State of a backend server. Only a server in service may own groups.
enum class server_state : std::uint8_t
{
    in_service,
    // Drains before it is removed.
    leaving,
    lost,
    // An operator took its failure domain out of service.
    domain_out
};

// A backend server as input of the planner. A server of the table that is not
// part of the input counts as lost.
struct planned_server
{
    backend_server_id id;
    failure_domain_id domain;
    server_state state = server_state::in_service;
    // In the unit of the weights, for example slots. Has to be above 0.
    double capacity = 1;
    // The holder retired the server while the store was unavailable, so its
    // groups are already served by their backups.
    bool backups_serve = false;
};

// Measured load of each group, for example the mean number of slots in use.
class group_weights
{
public:
    explicit group_weights(group_count groups, double initial = 1)
        : common_(groups.value(), initial)
    {}

    // Returns the weight of a group, 0 for an isolated key without a weight.
    double at(key_group group) const;
    void set(key_group group, double weight);

private:
    std::vector<double> common_;
    std::unordered_map<key_group, double> isolated_;
};

// Load of a single key. The weight of its common group includes it.
struct key_weight
{
    std::string key;
    double weight = 0;

    bool operator==(const key_weight&) const = default;
};

// Optional input of a planner.
struct plan_hints
{
    // The keys with the highest load that are not isolated.
    std::vector<key_weight> hot_keys;
    // Newest table version that is known to be settled: all holders apply it,
    // and no request from before it is in progress.
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
    // The new table, or the old one if nothing changed.
    ownership_table table;
    bool changed = false;
    std::vector<group_move> moves;
    // Lower bound for the number of moves of any plan with the same balance.
    std::size_t min_moves = 0;
    // Highest load per capacity, divided by the mean; 1 without load.
    double imbalance_before = 1;
    double imbalance_after = 1;

    // Returns the number of moves divided by `min_moves`, or 1 without moves.
    // The result is infinite if there are moves and `min_moves` is 0.
    double churn_ratio() const;
};

// Requirements on a planner. `plan` is a pure function: equal arguments give
// equal results. The first table is planned from `empty_table`. Without a
// server in service the table does not change.
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
