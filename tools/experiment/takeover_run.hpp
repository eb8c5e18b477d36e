// Runs the lease and takeover classes of a whole fleet in virtual time, stops
// some instances, and tells when their servers have a holder again.
//
//     takeover_run run(joining, table, hop, seed);
//     auto gaps = run.lose({instance_id("hub-1000")});

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_TAKEOVER_RUN_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_TAKEOVER_RUN_HPP

#include <filberthub/membership/takeover_tracker.hpp>
#include <filberthub/membership/witness_ledger.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace filberthub::experiment {

class takeover_run
{
public:
    // The members join with `joining`, which has the same members as `table`
    // but none of them ready. Messages take half of `hop`. The phases of the
    // heartbeats are random.
    takeover_run(const fleet_table_ptr& joining, fleet_table_ptr table,
        duration hop, std::uint64_t seed);

    // Stops the instances at a random moment. Returns the time until each
    // server that they held has another holder.
    std::map<backend_server_id, duration> lose(
        const std::set<instance_id>& lost);

private:
    using message =
        std::variant<heartbeat, heartbeat_ack, expiry_query, lease_expired>;

    struct process
    {
        process(const fleet_table_ptr& table, const fleet_member& member,
            time_point started);

        member_lease lease;
        witness_ledger ledger;
        takeover_tracker tracker;
        bool running = true;
    };

    struct delivery
    {
        time_point at;
        std::uint64_t sequence = 0;
        instance_id to;
        message what;

        bool operator<(const delivery& other) const
        {
            return std::pair(at, sequence) >
                   std::pair(other.at, other.sequence);
        }
    };

    void advance(time_point until);
    void step(process& each);
    void deliver(const delivery& item);
    void send(const instance_id& to, message what);

    fleet_table_ptr table_;
    duration delay_;
    std::mt19937_64 engine_;
    time_point now_;
    std::uint64_t sequence_ = 0;
    std::map<instance_id, std::unique_ptr<process>> processes_;
    // Start of each process, which sets the phase of its heartbeats.
    std::map<instance_id, time_point> starts_;
    std::priority_queue<delivery> deliveries_;
};

} // namespace filberthub::experiment

#endif
