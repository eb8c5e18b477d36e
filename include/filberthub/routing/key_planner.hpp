// Plans which backend server owns which keys, balanced by request counts.
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

// Number of requests per key, with older requests weighted less.
class key_weights
{
public:
    key_weights();

    void add(key_number key, double requests);
    // Multiplies all counts by `factor`. Mostly takes constant time, as it is
    // called several times per second.
    void decay(double factor);

    // Weighted number of requests for a key.
    double of(key_number key) const
    {
        return weights_[key] * scale_;
    }
    double total() const
    {
        return total_;
    }

private:
    // Counts relative to `scale_`.
    std::vector<float> weights_;
    double scale_ = 1;
    double total_ = 0;
};

// A server that may own keys.
struct key_server
{
    server_incarnation incarnation;
    // Throughput relative to the other servers; positive.
    double capacity = 1;
    // Whether the server may receive keys. A cold server only keeps those that
    // it has.
    bool may_receive_keys = true;
};

struct key_plan_options
{
    // Load per capacity, relative to the mean of all servers, above which keys
    // are moved away.
    double max_relative_load = 1.15;
    // Total weighted number of requests below which load is treated as noise.
    double min_requests = 100;
    // Ratio of the standard deviation of a server's count to the square root of
    // the count. The weights decay exponentially, which halves the variance of
    // a plain count.
    double count_noise_factor = 0.71;
    // Added to the expected highest deviation of the servers' counts, in
    // standard deviations. Half of the highest deviations exceed the expected
    // one, so that keys are moved for noise in each second plan without it.
    double noise_margin = 2;
    // Each range costs the coordinator about one renewal per second. With more
    // ranges per server than this, small ranges are joined to their neighbors.
    std::size_t ranges_per_server = 2;
    // Whether keys may be moved to balance the load. Keys without an owner are
    // placed in any case.
    bool may_balance = true;
    // Whether small ranges may be joined to their neighbors.
    bool may_join = true;
    // Load per capacity, relative to the mean, up to which receivers are
    // filled.
    double receiver_level = 1;
    // Maximum number of moves for the balance; 0 for the usual one.
    std::size_t moves_for_balance = 0;
};

// Returns a table in which each key belongs to one of `servers` and no server
// has much more than its share of the load, or nothing if `table` needs no
// change. Keys of owners that are not in `servers` are moved, and as few other
// keys as the balance requires. Changed ranges have new tokens and name their
// previous owner, if there was one. A range that still waits for its previous
// owner is not changed while its owner is in `servers`.
std::optional<key_table> plan_keys(const key_table& table,
    const key_weights& weights, const std::vector<key_server>& servers,
    const key_plan_options& options);

} // namespace filberthub

#endif
