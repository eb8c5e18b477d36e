// A router with a fake store and servers that answer at once, for tests of what
// one odd entry or answer may do to it.

#ifndef FILBERTHUB_TEST_ROUTER_ODD_INPUT_FIXTURE_HPP
#define FILBERTHUB_TEST_ROUTER_ODD_INPUT_FIXTURE_HPP

#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/router/router.hpp>

#include <unistd.h>

#include <gtest/gtest.h>

namespace filberthub::test {

// The router forwards "/reads/" to the service "reads" and "/plans/" to the
// service "plans".
class odd_input_fixture : public testing::Test
{
protected:
    odd_input_fixture()
        : reads_([this](QTcpSocket& socket, const http_request& request) {
              ++read_count_;
              raw_server::write(socket, raw_server::answer(request, 200));
          }),
          plans_([](QTcpSocket& socket, const http_request& request) {
              raw_server::write(socket, raw_server::answer(request, 200));
          }),
          client_({address(), 8'080}, {.max_connections = 8}),
          router_(settings())
    {}

    // Returns a loopback address that depends on the test and the process.
    static std::string address()
    {
        const std::string test =
            testing::UnitTest::GetInstance()->current_test_info()->name();
        const std::size_t number = std::hash<std::string>()(test) % 100;
        return "127." + std::to_string(20 + number) + "." +
               std::to_string(getpid() / 250 % 250) + "." +
               std::to_string(getpid() % 250 + 1);
    }

    route_settings settings() const
    {
        route_settings result;
        result.instance = instance_id("router-1");
        result.domain = failure_domain_id("a");
        result.callers = {address(), 8'080};
        result.readiness = {address(), 8'081};
        result.peers = {address(), 8'082};
        result.operators = {address(), 8'083};
        result.store = store_.address();
        return result;
    }

    static json route_to(const std::string& service)
    {
        return {{"Name", service}, {"Hostname", "maps.example"},
            {"PathPrefix", "/" + service + "/"}, {"RouteType", "safe"},
            {"Service", service}, {"MaxAttempts", 2},
            {"TargetLatencyMs", 1'000}};
    }

    // Starts the router with one server of each service.
    void start()
    {
        store_.put("config", "main",
            {{"Version", "0000000c"},
                {"Routes", {route_to("reads"), route_to("plans")}},
                {"Services", {{{"Name", "reads"}, {"MaxConnections", 4}},
                                 {{"Name", "plans"}, {"MaxConnections", 4}}}}});
        store_.put("servers", "i-reads", entry("reads", reads_.address(), 1));
        store_.put("servers", "i-plans", entry("plans", plans_.address(), 2));
        router_.start();
    }

    static json entry(
        const std::string& service, const endpoint& server, std::uint64_t born)
    {
        return {{"Service", service}, {"Address", to_string(server)},
            {"Zone", "a"}, {"Version", "1"}, {"Capacity", 4},
            {"State", "ready"}, {"WarmupLeftMs", 0}, {"Sequence", 1},
            {"born", born}};
    }

    // Sends a request and returns the status of its answer, or 0 without one.
    int call(const std::string& service)
    {
        http_request request;
        request.target = "/" + service + "/" + std::to_string(++calls_);
        request.headers.set("Host", "maps.example");
        request.headers.set(
            "X-Filberthub-Request-Id", "r" + std::to_string(calls_));
        request.headers.set("X-Filberthub-Deadline-Ms", "3000");
        std::optional<http_result> result;
        client_.send(std::move(request), milliseconds(4'000),
            [&](const http_result& seen) { result = seen; });
        run_until([&] { return result.has_value(); });
        return result && result->response ? result->response->status : 0;
    }

    // Repeats requests until one is served.
    bool call_until_served(const std::string& service)
    {
        return run_until([&] { return call(service) == 200; });
    }

    // Returns how many of 40 requests are served.
    int count_served(const std::string& service)
    {
        int served = 0;
        for (int number = 0; number < 40; ++number)
            served += call(service) == 200 ? 1 : 0;
        return served;
    }

    static void run_for(milliseconds time)
    {
        const time_point end = std::chrono::steady_clock::now() + time;
        run_until([&] { return std::chrono::steady_clock::now() >= end; });
    }

    fake_store store_;
    int read_count_ = 0;
    raw_server reads_;
    raw_server plans_;
    http_client client_;
    router router_;
    int calls_ = 0;
};

} // namespace filberthub::test

#endif
