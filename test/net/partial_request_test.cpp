// Requests that have arrived in part.

#include "net/loop.hpp"

#include <filberthub/net/http_listener.hpp>

#include <QtCore/QAbstractEventDispatcher>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

class partial_request_test : public testing::TestWithParam<std::string>
{};

// Guards against a connection that uses a whole core until its request is
// complete. Counts turns of the event loop in which something was done, which
// does not depend on the speed of the machine.
TEST_P(partial_request_test, CostsNothingWhileItWaits)
{
    int arrived = 0;
    http_listener listener(
        {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            ++arrived;
            exchange->respond(http_response{});
        });
    listener.listen({"127.0.0.1", 0});
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, listener.address().port);
    ASSERT_TRUE(run_until(
        [&] { return socket.state() == QAbstractSocket::ConnectedState; }));
    const std::string complete = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.write((complete + GetParam()).c_str());
    ASSERT_TRUE(
        run_until([&] { return arrived == 1 && socket.bytesAvailable() > 0; }));
    socket.readAll();
    QAbstractEventDispatcher* loop = QAbstractEventDispatcher::instance();
    for (int turn = 0; turn < 100; ++turn)
        loop->processEvents(QEventLoop::AllEvents);
    constexpr int turns = 500;
    int busy_turns = 0;
    for (int turn = 0; turn < turns; ++turn)
        busy_turns += loop->processEvents(QEventLoop::AllEvents) ? 1 : 0;
    EXPECT_LT(busy_turns, turns / 10);
}

INSTANTIATE_TEST_SUITE_P(Parts, partial_request_test,
    testing::Values("GET /2 HT", "GET /2 HTTP/1.1\r\nHost: a\r\nX:",
        "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nab"));

// Guards against requests that wait in the buffer of the connection for ever,
// because more of them arrived at once than may be open.
TEST(PipelinedRequests, AreAllServedIfTheyArriveAtOnce)
{
    constexpr int count = 50;
    int arrived = 0;
    http_listener_options options;
    options.pipelined_requests = 4;
    http_listener listener(
        options, [&](const std::shared_ptr<http_exchange>& exchange) {
            ++arrived;
            exchange->respond(http_response{});
        });
    listener.listen({"127.0.0.1", 0});
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, listener.address().port);
    std::string requests;
    for (int number = 0; number < count; ++number)
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_TRUE(run_until(
        [&] { return socket.state() == QAbstractSocket::ConnectedState; }));
    socket.write(requests.c_str());
    EXPECT_TRUE(run_until([&] { return arrived == count; }));
}

} // namespace
} // namespace filberthub
