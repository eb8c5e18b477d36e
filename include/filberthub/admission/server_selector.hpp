// Chooses the server for each request without a key that an instance receives.
//
//     server_selector servers;
//     const auto index = servers.add(domain);
//     servers.update(index, summary);
//     servers.refresh();                       // every 100 ms
//     if (auto chosen = servers.choose(own_domain, engine)) ...

#ifndef FILBERTHUB_ADMISSION_SERVER_SELECTOR_HPP
#define FILBERTHUB_ADMISSION_SERVER_SELECTOR_HPP

#include <filberthub/admission/gate_types.hpp>
#include <filberthub/base/types.hpp>

#include <optional>
#include <random>
#include <vector>

namespace filberthub {

// Chooses the servers in turn, unless the expected wait of a second, randomly
// chosen server is less than a third of that of the next one. The latency to
// another failure domain is part of the wait, so servers of the own domain are
// preferred where that latency dominates.
//
// Servers that are out of service, draining, or in cold start with no free slot
// are excluded. A straggler is a server whose mean latency is more than 2 times
// the median. It receives a tenth of its usual share, so that its recovery is
// noticed.
class server_selector
{
public:
    // `cross_domain_latency` is added to the expected wait of a server in
    // another failure domain.
    explicit server_selector(
        duration cross_domain_latency = std::chrono::microseconds(1400));

    // Adds a server and returns its index. The server is not chosen before its
    // first `update`.
    std::size_t add(failure_domain_id domain);

    // Call when the gate of a server reports its state.
    void update(std::size_t index, const gate_summary& summary);

    // Call when a request was sent to a server, so that choices before the next
    // `update` take it into account.
    void on_sent(std::size_t index);

    // Determines the stragglers. Call about every 100 ms. The cost is linear in
    // the number of servers.
    void refresh();

    bool straggler(std::size_t index) const
    {
        return servers_.at(index).straggler;
    }

    // Returns the index of a server for a request of an instance in
    // `own_domain`, or nothing if all servers are excluded. `excluded` is a
    // server that must not be chosen, such as that of the first attempt.
    template <std::uniform_random_bit_generator Engine>
    std::optional<std::size_t> choose(const failure_domain_id& own_domain,
        Engine& engine, std::optional<std::size_t> excluded = std::nullopt)
    {
        const auto first = next_in_rotation(engine, excluded);
        if (!first)
            return std::nullopt;
        // The share of a straggler is already reduced by `next_in_rotation`,
        // and a straggler would lose every comparison.
        if (servers_[*first].straggler)
            return first;
        const auto second = random_server(engine, excluded);
        if (!second || servers_[*second].straggler)
            return first;
        return min_wait_ratio * cost(*second, own_domain) <
                       cost(*first, own_domain)
                   ? second
                   : first;
    }

    // Returns the expected time until this server answers a new request.
    duration expected_wait(std::size_t index) const;

private:
    // A straggler is used in one of this many of its turns.
    static constexpr unsigned straggler_share_divisor = 10;
    // The cost of the next server must be more than this many times that of the
    // random one for the random one to be chosen. An instance uses a given
    // server about every 140 ms (2450 requests/s, 24 instances, 14 servers).
    // This is long compared with the service time, so that small differences
    // between expected waits are noise.
    static constexpr int min_wait_ratio = 3;

    struct server
    {
        failure_domain_id domain;
        gate_summary summary;
        bool has_summary = false;
        bool straggler = false;
    };

    // Whether a server may be chosen.
    bool eligible(std::size_t index) const;
    // Returns the expected wait including the latency to the server.
    duration cost(std::size_t index, const failure_domain_id& own_domain) const;

    // Returns the next eligible server in turn. A straggler keeps one in 10 of
    // its turns.
    template <class Engine>
    std::optional<std::size_t> next_in_rotation(
        Engine& engine, std::optional<std::size_t> excluded)
    {
        std::uniform_int_distribution<unsigned> straggler_turn(
            0, straggler_share_divisor - 1);
        // A random start prevents instances that start at the same time from
        // all using the same server.
        if (!next_)
            next_ = engine() % 65536;
        for (std::size_t step = 0; step < servers_.size(); ++step) {
            const std::size_t index = (*next_)++ % servers_.size();
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler || straggler_turn(engine) == 0)
                return index;
        }
        return random_server(engine, excluded);
    }

    // Returns a random eligible server. Stragglers have a reduced probability.
    template <class Engine>
    std::optional<std::size_t> random_server(
        Engine& engine, std::optional<std::size_t> excluded) const
    {
        if (servers_.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> any_index(
            0, servers_.size() - 1);
        std::uniform_int_distribution<unsigned> straggler_turn(
            0, straggler_share_divisor - 1);
        for (int tries = 0; tries < 8; ++tries) {
            const std::size_t index = any_index(engine);
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler || straggler_turn(engine) == 0)
                return index;
        }
        // Few servers are eligible. Choose the first one after a random index,
        // and a straggler only if there is no other server.
        const std::size_t start = any_index(engine);
        std::optional<std::size_t> eligible_straggler;
        for (std::size_t step = 0; step < servers_.size(); ++step) {
            const std::size_t index = (start + step) % servers_.size();
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler)
                return index;
            eligible_straggler = index;
        }
        return eligible_straggler;
    }

    duration cross_domain_latency_;
    std::vector<server> servers_;
    std::optional<std::size_t> next_;
};

} // namespace filberthub

#endif
