// A listener that cannot accept a connection for a while.

#include "net/loop.hpp"

#include <filberthub/net/http_listener.hpp>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <sys/resource.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

// Leaves the process no free descriptor during its lifetime.
class descriptor_shortage
{
public:
    descriptor_shortage()
    {
        getrlimit(RLIMIT_NOFILE, &usual_);
        rlimit none = usual_;
        none.rlim_cur = 3;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~descriptor_shortage()
    {
        setrlimit(RLIMIT_NOFILE, &usual_);
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit usual_{};
};

// Guards against an instance that says it is ready and takes no new connection:
// Qt pauses a listener after an error of `accept`.
TEST(AcceptFailure, IsFollowedByFurtherAccepts)
{
    int arrived = 0;
    http_listener listener(
        {}, [&](const std::shared_ptr<http_exchange>& exchange) {
            ++arrived;
            exchange->respond(http_response{});
        });
    listener.listen({"127.0.0.1", 0});
    QTcpSocket refused;
    refused.connectToHost(QHostAddress::LocalHost, listener.address().port);
    {
        const descriptor_shortage shortage;
        for (int turn = 0; turn < 50; ++turn)
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, listener.address().port);
    ASSERT_TRUE(run_until(
        [&] { return socket.state() == QAbstractSocket::ConnectedState; }));
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(run_until([&] { return arrived == 1; }));
}

} // namespace
} // namespace filberthub
