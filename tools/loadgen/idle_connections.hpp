// Holds idle connections open, to measure the cost of a connection at the
// server.
//
//     idle_connections idle(entries, 10'000, [] { std::puts("open"); });

#ifndef FILBERTHUB_TOOLS_LOADGEN_IDLE_CONNECTIONS_HPP
#define FILBERTHUB_TOOLS_LOADGEN_IDLE_CONNECTIONS_HPP

#include <filberthub/base/types.hpp>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <memory>
#include <vector>

namespace filberthub::tools {

// Opens TCP connections, sends nothing on them, and counts those that fail.
// Does not reopen lost connections.
class idle_connections
{
public:
    // Starts to open `count` connections, spread evenly over the entries, and
    // calls `on_all_open` once all of them are open. Needs an event loop.
    idle_connections(std::vector<endpoint> entries, std::size_t count,
        std::function<void()> on_all_open)
        : entries_(std::move(entries)),
          count_(count),
          on_all_open_(std::move(on_all_open))
    {
        while (sockets_.size() < std::min(count_, max_connecting))
            open_next();
    }

    // Returns the number of connection errors so far.
    std::size_t lost() const
    {
        return lost_;
    }

private:
    // Limits simultaneous connection attempts to less than the backlog of a
    // listener.
    static constexpr std::size_t max_connecting = 100;

    void open_next()
    {
        if (sockets_.size() == count_)
            return;
        const endpoint& entry = entries_[sockets_.size() % entries_.size()];
        sockets_.push_back(std::make_unique<QTcpSocket>());
        QTcpSocket* socket = sockets_.back().get();
        QObject::connect(socket, &QTcpSocket::connected, [this] {
            open_next();
            if (++open_ == count_)
                on_all_open_();
        });
        QObject::connect(socket, &QTcpSocket::errorOccurred,
            [this](QAbstractSocket::SocketError) { ++lost_; });
        socket->connectToHost(
            QHostAddress(QString::fromStdString(entry.address)), entry.port);
    }

    std::vector<endpoint> entries_;
    std::size_t count_;
    std::function<void()> on_all_open_;
    std::size_t open_ = 0;
    std::size_t lost_ = 0;
    std::vector<std::unique_ptr<QTcpSocket>> sockets_;
};

} // namespace filberthub::tools

#endif
