#include "ownership/test_tables.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/ownership/table_codec.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>

namespace filberthub {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

std::string message_of(const std::function<void()>& action)
{
    try {
        action();
    } catch (const error& failure) {
        return failure.what();
    }
    return "no error";
}

// Guards against a change of the hash or of the group count, which would move
// every key.
TEST(KeyGroup, IsTheSameOnAllInstancesAndReleases)
{
    EXPECT_EQ(hash_of(""), 0x2D06800538D394C2U);
    EXPECT_EQ(group_count_for(14).value(), 1024U);
    EXPECT_EQ(group_count_for(1334).value(), 131072U);
    EXPECT_THROW(group_count(1000), error);
}

// Guards against requests for an isolated key that go to the owner of its
// common group.
TEST(OwnershipTable, FindsAnIsolatedKeyBeforeItsCommonGroup)
{
    const ownership_table base = test::round_robin_table(4, group_count(256));
    ownership_table_builder builder(base, table_version(2));
    const key_group group = builder.isolate("map-hot");
    builder.move(group, server_index(3));
    const ownership_table table = std::move(builder).build();
    EXPECT_EQ(table.group_of_key("map-hot"), key_group(256));
    EXPECT_EQ(table.find("map-hot").primary, server_index(3));
    EXPECT_EQ(table.find("map-other"), base.find("map-other"));
}

// Guards against two owners: after two moves in a row the first owner may still
// have requests in progress.
TEST(OwnershipTable, KeepsAllOwnersUntilTheirMovesAreSettled)
{
    const key_group group(0);
    ownership_table table = test::round_robin_table(4, group_count(256));
    for (const std::uint32_t version : {2U, 3U}) {
        ownership_table_builder builder(table, table_version(version));
        builder.move(group, server_index(static_cast<std::uint16_t>(version)));
        table = std::move(builder).build();
    }
    const pending_release second{server_index(2), group_token(6)};
    EXPECT_THAT(table.releases_before(group),
        ElementsAre(second, pending_release{server_index(0), group_token(4)}));

    ownership_table_builder builder(table, table_version(4));
    builder.settle(table_version(2));
    EXPECT_THAT(builder.draft().releases_before(group), ElementsAre(second));
    builder.settle(table_version(3));
    EXPECT_THAT(builder.draft().releases_before(group), IsEmpty());
}

// Guards against refused requests of a backup, and accepted requests of a
// returning primary, after the backup took over while the store was
// unavailable.
TEST(OwnershipTable, OrdersTokensOfPrimaryBackupAndNextMove)
{
    ownership_table_builder builder(
        test::round_robin_table(4, group_count(256)), table_version(2));
    const assignment before = builder.draft().at(key_group(0));
    builder.move(key_group(0), server_index(2));
    EXPECT_LT(before.token, before.backup_token());
    EXPECT_LT(before.backup_token(), builder.draft().at(key_group(0)).token);
    EXPECT_LT(make_fencing_token(before.token, 500, 7),
        make_fencing_token(before.backup_token(), 1, 0));
    EXPECT_THROW(make_fencing_token(before.token, 1U << 29U, 0), error);
}

// Guards against a group that has no backup when its server is lost.
TEST(OwnershipTable, RefusesTheSameServerAsPrimaryAndBackup)
{
    ownership_table_builder builder(
        test::round_robin_table(4, group_count(256)), table_version(2));
    builder.set_backup(key_group(5), server_index(1));
    EXPECT_THAT(message_of([&] { std::move(builder).build(); }),
        HasSubstr("group 5 has the same server as primary and backup"));
}

// Guards against a key that changes its owner without a higher token when it
// returns to its common group.
TEST(OwnershipTable, RejoinsOnlyOnTheSameServerAndRaisesTheToken)
{
    const std::string key = "map-hot";
    ownership_table_builder builder(
        test::round_robin_table(4, group_count(256)), table_version(2));
    const assignment common = builder.draft().find(key);
    const key_group group = builder.isolate(key);
    const auto away =
        server_index(static_cast<std::uint16_t>(common.primary.value() ^ 1U));
    builder.move(group, away);
    EXPECT_THAT(message_of([&] { builder.rejoin(group); }),
        HasSubstr("expected that of its common group"));
    ownership_table_builder next(builder.draft(), table_version(3));
    next.move(group, common.primary);
    next.rejoin(group);
    EXPECT_THAT(next.draft().hot_keys(), IsEmpty());
    EXPECT_EQ(next.draft().find(key).token, token_of_move(table_version(3)));
}

// Returns `base` after two moves of a group, with an isolated key, a removed
// backup and an added server.
ownership_table changed_table(const ownership_table& base)
{
    ownership_table_builder builder(base, table_version(2));
    builder.move(key_group(0), server_index(2));
    builder.move(builder.isolate("map-hot"), server_index(1));
    builder.set_backup(key_group(9), no_server);
    builder.add_server(backend_server_id("kartlas-new"));
    const ownership_table second = std::move(builder).build();
    ownership_table_builder again(second, table_version(7));
    again.move(key_group(0), server_index(4));
    return std::move(again).build();
}

// Guards against a field that is written but not read, or the reverse.
TEST(TableCodec, ReadsBackWhatItWrote)
{
    const ownership_table base = test::round_robin_table(4, group_count(256));
    const ownership_table table = changed_table(base);
    EXPECT_TRUE(decode_table(encode(table)) == table);
    EXPECT_TRUE(apply_delta(base, encode_delta(base, table)) == table);
    EXPECT_LT(encode_delta(base, table).dump().size(), 600U);
}

// Guards against a delta that is applied to another table than it was made
// from.
TEST(TableCodec, RefusesADeltaFromAnotherVersion)
{
    const ownership_table base = test::round_robin_table(4, group_count(256));
    const ownership_table table = changed_table(base);
    EXPECT_THAT(
        message_of([&] { apply_delta(table, encode_delta(base, table)); }),
        HasSubstr("delta from version 1 of kartlas does not apply"));
}

// Guards against errors that do not say which field is malformed.
TEST(TableCodec, NamesThePathOfAMalformedField)
{
    const json good = encode(test::round_robin_table(4, group_count(256)));
    const auto broken = [&](const char* field, const json& value) {
        json bad = good;
        bad[field] = value;
        return message_of([&] { decode_table(bad); });
    };
    EXPECT_THAT(broken("groups", 100), HasSubstr("\"/groups\": 100"));
    EXPECT_THAT(broken("assignments", "AA"), HasSubstr("\"/assignments\""));
    EXPECT_THAT(broken("assignments", good["assignments"].dump()),
        HasSubstr("character 0"));
    EXPECT_THAT(broken("origins", json::array({json::array({1})})),
        HasSubstr("\"/origins/0\": [1] has no integer"));
    EXPECT_THAT(broken("extra", 1), HasSubstr("there is no such field"));
    EXPECT_THAT(broken("servers", json::array({"a", "a", "b", "c"})),
        HasSubstr("server a is listed twice"));
}

// Guards against out-of-bounds reads when a damaged message is decoded.
RC_GTEST_PROP(TableCodec, RefusesOrReadsAnyDamagedText, (unsigned seed))
{
    const ownership_table base = test::round_robin_table(4, group_count(16));
    const ownership_table table = changed_table(base);
    std::string table_text = encode(table).dump();
    std::string delta_text = encode_delta(base, table).dump();
    std::mt19937 random(seed);
    constexpr std::string_view replacements = "0159-AZz+/[]{},:\"";
    for (std::string* text : {&table_text, &delta_text}) {
        for (int count = 0; count < 3; ++count) {
            (*text)[random() % text->size()] =
                replacements[random() % replacements.size()];
        }
    }
    try {
        decode_table(parse_json(table_text, error_kind::internal));
    } catch (const error&) {
        RC_TAG("table refused");
    }
    try {
        apply_delta(base, parse_json(delta_text, error_kind::internal));
    } catch (const error&) {
        RC_TAG("delta refused");
    }
}

// Guards against a table that exceeds the size limit of the store.
TEST(TableCodec, StaysBelowOneMegabyteAt131072Groups)
{
    const ownership_table base =
        test::round_robin_table(1334, group_count(131072));
    ownership_table_builder builder(base, table_version(2));
    // The loss of a failure domain with a third of the servers of the region.
    for (std::uint32_t group = 0; group < 131072; ++group) {
        if (group % 1334 < 445)
            builder.move(key_group(group),
                server_index(static_cast<std::uint16_t>(500 + group % 800)));
    }
    const ownership_table table = std::move(builder).build();
    EXPECT_LT(encode(table).dump().size(), 1'000'000U);
    EXPECT_LT(encode_delta(base, table).dump().size(), 1'000'000U);
}

} // namespace
} // namespace filberthub
