// A fake backend server whose test writes the answers byte by byte.
//
//     test::raw_server server([](QTcpSocket& socket, const http_request&
//     request) {
//         test::raw_server::write(socket, test::raw_server::answer(request,
//         200));
//     });

#ifndef FILBERTHUB_TEST_ROUTER_RAW_SERVER_HPP
#define FILBERTHUB_TEST_ROUTER_RAW_SERVER_HPP

#include <filberthub/base/types.hpp>
#include <filberthub/http/decoder.hpp>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <memory>

namespace filberthub::test {

// A server of keys that accepts all grants. Other requests are handled by the
// test, with the connection they arrived on, to which it may write anything.
class raw_server : public QObject
{
public:
    using handler = std::function<void(QTcpSocket&, const http_request&)>;

    explicit raw_server(handler on_request) : on_request_(std::move(on_request))
    {
        listener_.listen(QHostAddress::LocalHost, 0);
        connect(&listener_, &QTcpServer::newConnection, this, [this] {
            while (QTcpSocket* socket = listener_.nextPendingConnection())
                accept(socket);
        });
    }

    endpoint address() const
    {
        return {"127.0.0.1", listener_.serverPort()};
    }

    // Returns an answer to the request with the given status and fields.
    static http_response answer(const http_request& request, int status)
    {
        http_response response;
        response.status = status;
        response.headers.set("X-Filberthub-Server-Signature", "signed");
        response.headers.set("X-Filberthub-Request-Id",
            std::string(
                request.headers.get("X-Filberthub-Request-Id").value_or("")));
        return response;
    }

    static void write(QTcpSocket& socket, const http_response& response)
    {
        const std::string bytes = encode(response);
        socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

private:
    void accept(QTcpSocket* socket)
    {
        auto decoder = std::make_shared<request_decoder>(http_limits{});
        connect(socket, &QTcpSocket::readyRead, this, [this, socket, decoder] {
            const QByteArray bytes = socket->readAll();
            decoder->feed(
                {bytes.constData(), static_cast<std::size_t>(bytes.size())});
            while (const auto request = decoder->next()) {
                if (request->target.starts_with("/-/"))
                    write(*socket, http_response{});
                else
                    on_request_(*socket, *request);
            }
        });
    }

    handler on_request_;
    QTcpServer listener_;
};

} // namespace filberthub::test

#endif
