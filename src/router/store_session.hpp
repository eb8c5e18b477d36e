// Calls to the platform's metadata store, and watches that report changed
// objects. Internal to `router`.
//
//     store_session store(address, metrics, on_update, clock);
//     store.watch_deployment(known_versions);
//     store.call(request, on_reply);

#ifndef FILBERTHUB_ROUTER_STORE_SESSION_HPP
#define FILBERTHUB_ROUTER_STORE_SESSION_HPP

#include <filberthub/net/http_client.hpp>
#include <filberthub/routing/object_cache.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <platform/store_api.hpp>

#include <QtCore/QTimer>

#include <functional>
#include <memory>

namespace filberthub {

// Time limit of a call that does not wait for changes. The store answers within
// a few milliseconds, or a few hundred while it is slow.
inline constexpr milliseconds store_call_timeout{900};

// Objects that a watch reports.
struct watch_update
{
    platform_api::object_kind kind;
    // Whether `objects` holds all objects of the kind.
    bool complete = false;
    std::vector<versioned_object> objects;
    // Combined with the epoch of the store, as those of the objects.
    std::uint64_t store_revision = 0;
    // Whether the calls of this watch failed until this reply.
    bool after_outage = false;
    // Whether this is the first reply after a start from a known revision.
    bool resumed = false;
    // Present if changes since this time were possibly not reported before.
    std::optional<time_point> changes_missed_since;
    // When the answered call was sent.
    time_point sent_at;
};

// The delays between the calls of a watch.
struct watch_timing
{
    // Delay of the next call after an event, so that further events are
    // reported together.
    milliseconds event_pause{0};
    // Upper bound of the delay after a failed call.
    milliseconds max_retry_delay{1'000};
};

// Follows the epoch of the store from the headers of its replies.
class reply_epochs
{
public:
    explicit reply_epochs(gauge& metric) : metric_(metric) {}

    // Returns whether a reply may be used. One of an earlier epoch than the
    // known one may not. Calls the function set with `on_risen` before it
    // returns if the reply shows a later one.
    bool accept(const http_response& response);
    void on_risen(std::function<void(store_epoch)> callback)
    {
        on_risen_ = std::move(callback);
    }
    const epoch_tracker& known() const
    {
        return known_;
    }
    store_epoch current() const
    {
        return known_.current();
    }
    // Returns the plain revision of one of the current epoch. The store has
    // issued no other.
    std::uint64_t plain_revision(std::uint64_t combined) const
    {
        return combined - combined_revision(current(), 0);
    }

private:
    gauge& metric_;
    epoch_tracker known_;
    std::function<void(store_epoch)> on_risen_;
    // The header that was last logged as unreadable, so that each is logged
    // once and not with each reply.
    std::string logged_header_;
};

// Reads all objects of a kind, unless a revision is known, and then waits for
// changes. Reads all objects again if the store no longer has the history since
// the last known revision, or if its epoch has risen.
class store_watch : public QObject
{
public:
    store_watch(platform_api::object_kind kind, http_client& client,
        counter& calls, reply_epochs& epochs,
        std::function<void(const watch_update&)> callback,
        std::function<time_point()> clock);

    // Reports the changes since this combined revision of the store; all
    // objects if it is 0.
    void start(std::uint64_t known_revision);
    void stop();
    // Reads all objects again if it is started. To be called when the epoch of
    // the store has risen.
    void list_again();
    bool started() const
    {
        return started_;
    }
    // Whether changes are currently reported as they happen.
    bool current() const
    {
        return started_ &&
               (kind_absent_ || (revision_ && !resuming_ && failures_ == 0));
    }
    platform_api::object_kind kind() const
    {
        return kind_;
    }
    // Whether the last call failed.
    bool failing() const
    {
        return failures_ > 0 && !kind_absent_;
    }
    void set_timing(watch_timing timing)
    {
        timing_ = timing;
    }

private:
    void send_next();
    void send(http_request request, milliseconds timeout, bool listing);
    void on_reply(http_result result, bool listing);
    void on_page(const std::string& body, bool listing);
    void restart_after_failure();
    void retry(const std::string& reason);

    platform_api::object_kind kind_;
    http_client& client_;
    counter& calls_;
    reply_epochs& epochs_;
    std::function<void(const watch_update&)> callback_;
    std::function<time_point()> clock_;
    QTimer retry_timer_;
    watch_timing timing_;
    bool started_ = false;
    std::optional<call_number> open_call_;
    // When the last call was sent.
    time_point sent_at_;
    // Number of calls of `list_again`.
    std::uint64_t restarts_ = 0;
    // Revision up to which changes were reported. Present once a complete list
    // was read, or if it was known at the start.
    std::optional<std::uint64_t> revision_;
    // Whether changes since the known revision were not reported yet.
    bool resuming_ = false;
    std::vector<versioned_object> listed_objects_;
    // Where the next page of the list begins; empty for the first page.
    std::string list_cursor_;
    // Revision of the first page of the list. The watch starts from it, so that
    // changes made while the list is read are reported.
    std::uint64_t list_revision_ = 0;
    unsigned failures_ = 0;
    // Whether the last reply had objects that cannot be read. They are logged
    // once and not in each reply.
    bool unreadable_logged_ = false;
    // Whether the store replied that it has no object of the kind.
    bool kind_absent_ = false;
};

using store_reply_callback =
    std::function<void(platform_api::store_outcome, const std::string& body)>;

// Makes the calls of this process to the store and runs its watches. Counts
// each call in the metric `filberthub_store_calls_total`.
class store_session
{
public:
    store_session(const endpoint& address, metric_registry& metrics,
        const std::function<void(const watch_update&)>& on_update,
        std::function<time_point()> clock);

    // Starts the watches of the objects that the operator and the servers
    // write. `known` tells up to which version the objects of a kind are known.
    void watch_deployment(const complete_versions& known);
    void stop_deployment_watches();
    // Starts or stops the watch of the coordinator lease.
    void watch_lease(bool enabled);
    bool lease_watch_failing() const
    {
        return lease_->failing();
    }
    void set_timing(watch_timing timing);

    // Makes one call. The callback gets the outcome `unknown` if the store does
    // not answer in time, and also for a write that was sent in an earlier
    // epoch than that of its reply. The epoch of any other reply is `epoch()`.
    // A callback that throws is called once more, with the outcome `unknown`.
    void call(http_request request, store_reply_callback callback);

    // The latest epoch that a reply of the store has shown.
    store_epoch epoch() const
    {
        return epochs_.current();
    }
    // Sets the function that is called when the epoch has risen, before the
    // reply that shows it is reported.
    void on_epoch(std::function<void(store_epoch)> callback)
    {
        on_epoch_ = std::move(callback);
    }
    // Returns the plain revision that a conditional write has to name, or
    // nothing if the combined one is of another epoch than the current.
    std::optional<std::uint64_t> plain_revision(std::uint64_t combined) const;
    // Returns the combined revision of an object that does not exist.
    std::uint64_t absent_revision() const
    {
        return combined_revision(epoch(), 0);
    }

    // Returns the time up to which all changes of the deployment are known to
    // have been reported.
    time_point complete_until(time_point now) const;

    // Returns when the last answered call was sent. Calls are known to have
    // reached the store until then. The time of an answer proves nothing about
    // them: a watch is answered also after the link to the store has failed in
    // the direction of the calls.
    std::optional<time_point> last_contact() const
    {
        return last_contact_;
    }
    // Returns when the last answer has arrived.
    std::optional<time_point> last_answer() const
    {
        return last_answer_;
    }

private:
    void on_risen_epoch(store_epoch epoch);
    void note_answer(time_point sent);
    platform_api::store_outcome outcome_of(const http_result& result,
        bool writes, store_epoch sent_in, time_point sent);

    std::function<time_point()> clock_;
    counter& calls_;
    reply_epochs epochs_;
    std::function<void(store_epoch)> on_epoch_;
    http_client calls_client_;
    http_client watch_client_;
    std::vector<std::unique_ptr<store_watch>> deployment_;
    std::unique_ptr<store_watch> lease_;
    std::optional<time_point> last_contact_;
    std::optional<time_point> last_answer_;
    // Time of the last reply to the watch of each kind.
    std::map<platform_api::object_kind, time_point> last_replies_;
};

} // namespace filberthub

#endif
