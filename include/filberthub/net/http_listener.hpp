// Accepts HTTP/1.1 connections on the Qt event loop.
//
//     http_listener listener({}, [](std::shared_ptr<http_exchange> exchange) {
//         exchange->respond(answer_to(exchange->request()));
//     });
//     listener.listen({"127.0.0.1", 8080});
//
// `QHttpServer` of Qt 6.4.2 is not used: it dies when a caller closes before a
// deferred answer, and writes pipelined answers in the order of completion.

#ifndef FILBERTHUB_NET_HTTP_LISTENER_HPP
#define FILBERTHUB_NET_HTTP_LISTENER_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/decoder.hpp>

#include <QtNetwork/QTcpServer>

#include <functional>
#include <memory>
#include <unordered_set>

namespace filberthub {

class http_connection;

// One request and the place for its answer. It stays valid after the caller
// closed; an answer is dropped then. All calls are made on the thread of the
// listener.
class http_exchange
{
public:
    http_exchange(http_request request, http_connection* connection);

    const http_request& request() const
    {
        return request_;
    }

    http_request& request()
    {
        return request_;
    }

    // Answers the request. To be called once; later calls have no effect. The
    // answers of a connection are written in the order of its requests.
    void respond(http_response response);

    // Closes the connection without an answer. To be called when the caller
    // must learn nothing about the request.
    void abort();

    // Sets what is called when the caller closes before it has its answer.
    void on_cancelled(std::function<void()> callback);

    bool answered() const
    {
        return response_.has_value();
    }

private:
    friend class http_connection;

    http_request request_;
    std::optional<http_response> response_;
    std::function<void()> cancelled_;
    // Null once the connection has gone.
    http_connection* connection_;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct http_listener_options
{
    http_limits limits;
    // Requests of one connection that may wait for their answer.
    std::size_t pipelined_requests = 16;
    // Bytes that all connections together may hold for incomplete requests.
    std::size_t buffered_bytes = std::size_t{512} * 1024 * 1024;
    // Time for a request to arrive completely.
    milliseconds request_timeout{30'000};
    // Time that an idle connection stays open.
    milliseconds idle_timeout{300'000};
};

// Guarantees that each answer goes to the connection and the position of its
// own request, that a request is either complete or refused, and that a
// connection holds no more than the limits.
class http_listener : public QTcpServer
{
public:
    http_listener(http_listener_options options, http_handler handler);
    ~http_listener() override;

    // Starts to accept. Throws `error` of kind `bad_settings` if the address
    // cannot be used. Port 0 chooses a free one.
    void listen(const endpoint& address);

    // Address that is in use, with the chosen port.
    endpoint address() const;

    // Goes on to accept connections, and closes each one after its next answer
    // or when it is idle. To be called while callers are still sent here.
    void announce_close();

    // The same, and refuses new connections. To be called when the process
    // leaves.
    void begin_drain();

    // Changes what callers may send and how long they may take, for messages
    // that begin from now on.
    void set_limits(const http_limits& limits, milliseconds request_timeout,
        milliseconds idle_timeout);

    // Closes every connection without the missing answers. The listener goes
    // on to accept new ones.
    void abort_connections();

    bool draining() const
    {
        return draining_;
    }

    // Requests that wait for their answers.
    std::size_t in_flight() const
    {
        return in_flight_;
    }

    std::size_t connection_count() const
    {
        return connections_.size();
    }

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    friend class http_connection;

    void close_expired();

    http_listener_options options_;
    http_handler handler_;
    std::unordered_set<http_connection*> connections_;
    std::size_t in_flight_ = 0;
    std::size_t buffered_ = 0;
    bool draining_ = false;
};

// Builds the answer to a caller for a kind of error, with the fields
// `Filberthub-Outcome` and `Filberthub-Error` and `message` as JSON body.
http_response error_response(error_kind kind, std::string_view message);

} // namespace filberthub

#endif
