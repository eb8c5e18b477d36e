#include "net/http_connection.hpp"
#include "net/socket_options.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/net/http_listener.hpp>
#include <filberthub/routing/descriptor_limits.hpp>
#include <filberthub/telemetry/log.hpp>

#include <QtCore/QTimer>
#include <QtNetwork/QHostAddress>

#include <unistd.h>

namespace filberthub {
namespace {

constexpr milliseconds sweep_interval{1000};
constexpr int listen_backlog = 1024;
constexpr milliseconds accept_retry_delay{100};

} // namespace

http_exchange::http_exchange(http_request request, http_connection* connection)
    : request_(std::move(request)), connection_(connection)
{
    head_bytes_ = request_.target.size();
    for (const http_headers::field& item : request_.headers.fields())
        head_bytes_ += sizeof(item) + item.name.size() + item.value.size();
}

void http_exchange::respond(http_response response)
{
    if (response_)
        return;
    response_ = std::move(response);
    cancelled_callback_ = nullptr;
    if (connection_ != nullptr)
        connection_->write_ready_responses();
}

void http_exchange::abort()
{
    if (connection_ != nullptr)
        connection_->abort();
}

void http_exchange::on_cancelled(std::function<void()> callback)
{
    cancelled_callback_ = std::move(callback);
}

http_listener::http_listener(
    http_listener_options options, http_handler handler)
    : options_(std::move(options)), handler_(std::move(handler))
{
    setListenBacklogSize(listen_backlog);
    // Qt pauses the listener then, for example for want of a descriptor.
    connect(this, &QTcpServer::acceptError, this, [this] {
        log_event(log_level::warn, "a connection could not be accepted",
            {{log_key::error, errorString().toStdString()}});
        QTimer::singleShot(accept_retry_delay, this, [this] {
            if (isListening())
                resumeAccepting();
        });
    });
    auto* timer = new QTimer(this);
    connect(timer, &QTimer::timeout, this, [this] { close_expired(); });
    timer->start(sweep_interval);
}

http_listener::~http_listener()
{
    const std::unordered_set<http_connection*> open = std::move(connections_);
    connections_.clear();
    for (http_connection* connection : open)
        delete connection;
}

void http_listener::listen(const endpoint& address)
{
    const QHostAddress host(QString::fromStdString(address.address));
    if (host.isNull() || !QTcpServer::listen(host, address.port)) {
        throw error(error_kind::bad_settings, "cannot listen on " +
                                                  to_string(address) + ": " +
                                                  errorString().toStdString());
    }
    if (options_.receive_buffer_bytes > 0) {
        detail::limit_receive_buffer(static_cast<int>(socketDescriptor()),
            options_.receive_buffer_bytes);
    }
}

endpoint http_listener::address() const
{
    return {serverAddress().toString().toStdString(), serverPort()};
}

void http_listener::announce_close()
{
    draining_ = true;
}

void http_listener::begin_drain()
{
    announce_close();
    close();
}

void http_listener::set_limits(const http_limits& limits,
    milliseconds request_timeout, milliseconds idle_timeout)
{
    options_.limits = limits;
    options_.request_timeout = request_timeout;
    options_.idle_timeout = idle_timeout;
}

void http_listener::abort_connections()
{
    const std::unordered_set<http_connection*> open = connections_;
    for (http_connection* connection : open)
        connection->abort();
}

void http_listener::incomingConnection(qintptr descriptor)
{
    if (connections_.size() >= options_.max_connections && !make_room()) {
        ::close(static_cast<int>(descriptor));
        return;
    }
    connections_.insert(new http_connection(*this, descriptor));
}

// Closes the connection that is missed least. Returns whether there was one.
bool http_listener::make_room()
{
    std::vector<http_connection*> open;
    std::vector<connection_activity> activity;
    for (http_connection* connection : connections_) {
        open.push_back(connection);
        activity.push_back(
            {connection->serving(), connection->last_progress()});
    }
    const auto chosen = connection_to_close(activity);
    if (chosen)
        open.at(*chosen)->abort();
    return chosen.has_value();
}

void http_listener::close_expired()
{
    const time_point now = std::chrono::steady_clock::now();
    const std::unordered_set<http_connection*> open = connections_;
    for (http_connection* connection : open) {
        connection->account();
        if (draining_)
            connection->close_if_idle(now);
        else
            connection->close_if_expired(now);
    }
}

http_response error_response(error_kind kind, std::string_view message)
{
    const answer_rule& rule = answer_for(kind);
    http_response response;
    response.status = rule.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Filberthub-Outcome", to_string(rule.result));
    response.headers.add("Filberthub-Error", rule.name);
    if (rule.status == 503)
        response.headers.add("Retry-After", "1");
    response.body = json{{"error", rule.name},
        {"outcome", to_string(rule.result)},
        {"message",
            message}}.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace filberthub
