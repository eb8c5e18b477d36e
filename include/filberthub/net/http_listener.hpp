// Accepts HTTP/1.1 connections on the Qt event loop.
//
//     http_listener listener({}, [](std::shared_ptr<http_exchange> exchange) {
//         exchange->respond(response_to(exchange->request()));
//     });
//     listener.listen({"127.0.0.1", 8080});
//
// `QHttpServer` of Qt 6.4.2 is not used: it crashes when a caller closes its
// connection before a deferred response, and it writes pipelined responses in
// the order of their completion.

#ifndef FILBERTHUB_NET_HTTP_LISTENER_HPP
#define FILBERTHUB_NET_HTTP_LISTENER_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/decoder.hpp>
#include <filberthub/routing/memory_budget.hpp>

#include <QtNetwork/QTcpServer>

#include <functional>
#include <memory>
#include <unordered_set>

namespace filberthub {

class http_connection;

// A request and its response. It stays valid after the caller has closed the
// connection; the response is then dropped. Call its functions only on the
// thread of the listener.
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

    // Responds to the request. Call once; later calls have no effect. The
    // responses on a connection are written in the order of its requests.
    void respond(http_response response);

    // Closes the connection without a response. Call when no statement about
    // the outcome of the request may reach the caller.
    void abort();

    // Sets the function that is called when the caller closes the connection
    // before the response.
    void on_cancelled(std::function<void()> callback);

    bool answered() const
    {
        return response_.has_value();
    }

private:
    friend class http_connection;

    http_request request_;
    std::size_t head_bytes_ = 0;
    std::optional<http_response> response_;
    std::function<void()> cancelled_callback_;
    // Null after the connection was closed.
    http_connection* connection_;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct http_listener_options
{
    http_limits limits;
    // Maximum number of requests of one connection that wait for a response.
    std::size_t pipelined_requests = 16;
    // Maximum number of bytes that all connections together hold for incomplete
    // requests.
    std::size_t buffered_bytes = std::size_t{512} * 1024 * 1024;
    // Maximum time until a request is complete.
    milliseconds request_timeout{30'000};
    // Time after which an idle connection is closed.
    milliseconds idle_timeout{300'000};
    // Bounds what all connections that share it hold, if set.
    std::shared_ptr<memory_budget> budget;
    // Bytes that the kernel receives ahead on each connection; 0 leaves that to
    // the kernel.
    std::size_t receive_buffer_bytes = 0;
    // Maximum number of open connections. A further one takes the place of the
    // connection without an open request that has been inactive for longest.
    std::size_t max_connections = 1'000'000;
};

// Guarantees that each response goes to the connection of its request, in the
// order of the requests, that the handler gets only complete requests, and that
// a connection holds no more bytes than the limits allow.
class http_listener : public QTcpServer
{
public:
    http_listener(http_listener_options options, http_handler handler);
    ~http_listener() override;

    // Starts to accept connections. Port 0 selects a free port. Throws `error`
    // of kind `bad_settings` if the address cannot be used.
    void listen(const endpoint& address);

    // Returns the address in use, with the selected port.
    endpoint address() const;

    // Closes each connection after its next response or when it is idle, and
    // continues to accept connections. Call at the start of a shutdown, while
    // callers are still directed to this instance.
    void announce_close();

    // Does the same and refuses new connections. Call before the process exits.
    void begin_drain();

    // Changes the size limits of connections that are accepted from now on, and
    // the timeouts of all connections.
    void set_limits(const http_limits& limits, milliseconds request_timeout,
        milliseconds idle_timeout);

    // Closes all connections without the missing responses. The listener goes
    // on accepting new ones.
    void abort_connections();

    bool draining() const
    {
        return draining_;
    }

    // Returns the number of requests that wait for their responses.
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
    bool make_room();

    http_listener_options options_;
    http_handler handler_;
    std::unordered_set<http_connection*> connections_;
    std::size_t in_flight_ = 0;
    std::size_t buffered_ = 0;
    bool draining_ = false;
};

// Returns the response to a caller for a kind of error. It has the fields
// `Filberthub-Outcome` and `Filberthub-Error`, and a JSON body with `message`.
http_response error_response(error_kind kind, std::string_view message);

} // namespace filberthub

#endif
