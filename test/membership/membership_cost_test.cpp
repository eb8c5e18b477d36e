#include <filberthub/membership/connectivity_view.hpp>
#include <filberthub/membership/fleet_planner.hpp>
#include <filberthub/membership/takeover_tracker.hpp>
#include <filberthub/membership/witness_ledger.hpp>

#include <gtest/gtest.h>

#include <malloc.h>

#include <ctime>
#include <iostream>

namespace filberthub {
namespace {

double cpu_nanoseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 +
           static_cast<double>(now.tv_nsec);
}

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

fleet_table_ptr steady_table(int instances, int servers)
{
    fleet_input input;
    for (int number = 0; number < instances; ++number) {
        const std::string text = std::to_string(number);
        input.instances.push_back(
            {{instance_id("entry-" + text), incarnation(1)}, {"10.0.0.1", 9000},
                failure_domain_id("domain-" + std::to_string(number % 8))});
    }
    for (int number = 0; number < servers; ++number)
        input.servers.emplace_back("kartlas-" + std::to_string(number));
    const fleet_table joined = *plan_fleet({}, input);
    for (const fleet_member& member : joined.members())
        input.statuses.push_back({member.key, true, {}, false});
    const double before = cpu_nanoseconds();
    const fleet_table table = *plan_fleet(joined, input);
    const double planned = cpu_nanoseconds();
    input.lapsed.insert(table.members()[1].key);
    const fleet_table next = *plan_fleet(table, input);
    std::cout << instances << " members, " << servers << " servers: first plan "
              << (planned - before) / 1e6 << " ms, plan after a loss "
              << (cpu_nanoseconds() - planned) / 1e6 << " ms, JSON "
              << to_json(next).size() << " bytes\n";
    return std::make_shared<fleet_table>(table);
}

// The membership state of one instance.
struct node_state
{
    node_state(member_key self, const fleet_table_ptr& table, time_point now)
        : lease(self, now),
          ledger(lease, now),
          tracker(lease),
          view(self.instance)
    {
        lease.adopt(*table, now);
        ledger.adopt(table, now);
        tracker.adopt(table, now);
        view.adopt(table);
    }
    member_lease lease;
    witness_ledger ledger;
    takeover_tracker tracker;
    connectivity_view view;
};

void measure(int instances, int servers)
{
    const fleet_table_ptr table = steady_table(instances, servers);
    time_point now(std::chrono::seconds(10));
    const std::size_t before = allocated_bytes();
    std::vector<std::unique_ptr<node_state>> nodes;
    for (const fleet_member& member : table->members())
        nodes.push_back(std::make_unique<node_state>(member.key, table, now));
    const std::size_t bytes = (allocated_bytes() - before) / nodes.size();

    now += witness_expiry;
    double beat_time = 0;
    double ack_time = 0;
    std::size_t count = 0;
    for (int round = 0; round < 10; ++round, now += heartbeat_interval) {
        for (auto& node : nodes) {
            const auto beat = node->lease.heartbeat_due(now);
            for (const instance_id& target : node->lease.targets()) {
                const auto index = static_cast<std::size_t>(
                    table->find(target) - table->members().data());
                node_state& witness = *nodes[index];
                const double begin = cpu_nanoseconds();
                auto ack = witness.ledger.on_heartbeat(*beat, now);
                ASSERT_TRUE(ack);
                ack->evidence = witness.view.ages(now);
                const double middle = cpu_nanoseconds();
                node->lease.on_ack(*ack, now);
                node->view.on_ack(*ack, now);
                node->tracker.on_acknowledged();
                ack_time += cpu_nanoseconds() - middle;
                beat_time += middle - begin;
                ++count;
            }
        }
    }
    constexpr int lookups = 1000000;
    int held = 0;
    const node_state& node = *nodes[5];
    ASSERT_FALSE(node.tracker.held_servers().empty());
    const backend_server_id server = node.tracker.held_servers().front();
    const double begin = cpu_nanoseconds();
    for (int lookup = 0; lookup < lookups; ++lookup)
        held += node.tracker.is_holder(server, now) ? 1 : 0;
    const double lookup_time = (cpu_nanoseconds() - begin) / lookups;
    std::cout << instances << " members: heartbeat "
              << beat_time / static_cast<double>(count) << " ns, ack "
              << ack_time / static_cast<double>(count) << " ns, is_holder "
              << lookup_time << " ns, state " << bytes
              << " bytes per instance beside the table\n";
    // The bounds are far above the measured costs, so that the test also passes
    // on a busy machine. They detect work per request that grows with the
    // fleet.
    EXPECT_EQ(held, lookups);
    EXPECT_LT(lookup_time, 5000);
    EXPECT_LT(bytes, 1U << 20);
}

// Guards against a fleet table that exceeds the 1 MB of a store value, and
// against costs per message and request that exceed the budget of an instance.
TEST(MembershipCost, StaysWithinTheBudgetAtTargetSize)
{
    measure(160, 1300);
    measure(480, 4000);
    EXPECT_LT(to_json(*steady_table(480, 4000)).size(), 1000000U);
}

} // namespace
} // namespace filberthub
