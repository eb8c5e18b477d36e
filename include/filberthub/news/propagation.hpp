// Compares ways to spread news through a fleet.
//
//     propagation_result result = propagate({topology::witness_graph, 480, 5,
//     1});

#ifndef FILBERTHUB_NEWS_PROPAGATION_HPP
#define FILBERTHUB_NEWS_PROPAGATION_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace filberthub {

enum class topology : std::uint8_t
{
    // Each instance exchanges heartbeats and acks with 5 witnesses that
    // rendezvous hashing selects.
    witness_graph,
    // Each instance sends to 5 random ones in every round.
    gossip,
    // A tree in which each instance has up to 5 children.
    tree,
    // Instance i has links to i + 2^k and i - 2^k modulo the fleet size.
    binomial_graph,
};
inline constexpr std::size_t topology_count = 4;

std::string_view to_string(topology value);

struct propagation_setup
{
    topology way = topology::witness_graph;
    std::size_t instances = 24;
    // Instances that are lost before the news starts, never the three that
    // start it.
    double lost_percent = 0;
    // Probability that a single message is lost.
    double message_loss_percent = 0;
    std::uint64_t seed = 1;
};

struct propagation_result
{
    std::size_t live = 0;
    // Live instances that the news reached.
    std::size_t reached = 0;
    // Rounds until the last instance was reached, and until 99% were.
    std::size_t hops = 0;
    std::size_t hops_to_99_percent = 0;
    // Messages sent until the last instance was reached. Periodic ways send in
    // every round; a way that forwards once sends once per link.
    std::size_t messages = 0;

    double coverage() const
    {
        return live == 0
                   ? 0
                   : static_cast<double>(reached) / static_cast<double>(live);
    }
};

// Spreads one revision from the three lowest-ranked instances. In each round an
// informed instance sends to its neighbours: with the witness graph and gossip
// in every round, as heartbeats do, with the tree and the binomial graph once.
// The result depends on the setup only.
propagation_result propagate(const propagation_setup& setup);

// Returns the neighbours to which instance `index` sends in a round.
std::vector<std::vector<std::size_t>> links_of(
    topology way, std::size_t instances);

} // namespace filberthub

#endif
