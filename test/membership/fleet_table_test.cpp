#include <filberthub/membership/fleet_planner.hpp>

#include <filberthub/base/error.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>

namespace filberthub {
namespace {

using ::testing::HasSubstr;

listed_instance listed(int number, int domains = 3, std::uint64_t run = 1)
{
    return {{instance_id("entry-" + std::to_string(number)), incarnation(run)},
        {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)},
        failure_domain_id("domain-" + std::to_string(number % domains))};
}

fleet_input input_of(int instances, int servers)
{
    fleet_input input;
    for (int number = 0; number < instances; ++number)
        input.instances.push_back(listed(number));
    for (int number = 0; number < servers; ++number)
        input.servers.emplace_back("kartlas-" + std::to_string(number));
    return input;
}

void report_ready(fleet_input& input, const fleet_table& table)
{
    for (const fleet_member& member : table.members())
        input.statuses.push_back({member.key, true, member.changed, false});
}

fleet_table planned(const fleet_table& base, const fleet_input& input)
{
    return plan_fleet(base, input).value_or(base);
}

fleet_table steady(int instances, int servers)
{
    fleet_input input = input_of(instances, servers);
    const fleet_table joined = planned({}, input);
    report_ready(input, joined);
    return planned(joined, input);
}

std::string message_of(const std::function<void()>& action)
{
    try {
        action();
    } catch (const error& failure) {
        return failure.what();
    }
    return "no error";
}

// Guards against a field that is not written to JSON or not read from it.
TEST(FleetTable, SurvivesAJsonRoundTrip)
{
    fleet_input input = input_of(9, 20);
    fleet_table table = steady(9, 20);
    input.servers.resize(12);
    input.lapsed.insert(table.members()[2].key);
    table = planned(table, input);
    EXPECT_EQ(fleet_table_from_json(to_json(table)), table);
}

// Guards against an error message that does not identify the invalid place.
TEST(FleetTable, NamesThePathWhenAPlaceHasNoMember)
{
    EXPECT_EQ(message_of([] {
        fleet_table_from_json(
            R"({"version":1,"members":[],"servers":{"a":[[0,1]]}})");
    }),
        "field \"/servers/a/0/0\": 0 is not a member index, expected less "
        "than 0");
}

// Guards against a holder that never held its lease, whose lapse could not be
// proved.
TEST(FleetTable, RefusesHoldersThatAreNotReady)
{
    EXPECT_THAT(message_of([] {
        fleet_table_from_json(
            R"({"version":1,"members":[{"id":"a","run":1,"ip":"::1",)"
            R"("port":1,"domain":"d"}],"servers":{"s":[[0,1]]}})");
    }),
        HasSubstr("/servers/s\": \"a\" is not ready"));
}

// Guards against an even number of witnesses, which tolerates no more losses
// than the next smaller odd one.
TEST(WitnessCount, IsTheLargestOddNumberOfOtherInstances)
{
    const std::vector<std::size_t> expected = {0, 1, 1, 3, 3, 5, 5};
    for (std::size_t others = 0; others < expected.size(); ++others)
        EXPECT_EQ(witnesses_for(others), expected[others]) << others;
}

// Guards against a lease that lapses when one failure domain is lost.
TEST(FleetPlanner, PutsAtMostTwoWitnessesInOneDomain)
{
    const fleet_table table = steady(24, 34);
    for (const fleet_member& member : table.members()) {
        std::map<failure_domain_id, int> used;
        EXPECT_EQ(member.witnesses.size(), witness_count);
        for (const instance_id& witness : member.witnesses)
            EXPECT_LE(++used[table.find(witness)->domain], 2);
    }
}

// Guards against successors that are lost together with the holder when its
// failure domain is lost, and against holders with far more servers than
// others.
TEST(FleetPlanner, SpreadsServersEvenlyOverInstancesAndDomains)
{
    const fleet_table table = steady(24, 34);
    std::map<member_key, int> heads;
    for (const auto& [server, list] : table.servers()) {
        std::set<failure_domain_id> domains;
        ++heads[list.entries.at(0).member];
        for (const holder_entry& entry : list.entries)
            domains.insert(table.find(entry.member)->domain);
        EXPECT_EQ(domains.size(), 3U) << server;
    }
    for (const auto& [member, count] : heads)
        EXPECT_LE(count, 2) << member.instance;
}

// Guards against a stream of new versions without a change.
TEST(FleetPlanner, HasNoNewVersionWhenNothingChanged)
{
    EXPECT_EQ(plan_fleet(steady(9, 20), input_of(9, 20)), std::nullopt);
}

// Guards against two holders of a server that is removed and added again.
TEST(FleetPlanner, KeepsTheListOfARemovedServerUntilItsPlacesAreReleased)
{
    const fleet_table table = steady(9, 1);
    const backend_server_id server("kartlas-0");
    fleet_input input = input_of(9, 0);
    fleet_table next = planned(table, input);
    ASSERT_EQ(next.holders(server).size(), 3U);
    for (const holder_entry& entry : next.holders(server)) {
        EXPECT_EQ(places_to_release(next, entry.member).size(), 1U);
        input.releases.push_back(
            {entry.member, server, entry.since, next.version()});
    }
    EXPECT_TRUE(planned(next, input).servers().empty());
}

// Guards against a replacement of an incarnation whose lease may still be held.
TEST(FleetPlanner, AdmitsANewIncarnationOnlyAfterTheOldOneLapsed)
{
    const fleet_table table = steady(9, 20);
    fleet_input input = input_of(9, 20);
    input.instances[4] = listed(4, 3, 2);
    const member_key old = listed(4).key;
    EXPECT_NE(planned(table, input).find(old), nullptr);
    input.lapsed.insert(old);
    const fleet_table next = planned(table, input);
    ASSERT_NE(next.find(listed(4, 3, 2).key), nullptr);
    for (const auto& [server, list] : next.servers()) {
        for (const holder_entry& entry : list.entries)
            EXPECT_NE(entry.member, old);
    }
}

// Guards against a rolling restart after which the instances that restarted
// last hold no servers.
TEST(FleetPlanner, EvensOutLoadByReleasesAfterARollingRestart)
{
    fleet_input input = input_of(9, 36);
    fleet_table table = steady(9, 36);
    for (int number = 0; number < 9; ++number) {
        input.lapsed = {listed(number).key};
        input.instances.at(static_cast<std::size_t>(number)) =
            listed(number, 3, 2);
        report_ready(input, table);
        table = planned(table, input);
    }
    input.lapsed.clear();
    std::size_t rounds = 0;
    for (std::size_t changed = 1; changed > 0 && rounds < 20; ++rounds) {
        input.releases.clear();
        input.statuses.clear();
        report_ready(input, table);
        for (const fleet_member& member : table.members()) {
            for (const auto& server : places_to_release(table, member.key)) {
                for (const holder_entry& entry : table.holders(server)) {
                    if (entry.member == member.key)
                        input.releases.push_back(
                            {member.key, server, entry.since, table.version()});
                }
            }
        }
        const std::optional<fleet_table> next = plan_fleet(table, input);
        changed = next ? 1 : 0;
        table = next.value_or(table);
    }
    EXPECT_LT(rounds, 20U);
    std::map<member_key, int> heads;
    for (const auto& [server, list] : table.servers())
        ++heads[list.entries.at(0).member];
    EXPECT_EQ(heads.size(), 9U);
    for (const auto& [member, count] : heads)
        EXPECT_LE(count, 5) << member.instance;
}

} // namespace
} // namespace filberthub
