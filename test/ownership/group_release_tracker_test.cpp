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
using action = release_step::action;

constexpr time_point start{};
constexpr time_point grants_end{milliseconds(1200)};
constexpr key_group group{0};
constexpr server_index server_a{0};
constexpr server_index server_b{1};

ownership_table moved(const ownership_table& table, server_index to)
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
    ownership_table second = moved(first, server_b);
    group_token token = token_of_move(table_version(2));
    group_release_tracker a{server_a};
    group_release_tracker b{server_b};
};

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

// Guards against a frozen server that keeps its groups from being served.
TEST_F(Handover, ReleasesWhenTheGrantsOfAFrozenServerHaveEnded)
{
    a.begin(group);
    a.adopt(second, start, grants_end);
    EXPECT_EQ(a.next_deadline(), grants_end);
    EXPECT_THAT(a.expire_grants(grants_end - milliseconds(1)), IsEmpty());
    EXPECT_EQ(a.expire_grants(grants_end).size(), 1U);
    EXPECT_EQ(a.next_deadline(), std::nullopt);
}

TEST_F(Handover, ServesAfterTheReleaseOrTheEndOfTheLease)
{
    group_release_tracker other = b;
    EXPECT_THAT(b.adopt(second, start, grants_end), IsEmpty());
    EXPECT_EQ(b.state(group), group_state::awaiting_release);
    EXPECT_THAT(
        b.released(group, server_a, group_token(token.value() - 1)), IsEmpty())
        << "a release of an older move";
    EXPECT_THAT(b.released(group, server_a, token),
        ElementsAre(
            release_step{action::start_serving, group, server_b, token}));

    // The message may be faster than the table.
    other.released(group, server_a, token);
    EXPECT_FALSE(other.may_send(group));
    other.adopt(second, start, grants_end);
    EXPECT_TRUE(other.may_send(group));

    group_release_tracker third(server_b);
    third.adopt(second, start, grants_end);
    EXPECT_EQ(third.lease_expired(server_a).size(), 1U);
    EXPECT_TRUE(third.may_send(group));
}

// Guards against a returning primary that serves beside its backup after a
// table that was planned without knowing of the retirement.
TEST_F(Handover, KeepsTheBackupOfARetiredServerInALaterTable)
{
    const auto backup = first.at(group).backup_token();
    EXPECT_EQ(a.retire(first, server_a, grants_end).size(), 2U)
        << "server a has the groups 0 and 3";
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

// Guards against work on an isolated key that its owner began under the number
// of the common group.
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

// Three holders with random moves, tables that are skipped, and messages that
// are lost, repeated and reordered.
class handover_model
{
public:
    explicit handover_model(unsigned seed) : random_(seed)
    {
        tables_.push_back(test::round_robin_table(3, group_count(4)));
        for (std::uint16_t index = 0; index < 3; ++index) {
            trackers_.emplace_back(server_index(index));
            seen_.push_back(0);
            perform(index, trackers_[index].adopt(tables_[0], start, far));
        }
    }

    void step()
    {
        const auto server = static_cast<std::uint16_t>(random_() % 3);
        const key_group chosen(static_cast<std::uint32_t>(random_() % 4));
        group_release_tracker& tracker = trackers_[server];
        switch (random_() % 6) {
        case 0:
            move(chosen, server_index(server));
            break;
        case 1:
            adopt(server,
                seen_[server] + random_() % (tables_.size() - seen_[server]));
            break;
        case 2:
            if (tracker.may_send(chosen)) {
                tracker.begin(chosen);
                ++work_[{server, chosen}];
            }
            break;
        case 3:
            if (work_[{server, chosen}] > 0) {
                --work_[{server, chosen}];
                perform(server, tracker.finish(chosen));
            }
            break;
        case 4:
            perform(server, tracker.revoked(chosen, start));
            break;
        default:
            deliver();
        }
    }

    // Returns how many servers have work or may begin some.
    int active(key_group group_checked) const
    {
        int result = 0;
        for (std::uint16_t server = 0; server < 3; ++server) {
            const auto found = work_.find({server, group_checked});
            const bool busy = found != work_.end() && found->second > 0;
            if (busy || trackers_[server].may_send(group_checked))
                ++result;
        }
        return result;
    }

    // Ends all work and delivers all messages, repeated ones included.
    void settle()
    {
        for (int round = 0; round < 12; ++round) {
            for (std::uint16_t server = 0; server < 3; ++server) {
                adopt(server, tables_.size() - 1);
                for (std::uint32_t number = 0; number < 4; ++number) {
                    int& left = work_[{server, key_group(number)}];
                    for (; left > 0; --left)
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
    static constexpr time_point far{std::chrono::hours(1)};

    void move(key_group chosen, server_index to)
    {
        ownership_table_builder builder(
            tables_.back(), tables_.back().version().next());
        builder.move(chosen, to);
        tables_.push_back(std::move(builder).build());
    }

    void adopt(std::uint16_t server, std::size_t version)
    {
        seen_[server] = version;
        perform(server, trackers_[server].adopt(tables_[version], start, far));
    }

    void perform(std::uint16_t from, const release_steps& steps)
    {
        for (const release_step& step : steps) {
            if (step.what == action::send_released && random_() % 4 > 0)
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
    std::vector<std::size_t> seen_;
    std::map<std::pair<std::uint16_t, key_group>, int> work_;
    std::vector<std::pair<std::uint16_t, release_step>> messages_;
};

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
