// Slopes of cost by size, each measured by the library code itself.
//
//     print_membership_slopes(std::cout);

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_CAPACITY_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_CAPACITY_HPP

#include <ostream>

namespace filberthub::experiment {

void print_membership_slopes(std::ostream& stream);
void print_fleet_slopes(std::ostream& stream);
void print_ownership_slopes(std::ostream& stream);
void print_request_slopes(std::ostream& stream);
void print_policy_slopes(std::ostream& stream);
void print_dissemination_comparison(std::ostream& stream);

} // namespace filberthub::experiment

#endif
