#include "ownership/test_tables.hpp"

#include <filberthub/base/error.hpp>
#include <filberthub/ownership/group_release_tracker.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace filberthub {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using action = release_step::action_kind;

constexpr time_point start{};
constexpr time_point grants_end{milliseconds(1200)};
constexpr key_group group{0};
constexpr server_index server_a{0};
constexpr server_index server_b{1};

ownership_table table_after_move(const ownership_table& table, server_index to)
{
    ownership_table_builder builder(table, table.version().next());
    builder.move(group, to);
    return std::move(builder).build();
}

class Handover : public ::testing::Test
{
protected:
    Handover()
    {
        a.adopt(first, start, grants_end);
        b.adopt(first, start, grants_end);
    }

    ownership_table first = test::round_robin_table(3, group_count(4));
    ownership_table second = table_after_move(first, server_b);
    group_token token = token_of_move(table_version(2));
    group_release_tracker a{server_a};
    group_release_tracker b{server_b};
};

// Guards against a release while the old owner still has a request or a grant.
TEST_F(Handover, ReleasesOnlyAfterTheLastRequestAndTheGrantHaveEnded)
{
    a.begin(group);
    EXPECT_THAT(a.adopt(second, start, grants_end), IsEmpty());
    EXPECT_EQ(a.state(group), group_state::draining);
    EXPECT_THROW(a.begin(group), error);
    EXPECT_THAT(a.finish(group), ElementsAre(release_step{action::revoke_grant,
                                     group, no_server, token}));
    EXPECT_EQ(a.state(group), group_state::draining);
    const release_step message{action::send_released, group, server_b, token};
    EXPECT_THAT(a.revoked(group, start), ElementsAre(message));
    EXPECT_EQ(a.state(group), group_state::released);
    EXPECT_THAT(a.repeat_released(), ElementsAre(message));
}

// Guards against groups that are never served again because their old server is
// frozen and does not confirm that the grant is revoked.
TEST_F(Handover, ReleasesWhenTheGrantsOfAFrozenServerHaveEnded)
{
    a.begin(group);
    a.adopt(second, start, grants_end);
    EXPECT_EQ(a.next_deadline(), grants_end);
    EXPECT_THAT(a.expire_grants(grants_end - milliseconds(1)), IsEmpty());
    EXPECT_EQ(a.expire_grants(grants_end).size(), 1U);
    EXPECT_EQ(a.next_deadline(), std::nullopt);
}

// Guards against a new owner that serves before the old one has released, and
// against one that never serves because the message arrived before the table.
TEST_F(Handover, ServesAfterTheReleaseOrTheEndOfTheLease)
{
    group_release_tracker early_message = b;
    EXPECT_THAT(b.adopt(second, start, grants_end), IsEmpty());
    EXPECT_EQ(b.state(group), group_state::awaiting_release);
    EXPECT_THAT(
        b.released(group, server_a, group_token(token.value() - 1)), IsEmpty())
        << "a release of an older move";
    EXPECT_THAT(b.released(group, server_a, token),
        ElementsAre(
            release_step{action::start_serving, group, server_b, token}));

    // The message may arrive before the table.
    early_message.released(group, server_a, token);
    EXPECT_FALSE(early_message.may_send(group));
    early_message.adopt(second, start, grants_end);
    EXPECT_TRUE(early_message.may_send(group));

    group_release_tracker without_message(server_b);
    without_message.adopt(second, start, grants_end);
    EXPECT_EQ(without_message.lease_expired(server_a).size(), 1U);
    EXPECT_TRUE(without_message.may_send(group));
}

// Guards against two owners after a retirement: a later table that was planned
// without knowledge of it still names the retired server as primary.
TEST_F(Handover, KeepsTheBackupOfARetiredServerInALaterTable)
{
    const auto backup = first.at(group).backup_token();
    EXPECT_EQ(a.retire(first, server_a, grants_end).size(), 2U)
        << "server a owns the groups 0 and 3";
    b.retire(first, server_a, grants_end);
    EXPECT_FALSE(b.may_send(group));
    EXPECT_THAT(a.revoked(group, start),
        ElementsAre(
            release_step{action::send_released, group, server_b, backup}));
    b.released(group, server_a, backup);
    EXPECT_TRUE(b.may_send(group));
    ownership_table_builder builder(first, table_version(2));
    builder.set_backup(key_group(1), no_server);
    const ownership_table later = std::move(builder).build();
    a.adopt(later, start, grants_end);
    b.adopt(later, start, grants_end);
    EXPECT_FALSE(a.may_send(group));
    EXPECT_TRUE(b.may_send(group));
}

// Guards against a release while requests are in progress that the old owner of
// an isolated key began under the number of the common group.
TEST_F(Handover, WaitsForTheCommonGroupOfAKeyThatWasIsolatedAndMoved)
{
    ownership_table_builder builder(first, table_version(2));
    const key_group hot = builder.isolate("map-hot");
    const server_index old = builder.draft().at(hot).primary;
    builder.move(
        hot, server_index(static_cast<std::uint16_t>(2 - old.value())));
    group_release_tracker holder(old);
    holder.adopt(first, start, grants_end);
    holder.adopt(std::move(builder).build(), start, grants_end);
    EXPECT_EQ(holder.state(hot), group_state::draining);
    EXPECT_THAT(holder.revoked(hot, start), IsEmpty());
    EXPECT_EQ(holder.expire_grants(grants_end).size(), 1U);
}

// A model of three holders with random moves, where holders skip tables and
// messages are lost, repeated and reordered.
class handover_model
{
public:
    explicit handover_model(unsigned seed) : random_(seed)
    {
        tables_.push_back(test::round_robin_table(3, group_count(4)));
        for (std::uint16_t index = 0; index < 3; ++index) {
            trackers_.emplace_back(server_index(index));
            adopted_.push_back(0);
            perform(
                index, trackers_[index].adopt(tables_[0], start, distant_end));
        }
    }

    void step()
    {
        const auto server = static_cast<std::uint16_t>(random_() % 3);
        const key_group group_chosen(static_cast<std::uint32_t>(random_() % 4));
        group_release_tracker& tracker = trackers_[server];
        switch (random_() % 6) {
        case 0:
            move(group_chosen, server_index(server));
            break;
        case 1:
            adopt(server, adopted_[server] +
                              random_() % (tables_.size() - adopted_[server]));
            break;
        case 2:
            if (tracker.may_send(group_chosen)) {
                tracker.begin(group_chosen);
                ++requests_[{server, group_chosen}];
            }
            break;
        case 3:
            if (requests_[{server, group_chosen}] > 0) {
                --requests_[{server, group_chosen}];
                perform(server, tracker.finish(group_chosen));
            }
            break;
        case 4:
            perform(server, tracker.revoked(group_chosen, start));
            break;
        default:
            deliver();
        }
    }

    // Returns how many servers have requests in progress or may send some.
    int active(key_group group_checked) const
    {
        int result = 0;
        for (std::uint16_t server = 0; server < 3; ++server) {
            const auto found = requests_.find({server, group_checked});
            const bool busy = found != requests_.end() && found->second > 0;
            if (busy || trackers_[server].may_send(group_checked))
                ++result;
        }
        return result;
    }

    // Ends all requests and delivers all messages, including repeated ones.
    void settle()
    {
        for (int round = 0; round < 12; ++round) {
            for (std::uint16_t server = 0; server < 3; ++server) {
                adopt(server, tables_.size() - 1);
                for (std::uint32_t number = 0; number < 4; ++number) {
                    int& in_progress = requests_[{server, key_group(number)}];
                    for (; in_progress > 0; --in_progress)
                        perform(server,
                            trackers_[server].finish(key_group(number)));
                    perform(server,
                        trackers_[server].revoked(key_group(number), start));
                }
                perform(server, trackers_[server].repeat_released());
            }
            while (!messages_.empty())
                deliver();
        }
    }

private:
    static constexpr time_point distant_end{std::chrono::hours(1)};

    void move(key_group group_chosen, server_index to)
    {
        ownership_table_builder builder(
            tables_.back(), tables_.back().version().next());
        builder.move(group_chosen, to);
        tables_.push_back(std::move(builder).build());
    }

    void adopt(std::uint16_t server, std::size_t version)
    {
        adopted_[server] = version;
        perform(server,
            trackers_[server].adopt(tables_[version], start, distant_end));
    }

    void perform(std::uint16_t from, const release_steps& steps)
    {
        for (const release_step& step : steps) {
            if (step.action == action::send_released && random_() % 4 > 0)
                messages_.emplace_back(from, step);
        }
    }

    void deliver()
    {
        if (messages_.empty())
            return;
        std::swap(messages_[random_() % messages_.size()], messages_.back());
        const auto [from, step] = messages_.back();
        if (random_() % 4 > 0)
            messages_.pop_back();
        perform(step.server.value(),
            trackers_[step.server.value()].released(
                step.group, server_index(from), step.token));
    }

    std::mt19937 random_;
    std::vector<ownership_table> tables_;
    std::vector<group_release_tracker> trackers_;
    std::vector<std::size_t> adopted_;
    std::map<std::pair<std::uint16_t, key_group>, int> requests_;
    std::vector<std::pair<std::uint16_t, release_step>> messages_;
};

// Guards against two owners of a group at a time, and against a group that
// stays without an owner after all messages were delivered.
RC_GTEST_PROP(GroupReleaseTracker, NeverHasTwoOwnersAndAlwaysFindsOne, ())
{
    handover_model model(*rc::gen::arbitrary<unsigned>());
    for (int step = 0; step < 400; ++step) {
        model.step();
        for (std::uint32_t number = 0; number < 4; ++number)
            RC_ASSERT(model.active(key_group(number)) <= 1);
    }
    model.settle();
    for (std::uint32_t number = 0; number < 4; ++number)
        RC_ASSERT(model.active(key_group(number)) == 1);
}

} // namespace
} // namespace filberthub
