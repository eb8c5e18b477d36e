#include <filberthub/net/peer_link.hpp>

#include <QtNetwork/QHostAddress>

namespace filberthub {
namespace {

constexpr milliseconds connect_timeout{500};
// Minimum time between two attempts to connect, which bounds the load that an
// unreachable instance causes at its peers.
constexpr milliseconds reconnect_interval{100};
// Maximum number of messages that wait until the connection is established.
constexpr std::size_t maximum_waiting_messages = 1024;
constexpr int listen_backlog = 1024;

} // namespace

peer_connection::peer_connection(QTcpSocket* socket, peer_handler handler,
    std::function<void(const std::string&)> closed)
    : socket_(socket),
      handler_(std::move(handler)),
      closed_callback_(std::move(closed))
{
    socket_->setParent(this);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket_, &QTcpSocket::readyRead, this, [this] { on_readable(); });
    connect(socket_, &QTcpSocket::disconnected, this,
        [this] { close("the peer closed the connection"); });
    if (socket_->bytesAvailable() > 0)
        QTimer::singleShot(0, this, [this] { on_readable(); });
}

peer_connection::~peer_connection()
{
    socket_->disconnect(this);
}

bool peer_connection::send(const peer_message& message)
{
    if (!open_ ||
        socket_->bytesToWrite() > static_cast<qint64>(maximum_peer_backlog))
        return false;
    const std::string bytes = encode(message);
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    return true;
}

void peer_connection::close(const std::string& reason)
{
    if (!open_)
        return;
    open_ = false;
    socket_->disconnect(this);
    socket_->abort();
    if (closed_callback_)
        closed_callback_(reason);
    deleteLater();
}

void peer_connection::on_readable()
{
    if (!open_)
        return;
    const QByteArray bytes = socket_->readAll();
    decoder_.feed({bytes.constData(), static_cast<std::size_t>(bytes.size())});
    try {
        while (open_) {
            std::optional<peer_message> message = decoder_.next();
            if (!message)
                break;
            handler_(*this, std::move(*message));
        }
    } catch (const error& failure) {
        close(failure.what());
    }
}

peer_listener::peer_listener(
    peer_handler handler, std::function<void(peer_connection&)> closed)
    : handler_(std::move(handler)), closed_callback_(std::move(closed))
{
    setListenBacklogSize(listen_backlog);
    connect(
        this, &QTcpServer::newConnection, this, [this] { accept_pending(); });
}

peer_listener::~peer_listener()
{
    const std::unordered_set<peer_connection*> open = std::move(connections_);
    connections_.clear();
    for (peer_connection* connection : open)
        delete connection;
}

void peer_listener::listen(const endpoint& address)
{
    const QHostAddress host(QString::fromStdString(address.address));
    if (host.isNull() || !QTcpServer::listen(host, address.port)) {
        throw error(error_kind::bad_settings, "cannot listen on " +
                                                  to_string(address) + ": " +
                                                  errorString().toStdString());
    }
}

endpoint peer_listener::address() const
{
    return {serverAddress().toString().toStdString(), serverPort()};
}

void peer_listener::accept_pending()
{
    while (QTcpSocket* socket = nextPendingConnection()) {
        auto pointer = std::make_shared<peer_connection*>(nullptr);
        auto* connection = new peer_connection(
            socket, handler_, [this, pointer](const std::string&) {
                if (connections_.erase(*pointer) > 0 && closed_callback_)
                    closed_callback_(**pointer);
            });
        *pointer = connection;
        connections_.insert(connection);
    }
}

peer_link::peer_link(endpoint address, hello_message hello,
    peer_handler handler, std::function<void(bool)> lost)
    : address_(std::move(address)),
      hello_(std::move(hello)),
      handler_(std::move(handler)),
      lost_callback_(std::move(lost))
{
    connect_timer_.setSingleShot(true);
    connect(&connect_timer_, &QTimer::timeout, this, [this] { on_failed(); });
}

peer_link::~peer_link()
{
    lost_callback_ = nullptr;
    if (socket_ != nullptr)
        socket_->disconnect(this);
    delete socket_;
    delete connection_;
}

bool peer_link::send(peer_message message)
{
    if (connection_ != nullptr)
        return connection_->send(message);
    if (waiting_.size() >= maximum_waiting_messages)
        return false;
    if (socket_ == nullptr) {
        if (std::chrono::steady_clock::now() < next_attempt_)
            return false;
        connect_to_peer();
    }
    waiting_.push_back(std::move(message));
    return true;
}

void peer_link::connect_to_peer()
{
    next_attempt_ = std::chrono::steady_clock::now() + reconnect_interval;
    socket_ = new QTcpSocket;
    connect(socket_, &QTcpSocket::connected, this, [this] { on_connected(); });
    // Later, because `connectToHost` may fail at once, inside `send`.
    connect(socket_, &QTcpSocket::errorOccurred, this,
        [this, socket = socket_](QAbstractSocket::SocketError) {
            QTimer::singleShot(0, this, [this, socket] {
                if (socket_ == socket)
                    on_failed();
            });
        });
    connect_timer_.start(connect_timeout);
    socket_->connectToHost(
        QHostAddress(QString::fromStdString(address_.address)), address_.port);
}

void peer_link::on_connected()
{
    connect_timer_.stop();
    QTcpSocket* socket = std::exchange(socket_, nullptr);
    socket->disconnect(this);
    connection_ =
        new peer_connection(socket, handler_, [this](const std::string&) {
            connection_ = nullptr;
            if (lost_callback_)
                lost_callback_(true);
        });
    connection_->send(hello_);
    for (const peer_message& message : std::exchange(waiting_, {}))
        connection_->send(message);
}

void peer_link::on_failed()
{
    connect_timer_.stop();
    if (socket_ == nullptr)
        return;
    QTcpSocket* socket = std::exchange(socket_, nullptr);
    socket->disconnect(this);
    socket->abort();
    socket->deleteLater();
    waiting_.clear();
    if (lost_callback_)
        lost_callback_(false);
}

} // namespace filberthub
