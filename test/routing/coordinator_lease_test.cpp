#include "routing/routing_builders.hpp"

#include <gtest/gtest.h>

#include <filberthub/routing/coordinator_lease.hpp>

namespace filberthub {
namespace {

lease_record record_of(const std::string& holder, std::uint64_t run_id)
{
    lease_record record;
    record.holder = instance_id(holder);
    record.address = {"10.0.0.1", 7'000};
    record.run_id = run_id;
    return record;
}

coordinator_lease lease_of(const std::string& holder, std::uint64_t run_id)
{
    return coordinator_lease(record_of(holder, run_id), lease_options{});
}

// Guards against a new deployment that never gets a coordinator.
TEST(CoordinatorLease, IsTakenWhenThereIsNone)
{
    coordinator_lease lease = lease_of("a", 1);
    EXPECT_FALSE(lease.next_write(at_ms(0)).has_value());
    lease.on_read(std::nullopt, 0, at_ms(0));
    const auto write = lease.next_write(at_ms(0));
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(write->base_revision, 0U);
    lease.on_written(4, at_ms(5));
    EXPECT_TRUE(lease.holds(at_ms(5)));
}

// Guards against a holder that is cut off from the store and grants after its
// lease has ended.
TEST(CoordinatorLease, EndsWithoutAConfirmedRenewal)
{
    coordinator_lease lease = lease_of("a", 1);
    lease.on_read(std::nullopt, 0, at_ms(0));
    lease.next_write(at_ms(0));
    lease.on_written(4, at_ms(300));
    EXPECT_TRUE(lease.holds(at_ms(7'999)));
    // Counted from when the write was sent, not from its answer.
    EXPECT_FALSE(lease.holds(at_ms(8'000)));
}

// Guards against two owners: a lease that lapsed in an outage is renewed by the
// same process, which knows nothing of what it granted before.
TEST(CoordinatorLease, CountsItsOwnGrantsBeforeALapseAsEarlierOnes)
{
    coordinator_lease lease = lease_of("a", 1);
    lease.on_read(std::nullopt, 0, at_ms(0));
    lease.next_write(at_ms(0));
    lease.on_written(4, at_ms(5));
    lease.next_write(at_ms(8'000) - lease_options{}.renewal);
    lease.on_written(5, at_ms(8'000) - lease_options{}.renewal);
    const time_point lapsed = at_ms(16'000) - lease_options{}.renewal;
    ASSERT_FALSE(lease.holds(lapsed));
    ASSERT_TRUE(lease.next_write(lapsed + milliseconds(400)));
    lease.on_written(6, lapsed + milliseconds(410));
    ASSERT_TRUE(lease.holds(lapsed + milliseconds(410)));
    EXPECT_GE(lease.earlier_leases_end(), lapsed);
}

// Guards against a takeover while the coordinator still answers.
TEST(CoordinatorLease, IsNotTakenWhileItsHolderAnswers)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_answered(at_ms(1'000));
    const milliseconds silence = lease_options{}.takeover;
    EXPECT_FALSE(
        lease.next_write(at_ms(1'000) + silence - milliseconds(1)).has_value());
    ASSERT_TRUE(lease.next_write(at_ms(1'000) + silence).has_value());
}

// Guards against grants that end before a lost coordinator is replaced: the
// first read of the lease after a time without reads is no sign of life.
TEST(CoordinatorLease, IsTakenSoonFromAKnownHolderThatStopsAnswering)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.set_takeover(milliseconds(2'000));
    lease_record other = record_of("a", 1);
    lease.on_read(other, 4, at_ms(0));
    lease.on_coordinator_answered(at_ms(9'000));
    other.renewal = 15;
    lease.on_read(other, 19, at_ms(11'000));
    const milliseconds silence = lease_options{}.renewal_silence;
    EXPECT_FALSE(lease.next_write(at_ms(11'000) + silence - milliseconds(1)));
    EXPECT_TRUE(lease.next_write(at_ms(11'000) + silence));
}

// Guards against a fleet whose instances replace a new coordinator that has not
// had the time to answer them.
TEST(CoordinatorLease, GivesANewHolderTheTimeToAnswer)
{
    coordinator_lease lease = lease_of("c", 3);
    lease.set_takeover(milliseconds(2'000));
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_answered(at_ms(1'000));
    lease.on_read(record_of("b", 2), 9, at_ms(6'000));
    EXPECT_FALSE(lease.next_write(at_ms(7'999)));
    EXPECT_TRUE(lease.next_write(at_ms(8'000)));
}

// Guards against a takeover by an instance that cannot reach the holder while
// the holder still renews its lease.
TEST(CoordinatorLease, IsNotTakenWhileItIsRenewed)
{
    coordinator_lease lease = lease_of("b", 2);
    lease_record other = record_of("a", 1);
    for (std::uint64_t second = 0; second < 10; ++second) {
        other.renewal = second;
        const auto ms = static_cast<std::int64_t>(second * 1'000);
        lease.on_read(other, 4 + second, at_ms(ms));
        EXPECT_FALSE(lease.next_write(at_ms(ms + 900)).has_value());
    }
}

// Guards against a fleet that gets no updates because a coordinator that is cut
// off from the store still answers and is therefore not replaced.
TEST(CoordinatorLease, IsTakenAtOnceFromAHolderCutOffFromTheStore)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_answered(at_ms(9'000));
    EXPECT_TRUE(lease.on_coordinator_cut_off(at_ms(11'000)));
    EXPECT_FALSE(lease.on_coordinator_cut_off(at_ms(11'000)));
    // The lease may have been renewed since it was read last.
    EXPECT_FALSE(lease.next_write(at_ms(12'000)).has_value());
    lease.on_read(record_of("a", 1), 9, at_ms(12'000));
    const auto write = lease.next_write(at_ms(12'000));
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(write->base_revision, 9U);
}

// Guards against the needless replacement of a holder that reported that it was
// cut off and has renewed its lease since.
TEST(CoordinatorLease, IsNotTakenFromAHolderThatReachesTheStoreAgain)
{
    coordinator_lease lease(
        record_of("b", 2), lease_options{.takeover_jitter = milliseconds(100)});
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_cut_off(at_ms(900));
    lease.on_read(record_of("a", 1), 9, at_ms(1'000));
    lease.on_read(record_of("a", 1), 10, at_ms(1'050));
    EXPECT_FALSE(lease.next_write(at_ms(1'200)).has_value());
    lease.on_coordinator_cut_off(at_ms(1'250));
    lease.on_coordinator_answered(at_ms(1'300));
    EXPECT_FALSE(lease.next_write(at_ms(1'500)).has_value());
}

// Guards against a second takeover right after the first: the read that
// follows the report already shows the successor of the reported coordinator.
TEST(CoordinatorLease, IsNotTakenFromTheSuccessorOfAHolderThatWasCutOff)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_cut_off(at_ms(1'000));
    lease_record successor = record_of("c", 3);
    successor.term = 1;
    lease.on_read(successor, 5, at_ms(1'010));
    const time_point silent_until = at_ms(1'010) + lease_options{}.takeover;
    EXPECT_FALSE(lease.next_write(silent_until - milliseconds(1)));
    EXPECT_TRUE(lease.next_write(silent_until));
}

// Guards against a large fleet that is coordinated by a small instance: the
// delay that leaves the lease to others begins with the report.
TEST(CoordinatorLease, LeavesTheLeaseOfAHolderThatWasCutOffToOthersFirst)
{
    coordinator_lease lease(
        record_of("b", 2), lease_options{.takeover_jitter = milliseconds(500)});
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    lease.on_coordinator_answered(at_ms(1'000));
    lease.on_coordinator_cut_off(at_ms(3'000));
    lease.on_read(record_of("a", 1), 4, at_ms(3'010));
    EXPECT_FALSE(lease.next_write(at_ms(3'499)));
    EXPECT_TRUE(lease.next_write(at_ms(3'500)));
}

// Guards against a holder that does not use its lease because the answer to its
// write was lost. The write is recognized when the lease is read.
TEST(CoordinatorLease, RecognizesAWriteWhoseAnswerWasLost)
{
    coordinator_lease lease = lease_of("a", 1);
    lease.on_read(std::nullopt, 0, at_ms(0));
    const auto write = lease.next_write(at_ms(0));
    lease.on_write_failed(at_ms(900));
    EXPECT_TRUE(lease.needs_read());
    EXPECT_FALSE(lease.next_write(at_ms(1'000)).has_value());
    lease.on_read(write->record, 4, at_ms(1'100));
    EXPECT_TRUE(lease.holds(at_ms(1'100)));
    EXPECT_FALSE(lease.holds(at_ms(8'000)));
}

// Guards against two coordinators after another process took over the lease.
TEST(CoordinatorLease, IsLostToAnotherHolder)
{
    coordinator_lease lease = lease_of("a", 1);
    lease.on_read(std::nullopt, 0, at_ms(0));
    lease.next_write(at_ms(0));
    lease.on_written(4, at_ms(5));
    lease.on_read(record_of("b", 2), 5, at_ms(100));
    EXPECT_FALSE(lease.holds(at_ms(100)));
}

// Guards against a restarted coordinator that waits for its own old lease to
// end.
TEST(CoordinatorLease, IsTakenAtOnceFromAnEarlierRunOfTheProcess)
{
    coordinator_lease lease = lease_of("a", 2);
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    EXPECT_TRUE(lease.next_write(at_ms(0)).has_value());
    EXPECT_EQ(lease.earlier_leases_end(), at_ms(0));
}

// Guards against two owners of a key: a silent holder may send grants until its
// lease ends.
TEST(CoordinatorLease, WaitsForTheLeaseOfASilentHolder)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_read(record_of("a", 1), 4, at_ms(0));
    const auto write = lease.next_write(at_ms(2'000));
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(lease.earlier_leases_end(), at_ms(10'000));
    EXPECT_EQ(write->record.earlier_grants_left, milliseconds(8'000));
}

// Guards against two owners of a key: a coordinator that does not know that it
// was replaced continues to grant, even when its successor resigns or restarts.
TEST(CoordinatorLease, ConsidersTheHolderBeforeTheOneThatResigned)
{
    coordinator_lease second = lease_of("b", 2);
    second.on_read(record_of("a", 1), 4, at_ms(0));
    second.next_write(at_ms(2'000));
    second.on_written(5, at_ms(2'005));
    const auto renewal = second.next_write(at_ms(3'000));
    ASSERT_TRUE(renewal.has_value());
    EXPECT_EQ(renewal->record.earlier_grants_left, milliseconds(7'000));
    second.on_written(6, at_ms(3'005));
    const auto left = second.leave();
    ASSERT_TRUE(left.has_value());

    coordinator_lease third = lease_of("c", 3);
    third.on_read(left->record, 7, at_ms(3'100));
    ASSERT_TRUE(third.next_write(at_ms(3'100)).has_value());
    EXPECT_GE(third.earlier_leases_end(), at_ms(10'000));

    coordinator_lease restarted = lease_of("b", 4);
    restarted.on_read(renewal->record, 6, at_ms(3'100));
    ASSERT_TRUE(restarted.next_write(at_ms(3'100)).has_value());
    EXPECT_GE(restarted.earlier_leases_end(), at_ms(10'000));
}

// Guards against keys that stay unavailable until the lease of a replaced
// coordinator ends, although it has confirmed that it stopped.
TEST(CoordinatorLease, EndsAtOnceWhenThePredecessorStopped)
{
    coordinator_lease lease = lease_of("b", 2);
    lease_record other = record_of("a", 1);
    lease.on_read(other, 4, at_ms(0));
    lease.next_write(at_ms(2'000));
    lease.on_written(5, at_ms(2'005));
    ASSERT_TRUE(lease.predecessor().has_value());
    lease.on_predecessor_stopped(at_ms(2'020));
    EXPECT_EQ(lease.earlier_leases_end(), at_ms(2'020));

    // The leases of the coordinators before it are not shortened.
    coordinator_lease third = lease_of("c", 3);
    other.earlier_grants_left = milliseconds(5'000);
    third.on_read(other, 4, at_ms(0));
    third.next_write(at_ms(2'000));
    third.on_written(5, at_ms(2'005));
    third.on_predecessor_stopped(at_ms(2'020));
    EXPECT_EQ(third.earlier_leases_end(), at_ms(5'000));
}

// Guards against keys that wait for a lease that the predecessor knows to be
// over: it was replaced before it could write that to the lease object.
TEST(CoordinatorLease, UsesWhatThePredecessorKnowsOfEarlierLeases)
{
    coordinator_lease lease = lease_of("b", 2);
    lease_record other = record_of("a", 1);
    other.earlier_grants_left = milliseconds(8'000);
    lease.on_read(other, 4, at_ms(0));
    lease.next_write(at_ms(2'000));
    lease.on_written(5, at_ms(2'005));
    lease.on_predecessor_stopped(at_ms(2'020), at_ms(1'900));
    EXPECT_EQ(lease.earlier_leases_end(), at_ms(2'020));
}

// Guards against a holder that resumes granting after it has confirmed that it
// stopped, because the answer to an earlier renewal arrives late.
TEST(CoordinatorLease, IsNotResumedAfterATakeover)
{
    coordinator_lease lease = lease_of("a", 1);
    lease.on_read(std::nullopt, 0, at_ms(0));
    lease.next_write(at_ms(0));
    lease.on_written(4, at_ms(5));
    const auto renewal = lease.next_write(at_ms(600));
    ASSERT_TRUE(renewal.has_value());
    lease.on_superseded(2);
    EXPECT_FALSE(lease.holds(at_ms(700)));
    lease.on_written(5, at_ms(800));
    EXPECT_FALSE(lease.holds(at_ms(800)));
    lease.on_read(renewal->record, 5, at_ms(900));
    EXPECT_FALSE(lease.holds(at_ms(900)));
}

// Guards against two coordinators: news of other instances may be older than
// what this process has read, or than its write without an answer.
TEST(CoordinatorLease, UsesOnlyNewerNewsOfOtherInstances)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_told(record_of("a", 1), 7, at_ms(0));
    ASSERT_TRUE(lease.record());
    EXPECT_EQ(lease.record()->holder.value(), "a");
    // Only a read of the store shows that the lease may be taken.
    EXPECT_FALSE(lease.next_write(at_ms(60'000)));
    lease.on_told(record_of("c", 3), 6, at_ms(10));
    EXPECT_EQ(lease.record()->holder.value(), "a");
    lease.on_read(record_of("a", 1), 8, at_ms(20));
    ASSERT_TRUE(lease.next_write(at_ms(60'000)));
    lease.on_told(record_of("c", 3), 9, at_ms(60'010));
    EXPECT_EQ(lease.record()->holder.value(), "a");
    lease.on_written(10, at_ms(60'020));
    ASSERT_TRUE(lease.holds(at_ms(60'030)));
    lease.on_told(record_of("c", 3), 11, at_ms(60'040));
    EXPECT_TRUE(lease.holds(at_ms(60'050)));
}

// Guards against an outdated read that replaces a newer record.
TEST(CoordinatorLease, IgnoresAnOlderRevision)
{
    coordinator_lease lease = lease_of("b", 2);
    lease.on_read(record_of("c", 3), 9, at_ms(0));
    lease.on_read(record_of("a", 1), 4, at_ms(10));
    EXPECT_EQ(lease.record()->holder.value(), "c");
}

// Guards against a field that is lost or changed when the record is stored.
TEST(LeaseRecord, SurvivesARoundTripThroughText)
{
    lease_record record = record_of("a", 17);
    record.term = 3;
    record.renewal = 5;
    record.earlier_grants_left = milliseconds(1'700);
    EXPECT_EQ(lease_record::from_text(record.text()), record);
}

} // namespace
} // namespace filberthub
