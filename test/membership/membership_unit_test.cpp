#include "fleet_harness.hpp"

#include <filberthub/membership/connectivity_view.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

constexpr time_point start{std::chrono::seconds(100)};

member_key key_of(int number)
{
    return {instance_id("i" + std::to_string(number)), incarnation(1)};
}

// Returns a table of the members 0 to `count` - 1. The witnesses of each are up
// to 5 of the other members.
fleet_table_ptr table_of(int count, std::uint64_t version = 1)
{
    fleet_table_builder builder;
    builder.version(object_version(version));
    for (int number = 0; number < count; ++number) {
        fleet_member member;
        member.key = key_of(number);
        member.ready = true;
        for (int other = 0; other < count && member.witnesses.size() < 5;
             ++other) {
            if (other != number)
                member.witnesses.push_back(key_of(other).instance);
        }
        builder.member(member);
    }
    return std::make_shared<fleet_table>(builder.build());
}

heartbeat_ack ack_of(int from, std::uint64_t number, std::uint64_t fleet = 1)
{
    return {key_of(from), key_of(0), number, object_version(fleet), {}, {}};
}

struct lease_fixture : ::testing::Test
{
    lease_fixture()
    {
        lease.adopt(*table_of(6), start);
    }
    member_lease lease{key_of(0), start};
};

using MemberLease = lease_fixture;

// Guards against a lease that is counted from the arrival of the acks.
TEST_F(MemberLease, LastsFromTheSendingTimeOfTheHeartbeat)
{
    ASSERT_TRUE(lease.heartbeat_due(start));
    const time_point arrival = start + milliseconds(500);
    lease.on_ack(ack_of(1, 1), arrival);
    lease.on_ack(ack_of(2, 1), arrival);
    lease.on_ack(ack_of(2, 1), arrival);
    EXPECT_FALSE(lease.held(arrival));
    lease.on_ack(ack_of(3, 1), arrival);
    EXPECT_TRUE(lease.held(start + milliseconds(1199)));
    EXPECT_FALSE(lease.held(start + milliseconds(1200)));
    EXPECT_EQ(lease.grants_until(), start + milliseconds(1150));
}

// Guards against an ack that arrives after the lapse and renews the lease.
TEST_F(MemberLease, StaysLapsedWhenAcksArriveAfterItsEnd)
{
    lease.heartbeat_due(start);
    for (const int witness : {1, 2, 3})
        lease.on_ack(ack_of(witness, 1), start);
    lease.heartbeat_due(start + milliseconds(1100));
    const time_point late = start + milliseconds(1201);
    for (const int witness : {1, 2, 3})
        lease.on_ack(ack_of(witness, 2), late);
    EXPECT_TRUE(lease.lapsed(late));
    EXPECT_FALSE(lease.held(late));
    EXPECT_EQ(lease.heartbeat_due(late), std::nullopt);
}

// Guards against a retirement that a successor would not learn of, because
// fewer than a majority of witnesses have recorded it.
TEST_F(MemberLease, AcknowledgesARetiredServerByAMajority)
{
    const backend_server_id server("kartlas-1");
    lease.heartbeat_due(start);
    lease.retire(server);
    for (const int witness : {1, 2, 3})
        lease.on_ack(ack_of(witness, 1), start);
    EXPECT_FALSE(lease.acknowledged(server));
    const time_point later = start + heartbeat_interval;
    EXPECT_EQ(lease.heartbeat_due(later)->retired.size(), 1U);
    for (const int witness : {1, 2, 3}) {
        EXPECT_FALSE(lease.acknowledged(server));
        lease.on_ack(ack_of(witness, 2), later);
    }
    EXPECT_TRUE(lease.acknowledged(server));
}

// Guards against an instance without witnesses that sends work although nothing
// proves that it is the holder.
TEST(MemberLeaseWithoutWitnesses, IsHeldOnlyByCommitsToTheStore)
{
    member_lease lease(key_of(0), start);
    lease.adopt(*table_of(1), start);
    EXPECT_EQ(lease.heartbeat_due(start), std::nullopt);
    EXPECT_FALSE(lease.held(start));
    lease.on_store_commit(start, start + milliseconds(20));
    EXPECT_TRUE(lease.held(start + milliseconds(1199)));
    EXPECT_TRUE(lease.lapsed(start + milliseconds(1200)));
}

struct ledger_fixture : ::testing::Test
{
    ledger_fixture()
    {
        own_lease.adopt(*table_of(6), start);
        ledger.adopt(table_of(6), start);
    }
    heartbeat beat(std::uint64_t number)
    {
        return {key_of(0), number, object_version(1),
            {backend_server_id("kartlas-1")}, {}};
    }
    member_lease own_lease{key_of(1), start};
    witness_ledger ledger{own_lease, start};
    expiry_query query{key_of(2), key_of(0), 7};
};

using WitnessLedger = ledger_fixture;

// Guards against a restarted witness that reports silence although its earlier
// process sent an ack. Acks need no warm-up.
TEST_F(WitnessLedger, ReportsNoSilenceBeforeItsWarmUpEnds)
{
    const time_point before = start + milliseconds(1223);
    EXPECT_EQ(ledger.on_query(query, before), std::nullopt);
    EXPECT_TRUE(ledger.notices_due(before).empty());
    EXPECT_TRUE(ledger.on_query(query, start + milliseconds(1224)));
    EXPECT_TRUE(ledger.on_heartbeat(beat(1), start));
}

// Guards against a successor that uses a server that the lost holder retired.
TEST_F(WitnessLedger, ReportsSilenceAndRetiredServersAfterTheLastAck)
{
    const time_point acked = start + milliseconds(1300);
    ASSERT_TRUE(ledger.on_heartbeat(beat(1), acked));
    EXPECT_EQ(ledger.on_query(query, acked + milliseconds(1223)), std::nullopt);
    const auto answer = ledger.on_query(query, acked + milliseconds(1230));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->silence, milliseconds(1230));
    EXPECT_EQ(answer->round, 7U);
    EXPECT_EQ(answer->retired.size(), 1U);
}

// Guards against intent records that grow without bound, and against an intent
// that is evicted before the end of its lifetime.
TEST_F(WitnessLedger, RefusesIntentsBeyondItsBound)
{
    const time_point now = start + milliseconds(1300);
    for (std::size_t id = 0; id < intents_per_member; ++id)
        ASSERT_TRUE(ledger.record_intent(key_of(0), request_hash(id), now));
    EXPECT_FALSE(ledger.record_intent(key_of(0), request_hash(0), now));
    EXPECT_EQ(ledger.intents_of(key_of(0), now).size(), intents_per_member);
    EXPECT_TRUE(ledger.intents_of(key_of(0), now + intent_lifetime).empty());
}

// Guards against two instances that confirm their evidence of a lost member to
// each other forever.
TEST(ConnectivityView, DropsEvidenceThatOnlyOtherInstancesRepeat)
{
    connectivity_view left(key_of(0).instance);
    connectivity_view right(key_of(1).instance);
    left.adopt(table_of(4));
    right.adopt(table_of(4));
    left.on_ack(ack_of(2, 1), start);
    left.on_ack(ack_of(3, 1), start);
    EXPECT_TRUE(left.may_send_new_work(start));
    time_point now = start;
    for (; now < start + milliseconds(3500); now += heartbeat_interval) {
        heartbeat_ack to_right = ack_of(0, 1);
        to_right.evidence = left.ages(now);
        right.on_ack(to_right, now);
        heartbeat_ack to_left = ack_of(1, 1);
        to_left.evidence = right.ages(now);
        left.on_ack(to_left, now);
    }
    EXPECT_EQ(left.reachable(now), 2U);
    EXPECT_FALSE(left.may_send_new_work(now));
}

// Guards against a store age that is too low after a slow ack.
TEST(ConnectivityView, AddsTheTransitTimeToTheStoreAge)
{
    connectivity_view view(key_of(0).instance);
    view.adopt(table_of(6));
    heartbeat_ack ack = ack_of(1, 1);
    ack.known.store_age = milliseconds(2500);
    view.on_ack(ack, start);
    EXPECT_TRUE(view.may_send_new_work(start + milliseconds(500)));
    EXPECT_FALSE(view.may_send_new_work(start + milliseconds(501)));
}

// Guards against a graceful restart after which the successor waits for the
// lease to expire.
TEST(Fleet, MovesTheHolderRoleAtOnceWhenItIsReleased)
{
    fleet_harness<lease_rules> fleet(6, 3);
    fleet.run_until_steady();
    const backend_server_id server("server-1");
    const std::size_t before = fleet.holder(server);
    fleet.apply({fault_kind::leave, static_cast<unsigned>(before), 0, 0, 0});
    fleet.run_for(milliseconds(5));
    EXPECT_NE(fleet.holder(server), fleet.no_holder);
    EXPECT_NE(fleet.holder(server), before);
}

} // namespace
} // namespace filberthub
