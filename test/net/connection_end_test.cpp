#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr milliseconds call_timeout{5'000};

// Accepts one connection at a time without Qt, which reports a reset like an
// orderly close.
class plain_server
{
public:
    plain_server()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(listener_, generic, size), 0);
        EXPECT_EQ(::listen(listener_, 8), 0);
        EXPECT_EQ(::getsockname(listener_, generic, &size), 0);
        port_ = ::ntohs(address.sin_port);
    }

    plain_server(const plain_server&) = delete;
    plain_server& operator=(const plain_server&) = delete;

    ~plain_server()
    {
        close_connection();
        ::close(listener_);
    }

    endpoint address() const
    {
        return {"127.0.0.1", port_};
    }

    // Accepts the next connection and waits for the first bytes on it.
    bool accept_request()
    {
        close_connection();
        return run_until([this] {
            if (connection_ < 0)
                connection_ =
                    ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
            char byte = 0;
            return connection_ >= 0 &&
                   ::recv(connection_, &byte, 1, MSG_PEEK) == 1;
        });
    }

    // Reads until the connection ends, and returns the error number, or 0 after
    // an orderly close.
    int read_to_the_end() const
    {
        int error = -1;
        run_until([&] {
            char bytes[4'096];
            const ssize_t size = ::recv(connection_, bytes, sizeof(bytes), 0);
            if (size == 0)
                error = 0;
            else if (size < 0 && errno != EAGAIN)
                error = errno;
            return error >= 0;
        });
        return error;
    }

    // Writes an answer and closes the connection in an orderly way.
    void answer_and_close(std::string_view bytes)
    {
        char request[4'096];
        while (::recv(connection_, request, sizeof(request), 0) > 0) {
        }
        EXPECT_EQ(::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
        close_connection();
    }

private:
    void close_connection()
    {
        if (connection_ >= 0)
            ::close(connection_);
        connection_ = -1;
    }

    int listener_;
    int connection_ = -1;
    std::uint16_t port_ = 0;
};

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

// Guards against a request that arrives long after it was given up: the kernel
// goes on to send what is not acknowledged, unless the connection is reset.
TEST(HttpClient, ResetsTheConnectionOfACallWithoutAnAnswer)
{
    plain_server server;
    http_client client(server.address(), {});
    bool failed = false;
    client.send({}, milliseconds(100), [&](const http_result& result) {
        EXPECT_TRUE(result.sent);
        failed = true;
    });
    ASSERT_TRUE(server.accept_request());
    ASSERT_TRUE(run_until([&] { return failed; }));
    EXPECT_EQ(server.read_to_the_end(), ECONNRESET);
}

// Guards against the same for a client that ends while a call is open.
TEST(HttpClient, ResetsTheConnectionOfAnOpenCallWhenItEnds)
{
    plain_server server;
    auto client =
        std::make_unique<http_client>(server.address(), http_client_options{});
    client->send({}, call_timeout, [](const http_result&) {});
    ASSERT_TRUE(server.accept_request());
    client.reset();
    EXPECT_EQ(server.read_to_the_end(), ECONNRESET);
}

// Guards against an answer that breaks off in its head or its body and reaches
// the caller as a complete one.
TEST(HttpClient, ReportsNoAnswerThatBreaksOff)
{
    const std::string answers[] = {
        "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
        "0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    plain_server server;
    for (const std::string& answer : answers) {
        for (std::size_t size = 0; size < answer.size(); ++size) {
            http_client client(
                server.address(), {.allow_close_delimited = true});
            std::optional<http_result> result;
            client.send({}, call_timeout,
                [&](http_result value) { result = std::move(value); });
            ASSERT_TRUE(server.accept_request());
            server.answer_and_close(std::string_view(answer).substr(0, size));
            ASSERT_TRUE(run_until([&] { return result.has_value(); }));
            EXPECT_FALSE(result->response) << answer.substr(0, size);
            EXPECT_TRUE(result->sent);
        }
    }
}

} // namespace
} // namespace filberthub
