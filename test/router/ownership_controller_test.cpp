#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include "router/ownership_controller.hpp"

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

time_point now()
{
    return std::chrono::steady_clock::now();
}

// A view with one keyed service, whose servers accept all commands.
class ownership_controller_test : public testing::Test
{
protected:
    ownership_controller_test()
        : listener_({},
              [](const std::shared_ptr<http_exchange>& exchange) {
                  exchange->respond(http_response{});
              }),
          view_(route_settings{}),
          session_(
              store_.address(), metrics_, [](const watch_update&) {}, now)
    {
        listener_.listen({"127.0.0.1", 0});
        view_.update(
            {"configuration/main", object_version(1),
                json{{"Version", "00000001"}, {"Routes", json::array()},
                    {"Services", {{{"Name", "maps"}, {"Sharded", true},
                                     {"MaxConnections", 9}}}}}
                    .dump()},
            now());
    }

    void put_server(const std::string& id, std::uint64_t version)
    {
        view_.update(
            {"server/" + id, object_version(version),
                json{{"Service", "maps"}, {"Zone", "a"},
                    {"Address", to_string(listener_.address())},
                    {"Capacity", 2}, {"State", "ready"}, {"WarmupLeftMs", 0}}
                    .dump()},
            now());
    }

    ownership_controller make_controller()
    {
        return {settings_, view_, session_, 1, now(), now};
    }

    // Runs the controller until this server is the owner of a key.
    bool run_until_owned(
        ownership_controller& controller, const std::string& owner)
    {
        return run_until([&] {
            controller.advance(now());
            for (key_number key = 0; key < 65'536; key += 16) {
                if (view_.owner_of(service_id("maps"), key) ==
                    backend_server_id(owner))
                    return true;
            }
            return false;
        });
    }

    route_settings settings_;
    test::fake_store store_;
    http_listener listener_;
    deployment_view view_;
    metric_registry metrics_;
    store_session session_;
};

// Guards against instances that keep old owners of keys after the lease of the
// coordinator has lapsed and the same process has taken it again.
TEST_F(ownership_controller_test, PublishesOwnersAgainInTheSameTerm)
{
    {
        ownership_controller first = make_controller();
        for (std::uint64_t number = 1; number <= 6; ++number) {
            const std::string id = "i-" + std::to_string(number);
            put_server(id, number);
            ASSERT_TRUE(run_until_owned(first, id));
        }
    }
    put_server("i-7", 7);
    ownership_controller second = make_controller();
    EXPECT_TRUE(run_until_owned(second, "i-7"));
}

} // namespace
} // namespace filberthub
