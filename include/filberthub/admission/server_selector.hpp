// Choice of the server for a request without a key, by one instance.
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

// Chooses the servers in turn, unless the expected wait of a second, random
// server is less than a third. The latency to another failure domain is part of
// the wait, so the own domain is preferred where that latency dominates.
// Servers that are out of service, leaving, or in cold start and fully used are
// excluded. A straggler, whose latency is over 2 times the median, receives 1
// in 10 of its share, so that its recovery is noticed.
class server_selector
{
public:
    // `cross_domain_latency` counts as wait for a server of another failure
    // domain.
    explicit server_selector(
        duration cross_domain_latency = std::chrono::microseconds(1400));

    // Returns the index of the new server, which is not chosen before its
    // first `update`.
    std::size_t add(failure_domain_id domain);

    // To be called when the gate of a server reports its state.
    void update(std::size_t index, const gate_summary& summary);

    // To be called when a request was sent to a server, so that choices before
    // the next `update` count it.
    void on_sent(std::size_t index);

    // Finds the stragglers. To be called about every 100 ms; costs one pass
    // over the servers.
    void refresh();

    bool straggler(std::size_t index) const
    {
        return servers_.at(index).straggler;
    }

    // Returns a server for a request of an instance in domain `near`, or
    // nothing if all are excluded. `excluded` is a server not to choose, such
    // as the one of a first attempt.
    template <std::uniform_random_bit_generator Engine>
    std::optional<std::size_t> choose(const failure_domain_id& near,
        Engine& engine, std::optional<std::size_t> excluded = std::nullopt)
    {
        const auto first = turn(engine, excluded);
        if (!first)
            return std::nullopt;
        // A straggler that is drawn has its reduced share already and would
        // lose every comparison.
        if (servers_[*first].straggler)
            return first;
        const auto second = draw(engine, excluded);
        if (!second || servers_[*second].straggler)
            return first;
        return clear_margin * cost(*second, near) < cost(*first, near) ? second
                                                                       : first;
    }

    // Time until an answer of this server can be expected.
    duration expected_wait(std::size_t index) const;

private:
    static constexpr unsigned straggler_share = 10;
    // An instance sees a server about once in 140 ms (2450 requests/s, 24
    // instances, 14 servers), which is long compared with the service time. A
    // small difference of expected waits is therefore noise.
    static constexpr int clear_margin = 3;

    struct server
    {
        failure_domain_id domain;
        gate_summary summary;
        bool known = false;
        bool straggler = false;
    };

    bool eligible(std::size_t index) const;
    duration cost(std::size_t index, const failure_domain_id& near) const;

    // Returns the next eligible server in turn. A straggler keeps 1 in 10 of
    // its turns.
    template <class Engine>
    std::optional<std::size_t> turn(
        Engine& engine, std::optional<std::size_t> excluded)
    {
        std::uniform_int_distribution<unsigned> tenth(0, straggler_share - 1);
        // Instances that start together begin at different servers.
        if (!next_)
            next_ = engine() % 65536;
        for (std::size_t step = 0; step < servers_.size(); ++step) {
            const std::size_t index = (*next_)++ % servers_.size();
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler || tenth(engine) == 0)
                return index;
        }
        return draw(engine, excluded);
    }

    template <class Engine>
    std::optional<std::size_t> draw(
        Engine& engine, std::optional<std::size_t> excluded) const
    {
        if (servers_.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> any(0, servers_.size() - 1);
        std::uniform_int_distribution<unsigned> tenth(0, straggler_share - 1);
        for (int tries = 0; tries < 8; ++tries) {
            const std::size_t index = any(engine);
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler || tenth(engine) == 0)
                return index;
        }
        // Few servers are left: the first one after a random place.
        const std::size_t start = any(engine);
        std::optional<std::size_t> slow;
        for (std::size_t step = 0; step < servers_.size(); ++step) {
            const std::size_t index = (start + step) % servers_.size();
            if (index == excluded || !eligible(index))
                continue;
            if (!servers_[index].straggler)
                return index;
            slow = index;
        }
        return slow;
    }

    duration cross_domain_latency_;
    std::vector<server> servers_;
    std::optional<std::size_t> next_;
};

} // namespace filberthub

#endif
