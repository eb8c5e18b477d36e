#include "net/http_connection.hpp"

#include <filberthub/base/error.hpp>

#include <QtCore/QTimer>

namespace filberthub {
namespace {

// Maximum number of bytes read from the kernel and not yet decoded. Further
// bytes stay in the kernel, so that TCP flow control slows the caller down.
constexpr qint64 read_buffer_bytes = qint64{256} * 1024;
// No further request is read from a slow caller while more than this number of
// response bytes is unsent.
constexpr qint64 max_unsent_response_bytes = qint64{1024} * 1024;

// Idle time after which a connection is closed during a drain. An active caller
// gets "Connection: close" with its next response; closing its connection
// between two requests could lose the second one.
constexpr milliseconds drain_idle_time{1000};

} // namespace

http_connection::http_connection(http_listener& listener, qintptr descriptor)
    : listener_(listener),
      socket_(new QTcpSocket(this)),
      decoder_(listener.options_.limits),
      last_activity_(std::chrono::steady_clock::now())
{
    socket_->setReadBufferSize(read_buffer_bytes);
    connect(
        socket_, &QTcpSocket::readyRead, this, [this] { read_available(); });
    connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
        if (socket_->bytesToWrite() == 0)
            read_available();
    });
    connect(socket_, &QTcpSocket::disconnected, this, [this] { on_closed(); });
    if (!socket_->setSocketDescriptor(descriptor)) {
        deleteLater();
        return;
    }
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

http_connection::~http_connection()
{
    socket_->disconnect(this);
    on_closed();
}

void http_connection::read_available()
{
    if (closing_ ||
        exchanges_.size() >= listener_.options_.pipelined_requests ||
        socket_->bytesToWrite() > max_unsent_response_bytes)
        return;
    const QByteArray bytes = socket_->readAll();
    if (!bytes.isEmpty()) {
        last_activity_ = std::chrono::steady_clock::now();
        decoder_.feed(
            {bytes.constData(), static_cast<std::size_t>(bytes.size())});
    }
    decode_requests();
}

void http_connection::decode_requests()
{
    // A handler that responds synchronously re-enters this function.
    if (decoding_)
        return;
    decoding_ = true;
    try {
        while (!closing_ &&
               exchanges_.size() < listener_.options_.pipelined_requests) {
            std::optional<http_request> request = decoder_.next();
            if (!request)
                break;
            accept_request(std::move(*request));
        }
        if (decoder_.take_expect_continue() && exchanges_.empty())
            socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
        update_buffered();
    } catch (const error& failure) {
        refuse(failure);
    }
    decoding_ = false;
    write_ready_responses();
}

void http_connection::refuse(const error& failure)
{
    // The end of a malformed request is unknown, so this response is the last
    // one on the connection.
    auto exchange = std::make_shared<http_exchange>(http_request{}, this);
    exchange->request_.keep_alive = false;
    exchanges_.push_back(exchange);
    ++listener_.in_flight_;
    closing_ = true;
    exchange->respond(error_response(failure.kind(), failure.what()));
}

void http_connection::accept_request(http_request request)
{
    if (!request.keep_alive)
        closing_ = true;
    auto exchange = std::make_shared<http_exchange>(std::move(request), this);
    exchanges_.push_back(exchange);
    ++listener_.in_flight_;
    listener_.handler_(std::move(exchange));
}

void http_connection::update_buffered()
{
    listener_.buffered_ += decoder_.buffered();
    listener_.buffered_ -= buffered_;
    buffered_ = decoder_.buffered();
    if (buffered_ > 0 &&
        listener_.buffered_ > listener_.options_.buffered_bytes) {
        throw error(error_kind::overloaded,
            "incomplete requests hold " + std::to_string(listener_.buffered_) +
                " bytes, at most " +
                std::to_string(listener_.options_.buffered_bytes));
    }
}

void http_connection::write_ready_responses()
{
    bool close_after = false;
    while (!exchanges_.empty() && exchanges_.front()->answered()) {
        const std::shared_ptr<http_exchange> exchange = exchanges_.front();
        exchanges_.pop_front();
        --listener_.in_flight_;
        http_response& response = *exchange->response_;
        response.keep_alive =
            exchange->request_.keep_alive && !listener_.draining_;
        const bool is_head_request = exchange->request_.method == "HEAD";
        std::string bytes = encode(response);
        if (is_head_request)
            bytes.resize(bytes.size() - response.body.size());
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
        if (!response.keep_alive) {
            close_after = true;
            break;
        }
    }
    if (close_after) {
        closing_ = true;
        socket_->disconnectFromHost();
        return;
    }
    if (!decoding_ && !closing_ &&
        exchanges_.size() < listener_.options_.pipelined_requests &&
        (socket_->bytesAvailable() > 0 || decoder_.in_message()))
        QTimer::singleShot(0, this, [this] { read_available(); });
}

void http_connection::abort()
{
    closing_ = true;
    socket_->abort();
}

void http_connection::close_if_expired(time_point now)
{
    if (!exchanges_.empty())
        return;
    const bool in_message = decoder_.in_message();
    const milliseconds limit = in_message ? listener_.options_.request_timeout
                                          : listener_.options_.idle_timeout;
    if (now - last_activity_ < limit)
        return;
    if (in_message && !closing_) {
        refuse(error(error_kind::bad_request,
            "the request was not complete after " +
                std::to_string(limit.count()) + " ms"));
        return;
    }
    socket_->abort();
}

void http_connection::close_if_idle(time_point now)
{
    if (now - last_activity_ >= drain_idle_time && exchanges_.empty() &&
        !decoder_.in_message() && socket_->bytesAvailable() == 0)
        socket_->disconnectFromHost();
}

void http_connection::on_closed()
{
    listener_.buffered_ -= buffered_;
    buffered_ = 0;
    listener_.in_flight_ -= exchanges_.size();
    closing_ = true;
    std::deque<std::shared_ptr<http_exchange>> unfinished;
    unfinished.swap(exchanges_);
    for (const std::shared_ptr<http_exchange>& exchange : unfinished)
        exchange->connection_ = nullptr;
    for (const std::shared_ptr<http_exchange>& exchange : unfinished) {
        if (!exchange->answered() && exchange->cancelled_callback_)
            exchange->cancelled_callback_();
    }
    if (listener_.connections_.erase(this) > 0)
        deleteLater();
}

} // namespace filberthub
