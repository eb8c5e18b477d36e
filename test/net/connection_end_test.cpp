#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr milliseconds call_timeout{5'000};

// Guards against a connection that stays in the list after it was deleted: a
// broadcast address makes the connect call itself fail, as a missing route to
// the network or a lack of descriptors does.
TEST(HttpClient, ForgetsAConnectionThatFailsAtOnce)
{
    http_client client({"127.255.255.255", 9}, {.max_connections = 2});
    std::size_t failed = 0;
    for (int call = 0; call < 3; ++call) {
        client.send({}, call_timeout, [&](const http_result& result) {
            EXPECT_FALSE(result.sent);
            ++failed;
        });
        EXPECT_EQ(failed, 0U) << "the callback ran inside send";
    }
    EXPECT_TRUE(run_until([&] { return failed == 3; }));
    EXPECT_EQ(client.open_connections(), 0U);
}

} // namespace
} // namespace filberthub
