#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include "router/ownership_controller.hpp"

#include <filberthub/telemetry/rejected_input.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

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
        put_server(id, version, listener_.address(), 1);
    }

    // `started` tells the incarnations of a server apart.
    void put_server(const std::string& id, std::uint64_t version,
        const endpoint& address, std::uint64_t started)
    {
        view_.update(
            {"server/" + id, object_version(version),
                json{{"Service", "maps"}, {"Zone", "a"},
                    {"Address", to_string(address)}, {"Capacity", 2},
                    {"State", "ready"}, {"WarmupLeftMs", 0}, {"Version", "v1"},
                    {"Sequence", 1}, {"born", started}}
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
            return owns_keys(owner);
        });
    }

    // Whether instances take this server for the owner of a key.
    bool owns_keys(const std::string& server) const
    {
        for (key_number key = 0; key < key_count; key += 16) {
            if (view_.owner_of(service_id("maps"), key) ==
                backend_server_id(server))
                return true;
        }
        return false;
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

// Guards against a server that gets no keys for as long as its coordinator
// runs, because it was cut off until its last grant had ended: nothing was sent
// to it any more that it could have answered.
TEST_F(ownership_controller_test, GivesKeysAgainToAServerThatWasSilent)
{
    bool silent = false;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    http_listener listener(
        {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            if (silent)
                unanswered.push_back(exchange);
            else
                exchange->respond(http_response{});
        });
    listener.listen({"127.0.0.1", 0});
    put_server("i-1", 1, listener.address(), 1);
    put_server("i-2", 2);
    ownership_controller controller = make_controller();
    ASSERT_TRUE(run_until_owned(controller, "i-1"));
    silent = true;
    ASSERT_TRUE(run_until([&] {
        controller.advance(now());
        const auto progress = controller.grant_progress(now());
        const auto& maps = progress.at(service_id("maps"));
        return maps.silent_servers == 1 && maps.keys.served == key_count &&
               !owns_keys("i-1");
    }));
    silent = false;
    EXPECT_TRUE(run_until_owned(controller, "i-1"));
    EXPECT_EQ(
        controller.grant_progress(now()).at(service_id("maps")).silent_servers,
        0U);
}

// A server that holds the keys that it was granted until it has to release them
// or restarts. The test must not take longer than a grant.
class key_holding_server
{
public:
    key_holding_server()
    {
        start({"127.0.0.1", 0});
    }

    // Ends all connections and loses all keys.
    void restart()
    {
        const endpoint address = listener_->address();
        listener_.reset();
        held_.assign(key_count, false);
        start(address);
    }

    endpoint address() const
    {
        return listener_->address();
    }

    bool holds(key_number key) const
    {
        return held_[key];
    }

    std::ptrdiff_t held_count() const
    {
        return std::count(held_.begin(), held_.end(), true);
    }

private:
    void start(const endpoint& address)
    {
        listener_ = std::make_unique<http_listener>(http_listener_options{},
            [this](const std::shared_ptr<http_exchange>& exchange) {
                execute(exchange->request());
                exchange->respond(http_response{});
            });
        listener_->listen(address);
    }

    void execute(const http_request& command)
    {
        const json content = json::parse(command.body);
        const auto last = content.at("To").get<key_number>();
        for (auto key = content.at("From").get<key_number>(); key <= last;
             ++key)
            held_[key] = command.target == "/-/grant";
    }

    std::unique_ptr<http_listener> listener_;
    std::vector<bool> held_ = std::vector<bool>(key_count, false);
};

// Guards against two owners after a server has restarted under its id: the
// grants that were sent before its entry changed may have reached the new
// incarnation.
TEST_F(ownership_controller_test, ReleasesTheKeysOfARestartedServer)
{
    key_holding_server restarted;
    key_holding_server other;
    put_server("i-1", 1, restarted.address(), 1);
    ownership_controller controller = make_controller();
    const auto run_until_held = [&](const key_holding_server& server,
                                    std::ptrdiff_t count) {
        return run_until([&] {
            controller.advance(now());
            for (key_number key = 0; key < key_count; ++key) {
                if (restarted.holds(key) && other.holds(key)) {
                    ADD_FAILURE() << "two servers hold key " << key;
                    return true;
                }
            }
            return server.held_count() >= count;
        });
    };
    ASSERT_TRUE(run_until_held(restarted, key_count));
    restarted.restart();
    ASSERT_TRUE(run_until_held(restarted, key_count));
    put_server("i-1", 2, restarted.address(), 2);
    put_server("i-2", 3, other.address(), 1);
    EXPECT_TRUE(run_until_held(other, key_count / 4));
}

// Guards against a coordinator that ends because a server has spoiled the
// handover of its keys: the next grant could not be written as JSON.
TEST_F(ownership_controller_test, MovesKeysWithoutAMalformedHandover)
{
    http_listener leaving(
        {}, [](const std::shared_ptr<http_exchange>& exchange) {
            http_response response;
            if (exchange->request().target == "/-/release")
                response.headers.set("X-Filberthub-Handover", "\xff\xfe");
            exchange->respond(std::move(response));
        });
    leaving.listen({"127.0.0.1", 0});
    std::vector<std::string> grants;
    http_listener next({}, [&](const std::shared_ptr<http_exchange>& exchange) {
        grants.push_back(exchange->request().body);
        exchange->respond(http_response{});
    });
    next.listen({"127.0.0.1", 0});
    put_server("i-1", 2, leaving.address(), 1);
    ownership_controller controller = make_controller();
    ASSERT_TRUE(run_until_owned(controller, "i-1"));
    const std::uint64_t rejected = rejected_count(rejected_input::handover);
    put_server("i-2", 3, next.address(), 2);
    view_.update({"server/i-1", object_version(4), std::nullopt}, now());
    ASSERT_TRUE(run_until_owned(controller, "i-2"));
    EXPECT_GT(rejected_count(rejected_input::handover), rejected);
    for (const std::string& grant : grants)
        EXPECT_FALSE(json::parse(grant).contains("Handover")) << grant;
}

// Guards against a coordinator that does the work for all ranges with each
// answer of a server, so that it stops answering a large fleet.
TEST_F(ownership_controller_test, HandlesAnswersThatArriveTogetherAtOnce)
{
    constexpr std::size_t servers = 433;
    std::vector<std::shared_ptr<http_exchange>> open;
    http_listener slow({}, [&](const std::shared_ptr<http_exchange>& exchange) {
        open.push_back(exchange);
    });
    slow.listen({"127.0.0.1", 0});
    for (std::size_t number = 0; number < servers; ++number) {
        put_server("i-" + std::to_string(number), number + 2, slow.address(),
            number + 1);
    }
    ownership_controller controller = make_controller();
    // As in a process, and not with each event.
    time_point next_tick;
    ASSERT_TRUE(run_until([&] {
        if (now() >= next_tick) {
            next_tick = now() + milliseconds(100);
            controller.advance(now());
        }
        return open.size() >= servers;
    }));
    const std::uint64_t changes = view_.objects().last_change();
    for (const auto& exchange : open)
        exchange->respond(http_response{});
    const auto granted = [&] {
        for (const auto& [id, progress] : controller.grant_progress(now())) {
            if (progress.keys.served == key_count)
                return true;
        }
        return false;
    };
    ASSERT_TRUE(run_until(granted));
    ASSERT_TRUE(run_until([&] {
        return view_.owner_of(service_id("maps"), key_count - 1).has_value();
    }));
    // Each part of the owners is published a few times, not once for each
    // range in it.
    EXPECT_LT(view_.objects().last_change() - changes, servers / 2);
}

// Guards against a new coordinator of a large fleet that does not answer other
// instances while it sends the grants of all ranges.
TEST_F(ownership_controller_test, HandlesOtherEventsBetweenManyCommands)
{
    constexpr std::size_t servers = 433;
    std::vector<std::shared_ptr<http_exchange>> open;
    http_listener slow({}, [&](const std::shared_ptr<http_exchange>& exchange) {
        open.push_back(exchange);
    });
    slow.listen({"127.0.0.1", 0});
    for (std::size_t number = 0; number < servers; ++number) {
        put_server("i-" + std::to_string(number), number + 2, slow.address(),
            number + 1);
    }
    ownership_controller controller = make_controller();
    std::size_t sent = 0;
    std::size_t most_in_a_turn = 0;
    QTimer each_turn;
    QObject::connect(&each_turn, &QTimer::timeout, [&] {
        for (const auto& [id, progress] : controller.grant_progress(now())) {
            const std::size_t commands = progress.keys.open_commands;
            if (commands > sent)
                most_in_a_turn = std::max(most_in_a_turn, commands - sent);
            sent = commands;
        }
    });
    each_turn.start(0);
    ASSERT_TRUE(run_until([&] {
        controller.advance(now());
        return open.size() >= servers;
    }));
    EXPECT_LT(most_in_a_turn, servers / 4);
}

// Guards against a coordinator that plans, and looks at all ranges, after each
// renewal, from which nothing follows: small processors fell behind.
TEST_F(ownership_controller_test, DoesNothingForARenewal)
{
    bool holds_answers = false;
    std::vector<std::shared_ptr<http_exchange>> open;
    http_listener server(
        {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            if (holds_answers)
                open.push_back(exchange);
            else
                exchange->respond(http_response{});
        });
    server.listen({"127.0.0.1", 0});
    put_server("i-1", 2, server.address(), 1);
    ownership_controller controller = make_controller();
    ASSERT_TRUE(run_until_owned(controller, "i-1"));
    const time_point owned = now();
    const auto wait_until = [&](milliseconds after) {
        run_until([&] { return now() >= owned + after; });
    };
    wait_until(milliseconds(1'000));
    holds_answers = true;
    controller.advance(now());
    ASSERT_TRUE(run_until([&] { return !open.empty(); }));
    wait_until(milliseconds(1'300));
    // The next plan will give keys to this server.
    put_server("i-2", 3, server.address(), 1);
    open.front()->respond(http_response{});
    wait_until(milliseconds(1'600));
    const auto progress = controller.grant_progress(now());
    EXPECT_FALSE(progress.at(service_id("maps")).write_open);
    EXPECT_GE(progress.at(service_id("maps")).table_age, milliseconds(1'500));
    holds_answers = false;
    EXPECT_TRUE(run_until_owned(controller, "i-2"));
}

} // namespace
} // namespace filberthub
