// Holds connections open without a request, to measure what each one costs at
// the server.
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

class idle_connections
{
public:
    // Opens `count` connections, spread over the entries, and calls `ready`
    // once all of them are open.
    idle_connections(std::vector<endpoint> entries, std::size_t count,
        std::function<void()> ready)
        : entries_(std::move(entries)), count_(count), ready_(std::move(ready))
    {
        while (sockets_.size() < std::min(count_, parallel))
            open_next();
    }

    std::size_t lost() const
    {
        return lost_;
    }

private:
    // Connections that are opened at once, below the backlog of a listener.
    static constexpr std::size_t parallel = 100;

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
                ready_();
        });
        QObject::connect(socket, &QTcpSocket::errorOccurred,
            [this](QAbstractSocket::SocketError) { ++lost_; });
        socket->connectToHost(
            QHostAddress(QString::fromStdString(entry.address)), entry.port);
    }

    std::vector<endpoint> entries_;
    std::size_t count_;
    std::function<void()> ready_;
    std::size_t open_ = 0;
    std::size_t lost_ = 0;
    std::vector<std::unique_ptr<QTcpSocket>> sockets_;
};

} // namespace filberthub::tools

#endif
