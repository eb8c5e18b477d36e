#include "router/deployment_view.hpp"

#include <filberthub/base/json_reader.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using platform_api::object_kind;

time_point at_ms(std::int64_t ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

object_version version_in(std::uint64_t epoch, std::uint64_t revision)
{
    return object_version(combined_revision(store_epoch(epoch), revision) * 2);
}

versioned_object server(
    object_version version, const std::string& state, std::uint64_t started = 1)
{
    return {"server/a", version,
        json{{"Service", "maps"}, {"Zone", "a"}, {"Address", "127.0.0.1:7001"},
            {"Capacity", 2}, {"State", state}, {"WarmupLeftMs", 0},
            {"Version", "v1"}, {"Sequence", 1}, {"born", started}}
            .dump()};
}

versioned_object configuration(
    object_version version, const std::string& number)
{
    return {"configuration/main", version,
        json{{"Version", number}, {"Routes", json::array()},
            {"Services", {{{"Name", "maps"}, {"MaxConnections", 9}}}}}
            .dump()};
}

class restored_objects_test : public testing::Test
{
protected:
    // The entry that is in use now, or null.
    const server_entry* entry() const
    {
        const observed_server* found =
            view_.servers().find(backend_server_id("a"));
        return found == nullptr ? nullptr : &found->entry;
    }

    deployment_view view_{route_settings{}};
};

// Guards against servers that lose all requests because the copy was made
// before they registered.
TEST_F(restored_objects_test, KeepsServersThatTheCopyLacksForSomeTime)
{
    view_.update(server(version_in(1, 50), "ready"), at_ms(0));
    view_.update_list(object_kind::server, {}, version_in(2, 20), at_ms(100));
    view_.apply_deferred_removals(at_ms(2'000));
    EXPECT_NE(entry(), nullptr);
    view_.update(server(version_in(2, 21), "ready"), at_ms(2'100));
    view_.apply_deferred_removals(at_ms(9'000));
    EXPECT_NE(entry(), nullptr);
    // Guards against a removed server that stays.
    view_.update_list(object_kind::server, {}, version_in(3, 9), at_ms(9'100));
    view_.apply_deferred_removals(at_ms(12'200));
    EXPECT_EQ(entry(), nullptr);
}

// Guards against requests to a server that has announced to leave, because the
// copy shows it as ready.
TEST_F(restored_objects_test, DoesNotUseAnIncarnationThatWasSeenLeaving)
{
    view_.update(server(version_in(1, 50), "ready"), at_ms(0));
    view_.update(server(version_in(1, 51), "draining"), at_ms(100));
    view_.update(server(version_in(2, 20), "ready"), at_ms(200));
    ASSERT_NE(entry(), nullptr);
    EXPECT_TRUE(entry()->draining);
    view_.update({"server/a", version_in(2, 21), std::nullopt}, at_ms(300));
    view_.update(server(version_in(3, 4), "ready"), at_ms(400));
    EXPECT_TRUE(entry()->draining);
    view_.update(server(version_in(3, 5), "ready", 2), at_ms(500));
    EXPECT_FALSE(entry()->draining);
}

// Guards against a configuration that reverts, here and in instances that read
// the cache of this one.
TEST_F(restored_objects_test, KeepsTheConfigurationInForce)
{
    view_.update(configuration(version_in(1, 50), "0000000b"), at_ms(0));
    const auto expect_kept = [&](const std::string& number) {
        EXPECT_EQ(view_.routes()->config().version,
            revision(std::stoul(number, nullptr, 16)));
        const auto* cached = view_.objects().find("configuration/main");
        ASSERT_TRUE(cached != nullptr && cached->value);
        EXPECT_NE(cached->value->find(number), std::string::npos);
    };
    view_.update_list(object_kind::configuration,
        {configuration(version_in(2, 20), "0000000a")}, version_in(2, 20),
        at_ms(100));
    expect_kept("0000000b");
    view_.update_list(
        object_kind::configuration, {}, version_in(3, 10), at_ms(200));
    expect_kept("0000000b");
    view_.update(configuration(version_in(3, 11), "0000000c"), at_ms(300));
    expect_kept("0000000c");
}

} // namespace
} // namespace filberthub
