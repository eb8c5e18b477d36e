// Sends HTTP/1.1 requests to one server over a bounded set of connections.
//
//     http_client client({"127.0.0.1", 9000}, {.max_connections = 2});
//     client.send(request, milliseconds(500), [](http_result result) {
//         if (result.response) ...
//     });
//
// `QNetworkAccessManager` is not used: it repeats a GET by itself on a dropped
// connection, and attempts, slots and cancellation belong to the caller of this
// class.

#ifndef FILBERTHUB_NET_HTTP_CLIENT_HPP
#define FILBERTHUB_NET_HTTP_CLIENT_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/decoder.hpp>

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace filberthub {

// What became of one request.
struct http_result
{
    // The complete answer; without one `kind` says why.
    std::optional<http_response> response;
    error_kind kind = error_kind::internal;
    std::string message;
    // Whether a byte of the request may have reached the server. `false` is a
    // proof that the server did not see it.
    bool sent = false;
};

using http_callback = std::function<void(http_result)>;
using call_number = strong_number<struct call_number_tag, std::uint64_t>;

struct http_client_options
{
    std::size_t max_connections = 2;
    http_limits limits;
    milliseconds connect_timeout{1000};
    // Whether each request carries a number in `Filberthub-Exchange`. A server
    // that echoes the field cannot have a late answer taken for that of the
    // next request on the connection.
    bool number_exchanges = false;
    // Field of the request that the server repeats in its answer. An answer
    // with another value is dropped, and the right one is waited for. Empty for
    // none.
    std::string echoed_field;
    // Whether an answer may end with its connection. A connection that is reset
    // does not end an answer.
    bool unframed_answers = false;
    // A connection that has rested this long is not used again, because the
    // server may be closing it. `Keep-Alive` of an answer shortens it.
    milliseconds idle_limit{60'000};
};

inline constexpr const char* exchange_header = "Filberthub-Exchange";

namespace detail {
class client_connection;
}

// Guarantees one request at a time on a connection, never repeats a request,
// and never uses a connection again after a cancelled request, a timeout, a
// faulty answer or unexpected bytes.
class http_client : public QObject
{
public:
    http_client(endpoint address, http_client_options options);
    ~http_client() override;

    // Sends a request. `callback` is called exactly once, later, unless the
    // call is cancelled or the client is destroyed first.
    call_number send(
        http_request request, milliseconds timeout, http_callback callback);

    // Gives up a call without calling back. Its connection is closed, which
    // tells the server. Returns whether a byte of the request may have reached
    // the server.
    bool cancel(call_number number);

    // Whether bytes of an open call were sent.
    bool is_sent(call_number number) const;

    // Sets what is called when the server closes or resets a connection that
    // it should have kept. A server that restarts is seen in this way.
    void on_reset(std::function<void()> callback);

    std::size_t open_connections() const
    {
        return connections_.size();
    }

    std::size_t calls() const
    {
        return calls_.size();
    }

    // Changes the number of connections; open ones stay.
    void set_max_connections(std::size_t count)
    {
        options_.max_connections = count;
    }

    const endpoint& address() const
    {
        return address_;
    }

private:
    friend class detail::client_connection;

    struct call
    {
        http_request request;
        http_callback callback;
        time_point deadline;
        detail::client_connection* connection = nullptr;
        bool sent = false;
    };

    void dispatch();
    void finish(call_number number, http_result result);
    void remove(detail::client_connection* connection, bool reset);
    void check_timeouts();
    void arm_timer();

    endpoint address_;
    http_client_options options_;
    std::unordered_map<call_number, call> calls_;
    std::deque<call_number> waiting_;
    std::vector<detail::client_connection*> connections_;
    std::function<void()> reset_;
    QTimer timer_;
    call_number last_{0};
};

} // namespace filberthub

#endif
