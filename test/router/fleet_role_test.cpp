#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include "router/fleet_role.hpp"

#include <filberthub/routing/key_granter.hpp>

#include <gtest/gtest.h>

#include <set>

namespace filberthub {
namespace {

using test::run_until;

time_point now()
{
    return std::chrono::steady_clock::now();
}

// An instance that takes the lease from a silent coordinator, whose address is
// that of `earlier_coordinator_`.
class fleet_role_test : public testing::Test
{
protected:
    fleet_role_test()
        : earlier_coordinator_(
              {}, [this](const std::shared_ptr<http_exchange>& exchange) {
                  on_request(exchange);
              })
    {
        earlier_coordinator_.listen({"127.0.0.1", 0});
        settings_.instance = instance_id("i-2");
        settings_.peers = {"127.0.0.1", 1};
        settings_.store = store_.address();
        lease_record record;
        record.holder = instance_id("i-1");
        record.address = earlier_coordinator_.address();
        record.term = 3;
        record.run_id = 11;
        store_.put(
            "filberthub-lease", "coordinator", json::parse(record.text()));
    }

    // Answers messages of the successor, the first ones with a failure.
    void on_request(const std::shared_ptr<http_exchange>& exchange)
    {
        http_response response;
        if (exchange->request().target != stop_path) {
            response.status = 409;
        } else if (++stop_requests_ <= failing_requests_) {
            response.status = 503;
        }
        exchange->respond(std::move(response));
    }

    bool run_ticks_until(
        fleet_role& role, const std::function<bool()>& condition)
    {
        return run_until([&] {
            role.tick(now());
            return condition();
        });
    }

    test::fake_store store_;
    http_listener earlier_coordinator_;
    route_settings settings_;
    int stop_requests_ = 0;
    int failing_requests_ = 0;
};

// Guards against a fleet that never gets a coordinator: the store fails between
// the first read of the lease, which does not exist yet, and its creation.
TEST_F(fleet_role_test, TakesTheFirstLeaseAfterAnOutageOfTheStore)
{
    store_.remove("filberthub-lease", "coordinator");
    store_.set_read_only(true);
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    ASSERT_TRUE(
        run_ticks_until(role, [&] { return store_.refused_changes() > 0; }));
    EXPECT_FALSE(role.lease().record());
    store_.set_read_only(false);
    EXPECT_TRUE(run_ticks_until(role, [&] { return role.coordinates(now()); }));
}

// Guards against keys of lost servers that wait for the whole lease of an
// earlier coordinator, because one request to it failed.
TEST_F(fleet_role_test, AsksTheEarlierCoordinatorToStopUntilItAnswers)
{
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    failing_requests_ = 2;
    ASSERT_TRUE(run_ticks_until(role, [&] { return role.coordinates(now()); }));
    EXPECT_TRUE(run_ticks_until(
        role, [&] { return !role.lease().predecessor().has_value(); }));
    EXPECT_EQ(stop_requests_, 3);
}

// A coordinator of 295 instances, which answers polls and writes its lease to
// the store. It names the instance `i-2` as its second standby.
class large_fleet_coordinator
{
public:
    explicit large_fleet_coordinator(test::fake_store& store)
        : store_(store),
          listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              on_poll(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
        record_.holder = instance_id("i-1");
        record_.address = listener_.address();
        record_.run_id = 11;
        renew();
    }

    void renew()
    {
        ++record_.renewal;
        store_.put(
            "filberthub-lease", "coordinator", json::parse(record_.text()));
    }

    void stop_answering()
    {
        answering_ = false;
    }

    // Refuses polls from now on, as it has been replaced by the process with
    // this lease.
    void refuse(const lease_news& successor)
    {
        refusal_ = encode(successor).dump();
    }

    // Tells that these instances are members.
    void publish_members(const std::vector<live_instance>& members)
    {
        members_ = deployment_view::encode_members(members);
    }

    std::size_t answered() const
    {
        return answered_;
    }

private:
    void on_poll(std::shared_ptr<http_exchange> exchange)
    {
        if (!answering_) {
            unanswered_.push_back(std::move(exchange));
            return;
        }
        if (!refusal_.empty()) {
            http_response response;
            response.status = 409;
            response.body = refusal_;
            exchange->respond(std::move(response));
            return;
        }
        ++answered_;
        const std::size_t instances = 295;
        const std::uint64_t version =
            platform_api::removal_version(store_.revision()).value();
        http_response response;
        response.body = json{{"run", record_.run_id}, {"change", 1},
            {"facts", {{deployment_view::members_key, 1, members_, 0}}},
            {"fleet", instances},
            {"complete", {{"configuration", version}, {"server", version},
                             {"evacuation", version}}},
            {"standbys", {"i-1", "i-2"}},
            {"hold_ms", fleet_timing(instances).poll_wait().count()},
            {"store_age_ms", 0},
            {"view_age_ms",
                0}}.dump();
        exchange->respond(std::move(response));
    }

    test::fake_store& store_;
    http_listener listener_;
    lease_record record_;
    bool answering_ = true;
    std::size_t answered_ = 0;
    std::string refusal_;
    std::string members_ = "[]";
    std::vector<std::shared_ptr<http_exchange>> unanswered_;
};

// Another coordinator, which counts the polls that it gets.
class second_coordinator
{
public:
    second_coordinator()
        : listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              if (exchange->request().target == lease_path) {
                  http_response response;
                  response.body = encode(news()).dump();
                  exchange->respond(std::move(response));
                  return;
              }
              polls_.push_back(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    endpoint address() const
    {
        return listener_.address();
    }

    lease_news news() const
    {
        lease_record record;
        record.holder = instance_id("i-3");
        record.address = listener_.address();
        record.run_id = 12;
        record.term = 9;
        return {record, 5'000};
    }

    std::size_t polls() const
    {
        return polls_.size();
    }

private:
    std::vector<std::shared_ptr<http_exchange>> polls_;
    http_listener listener_;
};

// Guards against keys of all servers that are refused after the loss of the
// coordinator of a large fleet, because their grants end before there is
// another one.
TEST_F(fleet_role_test, ReplacesALostCoordinatorBeforeItsGrantsEnd)
{
    large_fleet_coordinator coordinator(store_);
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    ASSERT_TRUE(
        run_ticks_until(role, [&] { return coordinator.answered() > 3; }));
    coordinator.renew();
    coordinator.stop_answering();
    const time_point lost_at = now();
    ASSERT_TRUE(run_ticks_until(role, [&] { return role.coordinates(now()); }));
    EXPECT_LT(now() - lost_at, key_granter_options{}.grant_duration);
}

// Guards against a fleet in which each instance reads all servers, which takes
// dozens of calls, whenever the coordinator is silent.
TEST_F(fleet_role_test, ReadsOnlyWhatChangedWhenTheCoordinatorIsSilent)
{
    large_fleet_coordinator coordinator(store_);
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    ASSERT_TRUE(
        run_ticks_until(role, [&] { return coordinator.answered() > 3; }));
    coordinator.stop_answering();
    store_.put("servers", "i-9", json::object());
    ASSERT_TRUE(run_ticks_until(role, [&] {
        return store_.lists("servers") + store_.watches("servers") > 2;
    }));
    EXPECT_EQ(store_.lists("servers"), 0U);
    EXPECT_NE(view.objects().find("server/i-9"), nullptr);
}

// Guards against instances that use outdated owners and servers until the store
// answers them again, because only the store tells who coordinates.
TEST_F(fleet_role_test, LearnsItsCoordinatorFromTheOneBeforeWithoutTheStore)
{
    large_fleet_coordinator coordinator(store_);
    second_coordinator successor;
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    ASSERT_TRUE(
        run_ticks_until(role, [&] { return coordinator.answered() > 3; }));
    store_.set_failing(true);
    coordinator.refuse(successor.news());
    EXPECT_TRUE(run_ticks_until(role, [&] { return successor.polls() > 0; }));
}

// Guards against the same when the coordinator before is lost.
TEST_F(fleet_role_test, LearnsItsCoordinatorFromOtherInstancesWithoutTheStore)
{
    large_fleet_coordinator coordinator(store_);
    second_coordinator successor;
    coordinator.publish_members(
        {{instance_id("i-3"), successor.address(), 0.5}});
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    ASSERT_TRUE(
        run_ticks_until(role, [&] { return coordinator.answered() > 3; }));
    store_.set_failing(true);
    coordinator.stop_answering();
    EXPECT_TRUE(run_ticks_until(role, [&] { return successor.polls() > 0; }));
}

// Guards against keys of all servers that are refused after an outage of the
// store, because the coordinator forgets its grants when its lease lapses.
TEST_F(fleet_role_test, ContinuesItsGrantsAfterALapseOfItsLease)
{
    std::set<std::uint64_t> tokens;
    std::size_t grants = 0;
    http_listener server(
        {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            tokens.insert(json::parse(exchange->request().body)
                              .at("fence")
                              .get<std::uint64_t>());
            ++grants;
            exchange->respond(http_response{});
        });
    server.listen({"127.0.0.1", 0});
    store_.put("config", "main",
        {{"Version", "0000000c"}, {"Routes", json::array()},
            {"Services", {{{"Name", "maps"}, {"Sharded", true},
                             {"MaxConnections", 9}}}}});
    store_.put("servers", "i-1",
        {{"Service", "maps"}, {"Address", to_string(server.address())},
            {"Zone", "a"}, {"Capacity", 2}, {"State", "ready"},
            {"WarmupLeftMs", 0}, {"Version", "v1"}, {"Sequence", 1}});
    milliseconds skipped{0};
    const auto later_now = [&] { return now() + skipped; };
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, later_now);
    const auto run = [&](const std::function<bool()>& condition) {
        return run_until([&] {
            role.tick(later_now());
            return condition();
        });
    };
    ASSERT_TRUE(run([&] { return grants > 2; }));
    const std::set<std::uint64_t> granted = tokens;
    store_.set_failing(true);
    skipped = lease_options{}.duration;
    ASSERT_TRUE(run([&] { return !role.coordinates(later_now()); }));
    store_.set_failing(false);
    ASSERT_TRUE(run([&] { return role.coordinates(later_now()); }));
    const std::size_t before = grants;
    ASSERT_TRUE(run([&] { return grants > before; }));
    EXPECT_EQ(tokens, granted);
}

// Guards against a successor that waits for leases that this coordinator knows
// to be over.
TEST_F(fleet_role_test, TellsItsSuccessorWhenEarlierLeasesEnd)
{
    deployment_view view(settings_);
    metric_registry metrics;
    fleet_role role(
        settings_, view, metrics, [] { return load_counts{}; }, now);
    http_listener peers({}, [&role](std::shared_ptr<http_exchange> exchange) {
        role.on_poll(std::move(exchange));
    });
    peers.listen({"127.0.0.1", 0});
    ASSERT_TRUE(run_ticks_until(role, [&] {
        return role.coordinates(now()) && !role.lease().predecessor();
    }));
    http_request request;
    request.method = "POST";
    request.target = stop_path;
    request.body = json{{"run", role.lease().record()->run_id},
        {"term",
            role.lease().record()->term +
                1}}.dump();
    http_client successor(peers.address(), {});
    std::optional<json> reply;
    successor.send(
        std::move(request), milliseconds(1'000), [&](http_result result) {
            reply = result.response
                        ? json::parse(result.response->body, nullptr, false)
                        : json();
        });
    ASSERT_TRUE(run_until([&] { return reply.has_value(); }));
    ASSERT_TRUE(reply->is_object());
    EXPECT_EQ(reply->value("earlier_grants_ms", -1), 0);
    EXPECT_FALSE(role.coordinates(now()));
}

} // namespace
} // namespace filberthub
