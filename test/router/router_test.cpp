#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/router/router.hpp>

#include <unistd.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

// Returns a loopback address that depends on the test and the process, so that
// tests that run at the same time do not use the same ports.
std::string unique_address()
{
    const std::string test =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    const std::size_t number = std::hash<std::string>()(test) % 100;
    return "127." + std::to_string(130 + number) + "." +
           std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(getpid() % 250 + 1);
}

// A router with a fake store and one fake server. The server has one slot and
// two connections, and each request may go to two servers.
class router_test : public testing::Test
{
protected:
    explicit router_test(milliseconds stop_grace = milliseconds(3'000))
        : client_({unique_address(), 8'080}, {.max_connections = 8}),
          router_(settings(stop_grace))
    {
        store_.put("config", "main",
            {{"Version", "0000000c"},
                {"Routes",
                    {{{"Name", "edit"}, {"Hostname", "maps.example"},
                        {"PathPrefix", "/edit/"}, {"RouteType", "unsafe"},
                        {"Service", "edits"}, {"MaxAttempts", 2},
                        {"TargetLatencyMs", 10'000}}}},
                {"Services", {{{"Name", "edits"}, {"MaxConnections", 2}}}}});
        put_server("ready", 1);
        router_.start();
    }

    route_settings settings(milliseconds stop_grace) const
    {
        route_settings result;
        result.instance = instance_id("router-1");
        result.domain = failure_domain_id("a");
        result.callers = {unique_address(), 8'080};
        result.readiness = {unique_address(), 8'081};
        result.peers = {unique_address(), 8'082};
        result.operators = {unique_address(), 8'083};
        result.store = store_.address();
        result.bounds.stop_grace = stop_grace;
        return result;
    }

    // Sets the entry of the server in the store.
    void put_server(const std::string& state, unsigned slots)
    {
        store_.put("servers", "i-1",
            {{"Service", "edits"}, {"Address", to_string(server_.address())},
                {"Zone", "a"}, {"Capacity", slots}, {"State", state},
                {"WarmupLeftMs", 0}, {"Version", "v1"}, {"Sequence", 1}});
    }

    // Sends three requests, of which one has to wait for a connection.
    bool occupy_connections()
    {
        put_server("ready", 4);
        if (!wait_until_ready())
            return false;
        for (const char* id : {"r1", "r2", "r3"})
            send(id);
        return run_until([&] { return server_.requests.size() == 2; });
    }

    bool wait_until_ready()
    {
        http_client readiness_client(
            {unique_address(), 8'081}, http_client_options{});
        int status = 0;
        return run_until([&] {
            if (readiness_client.calls() == 0 && status != 200) {
                readiness_client.send(http_request{}, milliseconds(500),
                    [&](const http_result& result) {
                        status = result.response ? result.response->status : 0;
                    });
            }
            return status == 200;
        });
    }

    void send(const std::string& id)
    {
        http_request request;
        request.method = "POST";
        request.target = "/edit/" + id;
        request.headers.set("Host", "maps.example");
        request.headers.set("X-Filberthub-Request-Id", id);
        request.headers.set("X-Filberthub-Deadline-Ms", "20000");
        client_.send(std::move(request), milliseconds(20'000),
            [this, id](const http_result& result) { results_[id] = result; });
    }

    int status_of(const std::string& id) const
    {
        const auto found = results_.find(id);
        return found == results_.end() || !found->second.response
                   ? 0
                   : found->second.response->status;
    }

    std::size_t count_answers_with(int status) const
    {
        std::size_t count = 0;
        for (const auto& [id, result] : results_)
            count += status_of(id) == status ? 1 : 0;
        return count;
    }

    test::fake_store store_;
    test::fake_server server_;
    http_client client_;
    std::map<std::string, http_result> results_;
    router router_;
};

// Guards against a request that reaches its server without the id of the server
// that was chosen.
TEST_F(router_test, ForwardsARequestWithTheExpectedServer)
{
    ASSERT_TRUE(wait_until_ready());
    send("r1");
    ASSERT_TRUE(run_until([&] { return server_.requests.size() == 1; }));
    const http_headers& headers = server_.requests[0]->request().headers;
    EXPECT_EQ(headers.get("X-Filberthub-Expect-Instance"), "i-1");
    EXPECT_EQ(headers.get("X-Filberthub-Request-Id"), "r1");
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return status_of("r1") == 200; }));
    EXPECT_EQ(results_["r1"].response->body, "done");
}

// Guards against a process that stops with unsent requests: their callers saw a
// closed connection, which does not tell that the request has not run.
TEST_F(router_test, RefusesUnsentRequestsBeforeItStops)
{
    ASSERT_TRUE(wait_until_ready());
    for (const char* id : {"r1", "r2", "r3", "r4"})
        send(id);
    ASSERT_TRUE(run_until([&] { return server_.requests.size() == 2; }));
    bool left = false;
    const time_point leave_started = std::chrono::steady_clock::now();
    router_.leave([&] { left = true; });
    ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
    EXPECT_EQ(count_answers_with(503), 2U);
    for (const auto& [id, result] : results_)
        EXPECT_TRUE(result.response->headers.get("Retry-After")) << id;
    EXPECT_LT(
        std::chrono::steady_clock::now() - leave_started, milliseconds(2'000));
    EXPECT_EQ(server_.requests.size(), 2U);
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return count_answers_with(200) == 1; }));
    // The other request may still run at its server, so that it gets 504 rather
    // than a refusal.
    ASSERT_TRUE(run_until([&] { return left; }));
    ASSERT_TRUE(run_until([&] { return results_.size() == 4; }));
    EXPECT_EQ(count_answers_with(504), 1U);
}

class stopping_router_test : public router_test
{
protected:
    stopping_router_test() : router_test(milliseconds(6'000)) {}

    static bool run_for(milliseconds time)
    {
        const time_point end = std::chrono::steady_clock::now() + time;
        return run_until(
            [end] { return std::chrono::steady_clock::now() >= end; });
    }
};

// Guards against a request that comes late in the grace period, is passed on
// and is cut off at the end: its caller cannot know whether it has run.
TEST_F(stopping_router_test, RefusesALateRequestThatMayOutlastTheProcess)
{
    ASSERT_TRUE(wait_until_ready());
    router_.leave([] {});
    ASSERT_TRUE(run_for(milliseconds(2'200)));
    QTcpSocket caller;
    caller.connectToHost(
        QHostAddress(QString::fromStdString(unique_address())), 8'080);
    ASSERT_TRUE(run_for(milliseconds(700)));
    caller.write("POST /edit/late HTTP/1.1\r\nHost: maps.example\r\n"
                 "X-Filberthub-Request-Id: late\r\n"
                 "X-Filberthub-Deadline-Ms: 20000\r\n"
                 "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] {
        return caller.bytesAvailable() > 0 || !server_.requests.empty();
    }));
    EXPECT_EQ(server_.requests.size(), 0U);
    EXPECT_TRUE(caller.readAll().startsWith("HTTP/1.1 503"));
}

// Guards against a request that reaches a server that has announced that it is
// leaving, because it waited for a connection meanwhile.
TEST_F(router_test, DoesNotSendAWaitingRequestToALeavingServer)
{
    ASSERT_TRUE(occupy_connections());
    put_server("draining", 4);
    send("r4");
    ASSERT_TRUE(run_until([&] { return status_of("r4") == 503; }));
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return count_answers_with(200) == 1; }));
    ASSERT_TRUE(run_until([&] {
        return count_answers_with(503) == 2 || server_.requests.size() == 3;
    }));
    EXPECT_EQ(server_.requests.size(), 2U);
    EXPECT_EQ(count_answers_with(503), 2U);
}

// Guards against a request that reaches a server after its entry was removed,
// because it waited for a connection meanwhile.
TEST_F(router_test, DoesNotSendAWaitingRequestToARemovedServer)
{
    ASSERT_TRUE(occupy_connections());
    store_.remove("servers", "i-1");
    ASSERT_TRUE(run_until([&] {
        if (status_of("r4") == 0 && client_.calls() == 3)
            send("r4");
        return status_of("r4") == 503;
    }));
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return count_answers_with(200) == 1; }));
    ASSERT_TRUE(run_until([&] {
        return count_answers_with(503) == 2 || server_.requests.size() == 3;
    }));
    EXPECT_EQ(server_.requests.size(), 2U);
}

// Guards against a server that works on a request for longer than its caller
// waits, because the request waited for a connection.
TEST_F(router_test, PassesOnTheTimeThatIsLeftWhenAConnectionIsFree)
{
    ASSERT_TRUE(occupy_connections());
    const time_point occupied = std::chrono::steady_clock::now();
    constexpr milliseconds wait(300);
    ASSERT_TRUE(run_until(
        [&] { return std::chrono::steady_clock::now() > occupied + wait; }));
    server_.answer(0, "done");
    ASSERT_TRUE(run_until([&] { return server_.requests.size() == 3; }));
    const auto left =
        server_.requests[2]->request().headers.get("X-Filberthub-Deadline-Ms");
    ASSERT_TRUE(left);
    EXPECT_LE(std::stol(std::string(*left)), 20'000 - wait.count());
}

} // namespace
} // namespace filberthub
