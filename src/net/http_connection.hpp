// One accepted HTTP connection of `http_listener`. Internal to the library.

#ifndef FILBERTHUB_NET_HTTP_CONNECTION_HPP
#define FILBERTHUB_NET_HTTP_CONNECTION_HPP

#include <filberthub/net/http_listener.hpp>

#include <QtNetwork/QTcpSocket>

#include <deque>

namespace filberthub {

// Owns the socket. It deletes itself when the socket is closed.
class http_connection : public QObject
{
public:
    http_connection(http_listener& listener, qintptr descriptor);
    ~http_connection() override;

    // Writes the answers that are complete and first in order.
    void write_ready_answers();

    // Closes the connection at once; answers that are missing are dropped.
    void abort();

    // Closes the connection if it waited too long for the caller.
    void close_if_expired(time_point now);

    // Closes the connection if it has been idle for a second.
    void close_if_idle(time_point now);

private:
    void read_available();
    void decode_requests();
    void refuse(const error& failure);
    void accept_request(http_request request);
    void account_buffered();
    void on_closed();

    http_listener& listener_;
    QTcpSocket* socket_;
    request_decoder decoder_;
    std::deque<std::shared_ptr<http_exchange>> exchanges_;
    std::size_t buffered_ = 0;
    time_point last_activity_;
    bool closing_ = false;
    bool decoding_ = false;
};

} // namespace filberthub

#endif
