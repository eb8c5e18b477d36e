#include "routing/routing_builders.hpp"

#include <filberthub/routing/coordinator_lease.hpp>
#include <filberthub/routing/key_coordinator.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

std::uint64_t in_epoch(std::uint64_t epoch, std::uint64_t revision)
{
    return combined_revision(store_epoch(epoch), revision);
}

lease_record record_of(const std::string& holder, std::uint64_t run_id)
{
    lease_record record;
    record.holder = instance_id(holder);
    record.address = {"10.0.0.1", 7'000};
    record.run_id = run_id;
    return record;
}

// A lease that is held and renewed in epoch 1 up to 6 s.
coordinator_lease held_lease()
{
    coordinator_lease lease(record_of("a", 1), lease_options{});
    lease.on_first_start(at_ms(0));
    lease.on_read(std::nullopt, in_epoch(1, 0), at_ms(0));
    std::uint64_t revision = 10;
    for (std::int64_t ms = 0; ms <= 6'000; ms += 600) {
        EXPECT_TRUE(lease.next_write(at_ms(ms)));
        lease.on_written(in_epoch(1, ++revision), at_ms(ms));
    }
    return lease;
}

TEST(CoordinatorLeaseEpoch, CountsTheLongestGrant)
{
    EXPECT_EQ(duration(lease_options{}.max_grant),
        key_granter_options{}.max_grant_duration());
}

// Guards against a coordinator that stops in each restore: it claims the lease
// although the copy shows a lower revision and an earlier holder.
TEST(CoordinatorLeaseEpoch, IsClaimedByItsHolder)
{
    coordinator_lease lease = held_lease();
    lease.on_epoch(store_epoch(2), at_ms(6'400));
    EXPECT_TRUE(lease.needs_read());
    lease_record copied = record_of("z", 9);
    copied.term = 1;
    lease.on_read(copied, in_epoch(2, 3), at_ms(6'450));
    EXPECT_TRUE(lease.holds(at_ms(6'450)));
    const auto write = lease.next_write(at_ms(6'450));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base_revision, in_epoch(2, 3));
    EXPECT_EQ(epoch_of_term(write->record.term), store_epoch(2));
    lease.on_written(in_epoch(2, 4), at_ms(6'460));
    EXPECT_TRUE(lease.holds(at_ms(14'000)));
    // Nobody else can have held it, so the table may be written at once.
    EXPECT_LE(lease.unseen_grants_end(), at_ms(6'400));
}

// Guards against two holders: one from the lost seconds, and one from the copy.
TEST(CoordinatorLeaseEpoch, IsNotResumedFromACopyThatNamesAnEarlierHolder)
{
    coordinator_lease lease = held_lease();
    lease_record other = record_of("b", 2);
    other.term = lease.record()->term + 1;
    const lease_record own = *lease.record();
    lease.on_read(other, in_epoch(1, 40), at_ms(7'000));
    lease.on_epoch(store_epoch(2), at_ms(8'000));
    lease.on_read(own, in_epoch(2, 20), at_ms(8'050));
    EXPECT_FALSE(lease.is_holder());
    const auto write = lease.next_write(at_ms(9'500));
    ASSERT_TRUE(write);
    EXPECT_GT(write->record.term, other.term);
    EXPECT_NE(write->record.run_id, own.run_id);
    lease.on_written(in_epoch(2, 21), at_ms(9'500));
    EXPECT_TRUE(lease.table_may_be_lost());
    EXPECT_GE(lease.earlier_leases_end(), at_ms(17'500));
    // The predecessor cannot speak for coordinators of the lost seconds.
    lease.on_predecessor_stopped(at_ms(9'600), at_ms(9'600));
    EXPECT_GE(lease.earlier_leases_end(), at_ms(17'500));
}

// Guards against a holder that moves keys, or grants for longer than its lost
// successor assumes, although that one may have taken the lease.
TEST(CoordinatorLeaseEpoch, LeavesTimeToACoordinatorOfTheLostSeconds)
{
    coordinator_lease lease = held_lease();
    // The last write is of 6,000 ms; the store has failed since.
    lease.on_epoch(store_epoch(2), at_ms(8'000));
    EXPECT_EQ(lease.unseen_grants_end(), at_ms(8'000 + 8'000 + 3'210));
    EXPECT_EQ(lease.granting_end(at_ms(8'000)), lease.end());
    lease = held_lease();
    lease.on_epoch(store_epoch(2), at_ms(10'000));
    lease.on_read(std::nullopt, in_epoch(2, 0), at_ms(10'000));
    const auto write = lease.next_write(at_ms(10'000));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.earlier_grants_left, milliseconds(8'000));
    lease.on_written(in_epoch(2, 4), at_ms(10'010));
    EXPECT_EQ(lease.granting_end(at_ms(13'000)), at_ms(14'000));
    EXPECT_EQ(lease.granting_end(at_ms(21'210)), lease.end());
}

// Guards against a write of the lost seconds that is carried out after the
// restore, at a revision that was issued again, and names its writer as holder.
TEST(CoordinatorLeaseEpoch, IsNotHeldByAWriteOfAnEarlierEpoch)
{
    coordinator_lease lease = held_lease();
    ASSERT_TRUE(lease.next_write(at_ms(6'600)));
    lease.on_write_failed(at_ms(7'500));
    lease.on_epoch(store_epoch(2), at_ms(14'500));
    lease_record late = *lease.record();
    ++late.renewal;
    lease.on_read(late, in_epoch(2, 22), at_ms(14'600));
    EXPECT_FALSE(lease.holds(at_ms(14'600)));
    EXPECT_FALSE(lease.is_holder());
}

// The same after the process has read that another one holds the lease: it has
// forgotten what it had granted.
TEST(CoordinatorLeaseEpoch, IsNotHeldByALateWriteOnceItIsLost)
{
    coordinator_lease lease = held_lease();
    lease_record late = *lease.record();
    ++late.renewal;
    lease.on_epoch(store_epoch(2), at_ms(6'300));
    lease_record other = record_of("b", 2);
    other.term = next_term(0, store_epoch(2));
    lease.on_read(other, in_epoch(2, 3), at_ms(6'350));
    EXPECT_FALSE(lease.is_holder());
    lease.on_read(late, in_epoch(2, 4), at_ms(6'500));
    EXPECT_FALSE(lease.is_holder());
    EXPECT_FALSE(lease.holds(at_ms(6'500)));
}

// Guards against two owners after a restore from a copy that is older than the
// first lease: a process that sees the store for the first time cannot know
// whether others have granted keys.
TEST(CoordinatorLeaseEpoch, AssumesCoordinatorsThatARestoreHasHidden)
{
    const auto take = [](std::optional<std::int64_t> first_start_ms,
                          std::uint64_t epoch) {
        coordinator_lease lease(record_of("a", 1), lease_options{});
        if (first_start_ms)
            lease.on_first_start(at_ms(*first_start_ms));
        lease.on_read(std::nullopt, in_epoch(epoch, 0), at_ms(1'000));
        EXPECT_TRUE(lease.next_write(at_ms(1'000)));
        lease.on_written(in_epoch(epoch, 4), at_ms(1'010));
        return lease;
    };
    // Restarted, and started with all others but late at the store.
    for (const auto first_start :
        {std::optional<std::int64_t>(), std::optional<std::int64_t>(400)}) {
        const coordinator_lease lease = take(first_start, 2);
        EXPECT_TRUE(lease.others_unseen());
        EXPECT_TRUE(lease.table_may_be_lost());
        EXPECT_EQ(lease.earlier_leases_end(), at_ms(9'000));
    }
    // A new deployment, of which nobody has granted keys, and a store that is
    // never restored. They must not wait.
    for (const coordinator_lease& lease :
        {take(401, 2), take(std::nullopt, 0)}) {
        EXPECT_FALSE(lease.others_unseen());
        EXPECT_FALSE(lease.table_may_be_lost());
    }
}

class KeyCoordinatorEpoch : public testing::Test
{
protected:
    KeyCoordinatorEpoch()
    {
        for (const char* id : {"a", "b"}) {
            key_server server;
            server.incarnation = {backend_server_id(id), 1};
            servers_.push_back(server);
        }
    }

    // Starts from the table of an epoch, whose grants may last until 11,210 ms.
    void start(std::uint64_t table_epoch, std::uint64_t epoch)
    {
        stored_ = plan_keys({}, {}, servers_, {}).value();
        stored_.next_token =
            fencing_token(first_token(store_epoch(table_epoch)).value() + 900);
        keys_.on_epoch(store_epoch(epoch), {}, true);
        keys_.start(stored_, in_epoch(epoch, 5), at_ms(11'210), at_ms(0));
    }

    key_table stored_;
    std::vector<key_server> servers_;
    key_coordinator keys_{key_granter_options{}, key_plan_options{}};
};

// Guards against two owners: the table of the copy names the owner before the
// last one, which may still hold the keys.
TEST_F(KeyCoordinatorEpoch, GrantsNothingByATableOfTheCopyBeforeOtherGrantsEnd)
{
    start(1, 2);
    EXPECT_FALSE(keys_.plan(servers_, at_ms(11'209)));
    const auto write = keys_.plan(servers_, at_ms(11'210));
    ASSERT_TRUE(write);
    // Guards against a token that is issued twice.
    for (const key_range& range : key_table::from_text(write->text).ranges)
        EXPECT_EQ(epoch_of_token(range.token), store_epoch(2));
    start(2, 2);
    EXPECT_TRUE(keys_.plan(servers_, at_ms(300)));
}

// Guards against moves, and tokens issued twice, by a coordinator that survives
// a restore.
TEST_F(KeyCoordinatorEpoch, WritesItsTableAgainInTheNewEpoch)
{
    start(1, 1);
    ASSERT_TRUE(keys_.plan(servers_, at_ms(100)));
    keys_.on_written(in_epoch(1, 6), at_ms(100));
    const auto ranges = keys_.table().ranges;
    keys_.on_epoch(store_epoch(2), at_ms(5'000), false);
    EXPECT_FALSE(keys_.plan(servers_, at_ms(4'999)));
    EXPECT_FALSE(keys_.on_read_back(stored_, in_epoch(2, 3), at_ms(5'000)));
    const auto write = keys_.plan(servers_, at_ms(5'000));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base_revision, in_epoch(2, 3));
    const key_table written = key_table::from_text(write->text);
    EXPECT_EQ(written.ranges, ranges);
    EXPECT_EQ(written.next_token, first_token(store_epoch(2)));
    keys_.on_written(in_epoch(2, 4), at_ms(5'010));
    EXPECT_FALSE(keys_.plan(servers_, at_ms(9'000)));
}

// Guards against a coordinator that can never write again after a write of the
// lost seconds was carried out late.
TEST_F(KeyCoordinatorEpoch, WritesOverALateTableOfAnEarlierEpoch)
{
    start(2, 2);
    ASSERT_TRUE(keys_.plan(servers_, at_ms(100)));
    keys_.on_written(in_epoch(2, 6), at_ms(100));
    key_table late = keys_.table();
    late.next_token = fencing_token(7);
    servers_.pop_back();
    ASSERT_TRUE(keys_.plan(servers_, at_ms(900)));
    EXPECT_FALSE(keys_.on_read_back(late, in_epoch(2, 8), at_ms(1'000)));
    const auto write = keys_.plan(servers_, at_ms(2'000));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base_revision, in_epoch(2, 8));
}

} // namespace
} // namespace filberthub
