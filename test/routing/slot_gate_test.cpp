#include "routing/routing_builders.hpp"

#include <gmock/gmock.h>

#include <algorithm>
#include <ctime>
#include <random>

namespace filberthub {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

constexpr cold_bound bound{1.5, 5};

class SlotGate : public testing::Test
{
public:
    SlotGate()
    {
        put(server_builder("s1").build());
    }

    void put(const server_entry& entry, std::int64_t ms = 0)
    {
        pool_.put(entry, 11, 0, at_ms(ms));
    }

    slot_request request(std::uint64_t number, std::int64_t ms)
    {
        slot_request result;
        result.id = {instance_id("i"), number};
        result.service = service_id("maps");
        result.group = "maps/0";
        result.domain = failure_domain_id("a");
        result.urgency = 2;
        result.target_time = at_ms(ms + 200);
        result.answer_deadline = at_ms(ms + 500);
        return result;
    }

    slot_decision request_slot(const slot_request& item, std::int64_t ms)
    {
        const auto decisions = gate_.request_slot(item, at_ms(ms));
        EXPECT_THAT(decisions, SizeIs(1));
        return decisions.at(0).decision;
    }

    std::vector<gate_decision> finish(std::uint64_t number, std::int64_t ms)
    {
        return gate_.finish({instance_id("i"), number},
            {send_outcome::answered, milliseconds(60), {}}, at_ms(ms));
    }

    server_pool pool_{failure_domain_id("a"), bound};
    slot_gate gate_{pool_, bound};
};

// Guards against a request that is lost with the datagram of its decision, or
// that does not learn its present wait: the gate ignored repeated questions.
TEST_F(SlotGate, AnswersARepeatedQuestion)
{
    for (std::uint64_t number = 1; number <= 3; ++number)
        request_slot(request(number, 0), 0);
    const auto running = gate_.request_slot(request(1, 0), at_ms(5));
    ASSERT_THAT(running, SizeIs(1));
    EXPECT_EQ(running[0].decision, slot_decision::granted);
    EXPECT_EQ(running[0].server.value(), "s1");
    for (std::uint64_t number = 4; number <= 6; ++number)
        request_slot(request(number, 0), 0);
    const auto first = gate_.request_slot(request(6, 0), at_ms(5));
    ASSERT_THAT(first, SizeIs(1));
    EXPECT_EQ(first[0].decision, slot_decision::queued);
    EXPECT_EQ(gate_.waiting(), 3U);
    finish(1, 20);
    const auto later = gate_.request_slot(request(6, 0), at_ms(25));
    ASSERT_THAT(later, SizeIs(1));
    EXPECT_LT(later[0].wait, first[0].wait);
}

// Guards against requests that are held until their deadline although no server
// may take them. Instances no longer give up on a gate that makes them wait.
TEST_F(SlotGate, RefusesWhatNoServerMayTake)
{
    slot_request retry = request(1, 0);
    retry.excluded.push_back(backend_server_id("s1"));
    EXPECT_EQ(request_slot(retry, 0), slot_decision::refused);
    put(server_builder("s1").draining().build());
    slot_request item = request(2, 0);
    item.answer_deadline = at_ms(20'000);
    EXPECT_EQ(request_slot(item, 0), slot_decision::queued);
    EXPECT_THAT(gate_.sweep(at_ms(400)), IsEmpty());
    const auto decisions = gate_.sweep(at_ms(520));
    ASSERT_THAT(decisions, SizeIs(1));
    EXPECT_EQ(decisions[0].decision, slot_decision::refused);
}

// Guards against slots that are idle for a round trip, and against long queues
// at a server.
TEST_F(SlotGate, GrantsOneRequestMoreThanAServerHasSlots)
{
    EXPECT_EQ(request_slot(request(1, 0), 0), slot_decision::granted);
    EXPECT_EQ(request_slot(request(2, 0), 0), slot_decision::granted);
    EXPECT_EQ(request_slot(request(3, 0), 0), slot_decision::granted);
    EXPECT_EQ(request_slot(request(4, 0), 0), slot_decision::queued);
}

// Guards against an urgent request that waits behind less urgent ones.
TEST_F(SlotGate, GivesAFreedSlotToTheMostUrgentRequest)
{
    for (std::uint64_t number = 1; number <= 3; ++number)
        request_slot(request(number, 0), 0);
    request_slot(request(4, 0), 0);
    slot_request urgent = request(5, 1);
    urgent.urgency = 1;
    request_slot(urgent, 1);
    const auto decisions = finish(1, 60);
    ASSERT_THAT(decisions, SizeIs(1));
    EXPECT_EQ(decisions[0].id.number, 5U);
}

// Guards against slots spent on requests that miss their target time anyway,
// while others could still be answered in time.
TEST_F(SlotGate, ServesRequestsThatCanBeInTimeFirst)
{
    for (std::uint64_t number = 1; number <= 3; ++number)
        request_slot(request(number, 0), 0);
    slot_request late = request(4, 0);
    late.target_time = at_ms(50);
    request_slot(late, 0);
    request_slot(request(5, 10), 10);
    const auto decisions = finish(1, 60);
    ASSERT_THAT(decisions, SizeIs(1));
    EXPECT_EQ(decisions[0].id.number, 5U);
}

// Guards against requests that wait in the queue until their caller has left.
TEST_F(SlotGate, RefusesAtOnceARequestThatCannotBeServedInTime)
{
    std::uint64_t number = 1;
    slot_decision decision = slot_decision::granted;
    while (decision != slot_decision::refused && number < 100) {
        const auto decisions = gate_.request_slot(request(number, 0), at_ms(0));
        decision = decisions.at(0).decision;
        if (decision == slot_decision::refused) {
            EXPECT_GE(decisions[0].wait, milliseconds(20));
        }
        ++number;
    }
    // 2 slots of about 50 ms serve 20 requests in 500 ms.
    EXPECT_LT(number, 25U);
}

// Guards against slots that stay occupied after the instance that used them
// failed.
TEST_F(SlotGate, FreesTheSlotOfAnInstanceThatDoesNotReport)
{
    for (std::uint64_t number = 1; number <= 3; ++number)
        request_slot(request(number, 0), 0);
    request_slot(request(4, 400), 400);
    EXPECT_THAT(gate_.sweep(at_ms(600)), IsEmpty());
    EXPECT_THAT(gate_.sweep(at_ms(651)), SizeIs(1));
}

// Guards against a cold server that is overloaded and crashes because all
// instances send to it.
TEST_F(SlotGate, RespectsTheBoundOfAColdServer)
{
    put(server_builder("s1").cold(3'000).build());
    std::vector<std::int64_t> granted;
    for (std::uint64_t number = 1; number <= 250; ++number) {
        const std::int64_t ms = static_cast<std::int64_t>(number) * 10;
        const auto decisions =
            gate_.request_slot(request(number, ms), at_ms(ms));
        if (decisions.at(0).decision == slot_decision::granted)
            granted.push_back(ms);
        finish(number, ms + 1);
    }
    for (const std::int64_t end : granted) {
        // 11 requests per second, times 1.5, plus 5.
        EXPECT_LE(std::count_if(granted.begin(), granted.end(),
                      [end](std::int64_t time) {
                          return time <= end && time > end - 1'000;
                      }),
            21);
    }
    // The bound is halved in the first second, because another gate may have
    // granted requests before.
    EXPECT_GE(std::count_if(granted.begin(), granted.end(),
                  [](std::int64_t time) { return time > 1'500; }),
        8);
}

// Guards against a retry at the server that has refused the request.
TEST_F(SlotGate, DoesNotChooseAnExcludedServer)
{
    put(server_builder("s2").build());
    slot_request retry = request(1, 0);
    retry.excluded.push_back(backend_server_id("s1"));
    const auto decisions = gate_.request_slot(retry, at_ms(0));
    ASSERT_THAT(decisions, SizeIs(1));
    EXPECT_EQ(decisions[0].server.value(), "s2");
}

// Guards against a group whose fastest server is full while another is idle.
TEST_F(SlotGate, DividesRequestsAmongServersOfSimilarSpeed)
{
    const auto report_slowdown = [&](std::uint64_t number, double slowdown) {
        gate_.finish({instance_id("i"), number},
            {send_outcome::answered, milliseconds(60),
                server_load_report{0, 0, 2, slowdown}},
            at_ms(1));
    };
    request_slot(request(1, 0), 0);
    report_slowdown(1, 1);
    put(server_builder("s2").build());
    slot_request other = request(2, 0);
    other.excluded.push_back(backend_server_id("s1"));
    request_slot(other, 0);
    report_slowdown(2, 1.3);
    std::vector<std::string> chosen;
    for (std::uint64_t number = 3; number <= 6; ++number) {
        const auto decisions = gate_.request_slot(request(number, 2), at_ms(2));
        chosen.push_back(decisions.at(0).server.value());
    }
    EXPECT_THAT(chosen, testing::ElementsAre("s1", "s2", "s1", "s2"));
}

// Numbers of answers that callers of an overloaded server received.
struct load_result
{
    int in_time = 0;
    int late = 0;
};

// Simulates 60 s of 150% load on a server with two slots and a mean service
// time of 60 ms. `admission` is notified of arrivals and of finished requests,
// and puts those to be sent to the server into `at_server`. Callers leave after
// 500 ms, and answers within 200 ms count as in time.
template <class Admission>
load_result simulate_overload(Admission& admission)
{
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(50.0 / 1'000);
    std::exponential_distribution<double> work(1.0 / 60);
    struct completion
    {
        std::int64_t at;
        std::uint64_t number;
    };
    std::vector<completion> running;
    std::map<std::uint64_t, std::int64_t> arrived;
    load_result result;
    double next = 0;
    std::uint64_t number = 0;
    for (std::int64_t ms = 0; ms < 60'000; ++ms) {
        while (next <= static_cast<double>(ms)) {
            ++number;
            arrived[number] = ms;
            admission.arrive(number, ms);
            next += gap(random);
        }
        const auto ended = std::partition(running.begin(), running.end(),
            [ms](const completion& item) { return item.at > ms; });
        const std::vector<completion> finished(ended, running.end());
        running.erase(ended, running.end());
        for (const completion& item : finished) {
            const std::int64_t taken = ms - arrived[item.number];
            if (taken <= 200)
                ++result.in_time;
            else if (taken <= 500)
                ++result.late;
            admission.end(item.number, ms);
        }
        admission.tick(ms);
        while (running.size() < 2 && !admission.at_server.empty()) {
            const std::uint64_t started = admission.at_server.front();
            admission.at_server.pop_front();
            if (ms - arrived[started] < 500) {
                running.push_back(
                    {ms + 1 + static_cast<std::int64_t>(work(random)),
                        started});
            } else {
                admission.end(started, ms);
            }
        }
    }
    return result;
}

// A server's own queue of 8 requests without a gate.
struct ungated_server
{
    std::deque<std::uint64_t> at_server;

    void arrive(std::uint64_t number, std::int64_t)
    {
        if (at_server.size() < 8)
            at_server.push_back(number);
    }
    void end(std::uint64_t, std::int64_t) {}
    void tick(std::int64_t) {}
};

// Guards against requests that wait until their callers leave because more
// urgent requests take every slot. A caller that is refused early can retry in
// time.
TEST_F(SlotGate, RefusesQueuedRequestsOnceTheyCannotBeServedInTime)
{
    for (std::uint64_t number = 1; number <= 3; ++number)
        request_slot(request(number, 0), 0);
    for (std::uint64_t number = 4; number <= 9; ++number)
        EXPECT_EQ(request_slot(request(number, 0), 0), slot_decision::queued);
    std::map<std::uint64_t, std::int64_t> refused;
    const auto record_refusals =
        [&](const std::vector<gate_decision>& decisions, std::int64_t ms) {
            for (const gate_decision& decision : decisions) {
                if (decision.decision == slot_decision::refused)
                    refused[decision.id.number] = ms;
            }
        };
    std::uint64_t number = 100;
    for (std::int64_t ms = 10; ms <= 200; ms += 10) {
        slot_request urgent = request(++number, ms);
        urgent.urgency = 1;
        record_refusals(gate_.request_slot(urgent, at_ms(ms)), ms);
        if (ms % 40 == 0)
            record_refusals(gate_.sweep(at_ms(ms)), ms);
    }
    // Their callers leave at 500 ms.
    for (std::uint64_t old = 4; old <= 9; ++old)
        EXPECT_TRUE(refused.contains(old)) << "request " << old;
}

// Guards against an overloaded server whose answers are all late. Without a
// gate its queue is always full, and each request waits for the whole queue.
TEST_F(SlotGate, AnswersInTimeUnderOverload)
{
    struct gated_server
    {
        SlotGate& test;
        std::deque<std::uint64_t> at_server;

        void take(const std::vector<gate_decision>& decisions)
        {
            for (const gate_decision& decision : decisions) {
                if (decision.decision == slot_decision::granted)
                    at_server.push_back(decision.id.number);
            }
        }
        void arrive(std::uint64_t number, std::int64_t ms)
        {
            take(test.gate_.request_slot(test.request(number, ms), at_ms(ms)));
        }
        void end(std::uint64_t number, std::int64_t ms)
        {
            take(test.finish(number, ms));
        }
        void tick(std::int64_t ms)
        {
            if (ms % 40 == 0)
                take(test.gate_.sweep(at_ms(ms)));
        }
    };
    gated_server with_gate{*this, {}};
    ungated_server without;
    const load_result gate = simulate_overload(with_gate);
    const load_result plain = simulate_overload(without);
    EXPECT_GE(gate.in_time, 2 * plain.in_time) << "late: " << gate.late;
    // Two slots with a service time of 60 ms can serve 2,000 requests in 60 s.
    EXPECT_GE(gate.in_time + gate.late, 1'800);
}

// Guards against a gate whose decisions take so long under overload that its
// process does nothing else.
TEST_F(SlotGate, DecidesQuicklyWithALongQueue)
{
    for (int number = 0; number < 100; ++number)
        put(server_builder("t" + std::to_string(number)).build());
    constexpr std::size_t queue_length = 400;
    std::uint64_t number = 0;
    while (gate_.waiting() < queue_length) {
        slot_request item = request(++number, 0);
        item.answer_deadline = at_ms(1'000'000);
        gate_.request_slot(item, at_ms(0));
    }
    constexpr int sweeps = 200;
    const std::clock_t started = std::clock();
    for (int count = 0; count < sweeps; ++count)
        EXPECT_THAT(gate_.sweep(at_ms(count)), IsEmpty());
    // A sweep every 40 ms may take half of the smallest instance, which has
    // 0.07 of a core.
    const double seconds =
        static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    EXPECT_LT(seconds, sweeps * 0.040 * 0.07 / 2);
    EXPECT_EQ(gate_.waiting(), queue_length);
}

} // namespace
} // namespace filberthub
