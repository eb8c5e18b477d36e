// Events whose handling fails inside the process: what they belong to ends, and
// the rest goes on. A clock that throws stands for any fault.

#include "net/loop.hpp"
#include "router/caller_service.hpp"
#include "router/fake_platform.hpp"
#include "router/fleet_role.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/telemetry/callback_guard.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace filberthub {
namespace {

using test::run_until;

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Returns the time, but throws in the next call after `fail_once`.
class failing_clock
{
public:
    void fail_once()
    {
        fails_ = true;
    }

    time_point operator()()
    {
        if (std::exchange(fails_, false))
            throw std::runtime_error("expected");
        return now();
    }

private:
    bool fails_ = false;
};

// A caller service with one server, whose requests the test answers.
class failing_request_test : public testing::Test
{
protected:
    failing_request_test()
        : view_(settings_),
          gates_(settings_, view_, now),
          callers_(settings_, view_, gates_, metrics_, nullptr,
              [this] { return clock_(); }),
          listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              callers_.accept(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
        client_ = std::make_unique<http_client>(
            listener_.address(), http_client_options{.max_connections = 4});
        view_.update(
            {"configuration/main", object_version(1),
                json{{"Version", "00000001"},
                    {"Routes", {{{"Name", "edit"}, {"Hostname", "maps.example"},
                                   {"PathPrefix", "/"}, {"RouteType", "unsafe"},
                                   {"Service", "edits"}, {"MaxAttempts", 2}}}},
                    {"Services", {{{"Name", "edits"}, {"MaxConnections", 4}}}}}
                    .dump()},
            now());
        view_.update(
            {"server/i-1", object_version(2),
                json{{"Service", "edits"}, {"Zone", "a"},
                    {"Address", to_string(server_.address())}, {"Capacity", 4},
                    {"State", "ready"}, {"WarmupLeftMs", 0}, {"Version", "1"},
                    {"Sequence", 1}, {"born", 1}}
                    .dump()},
            now());
    }

    void send(const std::string& id)
    {
        http_request request;
        request.method = "POST";
        request.target = "/" + id;
        request.headers.set("Host", "maps.example");
        request.headers.set("X-Filberthub-Request-Id", id);
        request.headers.set("X-Filberthub-Deadline-Ms", "5000");
        client_->send(std::move(request), milliseconds(6'000),
            [this, id](const http_result& result) {
                statuses_[id] = result.response ? result.response->status : -1;
            });
    }

    bool run_until_arrived(std::size_t count)
    {
        return run_until([&] { return server_.requests.size() == count; });
    }

    bool run_until_answered(const std::string& id)
    {
        return run_until([&] { return statuses_.contains(id); });
    }

    failing_clock clock_;
    route_settings settings_;
    deployment_view view_;
    metric_registry metrics_;
    gate_service gates_;
    caller_service callers_;
    test::fake_server server_;
    http_listener listener_;
    std::unique_ptr<http_client> client_;
    std::map<std::string, int> statuses_;
};

// Guards against a caller without an answer, and against one that is told "not
// run" for a request that has run.
TEST_F(failing_request_test, AnswersARequestWhoseResultCannotBeHandled)
{
    send("r1");
    send("r2");
    ASSERT_TRUE(run_until_arrived(2));
    const std::uint64_t failures = failed_callback_count();
    clock_.fail_once();
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return !statuses_.empty(); }));
    EXPECT_EQ(statuses_.begin()->second, 502);
    EXPECT_EQ(failed_callback_count(), failures + 1);
    server_.answer(1, "done");
    ASSERT_TRUE(run_until([&] { return statuses_.size() == 2; }));
    EXPECT_EQ(statuses_["r1"] + statuses_["r2"], 502 + 200);
    EXPECT_EQ(callers_.in_flight(), 0U);
}

// Guards against a request that keeps the handling of its server and its place
// in the listener after it has failed at the start.
TEST_F(failing_request_test, AnswersARequestThatCannotBeStarted)
{
    clock_.fail_once();
    send("r1");
    ASSERT_TRUE(run_until_answered("r1"));
    EXPECT_EQ(statuses_["r1"], 502);
    send("r2");
    ASSERT_TRUE(run_until_arrived(1));
    server_.answer(0, "done");
    ASSERT_TRUE(run_until_answered("r2"));
    EXPECT_EQ(statuses_["r2"], 200);
    EXPECT_EQ(listener_.in_flight(), 0U);
}

// Guards against a write of the store whose outcome its owner never learns, so
// that it makes no further one.
TEST(StoreSession, ReportsUnknownAfterACallbackThatThrows)
{
    test::fake_store store;
    metric_registry metrics;
    store_session session(
        store.address(), metrics, [](const watch_update&) {}, now);
    std::vector<platform_api::store_outcome> outcomes;
    session.call(platform_api::read_call(
                     platform_api::object_kind::key_ownership, "maps"),
        [&](platform_api::store_outcome outcome, const std::string&) {
            outcomes.push_back(outcome);
            if (outcomes.size() == 1)
                throw std::runtime_error("expected");
        });
    ASSERT_TRUE(run_until([&] { return outcomes.size() == 2; }));
    EXPECT_EQ(outcomes[0], platform_api::store_outcome::not_found);
    EXPECT_EQ(outcomes[1], platform_api::store_outcome::unknown);
}

// Guards against a coordinator that keeps the lease although its work fails, so
// that keys have no owner and no other instance can help.
TEST(FleetRole, ResignsWhenItsWorkFails)
{
    test::fake_store store;
    route_settings settings;
    settings.instance = instance_id("i-1");
    settings.peers = {"127.0.0.1", 1};
    settings.store = store.address();
    deployment_view view(settings);
    metric_registry metrics;
    bool fails = false;
    fleet_role role(
        settings, view, metrics,
        [&]() -> load_counts {
            if (fails)
                throw std::runtime_error("expected");
            return {};
        },
        now);
    ASSERT_TRUE(run_until([&] {
        role.tick(now());
        return role.coordinates(now());
    }));
    fails = true;
    ASSERT_TRUE(run_until([&] {
        role.tick(now());
        return !role.lease().is_holder();
    }));
    EXPECT_TRUE(role.lease().record()->holder.empty());
    fails = false;
    EXPECT_TRUE(run_until([&] {
        role.tick(now());
        return role.coordinates(now());
    }));
}

} // namespace
} // namespace filberthub
