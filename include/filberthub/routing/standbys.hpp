// Chooses the instances that watch the coordinator closely, so that one of them
// replaces it before the grants of keys end.
//
//     std::vector<instance_id> standbys = choose_standbys(candidates);

#ifndef FILBERTHUB_ROUTING_STANDBYS_HPP
#define FILBERTHUB_ROUTING_STANDBYS_HPP

#include <filberthub/base/types.hpp>

#include <vector>

namespace filberthub {

// An instance that could coordinate the fleet.
struct standby_candidate
{
    instance_id id;
    // Share of one processor core that it may use.
    double processor_share = 1;
};

// Returns the standbys in the order in which they take over, three at most.
// They have at least half of the largest share of a processor, as the work of
// the coordinator grows with the fleet. Among these the order is that of a hash
// of their ids, because neighbors in the order of ids may fail together. An
// instance that joins or leaves moves no others.
std::vector<instance_id> choose_standbys(
    std::vector<standby_candidate> candidates);

} // namespace filberthub

#endif
