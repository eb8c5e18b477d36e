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

// A caller that sends raw bytes.
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

    // Returns whether `text` is received within the time limit of `run_until`.
    bool receives(const std::string& text)
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

// A listener whose handler keeps each exchange until the test responds.
class HttpListener : public testing::Test
{
protected:
    HttpListener()
        : listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              exchanges_.push_back(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    void respond(std::size_t index, const std::string& body)
    {
        http_response response;
        response.body = body;
        exchanges_.at(index)->respond(std::move(response));
    }

    bool has_requests(std::size_t count)
    {
        return run_until([&] { return exchanges_.size() >= count; });
    }

    std::vector<std::shared_ptr<http_exchange>> exchanges_;
    http_listener listener_;
};

constexpr const char* get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

// QHttpServer crashes when a caller closes its connection before a deferred
// response.
TEST_F(HttpListener, SurvivesACallerThatClosesBeforeADeferredResponse)
{
    bool cancelled = false;
    {
        raw_caller caller(listener_.address());
        caller.write(get);
        ASSERT_TRUE(has_requests(1));
        exchanges_[0]->on_cancelled([&] { cancelled = true; });
    }
    ASSERT_TRUE(run_until([&] { return cancelled; }));
    respond(0, "late");
    EXPECT_EQ(listener_.in_flight(), 0u);
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
}

// QHttpServer writes pipelined responses in the order of their completion, so
// that a caller assigns them to the wrong requests.
TEST_F(HttpListener, WritesPipelinedResponsesInTheOrderOfTheRequests)
{
    raw_caller caller(listener_.address());
    caller.write(std::string(get) + get);
    ASSERT_TRUE(has_requests(2));
    respond(1, "second");
    respond(0, "first");
    ASSERT_TRUE(caller.receives("second"));
    EXPECT_LT(
        caller.received().find("first"), caller.received().find("second"));
}

// Aborting one exchange must neither send its late response nor affect another
// connection.
TEST_F(HttpListener, AbortClosesOneConnectionWithoutAResponse)
{
    raw_caller first(listener_.address());
    raw_caller second(listener_.address());
    first.write(get);
    ASSERT_TRUE(has_requests(1));
    second.write(get);
    ASSERT_TRUE(has_requests(2));
    exchanges_[0]->abort();
    respond(0, "late");
    respond(1, "kept");
    ASSERT_TRUE(run_until([&] {
        return first.socket().state() == QAbstractSocket::UnconnectedState;
    }));
    EXPECT_EQ(first.received(), "");
    EXPECT_TRUE(second.receives("kept"));
}

// Pending requests must not stay counted after their connections were closed.
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
    respond(1, "next");
    EXPECT_TRUE(next.receives("next"));
}

// The refusal of a malformed request must not overtake the response to the
// request before it, and bytes after it must not be taken for a request.
TEST_F(HttpListener, RefusesABadRequestAfterThePendingOneAndCloses)
{
    raw_caller caller(listener_.address());
    caller.write(std::string(get) + "nonsense\r\n\r\n");
    ASSERT_TRUE(has_requests(1));
    respond(0, "first");
    ASSERT_TRUE(caller.receives("bad_request"));
    EXPECT_LT(
        caller.received().find("first"), caller.received().find("bad_request"));
    EXPECT_TRUE(run_until([&] {
        return caller.socket().state() == QAbstractSocket::UnconnectedState;
    }));
}

// One connection must not fill the memory with pending requests. Requests above
// the limit are read later and not lost.
TEST_F(HttpListener, LimitsPipelinedRequestsOfOneConnection)
{
    raw_caller caller(listener_.address());
    std::string bytes;
    for (int count = 0; count < 100; ++count)
        bytes += get;
    caller.write(bytes);
    ASSERT_TRUE(has_requests(16));
    run_until([] { return false; }, milliseconds(50));
    EXPECT_EQ(exchanges_.size(), 16u);
    for (std::size_t index = 0; index < 100; ++index) {
        ASSERT_TRUE(has_requests(index + 1));
        respond(index, "done");
    }
}

// A drain must not drop the response to a request that was accepted before.
TEST_F(HttpListener, CompletesRequestsInFlightWhenDraining)
{
    raw_caller caller(listener_.address());
    caller.write(get);
    ASSERT_TRUE(has_requests(1));
    listener_.begin_drain();
    respond(0, "whole");
    ASSERT_TRUE(caller.receives("whole"));
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
}

// Guards against pipelined requests that are passed on and get no response,
// because the response before them closes the connection during a drain.
TEST_F(HttpListener, AnswersAllPipelinedRequestsInFlightWhenDraining)
{
    raw_caller caller(listener_.address());
    caller.write(std::string(get) + get + get);
    ASSERT_TRUE(has_requests(3));
    listener_.begin_drain();
    respond(2, "third");
    respond(0, "first");
    ASSERT_TRUE(caller.receives("first"));
    EXPECT_EQ(caller.received().find("Connection: close"), std::string::npos);
    respond(1, "second");
    ASSERT_TRUE(caller.receives("third"));
    EXPECT_LT(caller.received().find("second"),
        caller.received().find("Connection: close"));
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
}

// Guards against a caller that keeps requests under way on its connection, so
// that no response closes it before the process ends.
TEST_F(HttpListener, TakesNoRequestBehindAnOpenOneWhenDraining)
{
    raw_caller caller(listener_.address());
    caller.write(get);
    ASSERT_TRUE(has_requests(1));
    respond(0, "before");
    ASSERT_TRUE(caller.receives("before"));
    listener_.announce_close();
    caller.write(get);
    ASSERT_TRUE(has_requests(2));
    caller.write(get);
    EXPECT_FALSE(
        run_until([&] { return exchanges_.size() > 2; }, milliseconds(200)));
    respond(1, "last");
    ASSERT_TRUE(caller.receives("last"));
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(run_until([&] { return listener_.connection_count() == 0; }));
    EXPECT_EQ(exchanges_.size(), 2U);
}

// The client and the listener must agree on the format of the messages.
TEST_F(HttpListener, ServesTheClient)
{
    http_client client(listener_.address(), {});
    std::optional<http_result> result;
    client.send({}, call_timeout, [&](http_result value) { result = value; });
    ASSERT_TRUE(has_requests(1));
    respond(0, "whole");
    ASSERT_TRUE(run_until([&] { return result.has_value(); }));
    ASSERT_TRUE(result->response) << result->message;
    EXPECT_EQ(result->response->body, "whole");
}

// A server that sends the same bytes each time it receives data.
class raw_server : public QTcpServer
{
public:
    explicit raw_server(std::string response) : response_(std::move(response))
    {
        listen(QHostAddress("127.0.0.1"));
        connect(this, &QTcpServer::newConnection, this, [this] {
            QTcpSocket* socket = nextPendingConnection();
            connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
                socket->readAll();
                ++requests;
                socket->write(
                    response_.data(), static_cast<qint64>(response_.size()));
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
    std::string response_;
};

// Sends a request and returns its result.
http_result result_of(http_client& client, milliseconds timeout = call_timeout)
{
    std::optional<http_result> result;
    client.send({}, timeout, [&](http_result value) { result = value; });
    EXPECT_TRUE(run_until([&] { return result.has_value(); }));
    return result.value_or(http_result{});
}

// A truncated response must not look complete, and its request must not be sent
// again, because the server may have executed it.
TEST(HttpClient, ReportsUnknownWhenAResponseIsTruncated)
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

// The second response must not be taken for that of the next request.
TEST(HttpClient, ClosesAConnectionOnWhichTheServerRespondsTwice)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    raw_server server(response + "a" + response + "b");
    http_client client(server.address(), {.max_connections = 1});
    for (int count = 0; count < 3; ++count)
        EXPECT_EQ(
            result_of(client).response.value_or(http_response{}).body, "a");
}

// A request that was never sent must be reported as "not run", so that it can
// be sent to another server.
TEST(HttpClient, ReportsNotSentWhenItCannotConnect)
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

// The response to a cancelled call must not be taken for that of the next one.
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

// After the request was sent, the server may have executed it.
TEST(HttpClient, ReportsUnknownWhenTheDeadlinePassesAfterSending)
{
    raw_server server("");
    http_client client(server.address(), {});
    const http_result result = result_of(client, milliseconds(100));
    EXPECT_EQ(result.kind, error_kind::outcome_unknown);
    EXPECT_TRUE(result.sent);
}

// Guards against a request that is sent on the grounds of what was known before
// it waited for a connection.
TEST(HttpClient, AsksForTheRequestOnlyWhenAConnectionIsFree)
{
    raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    http_client client(server.address(), {.max_connections = 1});
    std::optional<http_result> first;
    std::optional<http_result> second;
    int asked = 0;
    client.send({}, call_timeout, [&](http_result value) { first = value; });
    client.send_when_free(
        [&]() -> std::optional<http_request> {
            EXPECT_TRUE(first);
            ++asked;
            return std::nullopt;
        },
        call_timeout, [&](http_result value) { second = value; });
    ASSERT_TRUE(run_until([&] { return second.has_value(); }));
    EXPECT_EQ(asked, 1);
    EXPECT_TRUE(second->withdrawn);
    EXPECT_FALSE(second->sent);
    EXPECT_EQ(server.requests, 1);
    EXPECT_EQ(client.open_connections(), 1U);
}

// Guards against an idle connection that is left to the server to close, which
// looks like a restart of the server.
TEST(HttpClient, ClosesAConnectionThatWasIdleForTooLong)
{
    raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    http_client client(server.address(),
        {.max_connections = 2, .idle_limit = milliseconds(200)});
    int answers = 0;
    const auto count_answer = [&](const http_result&) { ++answers; };
    client.send({}, call_timeout, count_answer);
    client.send({}, call_timeout, count_answer);
    ASSERT_TRUE(run_until([&] { return answers == 2; }));
    EXPECT_EQ(client.open_connections(), 2U);
    // The calls use one of the connections.
    EXPECT_TRUE(run_until([&] {
        if (client.calls() == 0)
            client.send({}, call_timeout, count_answer);
        return client.open_connections() == 1;
    }));
}

} // namespace
} // namespace filberthub
