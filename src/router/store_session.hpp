// Calls of the platform's store, and watches that keep objects up to date.
// Internal to `router`.

#ifndef FILBERTHUB_ROUTER_STORE_SESSION_HPP
#define FILBERTHUB_ROUTER_STORE_SESSION_HPP

#include <filberthub/net/http_client.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <platform/store_api.hpp>

#include <QtCore/QTimer>

#include <functional>
#include <memory>

namespace filberthub {

// What a watch has reported.
struct watch_update
{
    platform_api::object_kind kind;
    // Whether `objects` are all objects of the kind.
    bool complete = false;
    std::vector<versioned_object> objects;
    std::uint64_t store_revision = 0;
    // Whether calls of this watch failed just before.
    bool after_outage = false;
    // Present if changes since then may have been missed until now.
    std::optional<time_point> changes_missed_since;
};

// Reads a kind of objects once and then waits for changes. If the history that
// it needs is gone, it reads all again.
// How fast a watch goes on.
struct watch_timing
{
    // Time from an event to the next call, in which further events gather.
    milliseconds event_pause{0};
    // Longest time between calls that fail.
    milliseconds longest_retry{1'000};
};

class store_watch : public QObject
{
public:
    store_watch(platform_api::object_kind kind, http_client& client,
        counter& calls, std::function<void(const watch_update&)> callback);

    void start();
    void stop();
    bool started() const
    {
        return started_;
    }
    // Whether changes arrive as they happen.
    bool current() const
    {
        return started_ && (absent_ || (revision_ && failures_ == 0));
    }
    platform_api::object_kind kind() const
    {
        return kind_;
    }
    // Whether the store did not answer the last call.
    bool fails() const
    {
        return failures_ > 0 && !absent_;
    }
    void set_timing(watch_timing timing)
    {
        timing_ = timing;
    }

private:
    void step();
    void send(http_request request, milliseconds timeout, bool listing);
    void on_reply(http_result result, bool listing);
    void on_page(const std::string& body, bool listing);
    void retry(const std::string& reason);

    platform_api::object_kind kind_;
    http_client& client_;
    counter& calls_;
    std::function<void(const watch_update&)> callback_;
    QTimer retry_timer_;
    watch_timing timing_;
    bool started_ = false;
    std::optional<call_number> open_;
    // Present once a complete list was read.
    std::optional<std::uint64_t> revision_;
    std::vector<versioned_object> listed_;
    std::string list_after_;
    // Revision of the first page; later changes are read again by the watch.
    std::uint64_t list_revision_ = 0;
    unsigned failures_ = 0;
    // Whether the store said that there is no object of the kind.
    bool absent_ = false;
};

using store_reply_callback =
    std::function<void(platform_api::store_outcome, const std::string& body)>;

class store_session
{
public:
    store_session(const endpoint& address, metric_registry& metrics,
        const std::function<void(const watch_update&)>& on_update,
        std::function<time_point()> clock);

    // Watches the objects that the operator and the servers write.
    void watch_deployment(bool wanted);
    void watch_lease(bool wanted);
    bool lease_watch_fails() const
    {
        return lease_->fails();
    }
    void set_timing(watch_timing timing);

    // Makes one call. `callback` gets `unknown` if there was no answer.
    void call(http_request request, store_reply_callback callback);

    // The time until which all changes of the deployment were seen.
    time_point complete_until(time_point now) const;

    // When the last call that the store answered was sent.
    std::optional<time_point> last_contact() const
    {
        return last_contact_;
    }

private:
    std::function<time_point()> clock_;
    counter& calls_;
    http_client calls_client_;
    http_client watch_client_;
    std::vector<std::unique_ptr<store_watch>> deployment_;
    std::unique_ptr<store_watch> lease_;
    std::optional<time_point> last_contact_;
    // Last reply to the watch of each kind.
    std::map<platform_api::object_kind, time_point> last_replies_;
};

} // namespace filberthub

#endif
