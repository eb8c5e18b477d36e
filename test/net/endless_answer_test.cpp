#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>

#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

// How a faulty server answers: with `start` and then with `repeated` until the
// caller closes the connection.
struct endless_answer
{
    std::string name;
    std::string start;
    std::string repeated;
};

class endless_server : public QTcpServer
{
public:
    explicit endless_server(const endless_answer& answer)
    {
        listen(QHostAddress::LocalHost);
        for (int count = 0; count < 200; ++count)
            block_ += answer.repeated;
        connect(this, &QTcpServer::newConnection, this, [this, answer] {
            QTcpSocket* socket = nextPendingConnection();
            connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, start = answer.start] {
                    socket->readAll();
                    write(socket, start);
                    write(socket, block_);
                });
            connect(socket, &QTcpSocket::bytesWritten, this, [this, socket] {
                if (socket->bytesToWrite() == 0)
                    write(socket, block_);
            });
            connect(
                socket, &QTcpSocket::disconnected, this, [this] { ++closed; });
        });
    }

    endpoint address() const
    {
        return {"127.0.0.1", serverPort()};
    }

    int closed = 0;

private:
    static void write(QTcpSocket* socket, const std::string& bytes)
    {
        socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    std::string block_;
};

class endless_answers : public testing::TestWithParam<endless_answer>
{};

// Guards against a server whose answer never ends: its caller waited until the
// deadline, and the bytes filled the memory of the process.
TEST_P(endless_answers, FailTheCallAndCloseTheConnection)
{
    endless_server server(GetParam());
    http_client client(server.address(), {.echoed_field = "Id"});
    std::optional<http_result> result;
    http_request request;
    request.headers.set("Id", "1");
    constexpr milliseconds deadline(60'000);
    client.send(std::move(request), deadline,
        [&](http_result value) { result = std::move(value); });
    ASSERT_TRUE(run_until([&] { return result.has_value(); }));
    EXPECT_FALSE(result->response);
    EXPECT_TRUE(result->sent);
    EXPECT_EQ(result->kind, error_kind::bad_backend_answer);
    EXPECT_TRUE(run_until([&] { return server.closed == 1; }));
}

INSTANTIATE_TEST_SUITE_P(OfServers, endless_answers,
    testing::Values(endless_answer{"HeadWithoutALine",
                        "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaaaa"},
        endless_answer{"HeadOfLines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        endless_answer{"NoHttp", "", "\x01\x02garbage"},
        endless_answer{"EmptyLines", "", "\r\n"},
        endless_answer{"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_answer{"AnswersToOtherRequests", "",
            "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\na"},
        endless_answer{"Chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "00a\r\naaaaaaaaaa\r\n"},
        endless_answer{"ChunkSize",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "0000000000"},
        endless_answer{"ChunkExtension",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
            "aaaaaaaaaa"},
        endless_answer{"Trailer",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n"},
        endless_answer{"BodyWithALength",
            "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
            "aaaaaaaaaa"},
        endless_answer{
            "BodyWithoutALength", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaa"}),
    [](const auto& values) { return values.param.name; });

// Guards against servers whose endless answers together fill the memory of the
// process, while each of them is still below the limit of one answer.
TEST(AnswerBudget, EndsTheLargestAnswerOfAllServers)
{
    endless_server endless(
        {"Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "00a\r\naaaaaaaaaa\r\n"});
    endless_server unfinished(
        {"Unfinished", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", ""});
    http_client_options options;
    options.max_connections = 4;
    options.budget = std::make_shared<memory_budget>(
        memory_limits{100'000'000, 100'000'000, 1'000'000});
    http_client endless_client(endless.address(), options);
    http_client unfinished_client(unfinished.address(), options);
    constexpr milliseconds deadline(60'000);
    int failed = 0;
    for (int count = 0; count < 4; ++count) {
        endless_client.send({}, deadline, [&](const http_result& result) {
            EXPECT_EQ(result.kind, error_kind::bad_backend_answer);
            ++failed;
        });
    }
    bool unfinished_failed = false;
    unfinished_client.send(
        {}, deadline, [&](const http_result&) { unfinished_failed = true; });
    ASSERT_TRUE(run_until([&] { return failed == 4; }));
    EXPECT_LE(options.budget->use()[memory_kind::answer], 1'000'000U);
    EXPECT_FALSE(unfinished_failed);
}

} // namespace
} // namespace filberthub
