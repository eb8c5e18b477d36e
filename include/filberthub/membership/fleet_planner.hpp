// Computes the next version of the fleet table.
//
//     if (auto next = plan_fleet(table, input)) commit(*next);
//     for (auto& server : places_to_release(table, self)) drain(server);

#ifndef FILBERTHUB_MEMBERSHIP_FLEET_PLANNER_HPP
#define FILBERTHUB_MEMBERSHIP_FLEET_PLANNER_HPP

#include <filberthub/membership/fleet_table.hpp>

#include <optional>
#include <set>
#include <vector>

namespace filberthub {

// An instance in the platform's instance list, which can be out of date.
struct listed_instance
{
    member_key key;
    endpoint address;
    failure_domain_id domain;
    // Whether it is leaving or out of service. It gets no new roles.
    bool leaving = false;
};

// The input of the planner besides the fleet table.
struct fleet_input
{
    std::vector<listed_instance> instances;
    std::vector<backend_server_id> servers;
    // Members whose lease has lapsed, from `lapse_evidence`.
    std::set<member_key> lapsed;
    std::vector<released> releases;
    std::vector<member_status> statuses;
};

// Returns the next version, or nothing if the table is up to date. Guarantees:
//
//  - A holder list keeps its order. A place is removed only if its member
//    lapsed, departed or released it, and new places are appended.
//  - A member is added to holder lists only after it has held its lease.
//  - A new incarnation joins only after the earlier one lapsed or departed.
//  - The witnesses of a member change only when no earlier change of them is
//    unsettled. At most 2 are in one failure domain if the domains allow it.
//  - Successors are in other failure domains than the places before them if
//    the domains allow it, and load is spread evenly.
//
// Any member may plan; the conditional update of the store selects the plan
// that takes effect.
std::optional<fleet_table> plan_fleet(
    const fleet_table& base, const fleet_input& input);

// Returns the servers whose places `self` should release: removed servers, and
// servers whose holder role would move to an instance with at least two fewer
// servers. All instances compute the same moves from the same table, so no
// message is needed. Call when the table has not changed for some seconds, and
// drain each server before releasing its place.
std::vector<backend_server_id> places_to_release(
    const fleet_table& table, const member_key& self);

} // namespace filberthub

#endif
