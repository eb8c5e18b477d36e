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

// An instance in the platform's list, which lags.
struct listed_instance
{
    member_key key;
    endpoint address;
    failure_domain_id domain;
    // Whether it is leaving or out of service. It gets no new duties.
    bool leaving = false;
};

// What the planner knows besides the table.
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
//  - A holder list keeps its order. A place is dropped only if its member
//    lapsed, departed or released it, and new places are appended.
//  - A member is put in holder lists once it has held its lease.
//  - A new incarnation joins after the earlier one lapsed or departed.
//  - The witnesses of a member change only while no earlier change of them is
//    unsettled. At most 2 are in one failure domain if the domains allow it.
//  - Successors are in other failure domains than the places before them if
//    the domains allow it, and load is spread evenly.
//
// Any member may plan; only the conditional update decides which plan counts.
std::optional<fleet_table> plan_fleet(
    const fleet_table& base, const fleet_input& input);

// Returns the servers whose places `self` should release: those of removed
// servers, and those that move the holder role to an instance with at least
// two fewer servers. All instances compute the same moves from the same table,
// so that no message is needed. To be called when the table has not changed for
// some seconds; each server is drained before its place is released.
std::vector<backend_server_id> places_to_release(
    const fleet_table& table, const member_key& self);

} // namespace filberthub

#endif
