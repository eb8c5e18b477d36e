// What servers say of themselves in their answers, and answers that they write
// twice.

#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/router/router.hpp>

#include <unistd.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::raw_server;
using test::run_until;

// Returns a loopback address that depends on the test and the process.
std::string unique_address()
{
    const std::string test =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    const std::size_t number = std::hash<std::string>()(test) % 100;
    return "127." + std::to_string(30 + number) + "." +
           std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(getpid() % 250 + 1);
}

// A router with a fake store and one server, whose answers each test sets.
class server_answers_test : public testing::Test
{
protected:
    server_answers_test()
        : server_([this](QTcpSocket& socket, const http_request& request) {
              ++arrived_;
              sockets_.insert(&socket);
              on_request_(socket, request);
          }),
          client_({unique_address(), 8'080}, {.max_connections = 8}),
          router_(settings())
    {}

    route_settings settings() const
    {
        route_settings result;
        result.instance = instance_id("router-1");
        result.domain = failure_domain_id("a");
        result.callers = {unique_address(), 8'080};
        result.readiness = {unique_address(), 8'081};
        result.peers = {unique_address(), 8'082};
        result.operators = {unique_address(), 8'083};
        result.store = store_.address();
        return result;
    }

    void start(bool keyed)
    {
        store_.put("config", "main",
            {{"Version", "0000000c"},
                {"Routes",
                    {{{"Name", "edit"}, {"Hostname", "maps.example"},
                        {"PathPrefix", "/edit/"}, {"RouteType", "unsafe"},
                        {"Service", "edits"}, {"MaxAttempts", 2},
                        {"TargetLatencyMs", 10'000}}}},
                {"Services", {{{"Name", "edits"}, {"MaxConnections", 2},
                                 {"Sharded", keyed}}}}});
        put_server(1, 2);
        router_.start();
    }

    void put_server(std::uint64_t born, unsigned slots)
    {
        store_.put("servers", "i-1",
            {{"Service", "edits"}, {"Address", to_string(server_.address())},
                {"Zone", "a"}, {"Capacity", slots}, {"State", "ready"},
                {"WarmupLeftMs", 0}, {"Version", "v1"}, {"Sequence", 1},
                {"born", born}});
    }

    // Sends a request and returns the answer of the router.
    http_response call(const std::string& id)
    {
        http_request request;
        request.method = "POST";
        request.target = "/edit/" + id;
        request.headers.set("Host", "maps.example");
        request.headers.set("X-Filberthub-Request-Id", id);
        request.headers.set("X-Filberthub-Deadline-Ms", "5000");
        request.headers.set("X-Filberthub-Shard-Key", "7");
        std::optional<http_result> result;
        client_.send(std::move(request), milliseconds(8'000),
            [&](const http_result& seen) { result = seen; });
        run_until([&] { return result.has_value(); });
        return result && result->response ? *result->response : http_response{};
    }

    // Repeats requests until one reaches the server.
    bool call_until_arrived(const std::string& prefix)
    {
        const int before = arrived_;
        for (int number = 0; number < 200 && arrived_ == before; ++number) {
            last_answer_ = call(prefix + std::to_string(number));
            run_for(milliseconds(30));
        }
        return arrived_ > before;
    }

    static void run_for(milliseconds time)
    {
        const time_point end = std::chrono::steady_clock::now() + time;
        run_until([&] { return std::chrono::steady_clock::now() >= end; });
    }

    test::fake_store store_;
    int arrived_ = 0;
    std::set<QTcpSocket*> sockets_;
    raw_server::handler on_request_ = [](QTcpSocket& socket,
                                          const http_request& request) {
        raw_server::write(socket, raw_server::answer(request, 200));
    };
    raw_server server_;
    http_client client_;
    http_response last_answer_;
    router router_;
};

http_response refusal(const http_request& request)
{
    http_response response = raw_server::answer(request, 503);
    response.headers.set("X-Filberthub-Not-Executed", "1");
    return response;
}

// Guards against a caller that is told "not run" for a request that runs: the
// owner of a key refuses it, gets it again and repeats its refusal, with the
// right id, while it works.
TEST_F(server_answers_test, RepeatsARefusedRequestOverAnotherConnection)
{
    std::map<QTcpSocket*, http_response> last_refusals;
    std::map<std::string, int> attempts;
    int runs = 0;
    on_request_ = [&](QTcpSocket& socket, const http_request& request) {
        if (attempts[request.target]++ == 0) {
            last_refusals[&socket] = refusal(request);
            raw_server::write(socket, last_refusals[&socket]);
            return;
        }
        ++runs;
        const auto earlier = last_refusals.find(&socket);
        if (earlier != last_refusals.end())
            raw_server::write(socket, earlier->second);
        raw_server::write(socket, raw_server::answer(request, 200));
    };
    start(true);
    ASSERT_TRUE(call_until_arrived("a"));
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(last_answer_.status, 200);
    EXPECT_EQ(sockets_.size(), 2U);
}

// Guards against a rejection while the key gets its first owner, which takes
// 1.2 s, although the request could wait for it within its target latency.
TEST_F(server_answers_test, WaitsForAnOwnerOfTheKeyWithinTheTargetLatency)
{
    start(true);
    http_response answer;
    for (int number = 0; number < 200; ++number) {
        answer = call("w" + std::to_string(number));
        if (answer.body != "no configuration yet\n" && answer.status != 0)
            break;
        run_for(milliseconds(10));
    }
    EXPECT_EQ(answer.status, 200) << answer.body;
}

// Guards against an earlier refusal without an id that is taken for the answer
// to the request that is running.
TEST_F(server_answers_test, DoesNotBelieveARefusalWithoutAnId)
{
    on_request_ = [&](QTcpSocket& socket, const http_request& request) {
        if (arrived_ > 1) {
            http_response earlier = refusal(request);
            earlier.headers.remove("X-Filberthub-Request-Id");
            raw_server::write(socket, earlier);
        }
        raw_server::write(socket, raw_server::answer(request, 200));
    };
    start(false);
    ASSERT_TRUE(call_until_arrived("a"));
    ASSERT_EQ(last_answer_.status, 200);
    EXPECT_EQ(call("b").status, 502);
    EXPECT_EQ(arrived_, 2);
}

// Guards against requests to a server whose answers say that it is leaving,
// whatever its entry says, and against a server that stays unused after it has
// started anew.
TEST_F(server_answers_test, SendsNothingToAServerThatSaysItIsLeaving)
{
    on_request_ = [&](QTcpSocket& socket, const http_request& request) {
        http_response response = raw_server::answer(request, 200);
        if (arrived_ == 1)
            response.headers.set("Server-Leaving", "1");
        raw_server::write(socket, response);
    };
    start(false);
    ASSERT_TRUE(call_until_arrived("a"));
    ASSERT_EQ(last_answer_.status, 200);
    EXPECT_EQ(call("b").status, 503);
    // The entry is changed, lapses and comes back.
    put_server(1, 3);
    run_for(milliseconds(200));
    EXPECT_EQ(call("c").status, 503);
    store_.remove("servers", "i-1");
    run_for(milliseconds(200));
    put_server(1, 3);
    run_for(milliseconds(200));
    EXPECT_EQ(call("d").status, 503);
    EXPECT_EQ(arrived_, 1);
    put_server(2, 3);
    ASSERT_TRUE(call_until_arrived("e"));
    EXPECT_EQ(last_answer_.status, 200);
}

// Guards against requests to a server that has asked for a pause, and against
// callers that come back before it is over.
TEST_F(server_answers_test, SendsNothingToAServerThatRests)
{
    on_request_ = [&](QTcpSocket& socket, const http_request& request) {
        if (arrived_ == 1) {
            http_response response = refusal(request);
            response.headers.set("Retry-After", "1.5");
            raw_server::write(socket, response);
            return;
        }
        raw_server::write(socket, raw_server::answer(request, 200));
    };
    start(false);
    ASSERT_TRUE(call_until_arrived("a"));
    const time_point refused = std::chrono::steady_clock::now();
    EXPECT_EQ(last_answer_.status, 503);
    for (int number = 0; number < 10; ++number) {
        EXPECT_EQ(call("b" + std::to_string(number)).status, 503);
        run_for(milliseconds(20));
    }
    EXPECT_EQ(arrived_, 1);
    ASSERT_TRUE(call_until_arrived("c"));
    EXPECT_GE(std::chrono::steady_clock::now(), refused + milliseconds(1'400));
    EXPECT_EQ(last_answer_.status, 200);
}

// Guards against a request for a key that waits for its owner in vain.
TEST_F(server_answers_test, TellsCallersHowLongTheOwnerOfTheirKeyRests)
{
    on_request_ = [&](QTcpSocket& socket, const http_request& request) {
        http_response response = refusal(request);
        response.headers.set("Retry-After", "4");
        raw_server::write(socket, response);
    };
    start(true);
    ASSERT_TRUE(call_until_arrived("a"));
    const time_point sent = std::chrono::steady_clock::now();
    const http_response answer = call("b");
    EXPECT_LT(std::chrono::steady_clock::now(), sent + milliseconds(250));
    EXPECT_EQ(answer.status, 503);
    const auto wait = answer.headers.get("Retry-After");
    ASSERT_TRUE(wait);
    EXPECT_GT(std::stod(std::string(*wait)), 3.0);
    EXPECT_LE(std::stod(std::string(*wait)), 4.1);
    EXPECT_EQ(arrived_, 1);
}

} // namespace
} // namespace filberthub
