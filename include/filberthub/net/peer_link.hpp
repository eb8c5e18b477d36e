// Connections between instances, which carry `peer_message` values.
//
//     peer_listener listener(handler);
//     listener.listen({"127.0.0.1", 7000});
//     peer_link link(address, hello, handler);
//     link.send(forward);

#ifndef FILBERTHUB_NET_PEER_LINK_HPP
#define FILBERTHUB_NET_PEER_LINK_HPP

#include <filberthub/wire/codec.hpp>

#include <QtCore/QTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <memory>
#include <unordered_set>

namespace filberthub {

class peer_connection;

// Called for each message that was received. A reply is sent on the connection.
using peer_handler = std::function<void(peer_connection&, peer_message)>;

// Maximum number of unsent bytes on a connection to a slow peer.
inline constexpr std::size_t maximum_peer_backlog = std::size_t{64} << 20U;

// One established connection. It closes itself after a malformed message. If
// the peer leaves too many bytes unread, it refuses to send further messages.
class peer_connection : public QObject
{
public:
    // Takes ownership of `socket`. `closed` is called once, after the last
    // message.
    peer_connection(QTcpSocket* socket, peer_handler handler,
        std::function<void(const std::string& reason)> closed);
    ~peer_connection() override;

    // Queues a message. Returns false, and sends nothing, if the connection is
    // closed or its backlog is full.
    bool send(const peer_message& message);

    // Closes the connection and calls `closed` with `reason`.
    void close(const std::string& reason);

    bool is_open() const
    {
        return open_;
    }

private:
    void on_readable();

    QTcpSocket* socket_;
    frame_decoder decoder_;
    peer_handler handler_;
    std::function<void(const std::string&)> closed_callback_;
    bool open_ = true;
};

// Accepts connections of other instances.
class peer_listener : public QTcpServer
{
public:
    // `closed` is called after an accepted connection was closed and before it
    // is destroyed.
    peer_listener(
        peer_handler handler, std::function<void(peer_connection&)> closed);
    ~peer_listener() override;

    // Starts to accept connections. Throws `error` of kind `bad_settings` if
    // the address cannot be used.
    void listen(const endpoint& address);

    // Returns the address in use.
    endpoint address() const;

private:
    void accept_pending();

    peer_handler handler_;
    std::function<void(peer_connection&)> closed_callback_;
    std::unordered_set<peer_connection*> connections_;
};

// The outgoing connection to one other instance. It connects when a message is
// sent, also after the connection was lost. It never repeats a message.
class peer_link : public QObject
{
public:
    // `lost` is called each time an established connection closes or an attempt
    // to connect fails. If the connection was established, it is unknown
    // whether the peer received the messages sent before; otherwise it is
    // proved that it did not.
    peer_link(endpoint address, hello_message hello, peer_handler handler,
        std::function<void(bool established)> lost);
    ~peer_link() override;

    // Queues a message. Returns false if it was not accepted, which proves that
    // the peer does not receive it.
    bool send(peer_message message);

    bool is_connected() const
    {
        return connection_ != nullptr;
    }

    const endpoint& address() const
    {
        return address_;
    }

private:
    void connect_to_peer();
    void on_connected();
    void on_failed();

    endpoint address_;
    hello_message hello_;
    peer_handler handler_;
    std::function<void(bool)> lost_callback_;
    QTcpSocket* socket_ = nullptr;
    peer_connection* connection_ = nullptr;
    std::vector<peer_message> waiting_;
    QTimer connect_timer_;
    time_point next_attempt_{};
};

} // namespace filberthub

#endif
