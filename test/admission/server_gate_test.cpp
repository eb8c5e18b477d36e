#include <filberthub/admission/server_gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <random>
#include <set>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

// A gate that allows all slots from the start.
using static_gate = basic_server_gate<no_ramp, static_limit>;

template <class Gate = static_gate>
Gate make_gate(unsigned slots, unsigned reserve = 0)
{
    return typename Gate::builder()
        .slots(slots)
        .baseline(10ms)
        .rescue_reserve(reserve)
        .build(time_point());
}

gate_request request(std::uint64_t number,
    priority level = priority::interactive, duration deadline = 100s)
{
    return {request_number(number), level, time_point(deadline)};
}

// Guards against a queue in which an urgent request waits for a less urgent
// one.
TEST(ServerGate, AdmitsByPriorityAndThenByDeadline)
{
    auto gate = make_gate(1);
    EXPECT_EQ(gate.offer(request(1), {}).decision, admission_decision::admit);
    EXPECT_EQ(gate.offer(request(2, priority::bulk), {}).decision,
        admission_decision::wait);
    gate.offer(request(3, priority::edit), {});
    gate.offer(request(4, priority::interactive, 90s), {});
    gate.offer(request(5, priority::interactive, 80s), {});
    gate.offer(request(6, priority::rescue), {});
    std::uint64_t running = 1;
    for (const std::uint64_t next : {6U, 5U, 4U, 3U, 2U}) {
        const auto changes =
            gate.finish(request_number(running), answer_result::complete, {});
        ASSERT_EQ(changes.admitted.size(), 1U);
        EXPECT_EQ(changes.admitted[0], request_number(next));
        running = next;
    }
    EXPECT_THROW(
        gate.finish(request_number(99), answer_result::complete, {}), error);
}

// Guards against a full queue that refuses a rescue request, or in which reads
// displace bulk requests from their reserved places.
TEST(ServerGate, ShedsLowerPrioritiesFirstAndKeepsTheirReservedPlaces)
{
    auto gate = make_gate(1);
    gate.offer(request(0), {});
    for (std::uint64_t number = 1; number <= 32; ++number)
        gate.offer(request(number, priority::bulk), {});
    EXPECT_EQ(gate.offer(request(40, priority::bulk), {}).reason,
        error_kind::overloaded);
    for (std::uint64_t number = 41; number < 41 + 28; ++number) {
        const auto offered = gate.offer(request(number), {});
        ASSERT_TRUE(offered.displaced);
        EXPECT_EQ(offered.displaced->reason, error_kind::overloaded);
        EXPECT_LE(offered.displaced->number, request_number(32));
    }
    EXPECT_EQ(gate.offer(request(70), {}).decision, admission_decision::refuse);
    EXPECT_EQ(gate.offer(request(71, priority::rescue), {}).decision,
        admission_decision::wait);
}

// Guards against a bulk request, such as the upload of a scan, that starves
// because of a constant stream of reads.
TEST(ServerGate, DoesNotStarveBulkRequestsUnderConstantReads)
{
    auto gate = make_gate(1);
    for (std::uint64_t number = 0; number < 33; ++number)
        gate.offer(request(number), {});
    ASSERT_EQ(gate.offer(request(1000, priority::bulk), {}).decision,
        admission_decision::wait);
    std::uint64_t running = 0;
    for (std::uint64_t count = 1;; ++count) {
        ASSERT_LE(count, waiting_queue::max_passes + 2);
        const auto changes =
            gate.finish(request_number(running), answer_result::complete, {});
        running = changes.admitted.at(0).value();
        if (running == 1000)
            break;
        gate.offer(request(100 + count), {});
    }
}

// Guards against requests that take a slot although they cannot finish before
// their deadline.
TEST(ServerGate, RefusesRequestsThatCannotMeetTheirDeadline)
{
    auto gate = make_gate(1);
    gate.offer(request(1), {});
    EXPECT_EQ(gate.offer(request(2, priority::interactive, 29ms), {}).reason,
        error_kind::deadline_exceeded_not_run);
    EXPECT_EQ(gate.offer(request(3, priority::interactive, 31ms), {}).decision,
        admission_decision::wait);
    EXPECT_TRUE(gate.expire(time_point(10ms)).refused.empty());
    const auto late = gate.expire(time_point(12ms));
    ASSERT_EQ(late.refused.size(), 1U);
    EXPECT_EQ(late.refused[0].reason, error_kind::deadline_exceeded_not_run);
}

// Guards against a cold server that receives more than one request at a time
// before good answers show that it is warm, or because of answers to requests
// that were sent before it became cold.
TEST(ServerGate, StartsWithOneSlotAndAddsSlotsOnEvidence)
{
    auto gate = make_gate<server_gate>(4);
    EXPECT_EQ(gate.limit({}), 1U);
    std::uint64_t number = 0;
    const auto answer = [&](duration latency, answer_result result) {
        gate.offer(request(++number), {});
        gate.finish(request_number(number), result, time_point(latency));
    };
    // 32 good answers for each slot in use.
    for (int count = 0; count < 32 * (1 + 2 + 3) - 1; ++count)
        answer(10ms, answer_result::complete);
    EXPECT_EQ(gate.limit({}), 3U);
    answer(10ms, answer_result::complete);
    EXPECT_EQ(gate.limit({}), 4U);
    gate.offer(request(90), {});
    gate.on_connection_reset(time_point(1ms));
    EXPECT_EQ(gate.limit({}), 1U);
    gate.finish(request_number(90), answer_result::complete, time_point(10ms));
    EXPECT_EQ(gate.limit({}), 1U) << "evidence from before the reset";
    gate.on_report({0.1, false}, {});
    EXPECT_EQ(gate.limit({}), 1U) << "a report raised the limit";
}

// Guards against a server whose cold start lasts longer than the ramp, so that
// it is overloaded after each ramp.
TEST(EvidenceRamp, NeedsTwiceTheEvidenceAfterAFailedRamp)
{
    evidence_ramp ramp(4);
    const auto good = [&](int count) {
        while (count-- > 0)
            ramp.on_answer(true, {});
    };
    good(4);
    EXPECT_EQ(ramp.limit(2, {}), 2U);
    ramp.reset({}, true);
    good(7);
    EXPECT_EQ(ramp.limit(2, {}), 1U);
    good(1);
    EXPECT_EQ(ramp.limit(2, {}), 2U);
    good(5000);
    ramp.reset({}, true);
    good(4);
    EXPECT_EQ(ramp.limit(2, {}), 2U)
        << "a successful ramp must not double the evidence";
}

// Guards against a cold server that is overloaded because it still works on an
// aborted request.
TEST(ServerGate, KeepsTheSlotOfAnAbortedRequestDuringTheRamp)
{
    for (const answer_result result :
        {answer_result::cancelled, answer_result::timed_out}) {
        auto gate = make_gate<server_gate>(2);
        gate.offer(request(1), {});
        EXPECT_EQ(
            gate.offer(request(2), {}).decision, admission_decision::wait);
        const auto changes =
            gate.finish(request_number(1), result, time_point(5ms));
        EXPECT_TRUE(changes.admitted.empty());
        EXPECT_TRUE(gate.expire(time_point(10ms)).admitted.empty());
        EXPECT_EQ(gate.expire(time_point(40ms)).admitted.size(), 1U);
    }
}

// Guards against the same overload at a gate that has no measured latency, as
// after a change of holder.
TEST(ServerGate, KeepsTheSlotAsLongAgainAsTheAbortedRequestRan)
{
    auto gate = make_gate<server_gate>(2);
    gate.offer(request(1), {});
    gate.offer(request(2), {});
    gate.finish(request_number(1), answer_result::timed_out, time_point(117ms));
    EXPECT_TRUE(gate.expire(time_point(200ms)).admitted.empty());
    EXPECT_EQ(gate.expire(time_point(234ms)).admitted.size(), 1U);
}

// Guards against a limit that stays at one because the latency of a service has
// a long tail, so that many of its answers are slow.
TEST(ServerGate, UsesAllSlotsOfAServiceWithLongTailLatency)
{
    std::mt19937_64 engine(20261204);
    // Mean of 10 ms.
    std::lognormal_distribution<double> latency(std::log(10e6) - 0.5, 1.0);
    auto gate = make_gate<server_gate>(2);
    unsigned full = 0;
    time_point now;
    for (std::uint64_t number = 0; number < 20000; ++number) {
        gate.offer(
            {request_number(number), priority::interactive, now + 9s}, now);
        now += duration(static_cast<std::int64_t>(latency(engine)));
        gate.finish(request_number(number), answer_result::complete, now);
        full += gate.limit(now) == 2 ? 1 : 0;
    }
    EXPECT_GT(full, 18000U);
}

// Guards against an overloaded server whose reports are ignored, and against a
// late report that raises the limit.
TEST(ServerGate, LowersButNeverRaisesTheLimitOnReports)
{
    auto gate = make_gate<basic_server_gate<no_ramp, aimd_limit>>(4);
    gate.on_report({2.0, false}, {});
    EXPECT_EQ(gate.limit({}), 2U);
    gate.on_report({0.5, false}, {});
    EXPECT_EQ(gate.limit({}), 2U);
}

// Guards against requests that wait at a closed gate until their deadline.
TEST(ServerGate, RefusesWaitingRequestsWhenItCloses)
{
    auto gate = make_gate(1);
    gate.offer(request(1), {});
    gate.offer(request(2), {});
    EXPECT_EQ(gate.cancel(request_number(1), {}), cancel_result::admitted);
    EXPECT_EQ(gate.set_out_of_service(true, {}).refused.at(0).reason,
        error_kind::domain_out_of_service);
    EXPECT_EQ(
        gate.offer(request(3), {}).reason, error_kind::domain_out_of_service);
    gate.set_out_of_service(false, {});
    gate.offer(request(4), {});
    EXPECT_EQ(gate.cancel(request_number(4), {}), cancel_result::was_waiting);
    gate.offer(request(5), {});
    EXPECT_EQ(gate.drain().refused.at(0).number, request_number(5));
    EXPECT_FALSE(gate.idle());
    gate.finish(request_number(1), answer_result::complete, {});
    EXPECT_TRUE(gate.idle());
}

// Guards against a reserved slot that other requests take while rescue requests
// arrive, or that stays unused after the last rescue request.
TEST(ServerGate, ReservesASlotOnlyWhileRescueRequestsArrive)
{
    auto gate = make_gate(2, 1);
    gate.offer(request(1, priority::rescue), {});
    EXPECT_EQ(gate.offer(request(2), {}).decision, admission_decision::wait);
    EXPECT_EQ(gate.offer(request(3, priority::rescue), {}).decision,
        admission_decision::admit);
    const auto later = gate.expire(time_point(11s));
    EXPECT_TRUE(later.admitted.empty());
    const auto changes = gate.finish(
        request_number(3), answer_result::complete, time_point(11s));
    EXPECT_EQ(changes.admitted.size(), 1U);
}

// Guards against orders of calls in which a request is lost or more requests
// are admitted than the limit.
RC_GTEST_PROP(ServerGate, AccountsForEachRequestOnce,
    (const std::vector<std::uint16_t>& steps))
{
    auto gate = make_gate<server_gate>(2, 1);
    std::set<std::uint64_t> waiting;
    std::set<std::uint64_t> running;
    time_point now;
    const auto apply = [&](const gate_changes& changes) {
        for (const auto number : changes.admitted) {
            RC_ASSERT(waiting.erase(number.value()) == 1U);
            running.insert(number.value());
        }
        for (const auto& refused : changes.refused)
            RC_ASSERT(waiting.erase(refused.number.value()) == 1U);
    };
    std::uint64_t number = 0;
    for (const auto step : steps) {
        now += 1ms;
        const std::size_t before = running.size();
        const unsigned limit = gate.limit(now);
        if (step % 3 != 0) {
            const auto result =
                gate.offer({request_number(++number), priority(step / 4 % 4),
                               now + milliseconds(step / 16)},
                    now);
            if (result.displaced)
                RC_ASSERT(
                    waiting.erase(result.displaced->number.value()) == 1U);
            if (result.decision == admission_decision::admit)
                running.insert(number);
            else if (result.decision == admission_decision::wait)
                waiting.insert(number);
        } else if (!running.empty() && step % 2 == 0) {
            const std::uint64_t done = *running.begin();
            running.erase(done);
            apply(gate.finish(
                request_number(done), answer_result(step / 8 % 6), now));
        } else {
            apply(gate.expire(now));
        }
        if (running.size() > before)
            RC_ASSERT(running.size() <= std::max(limit, gate.limit(now)));
        RC_ASSERT(gate.summary(now).waiting == waiting.size());
        RC_ASSERT(gate.summary(now).in_flight == running.size());
    }
}

// Guards against a gate without slots, or without a baseline to compare with.
TEST(ServerGateBuilder, RejectsSettingsOutOfRange)
{
    EXPECT_THROW(server_gate_builder().slots(0).build({}), error);
    EXPECT_THROW(server_gate_builder().baseline(0ms).build({}), error);
}

} // namespace
} // namespace filberthub
