#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/net/http_listener.hpp>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

constexpr milliseconds call_timeout{5000};

// A caller that writes raw bytes.
class raw_caller
{
public:
    explicit raw_caller(const endpoint& address)
    {
        socket_.connectToHost(
            QHostAddress(QString::fromStdString(address.address)),
            address.port);
    }

    void write(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    std::string& received()
    {
        received_ += socket_.readAll().toStdString();
        return received_;
    }

    bool waits_for(const std::string& text)
    {
        return run_until(
            [&] { return received().find(text) != std::string::npos; });
    }

    QTcpSocket& socket()
    {
        return socket_;
    }

private:
    QTcpSocket socket_;
    std::string received_;
};

class HttpListener : public testing::Test
{
protected:
    HttpListener()
        : listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              waiting_.push_back(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    void answer(std::size_t index, const std::string& body)
    {
        http_response response;
        response.body = body;
        waiting_.at(index)->respond(std::move(response));
    }

    bool has_requests(std::size_t count)
    {
        return run_until([&] { return waiting_.size() >= count; });
    }

    std::vector<std::shared_ptr<http_exchange>> waiting_;
    http_listener listener_;
};

constexpr const char* get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against the crash of QHttpServer on an early close.
TEST_F(HttpListener, SurvivesACallerThatClosesBeforeADeferredAnswer)
{
    bool cancelled = false;
    {
        raw_caller caller(listener_.address());
        caller.write(get);
        ASSERT_TRUE(has_requests(1));
        waiting_[0]->on_cancelled([&] { cancelled = true; });
    }
    ASSERT_TRUE(run_until([&] { return cancelled; }));
    answer(0, "late");
    EXPECT_EQ(listener_.in_flight(), 0u);
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
}

// Guards against the crossed pipelined answers of QHttpServer.
TEST_F(HttpListener, WritesPipelinedAnswersInTheOrderOfTheRequests)
{
    raw_caller caller(listener_.address());
    caller.write(std::string(get) + get);
    ASSERT_TRUE(has_requests(2));
    answer(1, "second");
    answer(0, "first");
    ASSERT_TRUE(caller.waits_for("second"));
    EXPECT_LT(
        caller.received().find("first"), caller.received().find("second"));
}

TEST_F(HttpListener, AbortClosesOneConnectionWithoutAnAnswer)
{
    raw_caller first(listener_.address());
    raw_caller second(listener_.address());
    first.write(get);
    ASSERT_TRUE(has_requests(1));
    second.write(get);
    ASSERT_TRUE(has_requests(2));
    waiting_[0]->abort();
    answer(0, "late");
    answer(1, "kept");
    ASSERT_TRUE(run_until([&] {
        return first.socket().state() == QAbstractSocket::UnconnectedState;
    }));
    EXPECT_EQ(first.received(), "");
    EXPECT_TRUE(second.waits_for("kept"));
}

// Guards against pending requests that stay counted after their connections
// were closed.
TEST_F(HttpListener, AbortConnectionsClosesAllAndAcceptsNewOnes)
{
    raw_caller caller(listener_.address());
    caller.write(get);
    ASSERT_TRUE(has_requests(1));
    listener_.abort_connections();
    EXPECT_EQ(listener_.in_flight(), 0u);
    ASSERT_TRUE(run_until([&] {
        return caller.socket().state() == QAbstractSocket::UnconnectedState;
    }));
    raw_caller next(listener_.address());
    next.write(get);
    ASSERT_TRUE(has_requests(2));
    answer(1, "next");
    EXPECT_TRUE(next.waits_for("next"));
}

TEST_F(HttpListener, AnswersABadRequestAfterThePendingOneAndCloses)
{
    raw_caller caller(listener_.address());
    caller.write(std::string(get) + "nonsense\r\n\r\n");
    ASSERT_TRUE(has_requests(1));
    answer(0, "first");
    ASSERT_TRUE(caller.waits_for("bad_request"));
    EXPECT_LT(
        caller.received().find("first"), caller.received().find("bad_request"));
    EXPECT_TRUE(run_until([&] {
        return caller.socket().state() == QAbstractSocket::UnconnectedState;
    }));
}

TEST_F(HttpListener, LimitsPipelinedRequestsOfOneConnection)
{
    raw_caller caller(listener_.address());
    std::string bytes;
    for (int count = 0; count < 100; ++count)
        bytes += get;
    caller.write(bytes);
    ASSERT_TRUE(has_requests(16));
    run_until([] { return false; }, milliseconds(50));
    EXPECT_EQ(waiting_.size(), 16u);
    for (std::size_t index = 0; index < 100; ++index) {
        ASSERT_TRUE(has_requests(index + 1));
        answer(index, "done");
    }
}

TEST_F(HttpListener, FinishesRequestsInFlightWhenDraining)
{
    raw_caller caller(listener_.address());
    caller.write(get);
    ASSERT_TRUE(has_requests(1));
    listener_.begin_drain();
    answer(0, "whole");
    ASSERT_TRUE(caller.waits_for("whole"));
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
}

TEST_F(HttpListener, ServesTheClient)
{
    http_client client(listener_.address(), {});
    std::optional<http_result> result;
    client.send({}, call_timeout, [&](http_result seen) { result = seen; });
    ASSERT_TRUE(has_requests(1));
    answer(0, "whole");
    ASSERT_TRUE(run_until([&] { return result.has_value(); }));
    ASSERT_TRUE(result->response) << result->message;
    EXPECT_EQ(result->response->body, "whole");
}

// A server that writes given bytes for each request it reads.
class raw_server : public QTcpServer
{
public:
    explicit raw_server(std::string answer) : answer_(std::move(answer))
    {
        listen(QHostAddress("127.0.0.1"));
        connect(this, &QTcpServer::newConnection, this, [this] {
            QTcpSocket* socket = nextPendingConnection();
            connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
                socket->readAll();
                ++requests;
                socket->write(
                    answer_.data(), static_cast<qint64>(answer_.size()));
                if (close_after)
                    socket->disconnectFromHost();
            });
        });
    }

    endpoint address() const
    {
        return {"127.0.0.1", serverPort()};
    }

    int requests = 0;
    bool close_after = false;

private:
    std::string answer_;
};

http_result result_of(http_client& client, milliseconds timeout = call_timeout)
{
    std::optional<http_result> result;
    client.send({}, timeout, [&](http_result seen) { result = seen; });
    EXPECT_TRUE(run_until([&] { return result.has_value(); }));
    return result.value_or(http_result{});
}

TEST(HttpClient, ReportsUnknownWhenAnAnswerIsTruncated)
{
    raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    server.close_after = true;
    http_client client(server.address(), {});
    const http_result result = result_of(client);
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.kind, error_kind::outcome_unknown);
    EXPECT_TRUE(result.sent);
    EXPECT_EQ(server.requests, 1);
}

// Guards against giving the second answer to the next request.
TEST(HttpClient, ClosesAConnectionOnWhichTheServerAnswersTwice)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    raw_server server(answer + "a" + answer + "b");
    http_client client(server.address(), {.max_connections = 1});
    for (int count = 0; count < 3; ++count)
        EXPECT_EQ(
            result_of(client).response.value_or(http_response{}).body, "a");
}

TEST(HttpClient, ProvesNotSentWhenNoConnectionCanBeMade)
{
    endpoint unused;
    {
        raw_server server("");
        unused = server.address();
    }
    http_client client(unused, {});
    const http_result result = result_of(client);
    EXPECT_FALSE(result.sent);
    EXPECT_EQ(answer_for(result.kind).result, outcome::not_run);
}

TEST(HttpClient, ClosesTheConnectionOfACancelledCall)
{
    raw_server server("");
    http_client client(server.address(), {});
    const call_number number = client.send({}, call_timeout,
        [](const http_result&) { FAIL() << "a cancelled call was answered"; });
    ASSERT_TRUE(run_until([&] { return server.requests == 1; }));
    EXPECT_TRUE(client.cancel(number));
    EXPECT_EQ(client.open_connections(), 0u);
}

TEST(HttpClient, ReportsUnknownWhenTheDeadlinePassesAfterSending)
{
    raw_server server("");
    http_client client(server.address(), {});
    const http_result result = result_of(client, milliseconds(100));
    EXPECT_EQ(result.kind, error_kind::outcome_unknown);
    EXPECT_TRUE(result.sent);
}

} // namespace
} // namespace filberthub
