#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/net/http_listener.hpp>

#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <sys/socket.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr milliseconds call_timeout{5'000};
constexpr std::size_t large_size = std::size_t{8} * 1024 * 1024;

std::string patterned_body(std::size_t size)
{
    std::string body(size, '\0');
    for (std::size_t index = 0; index < size; ++index)
        body[index] = static_cast<char>('a' + index / 1'000 % 23);
    return body;
}

// A server that responds after the first bytes of a request and reads no more
// of it.
class early_server : public QTcpServer
{
public:
    early_server(std::string answer, bool reset)
        : answer_(std::move(answer)), reset_(reset)
    {
        listen(QHostAddress::LocalHost);
        connect(this, &QTcpServer::newConnection, this, [this] {
            ++connections;
            QTcpSocket* socket = nextPendingConnection();
            socket->setReadBufferSize(1'024);
            connect(socket, &QTcpSocket::readyRead, this,
                [this, socket] { respond(socket); });
            connect(
                socket, &QTcpSocket::disconnected, this, [this] { ++closed; });
        });
    }

    endpoint address() const
    {
        return {"127.0.0.1", serverPort()};
    }

    int connections = 0;
    int closed = 0;

private:
    void respond(QTcpSocket* socket)
    {
        if (answer_.empty())
            return;
        socket->write(answer_.data(), static_cast<qint64>(answer_.size()));
        socket->flush();
        answer_.clear();
        if (!reset_)
            return;
        QTimer::singleShot(50, socket, [socket] {
            const linger no_linger{1, 0};
            ::setsockopt(static_cast<int>(socket->socketDescriptor()),
                SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
            socket->abort();
        });
    }

    std::string answer_;
    bool reset_;
};

std::optional<http_result> send_large(
    http_client& client, const std::string& body)
{
    std::optional<http_result> result;
    http_request request;
    request.method = "POST";
    request.body = body;
    client.send(std::move(request), call_timeout,
        [&](http_result value) { result = std::move(value); });
    run_until([&] { return result.has_value(); });
    return result;
}

// Guards against a body that is damaged when it is written in pieces, in either
// direction.
TEST(LargeBody, PassesUnchangedInBothDirections)
{
    http_listener listener(
        {}, [](const std::shared_ptr<http_exchange>& exchange) {
            http_response response;
            response.body = exchange->request().body;
            exchange->respond(std::move(response));
        });
    listener.listen({"127.0.0.1", 0});
    http_client client(listener.address(), {});
    for (const std::size_t size :
        {std::size_t{512} * 1024, std::size_t{512} * 1024 + 1, large_size}) {
        const std::string body = patterned_body(size);
        const auto result = send_large(client, body);
        ASSERT_TRUE(result && result->response) << size;
        EXPECT_TRUE(result->response->body == body) << size;
    }
    EXPECT_EQ(client.open_connections(), 1U);
}

// Guards against a request that follows on a connection in the middle of a body
// that the server responded to early.
TEST(LargeBody, ClosesTheConnectionOfAnEarlyResponse)
{
    early_server server(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    http_client client(server.address(), {});
    const auto result = send_large(client, patterned_body(4 * large_size));
    ASSERT_TRUE(result && result->response);
    EXPECT_EQ(result->response->body, "ok");
    EXPECT_TRUE(run_until([&] { return client.open_connections() == 0; }));
}

// Guards against a part of a response that looks complete: the server responds
// without a length while the request is still sent, and resets the connection.
TEST(LargeBody, GetsNoResponseThatAResetEnds)
{
    for (const bool close_delimited : {false, true}) {
        early_server server("HTTP/1.1 200 OK\r\n\r\npart", true);
        http_client client(
            server.address(), {.allow_close_delimited = close_delimited});
        const auto result = send_large(client, patterned_body(4 * large_size));
        ASSERT_TRUE(result);
        EXPECT_FALSE(result->response) << close_delimited;
        EXPECT_TRUE(result->sent);
    }
}

// Guards against a status that is none and reaches a caller.
TEST(ResponseStatus, BelowOneHundredIsNoResponse)
{
    for (const char* status : {"000", "001", "099", "0", "99", "-20"}) {
        early_server server("HTTP/1.1 " + std::string(status) +
                                " X\r\nContent-Length: 0\r\n\r\n",
            false);
        http_client client(server.address(), {});
        const auto result = send_large(client, "x");
        ASSERT_TRUE(result) << status;
        EXPECT_FALSE(result->response) << status;
        EXPECT_EQ(result->kind, error_kind::bad_backend_answer) << status;
    }
}

// Guards against a caller that does not read its response and keeps the memory.
TEST(LargeBody, IsDroppedIfItsCallerDoesNotReadIt)
{
    // More than the kernel takes of a connection that is not read.
    constexpr std::size_t size = 3 * large_size;
    const auto budget = std::make_shared<memory_budget>(
        memory_limits{3 * size, 3 * size, size});
    http_listener_options options;
    options.budget = budget;
    http_listener listener(
        options, [](const std::shared_ptr<http_exchange>& exchange) {
            http_response response;
            response.body = std::string(size, 'x');
            exchange->respond(std::move(response));
        });
    listener.listen({"127.0.0.1", 0});
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    for (int count = 0; count < 5; ++count) {
        auto socket = std::make_unique<QTcpSocket>();
        socket->setReadBufferSize(1'024);
        socket->connectToHost(QHostAddress::LocalHost, listener.address().port);
        socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        callers.push_back(std::move(socket));
    }
    EXPECT_TRUE(run_until([&] {
        return budget->shed(shed_reason::largest) +
                   budget->shed(shed_reason::stalled) ==
               3U;
    }));
    EXPECT_LE(budget->use().total(), 3 * size);
    EXPECT_TRUE(run_until([&] { return listener.connection_count() == 2; }));
}

} // namespace
} // namespace filberthub
