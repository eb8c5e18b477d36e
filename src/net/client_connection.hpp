// One connection of `http_client`. Internal to `net`.
//
//     auto* connection = new client_connection(client);
//     if (connection->ready())
//         connection->start(number, call, request);

#ifndef FILBERTHUB_NET_CLIENT_CONNECTION_HPP
#define FILBERTHUB_NET_CLIENT_CONNECTION_HPP

#include "net/message_writer.hpp"
#include "net/response_fields.hpp"
#include "net/socket_options.hpp"

#include <filberthub/net/http_client.hpp>

#include <QtCore/QScopedValueRollback>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpSocket>

#include <algorithm>

namespace filberthub::detail {

// A connection is not used during this time before the server's idle timeout,
// because the server may close it while a request is on the way.
inline constexpr milliseconds idle_margin{1'000};
// Late or repeated responses to earlier requests that are dropped while a call
// waits for its own. A server that sends more is faulty.
inline constexpr int max_foreign_responses = 3;

// One connection to the server. It carries at most one call at a time.
class client_connection : public QObject
{
public:
    explicit client_connection(http_client& client)
        : client_(client),
          socket_(new QTcpSocket(this)),
          writer_(*socket_),
          decoder_(client.options_.limits),
          connect_deadline_(std::chrono::steady_clock::now() +
                            client.options_.connect_timeout),
          idle_limit_(client.options_.idle_limit),
          holder_(client.options_.budget,
              [this](shed_reason reason) { on_shed(reason); })
    {
        socket_->setReadBufferSize(static_cast<qint64>(piece_bytes));
        connect(socket_, &QTcpSocket::connected, this, [this] {
            socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            if (client_.options_.delivery_limit)
                limit_delivery(descriptor(), *client_.options_.delivery_limit);
            connected_ = true;
            last_used_ = std::chrono::steady_clock::now();
            client_.dispatch();
        });
        connect(
            socket_, &QTcpSocket::readyRead, this, [this] { on_readable(); });
        connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) {
            writer_.write_more();
            if (busy_)
                account();
        });
        connect(socket_, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError code) {
                if (code == QAbstractSocket::RemoteHostClosedError)
                    complete_at_close();
                const std::string reason = socket_->errorString().toStdString();
                if (constructed_)
                    close(reason, true);
                else
                    close_later(reason);
            });
        connect(socket_, &QTcpSocket::disconnected, this,
            [this] { close("the server closed the connection", true); });
        socket_->connectToHost(
            QHostAddress(QString::fromStdString(client.address_.address)),
            client.address_.port);
    }

    ~client_connection() override
    {
        if (busy_)
            reset_at_close(descriptor());
        release();
    }

    bool ready() const
    {
        return connected_ && !busy_ && !closed_;
    }

    bool connecting() const
    {
        return !connected_ && !closed_;
    }

    // Returns whether the connection was idle for so long that the server may
    // be closing it.
    bool stale(time_point now) const
    {
        return ready() && now >= last_used_ + idle_limit_;
    }

    time_point last_used() const
    {
        return last_used_;
    }

    // Whether the connection has carried a request.
    bool used() const
    {
        return requests_ > 0;
    }

    time_point connect_deadline() const
    {
        return connect_deadline_;
    }

    bool connect_expired(time_point now) const
    {
        return connecting() && now > connect_deadline_;
    }

    // Throws `error` if the request cannot be sent. Nothing has changed then.
    void start(
        call_number number, http_client::call& call, http_request request)
    {
        if (client_.options_.number_exchanges) {
            request.headers.set(
                exchange_header, std::to_string(number.value()));
        }
        if (!request.headers.get("Host"))
            request.headers.set("Host", to_string(client_.address_));
        std::string head = encode_head(request);
        number_ = number;
        busy_ = true;
        ++requests_;
        foreign_responses_ = 0;
        call.connection = this;
        call.started = std::chrono::steady_clock::now();
        head_request_ = request.method == "HEAD";
        if (!client_.options_.echoed_field.empty()) {
            expected_echo_ =
                std::string(request.headers.get(client_.options_.echoed_field)
                                .value_or(""));
        }
        decoder_.begin(head_request_, client_.options_.allow_close_delimited);
        if (!request.shared_body && !request.body.empty()) {
            request.shared_body =
                std::make_shared<const std::string>(std::move(request.body));
        }
        writer_.start(std::move(head), std::move(request.shared_body));
        account();
    }

    // Closes the connection. The call on it fails, unless it was released
    // before. `reset` states that the server ended the connection.
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
        release();
        client_.remove(this, reset && was_connected);
        deleteLater();
        if (was_busy) {
            client_.finish(number, {.response = std::nullopt,
                                       .kind = error_kind::outcome_unknown,
                                       .message = reason,
                                       .sent = true});
        } else if (!was_connected) {
            fail_oldest_waiting(reason);
        }
        client_.dispatch();
    }

    // Closes a connection that has failed in its constructor, when the client
    // does not know it yet and `http_client::send` may be on the stack.
    void close_later(const std::string& reason)
    {
        QTimer::singleShot(0, this, [this, reason] { close(reason, true); });
    }

    // Ends the connection and its call, which is not reported as failed. The
    // server gets nothing of the request that it has not received by now.
    void cancel()
    {
        reset_at_close(descriptor());
        release();
        close("cancelled", false);
    }

    // Detaches the call, so that `close` does not report it as failed.
    void release()
    {
        busy_ = false;
        writer_.clear();
        holder_.clear();
    }

private:
    // Whether the kernel has the whole request.
    bool request_written() const
    {
        return writer_.done() && socket_->bytesToWrite() == 0;
    }

    int descriptor() const
    {
        return static_cast<int>(socket_->socketDescriptor());
    }

    // Fails the oldest waiting call. No byte of it was sent.
    void fail_oldest_waiting(const std::string& reason)
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
        if (decode())
            account();
    }

    // States what the connection holds. The body of the request belongs to the
    // connection of its caller.
    void account()
    {
        const time_point now = std::chrono::steady_clock::now();
        memory_use use;
        use[memory_kind::answer] = decoder_.buffered();
        use[memory_kind::connection] =
            static_cast<std::size_t>(socket_->bytesToWrite());
        holder_.set(use, true, now, now);
    }

    // The call ends later: that of another connection may be on the stack.
    void on_shed(shed_reason)
    {
        if (!decoding_)
            decoder_ = response_decoder(client_.options_.limits);
        QTimer::singleShot(
            0, this, [this, number = number_] { give_up(number); });
    }

    void give_up(call_number number)
    {
        if (busy_ && number_ == number) {
            fail(error(error_kind::bad_backend_answer,
                "the incomplete answers of all servers take too much memory, "
                "and this one takes the most"));
        }
    }

    // Returns whether the response is still incomplete. The call has ended
    // otherwise.
    bool decode()
    {
        const QScopedValueRollback<bool> guard(decoding_, true);
        try {
            while (std::optional<http_response> response = decoder_.next()) {
                if (belongs_to_call(*response)) {
                    complete(std::move(*response));
                    return false;
                }
                if (++foreign_responses_ > max_foreign_responses) {
                    throw error(error_kind::bad_backend_answer,
                        "the server responded to other requests only");
                }
                decoder_.begin(
                    head_request_, client_.options_.allow_close_delimited);
            }
            return true;
        } catch (const error& failure) {
            fail(failure);
            return false;
        }
    }

    // Returns whether the response is for the call in flight, and not a second
    // one for an earlier call. Throws if that cannot be known.
    bool belongs_to_call(const http_response& response) const
    {
        const std::string& field = client_.options_.echoed_field;
        if (field.empty() || expected_echo_.empty())
            return true;
        const auto echo = response.headers.get(field);
        if (!echo && requests_ > 1) {
            throw error(error_kind::bad_backend_answer,
                "the answer has no field \"" + field +
                    "\", so it may belong to an earlier request");
        }
        return !echo || *echo == expected_echo_;
    }

    // Completes a response that ends with its connection.
    void complete_at_close()
    {
        if (closed_ || !busy_)
            return;
        if (socket_->bytesAvailable() > 0)
            on_readable();
        // Qt reports a reset like an orderly close. A server that has not read
        // the whole request can only reset the connection.
        if (closed_ || !busy_ || !request_written())
            return;
        try {
            std::optional<http_response> response = decoder_.finish();
            if (!response || !belongs_to_call(*response))
                return;
            response->keep_alive = false;
            complete(std::move(*response));
        } catch (const error& failure) {
            fail(failure);
        }
    }

    void complete(http_response response)
    {
        // The server may respond before it has read the whole request. Nothing
        // but the rest of the request could follow.
        const bool reusable =
            response.keep_alive && !decoder_.has_excess() && request_written();
        const call_number number = number_;
        if (client_.options_.number_exchanges)
            take_exchange_number(response, number);
        release();
        last_used_ = std::chrono::steady_clock::now();
        if (const auto idle = announced_idle_time(response)) {
            idle_limit_ = std::min(client_.options_.idle_limit,
                std::max(*idle - idle_margin, milliseconds(0)));
        }
        if (!reusable)
            close("not reusable", false);
        client_.finish(number, {.response = std::move(response),
                                   .kind = error_kind::internal,
                                   .message = {},
                                   .sent = true});
        client_.dispatch();
    }

    void fail(const error& failure)
    {
        const call_number number = number_;
        release();
        http_client& client = client_;
        close("faulty answer", false);
        client.finish(number, {.response = std::nullopt,
                                  .kind = failure.kind(),
                                  .message = failure.what(),
                                  .sent = true});
    }

    http_client& client_;
    QTcpSocket* socket_;
    message_writer writer_;
    response_decoder decoder_;
    time_point connect_deadline_;
    time_point last_used_;
    milliseconds idle_limit_;
    memory_holder holder_;
    std::string expected_echo_;
    bool constructed_ = false;
    bool head_request_ = false;
    call_number number_;
    std::uint64_t requests_ = 0;
    int foreign_responses_ = 0;
    bool connected_ = false;
    bool busy_ = false;
    bool closed_ = false;
    bool decoding_ = false;
};

} // namespace filberthub::detail

#endif
