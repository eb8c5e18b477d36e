// The watches of `store_session`.

#include "router/store_session.hpp"

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <algorithm>
#include <utility>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

// How long the store may hold a watch call open. Each call is billed, which
// favors a long time; a dead connection is detected only after it.
constexpr milliseconds watch_wait{3'000};
// The wait of the first watch call from a known revision. Its answer shows that
// there were no other changes.
constexpr milliseconds first_watch_wait{1};
// Time that a reply may take beyond the waiting time of a watch call.
constexpr milliseconds watch_slack{700};
constexpr milliseconds initial_retry_delay{150};

} // namespace

store_watch::store_watch(object_kind kind, http_client& client, counter& calls,
    reply_epochs& epochs, std::function<void(const watch_update&)> callback,
    std::function<time_point()> clock)
    : kind_(kind),
      client_(client),
      calls_(calls),
      epochs_(epochs),
      callback_(std::move(callback)),
      clock_(std::move(clock))
{
    retry_timer_.setSingleShot(true);
    connect(&retry_timer_, &QTimer::timeout, this, [this] { send_next(); });
}

void store_watch::start(std::uint64_t known_revision)
{
    if (started_)
        return;
    started_ = true;
    if (known_revision > 0) {
        revision_ = known_revision;
        resuming_ = true;
    }
    send_next();
}

void store_watch::stop()
{
    started_ = false;
    retry_timer_.stop();
    if (open_call_)
        client_.cancel(*open_call_);
    open_call_.reset();
    failures_ = 0;
    revision_.reset();
    resuming_ = false;
    listed_objects_.clear();
    list_cursor_.clear();
}

void store_watch::list_again()
{
    if (!started_)
        return;
    ++restarts_;
    retry_timer_.stop();
    if (open_call_)
        client_.cancel(*open_call_);
    open_call_.reset();
    revision_.reset();
    resuming_ = false;
    listed_objects_.clear();
    list_cursor_.clear();
    send_next();
}

void store_watch::send_next()
{
    if (!started_ || open_call_)
        return;
    if (revision_) {
        const milliseconds wait = resuming_ ? first_watch_wait : watch_wait;
        if (!epochs_.known().is_current(*revision_)) {
            list_again();
            return;
        }
        send(platform_api::watch_call(
                 kind_, epochs_.plain_revision(*revision_), wait),
            wait + watch_slack, false);
    } else {
        send(platform_api::list_call(kind_, list_cursor_), store_call_timeout,
            true);
    }
}

void store_watch::send(http_request request, milliseconds timeout, bool listing)
{
    calls_.add();
    sent_at_ = clock_();
    open_call_ = client_.send(
        std::move(request), timeout, [this, listing](http_result result) {
            open_call_.reset();
            guard_callback(
                "reply to a watch",
                [&] { on_reply(std::move(result), listing); },
                [&] { restart_after_failure(); });
        });
}

// All objects are read again, because it is not known what of the reply was
// applied.
void store_watch::restart_after_failure()
{
    if (!started_)
        return;
    if (open_call_)
        client_.cancel(*open_call_);
    open_call_.reset();
    revision_.reset();
    resuming_ = false;
    listed_objects_.clear();
    list_cursor_.clear();
    retry("the reply could not be applied");
}

void store_watch::retry(const std::string& reason)
{
    kind_absent_ = false;
    if (failures_++ == 0) {
        log_event(log_level::warn, "watch of the store failed",
            {{"kind", platform_api::kind_name(kind_)},
                {log_key::error, reason}});
    }
    const milliseconds wait =
        std::min(initial_retry_delay * (1U << std::min(failures_ - 1, 4U)),
            timing_.max_retry_delay);
    retry_timer_.start(wait);
}

void store_watch::on_reply(http_result result, bool listing)
{
    if (!result.response) {
        retry(result.message);
        return;
    }
    const std::uint64_t restarts = restarts_;
    if (!epochs_.accept(*result.response)) {
        retry("reply of an earlier epoch");
        return;
    }
    // The reply may be of another epoch than the pages or the revision before.
    if (restarts != restarts_)
        return;
    if (revision_ && !epochs_.known().is_current(*revision_)) {
        list_again();
        return;
    }
    const std::string status =
        "status " + std::to_string(result.response->status);
    switch (platform_api::outcome_of(*result.response)) {
    case store_outcome::done:
        try {
            on_page(result.response->body, listing);
        } catch (const error& failure) {
            log_event(log_level::warn, "malformed reply from the store",
                {{log_key::error, failure.what()}});
            retry(failure.what());
        }
        return;
    case store_outcome::history_gone:
        log_event(log_level::info,
            "store no longer has the watch history; reading all objects",
            {{"kind", platform_api::kind_name(kind_)}});
        revision_.reset();
        resuming_ = false;
        send_next();
        return;
    case store_outcome::not_found:
        if (listing) {
            // The store has no objects of this kind.
            const std::uint64_t none = combined_revision(epochs_.current(), 0);
            watch_update update{kind_, true, {}, none, failures_ > 0};
            update.sent_at = sent_at_;
            callback_(update);
        }
        revision_.reset();
        resuming_ = false;
        retry(status);
        kind_absent_ = listing;
        return;
    default:
        retry(status);
    }
}

void store_watch::on_page(const std::string& body, bool listing)
{
    watch_update update;
    update.kind = kind_;
    update.sent_at = sent_at_;
    update.after_outage = failures_ > 0;
    platform_api::store_page page =
        listing ? platform_api::decode_list(kind_, body, epochs_.current())
                : platform_api::decode_events(kind_, body, epochs_.current());
    // Followed without a delay, such pages would use up the calls of the fleet.
    if (page.next && *page.next == list_cursor_) {
        throw error(error_kind::store_unavailable,
            "the page behind \"" + shorten(list_cursor_) +
                "\" ends with the same object");
    }
    if (failures_ > 0) {
        log_event(log_level::info, "watch of the store recovered",
            {{"kind", platform_api::kind_name(kind_)},
                {"failures", failures_}});
        failures_ = 0;
    }
    if (page.unreadable_objects > 0)
        count_rejected(rejected_input::object_name, page.unreadable_objects);
    if (page.unreadable_objects > 0 && !unreadable_logged_) {
        log_event(log_level::warn, "objects of the store cannot be read",
            {{"kind", platform_api::kind_name(kind_)},
                {"objects", page.unreadable_objects},
                {log_key::error, page.first_failure}});
    }
    unreadable_logged_ = page.unreadable_objects > 0;
    if (!listing) {
        update.resumed = std::exchange(resuming_, false);
        update.objects = std::move(page.objects);
        update.store_revision = page.store_revision;
        revision_ = std::max(*revision_, page.store_revision);
        callback_(update);
        if (update.objects.empty() || timing_.event_pause.count() == 0)
            send_next();
        else if (started_)
            retry_timer_.start(timing_.event_pause);
        return;
    }
    listed_objects_.insert(listed_objects_.end(),
        std::make_move_iterator(page.objects.begin()),
        std::make_move_iterator(page.objects.end()));
    if (list_cursor_.empty())
        list_revision_ = page.store_revision;
    if (page.next) {
        list_cursor_ = *page.next;
        send_next();
        return;
    }
    list_cursor_.clear();
    update.complete = true;
    update.objects = std::move(listed_objects_);
    listed_objects_.clear();
    update.store_revision = list_revision_;
    revision_ = list_revision_;
    callback_(update);
    send_next();
}

} // namespace filberthub
