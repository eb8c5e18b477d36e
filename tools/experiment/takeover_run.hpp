// Runs the lease and takeover classes of a whole fleet in virtual time, stops
// some instances, and measures how long their servers have no holder.
//
//     takeover_run run(joining, table, hop, seed);
//     auto gaps = run.stop_instances({instance_id("hub-1000")});

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

// Delivers messages in the order of their arrival. Guarantees the same result
// for the same arguments.
class takeover_run
{
public:
    // Starts all members with the table `joining`, which has the same members
    // as `table`, none of them ready, and lets them adopt `table` once they
    // hold their leases. `hop` is the round-trip time of messages. The phases
    // of the heartbeats are random.
    takeover_run(const fleet_table_ptr& joining, fleet_table_ptr table,
        duration hop, std::uint64_t seed);

    // Stops the instances at a random time of the heartbeat interval. Returns
    // for each server that they held the time until it has another holder, at
    // most 10 s.
    std::map<backend_server_id, duration> stop_instances(
        const std::set<instance_id>& stopped_ids);

private:
    using message =
        std::variant<heartbeat, heartbeat_ack, expiry_query, lease_expired>;

    struct simulated_instance
    {
        simulated_instance(const fleet_table_ptr& table,
            const fleet_member& member, time_point started);

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
        message payload;

        bool operator<(const delivery& other) const
        {
            return std::pair(at, sequence) >
                   std::pair(other.at, other.sequence);
        }
    };

    void advance(time_point until);
    void run_timers(simulated_instance& instance);
    void deliver(const delivery& next);
    void send(const instance_id& to, message payload);

    fleet_table_ptr table_;
    duration delay_;
    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t sequence_ = 0;
    std::map<instance_id, std::unique_ptr<simulated_instance>> instances_;
    // The start time of an instance determines the phase of its heartbeats.
    std::map<instance_id, time_point> start_times_;
    std::priority_queue<delivery> deliveries_;
};

} // namespace filberthub::experiment

#endif
