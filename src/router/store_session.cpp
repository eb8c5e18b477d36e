#include "router/store_session.hpp"

#include <filberthub/telemetry/callback_guard.hpp>

#include <algorithm>
#include <utility>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

constexpr std::size_t call_connections = 4;
constexpr std::size_t watch_connections = 4;

http_client_options client_options(std::size_t connections)
{
    http_client_options options;
    options.max_connections = connections;
    options.connect_timeout = milliseconds(400);
    options.idle_limit = milliseconds(8'000);
    return options;
}

} // namespace

store_session::store_session(const endpoint& address, metric_registry& metrics,
    const std::function<void(const watch_update&)>& on_update,
    std::function<time_point()> clock)
    : clock_(std::move(clock)),
      calls_(metrics.add_counter(
          "filberthub_store_calls_total", "Calls of the platform's store.")),
      epochs_(metrics.add_gauge("filberthub_store_epoch",
          "Epoch of the platform's store; 0 if it reports none.")),
      calls_client_(address, client_options(call_connections)),
      watch_client_(address, client_options(watch_connections))
{
    const auto record_update = [this, on_update](watch_update update) {
        const time_point now = clock_();
        note_answer(update.sent_at);
        const auto [reply, is_new] =
            last_replies_.try_emplace(update.kind, time_point{});
        // The watch has just started, or the history was gone, so changes may
        // have been missed.
        if (update.complete || update.resumed || update.after_outage)
            update.changes_missed_since = reply->second;
        reply->second = now;
        on_update(update);
    };
    for (const object_kind kind : {object_kind::configuration,
             object_kind::server, object_kind::evacuation}) {
        deployment_.push_back(std::make_unique<store_watch>(
            kind, watch_client_, calls_, epochs_, record_update, clock_));
    }
    lease_ = std::make_unique<store_watch>(object_kind::coordinator_lease,
        watch_client_, calls_, epochs_, record_update, clock_);
    epochs_.on_risen([this](store_epoch epoch) { on_risen_epoch(epoch); });
}

void store_session::note_answer(time_point sent)
{
    last_answer_ = clock_();
    last_contact_ = std::max(last_contact_.value_or(sent), sent);
}

void store_session::on_risen_epoch(store_epoch epoch)
{
    if (on_epoch_)
        on_epoch_(epoch);
    for (const std::unique_ptr<store_watch>& watch : deployment_)
        watch->list_again();
    lease_->list_again();
}

std::optional<std::uint64_t> store_session::plain_revision(
    std::uint64_t combined) const
{
    if (!epochs_.known().is_current(combined))
        return std::nullopt;
    return epochs_.plain_revision(combined);
}

void store_session::watch_deployment(const complete_versions& known)
{
    for (const std::unique_ptr<store_watch>& watch : deployment_) {
        const auto version = known.find(platform_api::kind_name(watch->kind()));
        watch->start(version == known.end()
                         ? 0
                         : platform_api::store_revision_of(version->second));
    }
}

void store_session::stop_deployment_watches()
{
    for (const std::unique_ptr<store_watch>& watch : deployment_) {
        if (watch->started())
            watch->stop();
    }
}

void store_session::set_timing(watch_timing timing)
{
    for (const std::unique_ptr<store_watch>& watch : deployment_)
        watch->set_timing(timing);
    // Events of the lease announce a new coordinator, so they are not delayed.
    lease_->set_timing({milliseconds(0), timing.max_retry_delay});
}

time_point store_session::complete_until(time_point now) const
{
    time_point result = last_contact_.value_or(time_point{});
    for (const std::unique_ptr<store_watch>& watch : deployment_) {
        if (watch->current())
            continue;
        const auto reply = last_replies_.find(watch->kind());
        result = std::min(result,
            reply == last_replies_.end() ? time_point{} : reply->second);
    }
    return std::min(result, now);
}

void store_session::watch_lease(bool enabled)
{
    if (enabled)
        lease_->start(0);
    else if (lease_->started())
        lease_->stop();
}

// Returns what a call has led to, and records the contact with the store.
store_outcome store_session::outcome_of(const http_result& result, bool writes,
    store_epoch sent_in, time_point sent)
{
    if (!result.response || !epochs_.accept(*result.response))
        return store_outcome::unknown;
    // The condition of the write named a revision of another history.
    if (writes && sent_in != epoch())
        return store_outcome::unknown;
    const store_outcome outcome = platform_api::outcome_of(*result.response);
    if (outcome != store_outcome::refused && outcome != store_outcome::unknown)
        note_answer(sent);
    return outcome;
}

void store_session::call(http_request request, store_reply_callback callback)
{
    calls_.add();
    const time_point sent = clock_();
    const bool writes = request.method != "GET";
    calls_client_.send(std::move(request), store_call_timeout,
        [this, sent, writes, epoch = epoch(), callback = std::move(callback)](
            http_result result) {
            guard_callback(
                "reply of the store",
                [&] {
                    const store_outcome outcome =
                        outcome_of(result, writes, epoch, sent);
                    callback(outcome, outcome == store_outcome::unknown
                                          ? std::string()
                                          : result.response->body);
                },
                // The object is then read, or the call made again.
                [&] { callback(store_outcome::unknown, {}); });
        });
}

} // namespace filberthub
