#include "net/loop.hpp"

#include <filberthub/net/peer_link.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr auto ignore_message = [](peer_connection&, const peer_message&) {};
constexpr auto ignore_closed = [](peer_connection&) {};

// A request that was never sent must not be reported as "outcome unknown",
// because its caller could then not repeat it.
TEST(PeerLink, ReportsThatNothingWasSentWhenItCannotConnect)
{
    endpoint unused;
    {
        peer_listener listener(ignore_message, ignore_closed);
        listener.listen({"127.0.0.1", 0});
        unused = listener.address();
    }
    std::optional<bool> established;
    peer_link link(
        unused, {}, ignore_message, [&](bool value) { established = value; });
    EXPECT_TRUE(link.send(cancel_message{forward_number(1)}));
    ASSERT_TRUE(run_until([&] { return established.has_value(); }));
    EXPECT_FALSE(*established);
    EXPECT_FALSE(link.send(cancel_message{forward_number(2)}));
}

// Guards against a message that is sent after it was reported as lost: the
// connect call to a broadcast address fails inside `send`.
TEST(PeerLink, ReportsAConnectionThatFailsAtOnceAfterItsMessage)
{
    bool sending = true;
    std::optional<bool> established;
    peer_link link({"127.255.255.255", 9}, {}, ignore_message, [&](bool value) {
        EXPECT_FALSE(sending);
        established = value;
    });
    EXPECT_TRUE(link.send(cancel_message{forward_number(1)}));
    sending = false;
    ASSERT_TRUE(run_until([&] { return established.has_value(); }));
    EXPECT_FALSE(*established);
}

// Messages on a lost connection may have been received, and so their requests
// must not be reported as "not run".
TEST(PeerLink, ReportsTheLossOfAnEstablishedConnection)
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
        [&](bool value) { established = value; });
    link.send(cancel_message{forward_number(1)});
    // The hello message and the cancel message have arrived.
    ASSERT_TRUE(run_until([&] { return messages == 2; }));
    accepted->close("test");
    ASSERT_TRUE(run_until([&] { return established.has_value(); }));
    EXPECT_TRUE(*established);
}

} // namespace
} // namespace filberthub
