// Plans which server owns which keys.
//
//     key_weights weights;
//     weights.add(4711, 3);
//     if (auto next = plan_keys(table, weights, servers, {}))
//         commit(*next);

#ifndef FILBERTHUB_ROUTING_KEY_PLANNER_HPP
#define FILBERTHUB_ROUTING_KEY_PLANNER_HPP

#include <filberthub/routing/key_table.hpp>

#include <optional>
#include <vector>

namespace filberthub {

// Requests per key, of which older ones count less.
class key_weights
{
public:
    key_weights();

    void add(key_number key, double requests);
    // Lets everything that was counted so far count `factor` times as much.
    void decay(double factor);

    double of(key_number key) const
    {
        return weights_[key];
    }
    double total() const
    {
        return total_;
    }

private:
    std::vector<float> weights_;
    double total_ = 0;
};

// A server that may own keys.
struct key_server
{
    server_incarnation incarnation;
    // Work that it can do relative to the others; positive.
    double capacity = 1;
    // Whether it may get more keys; one that is cold only keeps what it has.
    bool may_gain = true;
};

struct key_plan_options
{
    // Load relative to capacity, over the mean of all servers, above which keys
    // move.
    double tolerated_load = 1.15;
    // Counted requests below which loads are taken for noise.
    double least_requests = 100;
    // Standard deviation of a server's count by its square root. The weights
    // fade exponentially, which halves the variance of a plain count.
    double count_noise = 0.71;
    // Each range costs its coordinator a renewal a second or so. With more
    // ranges than this for each server, small ones are joined to their
    // neighbours.
    std::size_t ranges_per_server = 2;
};

// Returns a table in which each key belongs to one of `servers`, and no server
// has much more than its part of the load, or nothing if `table` needs no
// change. Keys of owners that are not in `servers` move; of the others, as few
// as the balance needs. Ranges that changed have new tokens, and name their
// previous owner if there was one. Ranges that still wait for their previous
// owner stay as they are while their owner is in `servers`.
std::optional<key_table> plan_keys(const key_table& table,
    const key_weights& weights, const std::vector<key_server>& servers,
    const key_plan_options& options);

} // namespace filberthub

#endif
