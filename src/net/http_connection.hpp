// One accepted HTTP connection of `http_listener`. Internal to the library.

#ifndef FILBERTHUB_NET_HTTP_CONNECTION_HPP
#define FILBERTHUB_NET_HTTP_CONNECTION_HPP

#include "net/message_writer.hpp"

#include <filberthub/net/http_listener.hpp>

#include <QtNetwork/QTcpSocket>

#include <deque>

namespace filberthub {

// Owns the socket and the exchanges of the connection. It deletes itself when
// the socket is closed.
class http_connection : public QObject
{
public:
    http_connection(http_listener& listener, qintptr descriptor);
    ~http_connection() override;

    // Writes the responses that are ready, up to the first one that is missing.
    void write_ready_responses();

    // Closes the connection immediately and drops the missing responses.
    void abort();

    // Refuses a request that is not complete after the request timeout, and
    // closes the connection after the idle timeout. Call periodically.
    void close_if_expired(time_point now);

    // Closes the connection if it has been idle for a second. Call periodically
    // during a drain.
    void close_if_idle(time_point now);

    // States to the memory budget what the connection holds. Call after each
    // change, and periodically for what waits in the kernel.
    void account();

    // Whether a request waits for its response.
    bool serving() const;

    // When the caller last sent or read a byte.
    time_point last_progress() const
    {
        return std::max(last_activity_, last_written_);
    }

private:
    void read_available();
    void decode_requests();
    void refuse(const error& failure);
    void accept_request(http_request request);
    void update_buffered();
    void write_response(http_exchange& exchange);
    void on_shed();
    std::size_t max_open_exchanges() const;
    bool reading_paused() const;
    void on_closed();

    http_listener& listener_;
    QTcpSocket* socket_;
    detail::message_writer writer_;
    request_decoder decoder_;
    std::deque<std::shared_ptr<http_exchange>> exchanges_;
    std::size_t buffered_ = 0;
    time_point last_activity_;
    time_point last_written_;
    bool closing_ = false;
    bool decoding_ = false;
    // Whether bytes behind the last complete request were not decoded yet. An
    // incomplete request waits for further bytes instead.
    bool undecoded_ = false;
    // Whether the memory budget has dropped the connection.
    bool shed_ = false;
    // Whether the connection closes once the response in `writer_` is written.
    bool last_response_ = false;
    memory_holder holder_;
};

} // namespace filberthub

#endif
