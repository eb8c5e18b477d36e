#include "routing/routing_builders.hpp"

#include <filberthub/routing/key_coordinator.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// A coordinator that has committed a first table at revision 1 of the store,
// and the servers that may own keys.
class KeyCoordinator : public testing::Test
{
protected:
    KeyCoordinator()
    {
        keys_.start(std::nullopt, 0, at_ms(0), at_ms(0));
        add_server("a");
        keys_.plan(servers_, at_ms(2'000));
        keys_.on_written(1, at_ms(2'000));
    }

    void add_server(const std::string& id)
    {
        key_server server;
        server.incarnation = {backend_server_id(id), 1};
        server.capacity = 2;
        servers_.push_back(server);
    }

    // Plans a table for one more server and returns the write.
    table_write plan_with(const std::string& id, std::int64_t ms)
    {
        add_server(id);
        const auto write = keys_.plan(servers_, at_ms(ms));
        EXPECT_TRUE(write);
        return write.value_or(table_write{});
    }

    std::vector<key_server> servers_;
    key_coordinator keys_{key_granter_options{}, key_plan_options{}};
};

// Guards against a coordinator that can never write again, because a write
// without an answer was carried out after it had read the table.
TEST_F(KeyCoordinator, ContinuesFromAWriteThatWasCarriedOutLate)
{
    const key_table first = keys_.table();
    const table_write late = plan_with("b", 3'000);
    EXPECT_FALSE(keys_.on_read_back(first, 1, at_ms(3'900)));

    plan_with("c", 4'000);
    // This write conflicts with the late one.
    const key_table stored = key_table::from_text(late.text);
    EXPECT_TRUE(keys_.on_read_back(stored, 2, at_ms(4'100)));
    EXPECT_EQ(keys_.table().text(), late.text);

    EXPECT_EQ(plan_with("d", 5'000).base_revision, 2U);
}

// Guards against requests to servers that have not yet got their first keys.
TEST_F(KeyCoordinator, NamesNoOwnersOfAFirstTableBeforeTheyAreGranted)
{
    EXPECT_TRUE(keys_.active());
    EXPECT_EQ(keys_.table().ranges.size(), 1U);
    EXPECT_TRUE(keys_.granter().granted().empty());
    EXPECT_EQ(keys_.granter().due(at_ms(2'000)).size(), 1U);
}

// Guards against grants that follow the table of another coordinator.
TEST_F(KeyCoordinator, DoesNotAdoptATableThatItHasNotWritten)
{
    const key_table first = keys_.table();
    plan_with("b", 3'000);
    key_table foreign = first;
    foreign.ranges.at(0).token = fencing_token(900);
    EXPECT_FALSE(keys_.on_read_back(foreign, 2, at_ms(3'100)));
    EXPECT_EQ(keys_.table().text(), first.text());
    EXPECT_FALSE(keys_.write_open());
}

// Guards against a server that gets half of the keys by number, whose requests
// take three times as long as the others.
TEST_F(KeyCoordinator, BalancesWorkInsteadOfRequests)
{
    add_server("b");
    for (std::int64_t ms = 2'100; ms < 30'000; ms += 100) {
        for (key_number key = 0; key < key_count; key += 512)
            keys_.on_work(key, 1, key < key_count / 2 ? 300 : 100);
        if (keys_.plan(servers_, at_ms(ms)))
            keys_.on_written(static_cast<std::uint64_t>(ms), at_ms(ms));
        for (const grant_command& command : keys_.granter().due(at_ms(ms)))
            keys_.granter().on_reply(
                command.number, grant_reply::accepted, {}, at_ms(ms));
    }
    double heavier = 0;
    for (const key_range& range : keys_.table().ranges) {
        if (range.owner.id != backend_server_id("a"))
            continue;
        for (key_number key = range.first; key <= range.last; ++key)
            heavier += key < key_count / 2 ? 0.75 : 0.25;
    }
    EXPECT_NEAR(heavier / key_count * 2, 0.5, 0.08);
}

// Guards against moves of a key that no server can serve, without a sign of it.
TEST_F(KeyCoordinator, NamesKeysThatNoServerCanServe)
{
    for (std::int64_t ms = 2'100; ms < 5'000; ms += 100) {
        keys_.on_work(7, 4, 800);
        keys_.on_work(8, 0.5, 100);
        keys_.plan(servers_, at_ms(ms));
    }
    // Eight requests of 200 ms at once, on servers with two slots.
    EXPECT_EQ(keys_.keys_beyond_capacity(servers_), std::vector<key_number>{7});
}

} // namespace
} // namespace filberthub
