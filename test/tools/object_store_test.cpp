#include "tools/model/instance_list.hpp"
#include "tools/model/object_store.hpp"

#include <gtest/gtest.h>

namespace filberthub::tools {
namespace {

constexpr time_point start{std::chrono::seconds(1000)};

TEST(ObjectStore, NumbersVersionsFromOne)
{
    object_store store;
    EXPECT_EQ(store.find("a"), nullptr);
    EXPECT_EQ(store.put("a", "x", std::nullopt).version, object_version(1));
    EXPECT_EQ(store.put("a", "y", std::nullopt).version, object_version(2));
    EXPECT_EQ(store.find("a")->value, "y");
}

// Guards against two concurrent writers that are both told that their update
// was applied.
TEST(ObjectStore, AppliesAConditionalUpdateOnlyToItsVersion)
{
    object_store store;
    EXPECT_EQ(
        store.put("a", "x", object_version(0)).status, put_status::applied);
    const put_result second = store.put("a", "y", object_version(0));
    EXPECT_EQ(second.status, put_status::version_mismatch);
    EXPECT_EQ(second.version, object_version(1));
    EXPECT_EQ(store.find("a")->value, "x");
    EXPECT_EQ(
        store.put("a", "z", object_version(1)).version, object_version(2));
}

TEST(ObjectStore, RejectsAValueAboveTheSizeLimit)
{
    object_store store;
    const std::string value(object_store::max_value_bytes, 'x');
    EXPECT_EQ(store.put("a", value, std::nullopt).status, put_status::applied);
    const put_result result = store.put("a", value + "x", std::nullopt);
    EXPECT_EQ(result.status, put_status::too_large);
    EXPECT_EQ(store.version_of("a"), object_version(1));
}

// Guards against a lost reply whose update is not applied, and against counting
// the reply to a rejected update as lost.
TEST(ObjectStore, LosesOnlyRepliesOfAppliedUpdates)
{
    object_store store;
    store.lose_replies(1);
    EXPECT_FALSE(store.put("a", "x", object_version(7)).reply_lost);
    EXPECT_TRUE(store.put("a", "x", std::nullopt).reply_lost);
    EXPECT_EQ(store.version_of("a"), object_version(1));
    EXPECT_FALSE(store.put("a", "y", std::nullopt).reply_lost);
}

TEST(ObjectStore, ListsNamesWithAPrefix)
{
    object_store store;
    for (const char* name : {"fleet/b", "fleet/a", "fleets", "policy/root"})
        store.put(name, "", std::nullopt);
    const auto listed = store.list("fleet/");
    ASSERT_EQ(listed.size(), 2u);
    EXPECT_EQ(listed[0].first, "fleet/a");
    EXPECT_EQ(listed[1].first, "fleet/b");
}

TEST(RateLimiter, AdmitsABurstOfOneSecondAndRefillsOverTime)
{
    rate_limiter rate;
    rate.set(10);
    for (int count = 0; count < 10; ++count)
        EXPECT_TRUE(rate.try_acquire(start));
    EXPECT_FALSE(rate.try_acquire(start));
    EXPECT_TRUE(rate.try_acquire(start + milliseconds(101)));
    EXPECT_FALSE(rate.try_acquire(start + milliseconds(102)));
}

json entry(const char* state)
{
    return {{"domain", "a"}, {"peer", "p"}, {"caller", "c"}, {"operator", "o"},
        {"state", state}};
}

TEST(InstanceList, ReturnsTheListAsItWasOneLagEarlier)
{
    instance_list list;
    list.set_lag(std::chrono::seconds(2));
    list.renew(instance_id("i"), entry("live"), start);
    list.renew(
        instance_id("i"), entry("leaving"), start + std::chrono::seconds(1));
    EXPECT_EQ(list.view(start + milliseconds(1999)).size(), 0u);
    EXPECT_EQ(list.view(start + milliseconds(2500))[0]["state"], "live");
    EXPECT_EQ(list.view(start + milliseconds(3000))[0]["state"], "leaving");
}

TEST(InstanceList, RemovesAnEntryFiveSecondsAfterItsLastRenewal)
{
    instance_list list;
    list.renew(instance_id("i"), entry("live"), start);
    list.renew(
        instance_id("i"), entry("live"), start + std::chrono::seconds(3));
    EXPECT_EQ(list.view(start + milliseconds(7999)).size(), 1u);
    EXPECT_EQ(list.view(start + milliseconds(8000)).size(), 0u);
}

} // namespace
} // namespace filberthub::tools
