#include "routing/routing_builders.hpp"

#include <gmock/gmock.h>

#include <filberthub/routing/key_coordinator.hpp>

namespace filberthub {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

// A table in which all keys move from a to b.
key_table moved_table(std::uint64_t token = 2)
{
    key_range range = range_of(0, key_count - 1, "b", token);
    range.previous.push_back({{backend_server_id("a"), 1}, fencing_token(1)});
    return table_of({range});
}

class KeyGranter : public testing::Test
{
protected:
    KeyGranter()
    {
        granter_.adopt(
            table_of({range_of(0, key_count - 1, "a", 1)}), at_ms(0));
    }

    grant_command only_command(std::int64_t ms)
    {
        const auto commands = granter_.due(at_ms(ms));
        EXPECT_THAT(commands, SizeIs(1));
        return commands.at(0);
    }

    void grant_first()
    {
        const grant_command command = only_command(0);
        granter_.on_reply(command.number, grant_reply::accepted, {}, at_ms(2));
    }

    // Adopts the table with new tokens for the ranges that need one, as the
    // coordinator does.
    void refresh_tokens(key_table& table, std::int64_t ms)
    {
        const auto outdated = granter_.outdated();
        for (key_range& range : table.ranges) {
            const auto found = outdated.find(range.token);
            if (found == outdated.end())
                continue;
            range.owner = found->second;
            range.token = table.next_token;
            table.next_token = table.next_token.next();
        }
        if (!outdated.empty())
            granter_.adopt(table, at_ms(ms));
    }

    key_granter granter_{key_granter_options{}};
};

// Guards against keys that become unavailable because their grant is not
// renewed.
TEST_F(KeyGranter, RenewsAGrantBeforeItEnds)
{
    grant_first();
    EXPECT_THAT(granter_.due(at_ms(500)), IsEmpty());
    EXPECT_FALSE(only_command(750).release);
}

// Guards against keys of a divided range that have no owner for seconds,
// because the releases for its receivers wait for each other.
TEST_F(KeyGranter, ReleasesTheNeighboringPartsOfARangeTogether)
{
    grant_first();
    key_table divided = table_of({range_of(0, 99, "a", 2)});
    for (key_number part = 1; part <= 60; ++part) {
        const key_number last = part < 60 ? part * 100 + 99 : key_count - 1;
        key_range range =
            range_of(part * 100, last, "b" + std::to_string(part), part + 2);
        range.previous.push_back(
            {{backend_server_id("a"), 1}, fencing_token(1)});
        divided.ranges.push_back(range);
    }
    granter_.adopt(divided, at_ms(100));
    std::vector<grant_command> releases;
    for (const grant_command& command : granter_.due(at_ms(100))) {
        if (command.release)
            releases.push_back(command);
    }
    ASSERT_THAT(releases, SizeIs(1));
    EXPECT_EQ(releases.at(0).first, 100U);
    EXPECT_EQ(releases.at(0).last, key_count - 1);
    EXPECT_THAT(granter_.due(at_ms(110)), IsEmpty());
    granter_.on_reply(releases.at(0).number, grant_reply::accepted,
        key_handover("warm"), at_ms(200));
    const auto grants = granter_.due(at_ms(200));
    ASSERT_THAT(grants, SizeIs(60));
    for (const grant_command& grant : grants) {
        EXPECT_FALSE(grant.release);
        EXPECT_EQ(grant.handover.value(), "warm");
    }
}

// Guards against a takeover that makes all keys unavailable until each of them
// is granted anew.
TEST_F(KeyGranter, LeavesKeysOfAnEarlierCoordinatorWithTheirOwners)
{
    key_range moving = range_of(100, 199, "b", 2);
    moving.previous.push_back({{backend_server_id("a"), 1}, fencing_token(1)});
    granter_.take_over(
        table_of({range_of(0, 99, "a", 1), moving}), at_ms(9'000), at_ms(0));
    ASSERT_THAT(granter_.granted(), SizeIs(1));
    EXPECT_EQ(granter_.granted().at(0).last, 99U);
    EXPECT_FALSE(granter_.is_granted(fencing_token(1)));

    // The grant changes nothing for callers, so that nothing is published.
    const std::uint64_t version = granter_.granted_version();
    for (const grant_command& command : granter_.due(at_ms(0))) {
        if (!command.release)
            granter_.on_reply(
                command.number, grant_reply::accepted, {}, at_ms(10));
    }
    EXPECT_TRUE(granter_.is_granted(fencing_token(1)));
    EXPECT_EQ(granter_.granted_version(), version);
}

// Guards against a server that loses its keys because it was silent for a
// moment in which commands for several of its ranges were under way.
TEST_F(KeyGranter, CountsUnansweredCommandsOfTheSameTimeOnce)
{
    key_table table = table_of({range_of(0, 99, "a", 2),
        range_of(100, 199, "a", 3), range_of(200, 299, "a", 4)});
    granter_.adopt(table, at_ms(0));
    const server_incarnation server{backend_server_id("a"), 1};
    unsigned rounds = 0;
    for (std::int64_t ms = 0; ms < 2'000; ms += 50) {
        if (ms % 250 == 0)
            refresh_tokens(table, ms);
        const auto commands = granter_.due(at_ms(ms));
        for (const grant_command& command : commands)
            granter_.on_reply(
                command.number, grant_reply::unclear, {}, at_ms(ms));
        if (commands.empty())
            continue;
        ++rounds;
        EXPECT_EQ(granter_.unanswered(server), rounds) << "at " << ms << " ms";
    }
    EXPECT_GE(rounds, 3U);
}

// Guards against a server that stays without keys because nothing is sent to it
// that it could answer.
TEST_F(KeyGranter, ProbesASilentServerUntilItAnswers)
{
    const server_incarnation server{backend_server_id("a"), 1};
    key_table table = table_of({range_of(0, key_count - 1, "a", 1)});
    for (std::int64_t ms = 0; ms < 750; ms += 250) {
        refresh_tokens(table, ms);
        EXPECT_FALSE(granter_.probe(server, at_ms(ms)));
        for (const grant_command& command : granter_.due(at_ms(ms)))
            granter_.on_reply(
                command.number, grant_reply::unclear, {}, at_ms(ms));
    }
    ASSERT_TRUE(granter_.silent(server));
    // It may still hold keys, and the releases for them need an answer.
    granter_.adopt(moved_table(200), at_ms(1'000));
    EXPECT_FALSE(granter_.probe(server, at_ms(1'000)));
    const std::int64_t released = 5'000;
    granter_.due(at_ms(released));
    std::vector<std::int64_t> probed;
    for (std::int64_t ms = released; ms < 15'000; ms += 50) {
        const auto command = granter_.probe(server, at_ms(ms));
        if (!command)
            continue;
        EXPECT_TRUE(command->release);
        EXPECT_LT(command->token, fencing_token(200));
        EXPECT_FALSE(granter_.probe(server, at_ms(ms)));
        granter_.on_reply(command->number, grant_reply::unclear, {}, at_ms(ms));
        if (!probed.empty()) {
            EXPECT_LE(ms - probed.back(), 2'000);
        }
        probed.push_back(ms);
    }
    EXPECT_EQ(probed.at(0), released);
    EXPECT_THAT(probed, SizeIs(8));
    EXPECT_TRUE(granter_.silent(server));
    const auto last = granter_.probe(server, at_ms(17'000));
    ASSERT_TRUE(last);
    granter_.on_reply(last->number, grant_reply::accepted, {}, at_ms(17'010));
    EXPECT_FALSE(granter_.silent(server));
    EXPECT_FALSE(granter_.probe(server, at_ms(20'000)));
}

// Guards against an owner that gets no keys again after its silence, if no
// other server can take them.
TEST_F(KeyGranter, ProbesASilentOwnerBeforeItGetsGrantsAgain)
{
    const server_incarnation server{backend_server_id("a"), 1};
    key_table table = table_of({range_of(0, key_count - 1, "a", 1)});
    std::int64_t ms = 0;
    for (; ms < 750; ms += 250) {
        refresh_tokens(table, ms);
        for (const grant_command& command : granter_.due(at_ms(ms)))
            granter_.on_reply(
                command.number, grant_reply::unclear, {}, at_ms(ms));
    }
    ASSERT_TRUE(granter_.silent(server));
    for (; ms < 9'000; ms += 250) {
        EXPECT_THAT(granter_.outdated(), IsEmpty());
        EXPECT_THAT(granter_.due(at_ms(ms)), IsEmpty());
        const auto command = granter_.probe(server, at_ms(ms));
        ASSERT_TRUE(command) << "at " << ms << " ms";
        granter_.on_reply(command->number, grant_reply::unclear, {}, at_ms(ms));
    }
    const auto command = granter_.probe(server, at_ms(ms));
    ASSERT_TRUE(command);
    granter_.on_reply(command->number, grant_reply::accepted, {}, at_ms(ms));
    EXPECT_THAT(granter_.outdated(), SizeIs(1));
    refresh_tokens(table, ms);
    EXPECT_FALSE(only_command(ms).release);
}

// Guards against a later incarnation of a server that gets keys with the token
// of the one before. It lost power, so that no connection was reset, and the
// grant that it did not answer was sent again.
TEST_F(KeyGranter, SendsNoTokenAgainAfterAGrantWithoutAnAnswer)
{
    for (const grant_reply reply :
        {grant_reply::unclear, grant_reply::delayed}) {
        granter_.adopt(
            table_of({range_of(0, key_count - 1, "a", 1)}), at_ms(0));
        key_table table = table_of({range_of(0, key_count - 1, "a", 7)});
        granter_.adopt(table, at_ms(0));
        const grant_command first = only_command(0);
        granter_.on_reply(first.number, grant_reply::accepted, {}, at_ms(2));
        const grant_command renewal = only_command(750);
        granter_.on_reply(renewal.number, reply, {}, at_ms(1'150));
        EXPECT_THAT(granter_.due(at_ms(1'400)), IsEmpty());
        // Its callers are served until the grant has ended.
        EXPECT_THAT(granter_.granted(), SizeIs(1));
        refresh_tokens(table, 1'400);
        const grant_command next = only_command(1'400);
        EXPECT_FALSE(next.release);
        EXPECT_GT(next.token, renewal.token);
        granter_.on_reply(next.number, grant_reply::accepted, {}, at_ms(1'402));
    }
}

// Guards against a server that gets keys although another process was found at
// its address, and against one that never gets any because its entry had the
// wrong address for a while.
TEST_F(KeyGranter, ProbesAServerThatWasFoundToHaveEnded)
{
    const server_incarnation server{backend_server_id("a"), 1};
    granter_.adopt(table_of({range_of(0, key_count - 1, "b", 2)}), at_ms(10));
    granter_.on_incarnation_ended(server, at_ms(10));
    EXPECT_TRUE(granter_.silent(server));
    const auto probe = granter_.probe(server, at_ms(20));
    ASSERT_TRUE(probe);
    granter_.on_reply(probe->number, grant_reply::accepted, {}, at_ms(30));
    EXPECT_FALSE(granter_.silent(server));
}

// Guards against records of servers that are gone, which would be kept for as
// long as the coordinator runs.
TEST_F(KeyGranter, ForgetsASilentServerThatIsNotProbed)
{
    const server_incarnation server{backend_server_id("a"), 1};
    granter_.on_incarnation_ended(server, at_ms(0));
    granter_.due(at_ms(59'000));
    EXPECT_TRUE(granter_.silent(server));
    granter_.due(at_ms(60'000));
    EXPECT_FALSE(granter_.silent(server));
}

// Guards against servers that lose their keys because the coordinator was too
// busy to read their answers.
TEST_F(KeyGranter, DoesNotBlameAServerForTheDelayOfTheCoordinator)
{
    const grant_command late = only_command(0);
    granter_.on_reply(late.number, grant_reply::delayed, {}, at_ms(2'000));
    EXPECT_EQ(granter_.unanswered({backend_server_id("a"), 1}), 0U);
    // The grant may have taken effect all the same.
    granter_.adopt(moved_table(), at_ms(2'010));
    for (std::int64_t ms = 2'010; ms < 5'000; ms += 300) {
        for (const grant_command& command : granter_.due(at_ms(ms)))
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
    }
}

// Guards against keys without an owner whose cause the logs do not tell.
TEST_F(KeyGranter, TellsWhyKeysAreNotGranted)
{
    EXPECT_EQ(granter_.coverage(at_ms(0)).awaiting_grant, key_count);
    grant_first();
    EXPECT_EQ(granter_.coverage(at_ms(9)).served, key_count);
    EXPECT_TRUE(granter_.coverage(at_ms(9)).complete());

    granter_.adopt(moved_table(), at_ms(10));
    EXPECT_EQ(granter_.coverage(at_ms(10)).awaiting_release, key_count);
    const grant_command release = only_command(10);
    EXPECT_EQ(granter_.coverage(at_ms(10)).open_commands, 1U);
    granter_.on_reply(release.number, grant_reply::accepted, {}, at_ms(20));
    const grant_command grant = only_command(20);
    granter_.on_reply(grant.number, grant_reply::outdated, {}, at_ms(30));
    EXPECT_EQ(granter_.coverage(at_ms(30)).awaiting_token, key_count);
    EXPECT_FALSE(granter_.coverage(at_ms(30)).complete());
}

// Guards against grants that are never renewed because the commands for other
// ranges go first.
TEST_F(KeyGranter, SendsTheCommandsOfAllRangesInTurn)
{
    std::vector<key_range> ranges;
    for (key_number first = 0; first < 10; ++first)
        ranges.push_back(range_of(first, first, "a", first + 2));
    granter_.take_over(table_of(ranges), at_ms(0), at_ms(0));
    std::map<std::uint64_t, int> sent;
    for (std::int64_t ms = 0; ms < 10; ++ms) {
        const auto commands = granter_.due(at_ms(ms), 3);
        EXPECT_LE(commands.size(), 3U);
        for (const grant_command& command : commands) {
            ++sent[command.token.value()];
            // Due again at once.
            granter_.on_reply(
                command.number, grant_reply::unsent, {}, at_ms(ms - 1'000));
        }
    }
    EXPECT_THAT(sent, SizeIs(10));
    for (const auto& [token, count] : sent)
        EXPECT_EQ(count, 3) << token;
}

// Guards against keys that the logs count as served although their servers
// refuse all requests, because no coordinator has renewed the grants.
TEST_F(KeyGranter, TellsKeysWhoseGrantMayHaveEnded)
{
    const key_table table = table_of({range_of(0, key_count - 1, "a", 1)});
    granter_.take_over(table, at_ms(9'000), at_ms(0));
    EXPECT_EQ(granter_.coverage(at_ms(0)).unconfirmed, key_count);
    EXPECT_FALSE(granter_.coverage(at_ms(0)).complete());
    grant_first();
    const auto duration = key_granter_options{}.grant_duration.count();
    EXPECT_EQ(granter_.coverage(at_ms(duration - 1)).served, key_count);
    EXPECT_EQ(granter_.coverage(at_ms(duration)).lapsed, key_count);
    EXPECT_FALSE(granter_.coverage(at_ms(duration)).complete());
}

// Guards against a server that restarted under its id and gets its keys with
// the token of its earlier incarnation.
TEST_F(KeyGranter, NeedsANewTokenAfterALostConnection)
{
    grant_first();
    EXPECT_TRUE(granter_.on_connection_lost(backend_server_id("a")));
    EXPECT_THAT(granter_.due(at_ms(750)), IsEmpty());
    EXPECT_THAT(granter_.outdated(), SizeIs(1));

    granter_.adopt(table_of({range_of(0, key_count - 1, "a", 2)}), at_ms(800));
    const grant_command grant = only_command(800);
    EXPECT_EQ(grant.token, fencing_token(2));
    EXPECT_FALSE(granter_.on_connection_lost(backend_server_id("b")));
}

// Guards against two owners: the new owner must not be granted keys that the
// old one has not released.
TEST_F(KeyGranter, GrantsAMovedKeyOnlyAfterItsRelease)
{
    grant_first();
    granter_.adopt(moved_table(), at_ms(10));
    const grant_command release = only_command(10);
    EXPECT_TRUE(release.release);
    EXPECT_EQ(release.server.id.value(), "a");
    EXPECT_THAT(granter_.due(at_ms(60)), IsEmpty());

    granter_.on_reply(
        release.number, grant_reply::accepted, key_handover("h1"), at_ms(80));
    const grant_command grant = only_command(80);
    EXPECT_FALSE(grant.release);
    EXPECT_EQ(grant.server.id.value(), "b");
    EXPECT_EQ(grant.handover.value(), "h1");
}

// Guards against two owners: a grant that was not answered may take effect
// after the release and then lasts for its whole duration.
TEST_F(KeyGranter, WaitsOutAnUnansweredGrantAfterARelease)
{
    const grant_command lost = only_command(0);
    granter_.on_reply(lost.number, grant_reply::unclear, {}, at_ms(400));
    granter_.adopt(moved_table(), at_ms(410));
    const grant_command release = only_command(410);
    granter_.on_reply(release.number, grant_reply::accepted, {}, at_ms(420));
    // 3,000 ms, 2% of clock drift and the delivery time after the coordinator
    // gave up on it, since it may have waited for a connection until then.
    EXPECT_THAT(granter_.due(at_ms(3'600)), IsEmpty());
    EXPECT_FALSE(only_command(3'610).release);
}

// Guards against two owners: a command that waits for a connection may arrive
// later than the delivery time after its creation, and the grant lasts from its
// arrival.
TEST_F(KeyGranter, CountsAGrantFromItsLatestPossibleArrival)
{
    const grant_command slow = only_command(0);
    granter_.on_reply(slow.number, grant_reply::accepted, {}, at_ms(390));
    granter_.adopt(moved_table(), at_ms(400));
    for (std::int64_t ms = 400; ms < 3'450; ms += 50) {
        for (const grant_command& command : granter_.due(at_ms(ms))) {
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
            granter_.on_reply(
                command.number, grant_reply::unsent, {}, at_ms(ms));
        }
    }
}

// Guards against the same while keys move: the command was in flight when the
// table changed.
TEST_F(KeyGranter, CountsAGrantInFlightDuringAMoveFromItsAnswer)
{
    grant_first();
    const grant_command renewal = only_command(750);
    granter_.adopt(moved_table(), at_ms(760));
    granter_.on_reply(renewal.number, grant_reply::accepted, {}, at_ms(1'140));
    for (std::int64_t ms = 1'140; ms < 4'200; ms += 50) {
        for (const grant_command& command : granter_.due(at_ms(ms))) {
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
            granter_.on_reply(
                command.number, grant_reply::unsent, {}, at_ms(ms));
        }
    }
}

// Guards against two owners: a renewal in flight may arrive after the release.
TEST_F(KeyGranter, WaitsForARenewalInFlightBeforeTheRelease)
{
    grant_first();
    const grant_command renewal = only_command(750);
    granter_.adopt(moved_table(), at_ms(751));
    EXPECT_THAT(granter_.due(at_ms(751)), IsEmpty());
    granter_.on_reply(renewal.number, grant_reply::accepted, {}, at_ms(753));
    EXPECT_TRUE(only_command(753).release);
}

// Guards against keys that never move because a lost server does not release
// them.
TEST_F(KeyGranter, MovesKeysOfASilentServerWhenItsGrantHasEnded)
{
    grant_first();
    granter_.adopt(moved_table(), at_ms(10));
    for (std::int64_t ms = 10; ms < 3'200; ms += 100) {
        for (const grant_command& command : granter_.due(at_ms(ms))) {
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
            granter_.on_reply(
                command.number, grant_reply::unclear, {}, at_ms(ms + 50));
        }
    }
    bool granted = false;
    for (const grant_command& command : granter_.due(at_ms(3'300)))
        granted = granted || !command.release;
    EXPECT_TRUE(granted);
}

// Guards against keys of a crashed server that stay unavailable because each
// command that could not be sent extends its grant.
TEST_F(KeyGranter, DoesNotExtendAGrantByACommandThatWasNotSent)
{
    grant_first();
    for (std::int64_t ms = 750; ms < 3'000; ms += 250) {
        for (const grant_command& command : granter_.due(at_ms(ms)))
            granter_.on_reply(
                command.number, grant_reply::unsent, {}, at_ms(ms));
    }
    granter_.adopt(moved_table(), at_ms(3'000));
    for (const grant_command& command : granter_.due(at_ms(3'000)))
        granter_.on_reply(
            command.number, grant_reply::unsent, {}, at_ms(3'000));
    EXPECT_FALSE(only_command(3'212).release);
}

// Guards against keys that wait for the release of a server that has restarted.
TEST_F(KeyGranter, GrantsAtOnceWhenTheOldIncarnationHasEnded)
{
    grant_first();
    granter_.adopt(moved_table(), at_ms(10));
    granter_.on_incarnation_ended({backend_server_id("a"), 1}, at_ms(10));
    EXPECT_FALSE(only_command(10).release);
}

// Guards against two owners: the grants sent between the restart of a server
// and the change of its entry may have reached the new incarnation.
TEST_F(KeyGranter, ReleasesTheKeysOfARestartedServer)
{
    grant_first();
    granter_.on_connection_lost(backend_server_id("a"));
    granter_.adopt(table_of({range_of(0, key_count - 1, "a", 2)}), at_ms(800));
    const grant_command grant = only_command(800);
    granter_.on_reply(grant.number, grant_reply::accepted, {}, at_ms(802));
    granter_.on_server_restarted(
        {backend_server_id("a"), 1}, {backend_server_id("a"), 2});

    granter_.adopt(moved_table(3), at_ms(810));
    const grant_command release = only_command(810);
    EXPECT_TRUE(release.release);
    EXPECT_EQ(release.server.id.value(), "a");
    EXPECT_THAT(granter_.due(at_ms(820)), IsEmpty());
    granter_.on_reply(release.number, grant_reply::accepted, {}, at_ms(830));
    EXPECT_FALSE(only_command(830).release);
}

// Guards against the same while keys move: the server restarts after its keys
// were planned to move.
TEST_F(KeyGranter, ReleasesTheKeysOfAPreviousOwnerThatRestarted)
{
    grant_first();
    granter_.adopt(moved_table(), at_ms(10));
    granter_.on_server_restarted(
        {backend_server_id("a"), 1}, {backend_server_id("a"), 2});
    const grant_command release = only_command(10);
    EXPECT_TRUE(release.release);
    granter_.on_reply(release.number, grant_reply::unclear, {}, at_ms(100));
    for (std::int64_t ms = 100; ms < 3'200; ms += 300) {
        for (const grant_command& command : granter_.due(at_ms(ms)))
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
    }
}

// Guards against keys that become unavailable: a restarted server gets its keys
// again without a wait for the end of its earlier grants.
TEST_F(KeyGranter, GrantsKeysToTheNewIncarnationAtOnce)
{
    grant_first();
    granter_.on_server_restarted(
        {backend_server_id("a"), 1}, {backend_server_id("a"), 2});
    const auto outdated = granter_.outdated();
    ASSERT_THAT(outdated, SizeIs(1));
    EXPECT_EQ(outdated.begin()->second.started, 2U);

    key_range range = range_of(0, key_count - 1, "a", 2);
    range.owner.started = 2;
    granter_.adopt(table_of({range}), at_ms(10));
    EXPECT_EQ(only_command(10).token, fencing_token(2));
}

// Guards against two owners: a new coordinator does not know the grants of its
// predecessor.
TEST(KeyCoordinatorTakeover, WaitsForTheGrantsOfThePredecessor)
{
    key_granter granter{key_granter_options{}};
    granter.take_over(moved_table(), at_ms(12'000), at_ms(0));
    const auto release = granter.due(at_ms(0));
    ASSERT_THAT(release, SizeIs(1));
    EXPECT_TRUE(release[0].release);
    granter.on_reply(release[0].number, grant_reply::accepted, {}, at_ms(5));
    EXPECT_THAT(granter.due(at_ms(11'900)), IsEmpty());
    EXPECT_THAT(granter.due(at_ms(12'000)), SizeIs(1));
}

// Guards against keys of a lost server that stay unavailable until the lease of
// a coordinator ends, although it has stopped.
TEST(KeyCoordinatorTakeover, WaitsLessForAPredecessorThatStopped)
{
    key_granter granter{key_granter_options{}};
    granter.take_over(moved_table(), at_ms(12'000), at_ms(0));
    for (const grant_command& command : granter.due(at_ms(0)))
        granter.on_reply(command.number, grant_reply::unsent, {}, at_ms(1));
    granter.shorten_earlier_grants(at_ms(3'300));
    for (std::int64_t ms = 300; ms < 3'300; ms += 300) {
        for (const grant_command& command : granter.due(at_ms(ms))) {
            EXPECT_TRUE(command.release) << "at " << ms << " ms";
            granter.on_reply(
                command.number, grant_reply::unsent, {}, at_ms(ms));
        }
    }
    const auto commands = granter.due(at_ms(3'300));
    ASSERT_THAT(commands, SizeIs(1));
    EXPECT_FALSE(commands[0].release);
}

// Guards against two owners: without higher tokens, servers would still accept
// commands of the earlier coordinator.
TEST(KeyCoordinatorTakeover, WritesHigherTokensBeforeItGrants)
{
    key_coordinator keys{key_granter_options{}, key_plan_options{}};
    keys.start(
        table_of({range_of(0, key_count - 1, "a", 7)}), 5, at_ms(0), at_ms(0));
    const auto write =
        keys.plan({{{backend_server_id("a"), 1}, 1, true}}, at_ms(0));
    ASSERT_TRUE(write.has_value());
    EXPECT_EQ(write->base_revision, 5U);
    EXPECT_THAT(keys.granter().due(at_ms(0)), IsEmpty());
    keys.on_written(6, at_ms(5));
    const auto commands = keys.granter().due(at_ms(5));
    ASSERT_THAT(commands, SizeIs(1));
    EXPECT_EQ(commands[0].token.value(), 100U);
}

// Guards against a coordinator that never grants a key: its predecessor's write
// was carried out after it had read the table, so that its own conflicts.
TEST(KeyCoordinatorTakeover, StartsFromATableThatWasWrittenLate)
{
    const std::vector<key_server> servers{
        {{backend_server_id("a"), 1}, 1, true}};
    key_coordinator keys{key_granter_options{}, key_plan_options{}};
    const key_table read = table_of({range_of(0, key_count - 1, "a", 7)});
    keys.start(read, 5, at_ms(0), at_ms(0));
    ASSERT_TRUE(keys.plan(servers, at_ms(0)));
    // The write had no answer and is not carried out yet.
    EXPECT_FALSE(keys.on_read_back(read, 5, at_ms(900)));

    const auto conflicting = keys.plan(servers, at_ms(1'000));
    ASSERT_TRUE(conflicting);
    EXPECT_EQ(conflicting->base_revision, 5U);
    key_table late = moved_table(100);
    late.next_token = fencing_token(101);
    EXPECT_FALSE(keys.on_read_back(late, 6, at_ms(1'010)));

    const auto write = keys.plan(servers, at_ms(2'000));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base_revision, 6U);
    keys.on_written(7, at_ms(2'010));
    EXPECT_GT(keys.table().ranges.at(0).token, fencing_token(100));
    EXPECT_FALSE(keys.granter().due(at_ms(2'010)).empty());
}

} // namespace
} // namespace filberthub
