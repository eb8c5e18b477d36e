#include "routing/routing_builders.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// A gate for one group, whose servers report their load.
class GateSelection : public testing::Test
{
public:
    void put(const std::string& id, unsigned slots)
    {
        server_entry entry = server_builder(id).build();
        entry.slots = slots;
        pool_.put(entry, 11, 0, at_ms(0));
    }

    std::vector<gate_decision> request_slot(
        std::uint64_t number, std::int64_t ms)
    {
        slot_request result;
        result.id = {instance_id("i"), number};
        result.service = service_id("maps");
        result.group = "maps/0";
        result.domain = failure_domain_id("a");
        result.urgency = 2;
        result.target_time = at_ms(ms + 2'000);
        result.answer_deadline = at_ms(ms + 5'000);
        return gate_.request_slot(result, at_ms(ms));
    }

    std::vector<gate_decision> finish(std::uint64_t number, std::int64_t ms,
        const server_load_report& report, milliseconds taken)
    {
        return gate_.finish({instance_id("i"), number},
            {send_outcome::answered, taken, report}, at_ms(ms));
    }

    server_pool pool_{failure_domain_id("a"), cold_bound{1.5, 5}};
    slot_gate gate_{pool_, cold_bound{1.5, 5}};
};

// Guards against idle slots while large answers are on their way to slow
// instances: the server reports one running request of the six that the gate
// has granted.
TEST_F(GateSelection, GrantsTheSlotsOfRequestsThatAreInTransit)
{
    put("s1", 6);
    std::uint64_t number = 0;
    std::uint64_t done = 0;
    for (; number < 7; ++number)
        EXPECT_EQ(
            request_slot(number, 0).at(0).decision, slot_decision::granted);
    EXPECT_EQ(request_slot(number++, 0).at(0).decision, slot_decision::queued);
    const server_load_report report{1, 0, 6, 1.0};
    std::size_t granted = 0;
    const auto count = [&](const std::vector<gate_decision>& decisions) {
        for (const gate_decision& decision : decisions)
            granted += decision.decision == slot_decision::granted ? 1 : 0;
    };
    for (std::int64_t ms = 100; ms < 2'000; ms += 100) {
        count(finish(done++, ms, report, milliseconds(100)));
        count(request_slot(number++, ms));
        count(request_slot(number++, ms));
    }
    // One grant for each end, and one for each further slot in transit.
    EXPECT_GE(granted, done + 3);
}

// Guards against a group that queues requests although a fast server has free
// slots: the idle slow server had the better score, and was then rejected for
// being too slow.
TEST_F(GateSelection, UsesAFastServerWithLoadWhileASlowOneIsIdle)
{
    put("fast", 6);
    put("slow", 6);
    std::uint64_t number = 0;
    // Teaches the gate the speeds, which differ by 2.5 times.
    for (; number < 12; ++number) {
        const auto decisions = request_slot(number, 10 * number);
        ASSERT_EQ(decisions.at(0).decision, slot_decision::granted);
        const bool fast = decisions.at(0).server == backend_server_id("fast");
        finish(number, 10 * number + 5, {0, 0, 6, fast ? 0.7 : 1.75},
            milliseconds(fast ? 70 : 175));
    }
    for (std::uint64_t count = 0; count < 6; ++count, ++number) {
        const auto decisions = request_slot(number, 1'000);
        EXPECT_EQ(decisions.at(0).decision, slot_decision::granted)
            << "request " << count << " was queued beside free slots";
    }
}

// Guards against a server that stays without requests because it was slow once:
// it gets none while another one has a slot that is expected to be faster, and
// so it cannot show that it has recovered.
TEST_F(GateSelection, ReturnsToAServerThatWasSlow)
{
    put("s1", 2);
    put("s2", 2);
    const std::int64_t recovered_at = 10'000;
    unsigned sent_while_slow = 0;
    unsigned sent_afterwards = 0;
    // Two requests at a time, so that both servers are needed.
    for (std::int64_t ms = 0; ms < 60'000; ms += 100) {
        const auto number = static_cast<std::uint64_t>(ms);
        std::vector<backend_server_id> servers;
        for (std::uint64_t part = 0; part < 2; ++part) {
            const gate_decision decision =
                request_slot(number + part, ms).at(0);
            ASSERT_EQ(decision.decision, slot_decision::granted);
            servers.push_back(decision.server);
        }
        for (std::uint64_t part = 0; part < 2; ++part) {
            const bool is_second = servers.at(part).value() == "s2";
            const bool slow = is_second && ms < recovered_at;
            finish(number + part, ms + 20, {0, 0, 2, slow ? 8.0 : 1.0},
                milliseconds(slow ? 160 : 20));
            if (is_second)
                ++(ms < recovered_at ? sent_while_slow : sent_afterwards);
        }
    }
    EXPECT_LE(sent_while_slow, 10U);
    EXPECT_GE(sent_afterwards, 100U);
}

} // namespace
} // namespace filberthub
