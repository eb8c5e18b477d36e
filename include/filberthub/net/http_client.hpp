// Sends HTTP/1.1 requests to one server over a bounded set of connections.
//
//     http_client client({"127.0.0.1", 9000}, {.max_connections = 2});
//     client.send(request, milliseconds(500), [](http_result result) {
//         if (result.response) ...
//     });
//
// `QNetworkAccessManager` is not used: it repeats a GET on its own after a lost
// connection, whereas the user of this class decides about attempts, slots and
// cancellation.

#ifndef FILBERTHUB_NET_HTTP_CLIENT_HPP
#define FILBERTHUB_NET_HTTP_CLIENT_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>
#include <filberthub/http/decoder.hpp>
#include <filberthub/routing/memory_budget.hpp>

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace filberthub {

// The result of one request.
struct http_result
{
    // The complete response. If it is empty, `kind` and `message` state why.
    std::optional<http_response> response;
    error_kind kind = error_kind::internal;
    std::string message;
    // Whether a byte of the request may have reached the server. `false` proves
    // that the server did not receive it.
    bool sent = false;
    // Whether the source of the request withdrew the call before it was sent.
    bool withdrawn = false;
    // How long the call waited for a connection. If it was not sent, the whole
    // time until it failed.
    milliseconds connection_wait{0};
};

using http_callback = std::function<void(http_result)>;
// Builds a request when a connection is free for it, or returns nothing to
// withdraw the call.
using http_request_source = std::function<std::optional<http_request>()>;
using call_number = strong_number<struct call_number_tag, std::uint64_t>;

// Where a call may be sent.
enum class connection_choice : std::uint8_t
{
    any,
    // Only over a connection that has carried no request. For a request that
    // the server has already refused once: what the server writes again on the
    // old connection cannot be told from the answer to the new attempt.
    unused
};

struct http_client_options
{
    std::size_t max_connections = 2;
    http_limits limits;
    milliseconds connect_timeout{1000};
    // Whether each request carries a number in `Filberthub-Exchange`. If the
    // server echoes the field, a late response is never taken for the response
    // to the next request on the connection.
    bool number_exchanges = false;
    // Name of a request field that the server echoes in its response. A
    // response with another value is dropped, and the client continues to wait.
    // A response without the field is faulty, unless the connection has carried
    // no other request. Empty if the server echoes no field.
    std::string echoed_field;
    // Whether a response without a length is accepted and ends when the server
    // closes the connection. A reset does not complete a response.
    bool allow_close_delimited = false;
    // A connection that was idle for this time is not used again, because the
    // server may be closing it. The `Keep-Alive` field of a response shortens
    // it.
    milliseconds idle_limit{60'000};
    // If set, a request that the server has not acknowledged after this time is
    // dropped by the kernel, and one in flight when the process ends is not
    // sent any more. Otherwise it may arrive once a broken link works again.
    std::optional<milliseconds> delivery_limit;
    // Bounds what all connections that share it hold. Without one, each
    // response is bounded by `limits` only.
    std::shared_ptr<memory_budget> budget;
};

inline constexpr const char* exchange_header = "Filberthub-Exchange";

namespace detail {
class client_connection;
}

// Sends at most one request at a time on a connection, and never repeats a
// request. An exception of a callback is logged and does not affect other
// calls. A connection is not used again after a cancelled request, a timeout,
// a malformed response or unexpected bytes.
class http_client : public QObject
{
public:
    http_client(endpoint address, http_client_options options);
    ~http_client() override;

    // Sends a request as soon as a connection is free. `callback` is called
    // exactly once, later, unless the call is cancelled or the client is
    // destroyed first.
    call_number send(http_request request, milliseconds timeout,
        http_callback callback,
        connection_choice choice = connection_choice::any);

    // The same for a request that depends on what is known when its first byte
    // is sent, which may be long after this call.
    call_number send_when_free(http_request_source source, milliseconds timeout,
        http_callback callback,
        connection_choice choice = connection_choice::any);

    // Cancels a call; its callback is not called. Its connection is closed,
    // which tells the server to stop. Returns whether a byte of the request may
    // have reached the server.
    bool cancel(call_number number);

    // Returns whether bytes of an unfinished call were sent.
    bool is_sent(call_number number) const;

    // Sets the function that is called when the server closes or resets an
    // established connection, which indicates that the server restarts.
    void on_reset(std::function<void()> callback);

    std::size_t open_connections() const
    {
        return connections_.size();
    }

    std::size_t calls() const
    {
        return calls_.size();
    }

    // Changes the maximum number of connections. Open connections are kept.
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
        http_request_source source;
        http_callback callback;
        time_point accepted;
        // When its first byte was sent.
        std::optional<time_point> started;
        time_point deadline;
        connection_choice choice = connection_choice::any;
        detail::client_connection* connection = nullptr;

        milliseconds connection_wait(time_point now) const;
    };

    void dispatch();
    detail::client_connection* find_connection(
        const call& item, time_point now) const;
    void start_waiting(time_point now);
    bool close_one_connection(time_point now);
    void open_connections_for_waiting();
    void withdraw(call_number number);
    void reject(call_number number);
    void finish_later(call_number number, http_result result);
    void finish(call_number number, http_result result);
    static void report(const http_callback& callback, http_result result);
    void remove(detail::client_connection* connection, bool reset);
    void fail_expired();
    void arm_timer();

    endpoint address_;
    http_client_options options_;
    std::unordered_map<call_number, call> calls_;
    std::deque<call_number> waiting_;
    std::vector<detail::client_connection*> connections_;
    std::function<void()> reset_callback_;
    QTimer timer_;
    call_number last_number_{0};
};

} // namespace filberthub

#endif
