#include "net/loop.hpp"

#include <filberthub/net/peer_link.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr auto ignore_message = [](peer_connection&, const peer_message&) {};
constexpr auto ignore_closed = [](peer_connection&) {};

// Guards against "outcome unknown" for a request that never left.
TEST(PeerLink, ProvesThatNothingWasSentWhenItCannotConnect)
{
    endpoint unused;
    {
        peer_listener listener(ignore_message, ignore_closed);
        listener.listen({"127.0.0.1", 0});
        unused = listener.address();
    }
    std::optional<bool> established;
    peer_link link(
        unused, {}, ignore_message, [&](bool seen) { established = seen; });
    EXPECT_TRUE(link.send(cancel_message{forward_number(1)}));
    ASSERT_TRUE(run_until([&] { return established.has_value(); }));
    EXPECT_FALSE(*established);
    EXPECT_FALSE(link.send(cancel_message{forward_number(2)}));
}

TEST(PeerLink, ReportsAnEstablishedConnectionThatIsLost)
{
    int messages = 0;
    peer_connection* accepted = nullptr;
    peer_listener listener(
        [&](peer_connection& connection, const peer_message&) {
            accepted = &connection;
            ++messages;
        },
        ignore_closed);
    listener.listen({"127.0.0.1", 0});
    std::optional<bool> established;
    peer_link link(listener.address(), {}, ignore_message,
        [&](bool seen) { established = seen; });
    link.send(cancel_message{forward_number(1)});
    // The hello message and the cancel message.
    ASSERT_TRUE(run_until([&] { return messages == 2; }));
    accepted->close("test");
    ASSERT_TRUE(run_until([&] { return established.has_value(); }));
    EXPECT_TRUE(*established);
}

} // namespace
} // namespace filberthub
