#include "ownership/fleet_model.hpp"
#include "ownership/test_tables.hpp"

#include <filberthub/ownership/baseline_planners.hpp>
#include <filberthub/ownership/ownership_planner.hpp>
#include <filberthub/ownership/table_codec.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace filberthub {
namespace {

using test::fleet_model;

// Returns the first invalid change from `before` to the planned table, or an
// empty text if there is none.
std::string plan_error(const ownership_table& before, const plan_result& plan,
    const std::vector<planned_server>& servers)
{
    std::set<backend_server_id> in_service;
    for (const planned_server& server : servers) {
        if (server.state == server_state::in_service)
            in_service.insert(server.id);
    }
    std::ptrdiff_t moved = 0;
    for (std::uint32_t number = 0; number < before.groups().value(); ++number) {
        const key_group group(number);
        const assignment& old = before.at(group);
        const assignment& now = plan.table.at(group);
        const std::string name = "group " + std::to_string(number);
        if (!in_service.contains(plan.table.server(now.primary)))
            return name + " has a primary out of service";
        if (now.backup == no_server ||
            !in_service.contains(plan.table.server(now.backup)))
            return name + " has no backup in service";
        if (now.primary != old.primary) {
            ++moved;
            if (now.token <= old.backup_token())
                return name + " moved without a higher token";
        } else if (now.token < old.token) {
            return name + " has a lower token than before";
        }
    }
    for (const hot_key& entry : plan.table.hot_keys()) {
        if (!in_service.contains(plan.table.server(entry.owner.primary)))
            return "isolated key " + entry.key + " has no server in service";
    }
    const auto listed =
        std::ranges::count_if(plan.moves, [&](const group_move& move) {
            return move.group.value() < before.groups().value();
        });
    return listed == moved ? "" : "the list of moves is incomplete";
}

// Guards against plans that are unbalanced, that make more than 1.05 times the
// least possible number of moves, or that move groups when nothing changed.
RC_GTEST_PROP(OwnershipPlanner, KeepsItsBoundsInRandomSequencesOfEvents, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(8, 24);
    const auto events =
        *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 7));
    fleet_model fleet(count, 3, *rc::gen::arbitrary<unsigned>());
    const group_count groups = group_count_for(2 * count);
    const group_weights weights = fleet.weights(groups, 3);
    const ownership_planner planner;
    ownership_table table =
        planner
            .plan(empty_table(service_id("kartlas"), groups), fleet.servers(),
                weights)
            .table;
    for (const int event : events) {
        fleet.apply(event);
        plan_hints hints;
        hints.settled = table.version();
        const plan_result plan =
            planner.plan(table, fleet.servers(), weights, hints);
        RC_ASSERT(plan_error(table, plan, fleet.servers()) == "");
        RC_LOG() << "event " << event << ": " << plan.moves.size()
                 << " moves, least " << plan.min_moves << ", imbalance "
                 << plan.imbalance_before << " -> " << plan.imbalance_after
                 << '\n';
        RC_ASSERT(plan.imbalance_after <= 1.08);
        RC_ASSERT(static_cast<double>(plan.moves.size()) <=
                  std::ceil(1.05 * static_cast<double>(plan.min_moves)));
        RC_ASSERT(
            apply_delta(table, encode_delta(table, plan.table)) == plan.table);
        RC_ASSERT(decode_table(encode(plan.table)) == plan.table);
        table = plan.table;
        // A second plan with the same input must not move any group.
        RC_ASSERT(planner.plan(table, fleet.servers(), weights).moves.empty());
    }
}

class PlannedService : public ::testing::Test
{
protected:
    explicit PlannedService(std::size_t count = 12)
        : fleet(count, 3, 7),
          servers(fleet.servers()),
          weights(groups, 0.01),
          table(planner
                    .plan(empty_table(service_id("kartlas"), groups), servers,
                        weights)
                    .table)
    {}

    plan_result plan(const plan_hints& hints)
    {
        plan_result result = planner.plan(table, servers, weights, hints);
        EXPECT_EQ(plan_error(table, result, servers), "");
        table = result.table;
        return result;
    }
    plan_result plan_settled()
    {
        return plan({{}, table.version()});
    }

    group_count groups{1024};
    fleet_model fleet;
    std::vector<planned_server> servers;
    group_weights weights;
    ownership_planner planner;
    ownership_table table;
};

// Guards against two heavy groups that stay on one server because no other
// server has room for one of them before lighter groups are moved away from it.
TEST(OwnershipPlanner, SeparatesTwoHeavyGroupsIfNoServerHasRoom)
{
    const group_count groups(512);
    const ownership_table table = test::round_robin_table(8, groups);
    const fleet_model fleet(8, 2, 1);
    group_weights weights(groups);
    // The mean load of a server is 78.75; the other servers have room for 18.
    weights.set(key_group(0), 60);
    weights.set(key_group(8), 60);
    plan_hints hints;
    hints.settled = table.version();
    const plan_result plan =
        ownership_planner().plan(table, fleet.servers(), weights, hints);
    EXPECT_NE(plan.table.at(key_group(0)).primary,
        plan.table.at(key_group(8)).primary);
    EXPECT_LE(plan.imbalance_after, 1.08);
    EXPECT_EQ(plan_error(table, plan, fleet.servers()), "");
}

// Guards against the loss of primary and backup with one failure domain.
TEST_F(PlannedService, PutsBackupsInOtherFailureDomains)
{
    for (std::uint32_t number = 0; number < groups.value(); ++number) {
        const assignment& owner = table.at(key_group(number));
        EXPECT_NE(servers[owner.primary.value()].domain,
            servers[owner.backup.value()].domain);
    }
}

// Guards against a needless second move of groups that are already served by
// their backups.
TEST_F(PlannedService, LeavesGroupsWithTheBackupsThatServeThem)
{
    const ownership_table old = table;
    servers[3].state = server_state::lost;
    servers[3].backups_serve = true;
    const plan_result result = plan_settled();
    EXPECT_GE(result.moves.size(), 84U);
    for (const group_move& move : result.moves)
        EXPECT_EQ(move.to, old.at(move.group).backup);
}

// Guards against two owners: a new primary that does not wait for the backup
// that took over while the store was unavailable.
TEST_F(PlannedService, AwaitsTheBackupsThatServeGroupsOfARetiredServer)
{
    const key_group group(7);
    const assignment old = table.at(group);
    servers[old.primary.value()].state = server_state::lost;
    servers[old.primary.value()].backups_serve = true;
    servers[old.backup.value()].state = server_state::leaving;
    plan_settled();
    const group_token token = table.at(group).token;
    EXPECT_THAT(table.releases_before(group),
        ::testing::ElementsAre(pending_release{old.backup, token},
            pending_release{old.primary, token}));
}

// Guards against a new owner that does not wait for all earlier ones: a group
// with an unsettled move moves again only if its server is lost, and then its
// primary awaits both earlier owners.
TEST_F(PlannedService, MovesUnsettledGroupsOnlyWhenTheirServerIsLost)
{
    const table_version first = table.version();
    servers[3].state = server_state::domain_out;
    const plan_result evacuation = plan({{}, first});
    const group_move move = evacuation.moves.front();
    weights.set(move.group, 5);
    for (const group_move& other : plan({{}, first}).moves)
        EXPECT_NE(other.group, move.group);
    servers[move.to.value()].state = server_state::lost;
    plan({{}, first});
    std::vector<server_index> awaited;
    for (const pending_release& release : table.releases_before(move.group))
        awaited.push_back(release.server);
    EXPECT_THAT(awaited, ::testing::ElementsAre(move.to, move.from));
}

// Guards against a commit per plan after the last move was settled.
TEST_F(PlannedService, ForgetsTheMoveHistoryOnceWhenAllMovesAreSettled)
{
    servers[3].state = server_state::lost;
    plan_settled();
    const plan_result settled = plan_settled();
    EXPECT_TRUE(settled.changed);
    EXPECT_TRUE(settled.moves.empty());
    EXPECT_FALSE(plan_settled().changed);
}

// Guards against a returned failure domain that stays without groups.
TEST_F(PlannedService, ReturnsGroupsToADomainThatIsBack)
{
    for (planned_server& server : servers) {
        if (server.domain == servers[0].domain)
            server.state = server_state::domain_out;
    }
    EXPECT_LE(plan_settled().churn_ratio(), 1.05);
    for (planned_server& server : servers)
        server.state = server_state::in_service;
    const plan_result back = plan_settled();
    EXPECT_LE(back.churn_ratio(), 1.05);
    EXPECT_LE(back.imbalance_after, 1.04);
    EXPECT_GE(back.moves.size(), 300U);
}

// Guards against moves of groups by a change that only concerns backups.
TEST_F(PlannedService, ReplacesBackupsWithoutMovingGroups)
{
    ownership_table_builder builder(table, table.version().next());
    builder.set_backup(key_group(7), no_server);
    table = std::move(builder).build();
    const plan_result result = plan_settled();
    EXPECT_TRUE(result.changed);
    EXPECT_TRUE(result.moves.empty());
}

// Guards against owners that are dropped when all servers are out of service.
TEST_F(PlannedService, KeepsTheTableWithoutAServerInService)
{
    for (planned_server& server : servers)
        server.state = server_state::domain_out;
    const plan_result result = planner.plan(table, servers, weights);
    EXPECT_FALSE(result.changed);
    EXPECT_TRUE(result.table == table);
}

// Guards against a hot key that stays in its common group, and against an
// isolated key that moves at once, returns too early or returns without a
// higher token.
TEST_F(PlannedService, IsolatesAHotKeyAndReturnsItWhenItCools)
{
    const std::string key = "map-hot";
    const key_group common = group_of(key, groups);
    weights.set(common, 0.41);
    const ownership_table before = table;
    const plan_result hot = plan({{{key, 0.4}}, before.version()});
    ASSERT_EQ(table.hot_keys().size(), 1U);
    // Requests under the number of the common group may be in progress.
    EXPECT_EQ(table.find(key).primary, before.find(key).primary);
    const key_group isolated_group = table.group_of_key(key);
    EXPECT_EQ(isolated_group, key_group(1024));
    EXPECT_LE(hot.imbalance_after, 1.08);

    weights.set(common, 0.01);
    weights.set(isolated_group, 0.2);
    plan_settled();
    EXPECT_EQ(table.hot_keys().size(), 1U) << "0.2 is above the rejoin share";

    weights.set(isolated_group, 0.05);
    const group_token token = table.find(key).token;
    for (int step = 0; step < 3; ++step)
        plan_settled();
    EXPECT_TRUE(table.hot_keys().empty());
    EXPECT_GT(table.find(key).token, token);
}

// Guards against a list of servers that grows with each replaced server.
TEST_F(PlannedService, FreesTheNumberOfARemovedServer)
{
    const backend_server_id removed_id = servers[3].id;
    servers.erase(servers.begin() + 3);
    plan_settled();
    plan_settled();
    EXPECT_FALSE(table.index_of(removed_id).has_value());
    EXPECT_EQ(table.index_of(servers[3].id), server_index(4));
}

// Guards against an out-of-bounds read when a removal shortens the list of
// servers that is being iterated.
TEST_F(PlannedService, ShortensTheListWhenItsLastServersAreRemoved)
{
    servers.erase(servers.begin() + 9);
    plan_settled();
    plan_settled();
    servers.erase(servers.end() - 2, servers.end());
    plan_settled();
    plan_settled();
    EXPECT_EQ(table.servers().size(), 9U);
}

// Guards against lists of tokens that grow until the table exceeds the size
// limit of the store.
TEST_F(PlannedService, MergesOldTokensWithoutLoweringAny)
{
    groups = group_count(8192);
    weights = group_weights(groups);
    table =
        planner
            .plan(empty_table(service_id("kartlas"), groups), servers, weights)
            .table;
    ownership_table_builder builder(table, table_version(9000));
    for (std::uint32_t number = 0; number < 8000; ++number) {
        builder.raise_token(
            key_group(number), token_of_move(table_version(number + 2)));
    }
    table = std::move(builder).build();
    servers[3].state = server_state::lost;
    plan_settled();
    EXPECT_LE(encode(table)["origins"].size(), 4097U);
}

template <class Planner>
class Baseline : public ::testing::Test
{};
using baselines = ::testing::Types<modulo_planner, rendezvous_planner>;
TYPED_TEST_SUITE(Baseline, baselines);

// Guards against baseline plans that are invalid or need fewer moves than the
// lower bound, which would make comparisons with them meaningless.
TYPED_TEST(Baseline, AssignsEachGroupToAServerInService)
{
    fleet_model fleet(12, 3, 7);
    const group_count groups(1024);
    const group_weights weights(groups);
    const TypeParam planner;
    const ownership_table first =
        planner
            .plan(empty_table(service_id("kartlas"), groups), fleet.servers(),
                weights, {})
            .table;
    fleet.apply(0);
    const plan_result lost = planner.plan(first, fleet.servers(), weights, {});
    EXPECT_EQ(plan_error(first, lost, fleet.servers()), "");
    EXPECT_GE(lost.moves.size(), lost.min_moves);
    EXPECT_GT(lost.imbalance_after, 1.0);
}

} // namespace
} // namespace filberthub
