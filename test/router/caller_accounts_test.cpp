#include "net/loop.hpp"
#include "router/fake_platform.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/router/router.hpp>

#include <unistd.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

// Returns a loopback address that depends on the test and the process.
std::string unique_address()
{
    const std::string test =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    const std::size_t number = std::hash<std::string>()(test) % 100;
    return "127." + std::to_string(130 + number) + "." +
           std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(getpid() % 250 + 1);
}

// A router with a fake store and one fake server with two connections.
class caller_accounts_test : public testing::Test
{
protected:
    caller_accounts_test()
        : client_({unique_address(), 8'080}, {.max_connections = 8}),
          router_(settings())
    {
        store_.put("servers", "i-1",
            {{"Service", "edits"}, {"Address", to_string(server_.address())},
                {"Zone", "a"}, {"Capacity", 4}, {"State", "ready"},
                {"WarmupLeftMs", 0}, {"Version", "v1"}, {"Sequence", 1}});
    }

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

    // Sets the configuration with these accounts, or without any.
    void put_config(const std::string& version, const json& accounts)
    {
        const auto route = [](const char* prefix, bool is_public) {
            return json{{"Name", prefix}, {"Hostname", "maps.example"},
                {"PathPrefix", prefix}, {"RouteType", "unsafe"},
                {"Service", "edits"}, {"TargetLatencyMs", 10'000},
                {"Public", is_public}};
        };
        json config = {{"Version", version},
            {"Routes", {route("/edit/", false), route("/public/", true)}},
            {"Services", {{{"Name", "edits"}, {"MaxConnections", 2}}}}};
        if (!accounts.is_null())
            config["Tenants"] = accounts;
        store_.put("config", "main", config);
    }

    static json account(const std::string& name, const json& keys)
    {
        return {{"Name", name}, {"ApiKeys", keys}, {"Priority", 1}};
    }

    bool start()
    {
        router_.start();
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

    void send(const std::string& id, const std::string& target,
        const std::string& credentials)
    {
        http_request request;
        request.method = "POST";
        request.target = target;
        request.headers.set("Host", "maps.example");
        request.headers.set("X-Filberthub-Request-Id", id);
        request.headers.set("X-Filberthub-Deadline-Ms", "20000");
        request.headers.set("X-Filberthub-Tenant", "forged");
        if (!credentials.empty())
            request.headers.set("Authorization", credentials);
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

    // Waits until the server has this number of requests, and returns the
    // fields of the last one.
    http_headers headers_at_server(std::size_t count)
    {
        if (!run_until([&] { return server_.requests.size() == count; }))
            return {};
        const http_headers headers =
            server_.requests[count - 1]->request().headers;
        server_.answer(count - 1, "done");
        return headers;
    }

    test::fake_store store_;
    test::fake_server server_;
    http_client client_;
    std::map<std::string, http_result> results_;
    router router_;
};

// Guards against a caller that is served without a valid key, and against a key
// that reaches a server.
TEST_F(caller_accounts_test, ServesOnlyCallersWithAKey)
{
    put_config(
        "00000001", json::array({account("maps", json::array({"k-1"}))}));
    ASSERT_TRUE(start());
    send("none", "/edit/1", "");
    send("unknown", "/edit/1", "Bearer k-2");
    send("scheme", "/edit/1", "Basic k-1");
    send("empty", "/edit/1", "Bearer ");
    ASSERT_TRUE(run_until([&] { return results_.size() == 4; }));
    for (const char* id : {"none", "unknown", "scheme", "empty"}) {
        EXPECT_EQ(status_of(id), 401) << id;
        EXPECT_TRUE(results_[id].response->headers.get("WWW-Authenticate"));
    }
    EXPECT_EQ(server_.requests.size(), 0U);
    send("known", "/edit/1", "bearer k-1");
    const http_headers headers = headers_at_server(1);
    EXPECT_EQ(headers.get("X-Filberthub-Tenant"), "maps");
    EXPECT_FALSE(headers.get("Authorization"));
    ASSERT_TRUE(run_until([&] { return status_of("known") == 200; }));
}

// Guards against a server that takes the caller's field for the account, on
// routes that need no key.
TEST_F(caller_accounts_test, RemovesTheFieldOfTheCallerOnPublicRoutes)
{
    put_config(
        "00000001", json::array({account("maps", json::array({"k-1"}))}));
    ASSERT_TRUE(start());
    send("key", "/public/1", "Bearer k-1");
    const http_headers with_key = headers_at_server(1);
    EXPECT_EQ(with_key.get("X-Filberthub-Request-Id"), "key");
    EXPECT_FALSE(with_key.get("X-Filberthub-Tenant"));
    EXPECT_FALSE(with_key.get("Authorization"));
    send("other", "/public/1", "Basic abc");
    EXPECT_EQ(headers_at_server(2).get("Authorization"), "Basic abc");
}

// Guards against a deployment without accounts that is served otherwise than
// before, and against a forged account there.
TEST_F(caller_accounts_test, NeedsNoKeyWithoutAccounts)
{
    put_config("00000001", nullptr);
    ASSERT_TRUE(start());
    send("r1", "/edit/1", "Bearer k-1");
    const http_headers headers = headers_at_server(1);
    EXPECT_EQ(headers.get("Authorization"), "Bearer k-1");
    EXPECT_FALSE(headers.get("X-Filberthub-Tenant"));
}

// Guards against an answer that tells a caller that its key is wrong before the
// keys are known.
TEST_F(caller_accounts_test, RejectsNoKeyWithoutAConfiguration)
{
    router_.start();
    send("r1", "/edit/1", "Bearer k-1");
    ASSERT_TRUE(run_until([&] { return status_of("r1") != 0; }));
    EXPECT_EQ(status_of("r1"), 503);
}

// Guards against a request that is sent although its key was revoked while it
// waited, and against an open connection on which a revoked key is valid.
TEST_F(caller_accounts_test, RejectsAWaitingRequestWhoseKeyIsRevoked)
{
    put_config("00000001", json::array({account("maps", json::array({"k-1"})),
                               account("tiles", json::array({"k-2", "k-3"}))}));
    ASSERT_TRUE(start());
    send("sent", "/edit/1", "Bearer k-1");
    send("occupies", "/edit/1", "Bearer k-2");
    ASSERT_TRUE(run_until([&] { return server_.requests.size() == 2; }));
    send("revoked", "/edit/1", "Bearer k-1");
    send("moved", "/edit/1", "Bearer k-2");
    // The first version is still in force, so that both wait.
    send("open", "/edit/1", "Bearer k-4");
    ASSERT_TRUE(run_until([&] { return status_of("open") == 401; }));
    put_config("00000002", json::array({account("tiles", json::array({"k-3"})),
                               account("maps", json::array({"k-2"}))}));
    ASSERT_TRUE(run_until([&] { return status_of("revoked") != 0; }));
    EXPECT_EQ(status_of("revoked"), 401);
    send("again", "/edit/1", "Bearer k-1");
    ASSERT_TRUE(run_until([&] { return status_of("again") != 0; }));
    EXPECT_EQ(status_of("again"), 401);
    server_.answer(0, "done");
    const http_headers headers = headers_at_server(3);
    EXPECT_EQ(headers.get("X-Filberthub-Request-Id"), "moved");
    EXPECT_EQ(headers.get("X-Filberthub-Tenant"), "maps");
    ASSERT_TRUE(run_until([&] { return status_of("moved") == 200; }));
    EXPECT_EQ(status_of("sent") + status_of("occupies"), 200);
    EXPECT_EQ(server_.requests.size(), 3U);
}

// Guards against a quota that is not enforced, and against a request that is
// counted although it has not run.
TEST_F(caller_accounts_test, EnforcesTheQuotaOfAnAccount)
{
    json limited = account("maps", json::array({"k-1"}));
    limited["RatePerS"] = 1;
    limited["Burst"] = 1;
    put_config("00000001", json::array({limited}));
    ASSERT_TRUE(start());
    // Nothing is admitted until the first share.
    ASSERT_TRUE(run_until([&] {
        if (client_.calls() == 0 && status_of("first") != 200)
            send("first", "/edit/1", "Bearer k-1");
        if (!server_.requests.empty() && status_of("first") != 200)
            server_.answer(0, "done");
        return status_of("first") == 200;
    }));
    // (1 x 5 + 1) x 1.1 + 16 are 22 requests in a window.
    std::size_t answered = 1;
    for (int number = 1; number <= 30; ++number)
        send(std::to_string(number), "/edit/1", "Bearer k-1");
    ASSERT_TRUE(run_until([&] {
        if (server_.requests.size() > answered)
            server_.answer(answered++, "done");
        return results_.size() == 31;
    }));
    std::size_t served = 0;
    for (int number = 1; number <= 30; ++number) {
        const std::string id = std::to_string(number);
        served += status_of(id) == 200 ? 1 : 0;
        if (status_of(id) != 200) {
            EXPECT_EQ(status_of(id), 429);
            EXPECT_TRUE(results_[id].response->headers.get("Retry-After"));
        }
    }
    EXPECT_EQ(served, 21U);
    EXPECT_EQ(server_.requests.size(), 22U);
}

} // namespace
} // namespace filberthub
