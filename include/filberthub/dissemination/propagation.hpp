// Simulates the dissemination of a revision through a fleet over several
// topologies, to compare them.
//
//     propagation_result result =
//         propagate({topology::witness_graph, 480, 5, 1});

#ifndef FILBERTHUB_DISSEMINATION_PROPAGATION_HPP
#define FILBERTHUB_DISSEMINATION_PROPAGATION_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace filberthub {

// The instances to which an instance forwards a revision.
enum class topology : std::uint8_t
{
    // Each instance exchanges heartbeats and acks with 5 witnesses that
    // rendezvous hashing selects.
    witness_graph,
    // Each instance sends to 5 random instances in every round.
    gossip,
    // A tree in which each instance has up to 5 children.
    tree,
    // Instance i has links to i + 2^k and i - 2^k modulo the fleet size.
    binomial_graph,
};
inline constexpr std::size_t topology_count = 4;

// Returns the name for reports, such as "witness graph".
std::string_view to_string(topology value);

// The parameters of one simulation.
struct propagation_setup
{
    topology kind = topology::witness_graph;
    std::size_t instances = 24;
    // Percentage of instances that are lost before the first round. The three
    // instances that start with the revision are never lost.
    double lost_percent = 0;
    // Probability, in percent, that a single message is lost.
    double message_loss_percent = 0;
    std::uint64_t seed = 1;
};

// The outcome of one simulation.
struct propagation_result
{
    // Instances that were not lost.
    std::size_t live = 0;
    // Live instances that the revision reached.
    std::size_t reached = 0;
    // Rounds until the last instance was reached, and until 99% were.
    std::size_t hops = 0;
    std::size_t hops_to_99_percent = 0;
    // Messages sent until the last instance was reached. The witness graph and
    // gossip send in every round; the tree and the binomial graph send once per
    // link.
    std::size_t messages = 0;

    // Returns the fraction of live instances that the revision reached.
    double coverage() const
    {
        return live == 0
                   ? 0
                   : static_cast<double>(reached) / static_cast<double>(live);
    }
};

// Simulates the dissemination of one revision from the three instances of the
// lowest ranks. An instance that has the revision sends it to its neighbors: in
// every round with the witness graph and gossip, as heartbeats do, and only
// once with the tree and the binomial graph. The result depends on the setup
// only.
propagation_result propagate(const propagation_setup& setup);

// Returns, for each instance, the neighbors to which it sends in a round. Empty
// for gossip, whose neighbors are drawn in each round.
std::vector<std::vector<std::size_t>> links_of(
    topology kind, std::size_t instances);

} // namespace filberthub

#endif
