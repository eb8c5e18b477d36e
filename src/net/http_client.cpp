#include <filberthub/net/http_client.hpp>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds timeout_check_interval{5};

} // namespace

namespace detail {

// One connection to the server. It carries at most one call.
class client_connection : public QObject
{
public:
    explicit client_connection(http_client& client)
        : client_(client),
          socket_(new QTcpSocket(this)),
          decoder_(client.options_.limits),
          connect_deadline_(std::chrono::steady_clock::now() +
                            client.options_.connect_timeout)
    {
        connect(socket_, &QTcpSocket::connected, this, [this] {
            socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            connected_ = true;
            client_.dispatch();
        });
        connect(
            socket_, &QTcpSocket::readyRead, this, [this] { on_readable(); });
        connect(socket_, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError) {
                close(socket_->errorString().toStdString(), true);
            });
        connect(socket_, &QTcpSocket::disconnected, this,
            [this] { close("the server closed the connection", true); });
        socket_->connectToHost(
            QHostAddress(QString::fromStdString(client.address_.address)),
            client.address_.port);
    }

    bool ready() const
    {
        return connected_ && !busy_ && !closed_;
    }

    bool connecting() const
    {
        return !connected_ && !closed_;
    }

    bool connect_expired(time_point now) const
    {
        return connecting() && now > connect_deadline_;
    }

    void start(call_number number, http_client::call& call)
    {
        number_ = number;
        busy_ = true;
        call.connection = this;
        call.sent = true;
        decoder_.begin(call.request.method == "HEAD");
        if (client_.options_.number_exchanges) {
            call.request.headers.set(
                exchange_header, std::to_string(number.value()));
        }
        const std::string bytes = encode(call.request);
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    // Ends the connection. A call on it fails, unless it was removed before.
    // `reset` tells that the server and not this process ended it.
    void close(const std::string& reason, bool reset)
    {
        if (closed_)
            return;
        closed_ = true;
        socket_->disconnect(this);
        socket_->abort();
        const bool was_connected = connected_;
        const bool was_busy = busy_;
        const call_number number = number_;
        client_.remove(this, reset && was_connected);
        deleteLater();
        if (was_busy) {
            client_.finish(number, {.response = std::nullopt,
                                       .kind = error_kind::outcome_unknown,
                                       .message = reason,
                                       .sent = true});
        } else if (!was_connected) {
            fail_one_waiting(reason);
        }
        client_.dispatch();
    }

    void release()
    {
        busy_ = false;
    }

private:
    // Without a connection the oldest waiting call has no proof of a server,
    // and no byte of it was sent.
    void fail_one_waiting(const std::string& reason)
    {
        if (client_.waiting_.empty())
            return;
        const call_number number = client_.waiting_.front();
        client_.waiting_.pop_front();
        client_.finish(
            number, {.response = std::nullopt,
                        .kind = error_kind::overloaded,
                        .message = "no connection to " +
                                   to_string(client_.address_) + ": " + reason,
                        .sent = false});
    }

    void on_readable()
    {
        const QByteArray bytes = socket_->readAll();
        if (!busy_) {
            close("the server sent bytes without a request", false);
            return;
        }
        decoder_.feed(
            {bytes.constData(), static_cast<std::size_t>(bytes.size())});
        try {
            std::optional<http_response> response = decoder_.next();
            if (response)
                complete(std::move(*response));
        } catch (const error& failure) {
            fail(failure);
        }
    }

    void complete(http_response response)
    {
        const bool reusable = response.keep_alive && !decoder_.has_excess();
        const call_number number = number_;
        check_exchange(response);
        busy_ = false;
        if (!reusable)
            close("not reusable", false);
        client_.finish(number, {.response = std::move(response),
                                   .kind = error_kind::internal,
                                   .message = {},
                                   .sent = true});
        client_.dispatch();
    }

    // An answer with the number of another request came late or crossed.
    void check_exchange(http_response& response) const
    {
        if (!client_.options_.number_exchanges)
            return;
        const auto seen = response.headers.get(exchange_header);
        if (seen && *seen != std::to_string(number_.value())) {
            throw error(error_kind::bad_backend_answer,
                "the answer has exchange number " + std::string(*seen) +
                    ", expected " + std::to_string(number_.value()));
        }
        response.headers.remove(exchange_header);
    }

    void fail(const error& failure)
    {
        const call_number number = number_;
        busy_ = false;
        http_client& client = client_;
        close("faulty answer", false);
        client.finish(number, {.response = std::nullopt,
                                  .kind = failure.kind(),
                                  .message = failure.what(),
                                  .sent = true});
    }

    http_client& client_;
    QTcpSocket* socket_;
    response_decoder decoder_;
    time_point connect_deadline_;
    call_number number_;
    bool connected_ = false;
    bool busy_ = false;
    bool closed_ = false;
};

} // namespace detail

http_client::http_client(endpoint address, http_client_options options)
    : address_(std::move(address)), options_(options)
{
    connect(&timer_, &QTimer::timeout, this, [this] { check_timeouts(); });
}

http_client::~http_client()
{
    calls_.clear();
    waiting_.clear();
    const std::vector<detail::client_connection*> open =
        std::move(connections_);
    connections_.clear();
    for (detail::client_connection* connection : open)
        delete connection;
}

call_number http_client::send(
    http_request request, milliseconds timeout, http_callback callback)
{
    last_ = last_.next();
    const call_number number = last_;
    call& added = calls_[number];
    added.request = std::move(request);
    added.callback = std::move(callback);
    added.deadline = std::chrono::steady_clock::now() + timeout;
    waiting_.push_back(number);
    if (!timer_.isActive())
        timer_.start(timeout_check_interval);
    dispatch();
    return number;
}

bool http_client::cancel(call_number number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return true;
    const bool sent = found->second.sent;
    detail::client_connection* connection = found->second.connection;
    calls_.erase(found);
    std::erase(waiting_, number);
    if (connection != nullptr) {
        connection->release();
        connection->close("cancelled", false);
    }
    return sent;
}

void http_client::on_reset(std::function<void()> callback)
{
    reset_ = std::move(callback);
}

void http_client::dispatch()
{
    for (detail::client_connection* connection : connections_) {
        if (waiting_.empty())
            return;
        if (!connection->ready())
            continue;
        const call_number number = waiting_.front();
        waiting_.pop_front();
        connection->start(number, calls_.at(number));
    }
    const auto connecting = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
            [](const auto* item) { return item->connecting(); }));
    for (std::size_t count = connecting;
         count < waiting_.size() &&
         connections_.size() < options_.max_connections;
         ++count)
        connections_.push_back(new detail::client_connection(*this));
}

void http_client::finish(call_number number, http_result result)
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return;
    const http_callback callback = std::move(found->second.callback);
    calls_.erase(found);
    if (calls_.empty())
        timer_.stop();
    callback(std::move(result));
}

void http_client::remove(detail::client_connection* connection, bool reset)
{
    std::erase(connections_, connection);
    if (reset && reset_)
        reset_();
}

void http_client::check_timeouts()
{
    const time_point now = std::chrono::steady_clock::now();
    const std::vector<detail::client_connection*> open = connections_;
    for (detail::client_connection* connection : open) {
        if (connection->connect_expired(now))
            connection->close("connect timeout", false);
    }
    std::vector<call_number> expired;
    for (const auto& [number, item] : calls_) {
        if (now >= item.deadline)
            expired.push_back(number);
    }
    for (const call_number number : expired) {
        const auto found = calls_.find(number);
        if (found == calls_.end())
            continue;
        http_callback callback = std::move(found->second.callback);
        const bool sent = cancel(number);
        callback({.response = std::nullopt,
            .kind = sent ? error_kind::outcome_unknown
                         : error_kind::deadline_exceeded_not_run,
            .message = "no answer before the deadline",
            .sent = sent});
    }
}

} // namespace filberthub
