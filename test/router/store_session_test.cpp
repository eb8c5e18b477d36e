#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include "router/store_session.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

// Guards against a coordinator that vouches for a stale view while its calls do
// not reach the store: the answer to a watch from before the cut says nothing
// about the other watches, whose next calls are lost.
TEST(StoreSession, IsCompleteOnlyUpToTheLastCallThatWasAnswered)
{
    test::fake_store store;
    metric_registry metrics;
    time_point present = std::chrono::steady_clock::now();
    std::size_t updates = 0;
    store_session session(
        store.address(), metrics, [&](const watch_update&) { ++updates; },
        [&] { return present; });
    store.put("config", "main", json::object());
    store.put("servers", "i-1", json::object());
    store.put("evacuations", "a", json::object());
    session.watch_deployment({});
    ASSERT_TRUE(run_until([&] {
        return store.watches("config") + store.watches("servers") +
                   store.watches("evacuations") ==
               3;
    }));
    const time_point watched = present;
    EXPECT_EQ(session.complete_until(present), watched);
    present += milliseconds(2'000);
    store.set_silent(true);
    updates = 0;
    store.put("servers", "i-2", json::object());
    ASSERT_TRUE(run_until([&] { return updates == 1; }));
    EXPECT_EQ(session.complete_until(present), watched);
    EXPECT_EQ(session.last_contact(), watched);
    EXPECT_EQ(session.last_answer(), present);
    // A call that is answered shows that calls arrive again.
    store.set_silent(false);
    present += milliseconds(100);
    const time_point sent = present;
    bool answered = false;
    session.call(
        platform_api::read_call(platform_api::object_kind::server, "i-1"),
        [&](platform_api::store_outcome, const std::string&) {
            answered = true;
        });
    present += milliseconds(50);
    ASSERT_TRUE(run_until([&] { return answered; }));
    EXPECT_EQ(session.complete_until(present), sent);
}

// Guards against a list that asks for the same page again and again without a
// delay, which uses up the calls that all instances have.
TEST(StoreSession, DelaysTheCallAfterAPageThatIsRepeated)
{
    test::fake_store store;
    metric_registry metrics;
    std::size_t servers = 0;
    store_session session(
        store.address(), metrics,
        [&](const watch_update& update) {
            if (update.kind == platform_api::object_kind::server)
                servers = update.objects.size();
        },
        [] { return std::chrono::steady_clock::now(); });
    store.set_pages(1);
    store.put("servers", "i-1", json::object());
    store.put("servers", "i-2", json::object());
    store.set_repeating(true);
    session.watch_deployment({});
    ASSERT_TRUE(run_until([&] { return store.pages("servers") >= 2; }));
    run_until([] { return false; }, milliseconds(500));
    EXPECT_LT(store.pages("servers"), 10U);
    EXPECT_EQ(servers, 0U);
    // The list goes on as soon as the store answers as it should.
    store.set_repeating(false);
    EXPECT_TRUE(run_until([&] { return servers >= 2; }));
}

} // namespace
} // namespace filberthub
