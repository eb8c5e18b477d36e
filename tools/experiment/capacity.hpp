// Measures how time, memory and message sizes grow with the size of the
// deployment. Runs the code of the libraries and prints one JSON line per
// series.
//
//     print_membership_slopes(std::cout);

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_CAPACITY_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_CAPACITY_HPP

#include <ostream>

namespace filberthub::experiment {

// Heartbeats, leases and witnesses, by the number of members.
void print_membership_slopes(std::ostream& stream);
// The fleet table and its planner, by the number of members and servers.
void print_fleet_slopes(std::ostream& stream);
// The ownership table and its planner, by the number of groups.
void print_ownership_slopes(std::ostream& stream);
// Gates, the duplicate filter and the codec of forwarded requests.
void print_request_slopes(std::ostream& stream);
// The policy document, by the number of sections.
void print_policy_slopes(std::ostream& stream);
// Messages, hops and coverage of four dissemination topologies, by the number
// of instances and the percentage of lost messages.
void print_dissemination_comparison(std::ostream& stream);

} // namespace filberthub::experiment

#endif
