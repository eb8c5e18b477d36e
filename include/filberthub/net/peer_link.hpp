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

// Called for each message. The connection is the way for an answer.
using peer_handler = std::function<void(peer_connection&, peer_message)>;

// Bytes that may wait on a connection for a slow peer.
inline constexpr std::size_t maximum_peer_backlog = std::size_t{64} << 20U;

// One established connection. It closes itself on the first faulty message or
// if the peer leaves too many bytes unread.
class peer_connection : public QObject
{
public:
    // Takes over `socket`. `closed` is called once, after the last message.
    peer_connection(QTcpSocket* socket, peer_handler handler,
        std::function<void(const std::string& reason)> closed);
    ~peer_connection() override;

    // Queues a message. Returns false if the connection is closed or its
    // backlog is full, in which case nothing was sent.
    bool send(const peer_message& message);

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
    std::function<void(const std::string&)> closed_;
    bool open_ = true;
};

// Accepts connections of other instances.
class peer_listener : public QTcpServer
{
public:
    // `closed` is called when an accepted connection has closed, before the
    // connection is destroyed.
    peer_listener(
        peer_handler handler, std::function<void(peer_connection&)> closed);
    ~peer_listener() override;

    // Throws `error` of kind `bad_settings` if the address cannot be used.
    void listen(const endpoint& address);
    endpoint address() const;

private:
    void accept_pending();

    peer_handler handler_;
    std::function<void(peer_connection&)> closed_;
    std::unordered_set<peer_connection*> connections_;
};

// The outgoing connection to one other instance. It connects on the first
// message and again after a loss; it never repeats a message.
class peer_link : public QObject
{
public:
    // `lost` is called each time an established connection closes or an attempt
    // to connect fails. The fate of messages that were sent before is unknown
    // if the connection was established; otherwise it is proved that the peer
    // did not get them.
    peer_link(endpoint address, hello_message hello, peer_handler handler,
        std::function<void(bool established)> lost);
    ~peer_link() override;

    // Queues a message. Returns false if it was not accepted, which proves that
    // the peer does not get it.
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
    std::function<void(bool)> lost_;
    QTcpSocket* socket_ = nullptr;
    peer_connection* connection_ = nullptr;
    std::vector<peer_message> waiting_;
    QTimer connect_timer_;
    time_point next_attempt_{};
};

} // namespace filberthub

#endif
