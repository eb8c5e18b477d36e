#include <filberthub/dissemination/propagation.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <set>
#include <string>

namespace filberthub {
namespace {

// Instances to which an instance sends, except with the binomial graph.
constexpr std::size_t fan_out = 5;
// Instances that start with the revision.
constexpr std::size_t origin_count = 3;
// Exceeds the rounds that any topology needs. Under loss, nothing else ends the
// simulation of gossip.
constexpr std::size_t round_limit = 64;

using link_sets = std::vector<std::set<std::size_t>>;

std::uint64_t link_weight(std::size_t left, std::size_t right)
{
    const std::array<std::uint64_t, 2> pair = {left, right};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

// Each link works in both directions, as heartbeats and acks carry revisions.
link_sets witness_links(std::size_t instances)
{
    link_sets links(instances);
    for (std::size_t member = 0; member < instances; ++member) {
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        for (std::size_t other = 0; other < instances; ++other) {
            if (other != member)
                order.emplace_back(link_weight(member, other), other);
        }
        std::sort(order.begin(), order.end());
        order.resize(std::min(order.size(), fan_out));
        for (const auto& [unused, witness] : order) {
            links[member].insert(witness);
            links[witness].insert(member);
        }
    }
    return links;
}

link_sets tree_links(std::size_t instances)
{
    link_sets links(instances);
    for (std::size_t child = 1; child < instances; ++child)
        links[(child - 1) / fan_out].insert(child);
    return links;
}

link_sets binomial_links(std::size_t instances)
{
    link_sets links(instances);
    for (std::size_t index = 0; index < instances; ++index) {
        for (std::size_t step = 1; step < instances; step *= 2) {
            links[index].insert((index + step) % instances);
            links[index].insert((index + instances - step) % instances);
        }
    }
    return links;
}

bool sends_every_round(topology kind)
{
    return kind == topology::witness_graph || kind == topology::gossip;
}

// The state of one simulation.
class simulation
{
public:
    explicit simulation(const propagation_setup& setup)
        : setup_(setup),
          random_(setup.seed),
          links_(links_of(setup.kind, setup.instances)),
          live_(setup.instances, true),
          reached_round_(setup.instances, round_limit)
    {
        remove_lost_instances();
        for (std::size_t index = 0;
             index < std::min(origin_count, setup.instances); ++index)
            reached_round_[index] = 0;
    }

    propagation_result run()
    {
        propagation_result result;
        result.live = static_cast<std::size_t>(
            std::count(live_.begin(), live_.end(), true));
        std::size_t sent = 0;
        for (std::size_t round = 0; round < round_limit; ++round) {
            const std::size_t reached = count_reached();
            if (reached > result.reached) {
                result.reached = reached;
                result.hops = round;
                result.messages = sent;
                if (result.hops_to_99_percent == 0 &&
                    reached * 100 >= result.live * 99)
                    result.hops_to_99_percent = round;
            }
            if (reached == result.live)
                break;
            sent += send_round(round);
        }
        return result;
    }

private:
    // Returns true with a probability of `percent`.
    bool occurs(double percent)
    {
        return static_cast<double>(random_() >> 11) * 0x1p-53 * 100 < percent;
    }

    void remove_lost_instances()
    {
        std::vector<std::size_t> order;
        for (std::size_t index = origin_count; index < setup_.instances;
             ++index)
            order.push_back(index);
        const auto lost = static_cast<std::size_t>(std::lround(
            static_cast<double>(setup_.instances) * setup_.lost_percent / 100));
        for (std::size_t count = 0; count < std::min(lost, order.size());
             ++count) {
            std::swap(order[count],
                order[count + random_() % (order.size() - count)]);
            live_[order[count]] = false;
        }
    }

    std::size_t count_reached() const
    {
        return static_cast<std::size_t>(
            std::count_if(reached_round_.begin(), reached_round_.end(),
                [](std::size_t round) { return round < round_limit; }));
    }

    std::size_t send_round(std::size_t round)
    {
        std::size_t sent = 0;
        for (std::size_t from = 0; from < setup_.instances; ++from) {
            const bool due = sends_every_round(setup_.kind)
                                 ? reached_round_[from] <= round
                                 : reached_round_[from] == round;
            if (!due)
                continue;
            for (const std::size_t to : targets(from)) {
                ++sent;
                if (live_[to] && reached_round_[to] > round &&
                    !occurs(setup_.message_loss_percent))
                    reached_round_[to] =
                        std::min(reached_round_[to], round + 1);
            }
        }
        return sent;
    }

    std::vector<std::size_t> targets(std::size_t from)
    {
        if (setup_.kind != topology::gossip)
            return links_[from];
        std::set<std::size_t> chosen;
        while (chosen.size() < std::min(fan_out, setup_.instances - 1)) {
            const std::size_t to = random_() % setup_.instances;
            if (to != from)
                chosen.insert(to);
        }
        return {chosen.begin(), chosen.end()};
    }

    propagation_setup setup_;
    std::mt19937_64 random_;
    std::vector<std::vector<std::size_t>> links_;
    std::vector<bool> live_;
    // Round in which each instance was reached; `round_limit` if it was not.
    std::vector<std::size_t> reached_round_;
};

} // namespace

std::string_view to_string(topology value)
{
    static constexpr std::array<std::string_view, topology_count> names = {
        "witness graph", "gossip", "tree", "binomial graph"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<std::vector<std::size_t>> links_of(
    topology kind, std::size_t instances)
{
    link_sets links(instances);
    switch (kind) {
    case topology::witness_graph:
        links = witness_links(instances);
        break;
    case topology::tree:
        links = tree_links(instances);
        break;
    case topology::binomial_graph:
        links = binomial_links(instances);
        break;
    case topology::gossip:
        break;
    }
    std::vector<std::vector<std::size_t>> result;
    result.reserve(links.size());
    for (const std::set<std::size_t>& targets : links)
        result.emplace_back(targets.begin(), targets.end());
    return result;
}

propagation_result propagate(const propagation_setup& setup)
{
    return simulation(setup).run();
}

} // namespace filberthub
