#include "net/http_connection.hpp"
#include "net/socket_options.hpp"

#include <filberthub/base/error.hpp>
#include <filberthub/telemetry/callback_guard.hpp>

#include <QtCore/QTimer>

#include <algorithm>

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
// Objects and buffers of a connection that holds no message.
constexpr std::size_t connection_bytes = std::size_t{8} * 1024;

} // namespace

http_connection::http_connection(http_listener& listener, qintptr descriptor)
    : listener_(listener),
      socket_(new QTcpSocket(this)),
      writer_(*socket_),
      decoder_(listener.options_.limits),
      last_activity_(std::chrono::steady_clock::now()),
      last_written_(last_activity_),
      holder_(listener.options_.budget, [this](shed_reason) { on_shed(); })
{
    socket_->setReadBufferSize(read_buffer_bytes);
    connect(
        socket_, &QTcpSocket::readyRead, this, [this] { read_available(); });
    connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
        last_written_ = std::chrono::steady_clock::now();
        writer_.write_more();
        write_ready_responses();
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
    if (closing_ || reading_paused())
        return;
    const QByteArray bytes = socket_->readAll();
    if (!bytes.isEmpty()) {
        last_activity_ = std::chrono::steady_clock::now();
        decoder_.feed(
            {bytes.constData(), static_cast<std::size_t>(bytes.size())});
    }
    decode_requests();
}

// While the listener drains, the next response that leaves nothing open closes
// the connection, so that no request is taken behind an open one.
std::size_t http_connection::max_open_exchanges() const
{
    return listener_.draining_ ? 1 : listener_.options_.pipelined_requests;
}

bool http_connection::reading_paused() const
{
    return exchanges_.size() >= max_open_exchanges() || !writer_.done() ||
           socket_->bytesToWrite() > max_unsent_response_bytes;
}

void http_connection::decode_requests()
{
    // A handler that responds synchronously re-enters this function.
    if (decoding_)
        return;
    decoding_ = true;
    try {
        while (!closing_ && exchanges_.size() < max_open_exchanges()) {
            std::optional<http_request> request = decoder_.next();
            undecoded_ = request.has_value();
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
    account();
    write_ready_responses();
}

bool http_connection::serving() const
{
    return std::any_of(exchanges_.begin(), exchanges_.end(),
        [](const auto& exchange) { return !exchange->answered(); });
}

void http_connection::account()
{
    if (shed_ || !listener_.options_.budget)
        return;
    memory_use use;
    use[memory_kind::connection] = connection_bytes;
    use[memory_kind::arriving] =
        decoder_.buffered() +
        static_cast<std::size_t>(socket_->bytesAvailable());
    if (reading_paused()) {
        use[memory_kind::arriving] += detail::bytes_in_kernel(
            static_cast<int>(socket_->socketDescriptor()));
    }
    for (const auto& exchange : exchanges_) {
        if (exchange->answered())
            use[memory_kind::unread] += exchange->response_->body.size();
        use[memory_kind::waiting] +=
            exchange->head_bytes_ + exchange->request_.body.size();
    }
    use[memory_kind::unread] +=
        writer_.held() + static_cast<std::size_t>(socket_->bytesToWrite());
    holder_.set(
        use, serving(), last_progress(), std::chrono::steady_clock::now());
}

// Releases the memory at once, and closes the connection later, because a
// function of this or of another connection may be on the stack.
void http_connection::on_shed()
{
    const bool not_run = exchanges_.empty() && writer_.done() &&
                         socket_->bytesToWrite() == 0 && decoder_.in_message();
    shed_ = true;
    closing_ = true;
    writer_.clear();
    if (!decoding_)
        decoder_ = request_decoder(listener_.options_.limits);
    for (const auto& exchange : exchanges_) {
        if (exchange->answered())
            std::string().swap(exchange->response_->body);
    }
    QTimer::singleShot(0, this, [this, not_run] {
        if (!not_run) {
            abort();
            return;
        }
        shed_ = false;
        refuse(error(error_kind::overloaded,
            "the requests of all callers take too much memory"));
    });
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
    const auto exchange =
        std::make_shared<http_exchange>(std::move(request), this);
    exchanges_.push_back(exchange);
    ++listener_.in_flight_;
    // How far the handler came is not known.
    guard_callback(
        "request of a caller", [&] { listener_.handler_(exchange); },
        [&] {
            exchange->respond(error_response(error_kind::outcome_unknown,
                "the request failed inside this instance"));
        });
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

void http_connection::write_response(http_exchange& exchange)
{
    http_response& response = *exchange.response_;
    std::string head;
    guard_callback(
        "response to a caller", [&] { head = encode_head(response); },
        [&] {
            const bool keep_alive = response.keep_alive;
            response = error_response(error_kind::bad_backend_answer,
                "the response cannot be written");
            response.keep_alive = keep_alive;
            head = encode_head(response);
        });
    const bool has_body =
        exchange.request_.method != "HEAD" && !response.body.empty();
    writer_.start(std::move(head),
        has_body ? std::make_shared<const std::string>(std::move(response.body))
                 : nullptr);
}

void http_connection::write_ready_responses()
{
    if (shed_)
        return;
    while (!last_response_ && writer_.done() && !exchanges_.empty() &&
           exchanges_.front()->answered() &&
           socket_->bytesToWrite() <= max_unsent_response_bytes) {
        const std::shared_ptr<http_exchange> exchange = exchanges_.front();
        exchanges_.pop_front();
        --listener_.in_flight_;
        http_response& response = *exchange->response_;
        // Requests behind this one may have been passed on. They need their
        // responses on this connection.
        response.keep_alive = exchange->request_.keep_alive &&
                              !(listener_.draining_ && exchanges_.empty());
        last_response_ = !response.keep_alive;
        write_response(*exchange);
    }
    if (last_response_) {
        closing_ = true;
        // A truncated response must not end in an orderly close.
        if (writer_.done())
            socket_->disconnectFromHost();
        else
            account();
        return;
    }
    account();
    if (!decoding_ && !closing_ && !reading_paused() &&
        (socket_->bytesAvailable() > 0 || undecoded_))
        QTimer::singleShot(0, this, [this] { read_available(); });
}

void http_connection::abort()
{
    closing_ = true;
    // The end of a response that is incomplete must not look like its end.
    if (!writer_.done() || socket_->bytesToWrite() > 0)
        detail::reset_at_close(static_cast<int>(socket_->socketDescriptor()));
    writer_.clear();
    socket_->abort();
}

void http_connection::close_if_expired(time_point now)
{
    const bool unsent = !writer_.done() || socket_->bytesToWrite() > 0;
    if (unsent && now - last_progress() >= listener_.options_.idle_timeout) {
        abort();
        return;
    }
    if (unsent || !exchanges_.empty())
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
        writer_.done() && !decoder_.in_message() &&
        socket_->bytesAvailable() == 0)
        socket_->disconnectFromHost();
}

void http_connection::on_closed()
{
    listener_.buffered_ -= buffered_;
    buffered_ = 0;
    listener_.in_flight_ -= exchanges_.size();
    closing_ = true;
    shed_ = true;
    writer_.clear();
    holder_.clear();
    std::deque<std::shared_ptr<http_exchange>> unfinished;
    unfinished.swap(exchanges_);
    for (const std::shared_ptr<http_exchange>& exchange : unfinished)
        exchange->connection_ = nullptr;
    for (const std::shared_ptr<http_exchange>& exchange : unfinished) {
        if (!exchange->answered() && exchange->cancelled_callback_) {
            guard_callback(
                "cancelled request", exchange->cancelled_callback_, [] {});
        }
    }
    if (listener_.connections_.erase(this) > 0)
        deleteLater();
}

} // namespace filberthub
