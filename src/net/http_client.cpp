#include "net/client_connection.hpp"

#include <filberthub/telemetry/callback_guard.hpp>

#include <algorithm>

namespace filberthub {

milliseconds http_client::call::connection_wait(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(
        started.value_or(now) - accepted);
}

http_client::http_client(endpoint address, http_client_options options)
    : address_(std::move(address)), options_(std::move(options))
{
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, [this] { fail_expired(); });
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

call_number http_client::send(http_request request, milliseconds timeout,
    http_callback callback, connection_choice choice)
{
    return send_when_free(
        [request = std::move(request)]() mutable { return std::move(request); },
        timeout, std::move(callback), choice);
}

call_number http_client::send_when_free(http_request_source source,
    milliseconds timeout, http_callback callback, connection_choice choice)
{
    last_number_ = last_number_.next();
    const call_number number = last_number_;
    call& added = calls_[number];
    added.source = std::move(source);
    added.callback = std::move(callback);
    added.accepted = std::chrono::steady_clock::now();
    added.deadline = added.accepted + timeout;
    added.choice = choice;
    waiting_.push_back(number);
    dispatch();
    arm_timer();
    return number;
}

bool http_client::cancel(call_number number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return true;
    const bool sent = found->second.started.has_value();
    detail::client_connection* connection = found->second.connection;
    calls_.erase(found);
    std::erase(waiting_, number);
    if (connection != nullptr)
        connection->cancel();
    return sent;
}

bool http_client::is_sent(call_number number) const
{
    const auto found = calls_.find(number);
    return found != calls_.end() && found->second.started.has_value();
}

void http_client::on_reset(std::function<void()> callback)
{
    reset_callback_ = std::move(callback);
}

// Returns a free connection for the call, or null.
detail::client_connection* http_client::find_connection(
    const call& item, time_point now) const
{
    // The most recently used connection is the least likely to be closed.
    detail::client_connection* best = nullptr;
    for (detail::client_connection* connection : connections_) {
        if (!connection->ready() || connection->stale(now) ||
            (item.choice == connection_choice::unused && connection->used()))
            continue;
        if (best == nullptr || connection->last_used() > best->last_used())
            best = connection;
    }
    return best;
}

// Starts the waiting calls for which a connection is free, oldest first.
void http_client::start_waiting(time_point now)
{
    for (std::size_t index = 0; index < waiting_.size();) {
        const call_number number = waiting_[index];
        call& next = calls_.at(number);
        detail::client_connection* connection = find_connection(next, now);
        if (connection == nullptr) {
            ++index;
            continue;
        }
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
        guard_callback(
            "request for a server",
            [&] {
                if (std::optional<http_request> request = next.source())
                    connection->start(number, next, std::move(*request));
                else
                    withdraw(number);
            },
            [&] { reject(number); });
    }
}

// Closes a connection that is stale, or one that takes the place of an unused
// one. Returns whether it did; closing calls `dispatch` again.
bool http_client::close_one_connection(time_point now)
{
    const bool needs_unused =
        connections_.size() >= options_.max_connections &&
        std::any_of(
            waiting_.begin(), waiting_.end(), [this](call_number number) {
                return calls_.at(number).choice == connection_choice::unused;
            });
    for (detail::client_connection* connection : connections_) {
        if (connection->stale(now)) {
            connection->close("idle for too long", false);
            return true;
        }
        if (needs_unused && connection->ready()) {
            connection->close("replaced by an unused one", false);
            return true;
        }
    }
    return false;
}

void http_client::open_connections_for_waiting()
{
    const auto connecting = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
            [](const auto* item) { return item->connecting(); }));
    for (std::size_t count = connecting;
         count < waiting_.size() &&
         connections_.size() < options_.max_connections;
         ++count)
        connections_.push_back(new detail::client_connection(*this));
}

void http_client::dispatch()
{
    const time_point now = std::chrono::steady_clock::now();
    start_waiting(now);
    if (!close_one_connection(now))
        open_connections_for_waiting();
}

void http_client::withdraw(call_number number)
{
    finish_later(number, {.response = std::nullopt,
                             .kind = error_kind::cancelled,
                             .message = "withdrawn before it was sent",
                             .sent = false,
                             .withdrawn = true});
}

// Fails a call whose request could not be built.
void http_client::reject(call_number number)
{
    finish_later(number, {.response = std::nullopt,
                             .kind = error_kind::internal,
                             .message = "the request could not be built",
                             .sent = false});
}

// The callback is called later, because `send` may be on the stack.
void http_client::finish_later(call_number number, http_result result)
{
    QTimer::singleShot(
        0, this, [this, number, result = std::move(result)]() mutable {
            finish(number, std::move(result));
        });
}

void http_client::finish(call_number number, http_result result)
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return;
    const http_callback callback = std::move(found->second.callback);
    result.connection_wait =
        found->second.connection_wait(std::chrono::steady_clock::now());
    calls_.erase(found);
    report(callback, std::move(result));
}

// The call has ended already, so that nothing of it is left to clean up.
void http_client::report(const http_callback& callback, http_result result)
{
    guard_callback(
        "result of a call", [&] { callback(std::move(result)); }, [] {});
}

void http_client::remove(detail::client_connection* connection, bool reset)
{
    std::erase(connections_, connection);
    if (reset && reset_callback_)
        guard_callback("lost connection", reset_callback_, [] {});
}

// Starts the timer for the earliest deadline of a call or of a connection that
// is being established.
void http_client::arm_timer()
{
    std::optional<time_point> next;
    for (const auto& [number, item] : calls_)
        next = std::min(next.value_or(item.deadline), item.deadline);
    for (const detail::client_connection* connection : connections_) {
        if (connection->connecting()) {
            const time_point deadline = connection->connect_deadline();
            next = std::min(next.value_or(deadline), deadline);
        }
    }
    if (!next)
        return;
    const auto wait = std::chrono::ceil<milliseconds>(
        *next - std::chrono::steady_clock::now());
    const milliseconds delay =
        std::max(wait, milliseconds(0)) + milliseconds(1);
    if (!timer_.isActive() || timer_.remainingTimeAsDuration() > delay)
        timer_.start(delay);
}

void http_client::fail_expired()
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
        const milliseconds connection_wait = found->second.connection_wait(now);
        const bool sent = cancel(number);
        report(
            callback, {.response = std::nullopt,
                          .kind = sent ? error_kind::outcome_unknown
                                       : error_kind::deadline_exceeded_not_run,
                          .message = "no answer before the deadline",
                          .sent = sent,
                          .connection_wait = connection_wait});
    }
    arm_timer();
}

} // namespace filberthub
