#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include "router/fleet_role.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;
using test::run_until;

time_point now()
{
    return std::chrono::steady_clock::now();
}

json server(const std::string& state, std::uint64_t started = 1)
{
    return {{"Service", "maps"}, {"Zone", "a"}, {"Address", "127.0.0.1:7001"},
        {"Capacity", 2}, {"State", state}, {"WarmupLeftMs", 0},
        {"Version", "v1"}, {"Sequence", 1}, {"born", started}};
}

// A session that merges what it reads into a cache.
class store_epoch_test : public testing::Test
{
protected:
    store_epoch_test()
        : session_(
              store_.address(), metrics_,
              [this](const watch_update& update) { merge(update); }, now)
    {
        store_.put("servers", "a", server("ready"));
        store_.put("servers", "b", server("ready"));
        store_.put("servers", "c", server("ready"));
    }

    void merge(const watch_update& update)
    {
        const std::string kind = platform_api::kind_name(update.kind);
        const object_version version =
            platform_api::removal_version(update.store_revision);
        if (update.complete)
            cache_.merge_list(kind, update.objects, version);
        else
            for (const versioned_object& object : update.objects)
                cache_.merge(object);
        cache_.set_complete(kind, version);
    }

    std::size_t servers() const
    {
        std::size_t count = 0;
        for (const char* name : {"a", "b", "c", "d"}) {
            const auto* found = cache_.find("server/" + std::string(name));
            count += found != nullptr && found->value ? 1 : 0;
        }
        return count;
    }

    bool has(const std::string& name, const std::string& text) const
    {
        const auto* found = cache_.find("server/" + name);
        return found != nullptr && found->value &&
               found->value->find(text) != std::string::npos;
    }

    test::fake_store store_;
    metric_registry metrics_;
    object_cache cache_;
    store_session session_;
};

// Guards against updates that are ignored until the revision of the restored
// store has caught up, and against a removed server that stays.
TEST_F(store_epoch_test, UsesObjectsOfALaterEpochWithLowerRevisions)
{
    store_.set_epoch("1");
    session_.watch_deployment({});
    ASSERT_TRUE(run_until([&] { return servers() == 3; }));
    const auto earlier = store_.make_copy();
    for (int count = 0; count < 9; ++count)
        store_.put("servers", "a", server("draining", 5));
    store_.put("servers", "d", server("ready"));
    ASSERT_TRUE(run_until([&] { return servers() == 4; }));
    store_.restore(earlier, "2");
    store_.put("servers", "b", server("draining"));
    EXPECT_TRUE(run_until([&] {
        return servers() == 3 && has("a", "ready") && has("b", "draining");
    }));
    EXPECT_EQ(session_.epoch(), store_epoch(2));
    EXPECT_NE(
        metrics_.text().find("filberthub_store_epoch 2"), std::string::npos);
}

// Guards against a list that joins pages of two epochs.
TEST_F(store_epoch_test, ListsAgainWhenTheEpochRisesBetweenPages)
{
    store_.set_epoch("1");
    store_.set_pages(2, [this, restored = false]() mutable {
        if (std::exchange(restored, true))
            return;
        auto changed = store_.make_copy();
        changed.objects["servers"].erase("a");
        changed.objects["servers"]["b"]["Spec"] = server("draining");
        store_.restore(changed, "2");
    });
    session_.watch_deployment({});
    ASSERT_TRUE(run_until([&] { return servers() == 2; }));
    EXPECT_TRUE(has("b", "draining"));
    EXPECT_EQ(store_.lists("servers"), 2U);
}

// Guards against a watch that goes on from a revision of another epoch, which a
// process knows from another instance.
TEST_F(store_epoch_test, ListsAllObjectsIfTheKnownRevisionIsOfAnotherEpoch)
{
    store_.set_epoch("2");
    session_.watch_deployment(
        {{"server", platform_api::removal_version(
                        combined_revision(store_epoch(1), 101))}});
    EXPECT_TRUE(run_until([&] { return servers() == 3; }));
}

// Guards against a write that counts as made although its condition named a
// revision of the earlier epoch, which the store has issued again.
TEST_F(store_epoch_test, DoesNotConfirmAWriteThatSpansTheChange)
{
    store_.set_epoch("1");
    std::optional<store_outcome> outcome;
    const auto call = [&](const http_request& request) {
        outcome.reset();
        session_.call(request, [&](store_outcome result, const std::string&) {
            outcome = result;
        });
        return run_until([&] { return outcome.has_value(); });
    };
    ASSERT_TRUE(call(platform_api::read_call(object_kind::server, "a")));
    const auto base =
        session_.plain_revision(combined_revision(store_epoch(1), 101));
    ASSERT_EQ(base, 101U);
    store_.restore(store_.make_copy(), "2");
    ASSERT_TRUE(call(platform_api::replace_call(
        object_kind::server, "a", *base, server("ready").dump())));
    EXPECT_EQ(outcome, store_outcome::unknown);
    EXPECT_EQ(session_.plain_revision(combined_revision(store_epoch(1), 101)),
        std::nullopt);
}

// Guards against a process that follows a wrong header.
TEST_F(store_epoch_test, IgnoresEpochsThatDecreaseOrCannotBeRead)
{
    store_.set_epoch("5");
    session_.watch_deployment({});
    ASSERT_TRUE(run_until([&] { return servers() == 3; }));
    store_.set_epoch("4");
    store_.put("servers", "d", server("ready"));
    ASSERT_FALSE(run_until([&] { return servers() == 4; }, milliseconds(400)));
    store_.set_epoch("many");
    EXPECT_TRUE(run_until([&] { return servers() == 4; }));
    EXPECT_EQ(session_.epoch(), store_epoch(5));
}

} // namespace
} // namespace filberthub
