// Simulates a fleet of members that exchange messages under faults.
//
//     fleet_harness<lease_rules> fleet(7, seed);
//     fleet.run(faults);
//     EXPECT_EQ(fleet.violation(), "");

#ifndef FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_HPP
#define FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_HPP

#include <filberthub/membership/fleet_planner.hpp>
#include <membership/lapse_evidence_impl.hpp>
#include <membership/member_lease_impl.hpp>
#include <membership/takeover_tracker_impl.hpp>
#include <membership/witness_ledger_impl.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace filberthub {

enum class fault_kind
{
    pause,
    crash,
    crash_two,
    leave,
    leave_two,
    partition,
    cut_one_way,
    cut_from_store,
    drain,
    drain_and_partition,
    store_down,
    store_replies_lost,
    loss,
    delay,
    toggle_server,
    count,
};

// One fault, which starts `gap_ms` after the preceding one and lasts
// `length_ms`. The meaning of `first` and `second` depends on the kind: the
// index of an instance, or a bit mask of instances.
struct fault
{
    fault_kind kind = fault_kind::pause;
    unsigned first = 0;
    unsigned second = 0;
    std::int64_t gap_ms = 0;
    std::int64_t length_ms = 0;
};

inline std::ostream& operator<<(std::ostream& stream, const fault& item)
{
    return stream << "{kind " << static_cast<int>(item.kind) << ", "
                  << item.first << ", " << item.second << ", +" << item.gap_ms
                  << " ms, " << item.length_ms << " ms}";
}

// A discrete-event simulation of the instances, the network and the store. Each
// process reads the simulated time through its own clock, whose rate is between
// 1.00 and 1.01. The store applies conditional updates. After each delivered
// message the harness checks that each server has at most one holder and that
// fencing tokens increase with each change of the holder.
template <class Rules>
class fleet_harness
{
public:
    fleet_harness(std::size_t instances, std::uint64_t seed);

    // Lets the fleet join, applies the faults, and continues until all servers
    // have a holder again. It is a violation if that does not happen.
    void run(const std::vector<fault>& faults);
    // Lets the fleet join and runs until each server has a complete holder
    // list.
    void run_until_steady();
    void run_for(duration length);
    void apply(const fault& item);

    // Returns a description of the first violation; empty if there is none.
    const std::string& violation() const
    {
        return violation_;
    }

    // Returns the index of the instance that holds `server`, or `no_holder`.
    static constexpr std::size_t no_holder = SIZE_MAX;
    std::size_t holder(const backend_server_id& server) const;
    // Returns the indexes of the witnesses of an instance according to the
    // fleet table in the store.
    std::vector<std::size_t> witnesses(std::size_t index) const;
    const std::set<backend_server_id>& servers() const
    {
        return servers_;
    }
    std::size_t takeovers() const
    {
        return takeovers_;
    }

private:
    // A request for the fleet table.
    struct pull
    {
        instance_id from;
    };
    using table_ptr = fleet_table_ptr;
    using payload = std::variant<heartbeat, heartbeat_ack, expiry_query,
        lease_expired, released, member_status, pull, table_ptr>;

    // A running process of an instance.
    struct process
    {
        explicit process(member_key key, time_point now)
            : lease(std::move(key), now), ledger(lease, now), tracker(lease)
        {}
        basic_member_lease<Rules> lease;
        basic_witness_ledger<Rules> ledger;
        basic_takeover_tracker<Rules> tracker;
        table_ptr known;
        std::map<member_key, member_status> statuses;
    };

    // An instance with its clock and its current process, if it runs.
    struct machine
    {
        std::unique_ptr<process> current;
        std::uint64_t run = 0;
        double rate = 1.0;
        duration offset{};
        duration paused_until{};
        duration lapsed_at{};
        duration next_status{};
        duration next_plan{};
        duration next_balance{};
        duration table_since{};
        bool leaving = false;
    };

    struct event
    {
        duration at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    static std::string name(std::size_t index)
    {
        return "i" + std::to_string(index);
    }
    static std::size_t index_of(const instance_id& id)
    {
        return std::stoul(id.value().substr(1));
    }
    time_point local(std::size_t index) const;
    duration random_between(duration low, duration high);
    bool chance(double probability);

    void schedule_at(duration when, std::function<void()> action);
    void send(std::size_t from, const instance_id& to, const payload& message);
    void deliver(std::size_t to, const payload& message);
    void handle(std::size_t index, const payload& message);
    void adopt_table(std::size_t index, const table_ptr& table);
    void compare_versions(
        std::size_t index, const instance_id& peer, object_version theirs);
    void tick(std::size_t index);
    void send_due_messages(std::size_t index, process& self);
    void send_status(std::size_t index, process& self);
    void plan(std::size_t index, process& self);
    void commit(std::size_t index, table_ptr next);
    void read_store(std::size_t index);
    void start(std::size_t index);
    void stop_gracefully(std::size_t index);
    void restart_after(std::size_t index, duration pause);
    void partition(unsigned mask, duration until, bool with_store);
    void check_holders();
    std::string server_without_holder() const;

    std::mt19937_64 random_;
    std::vector<machine> machines_;
    std::vector<std::vector<duration>> cut_until_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    duration now_{};
    duration store_down_until_{};
    duration replies_lost_until_{};
    duration loss_until_{};
    duration delay_until_{};
    table_ptr store_;
    std::set<backend_server_id> servers_;
    std::map<backend_server_id, std::pair<std::size_t, std::uint32_t>>
        last_holders_;
    std::size_t takeovers_ = 0;
    std::string violation_;
};

} // namespace filberthub

#include "fleet_harness_faults.hpp"

#endif
