// Builds fleet tables of a given size.
//
//     fleet_table table = settled_fleet({160, 1334, 3});

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_FLEET_MODEL_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_FLEET_MODEL_HPP

#include <filberthub/membership/fleet_planner.hpp>

namespace filberthub::experiment {

struct fleet_size
{
    std::size_t members = 24;
    std::size_t servers = 34;
    std::size_t domains = 3;
};

// Returns the planner's input for a fleet in which all members are ready.
fleet_input fleet_input_of(const fleet_size& size);

// Returns the first table of a fleet, in which no member is ready and no server
// has a holder.
fleet_table joining_fleet(const fleet_size& size);

// Returns the table that the planner no longer changes. Throws `error` of kind
// `internal` if the planner does not converge within 10 rounds.
fleet_table settled_fleet(const fleet_size& size);

} // namespace filberthub::experiment

#endif
