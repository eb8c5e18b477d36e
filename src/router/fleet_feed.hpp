// The change feed from the coordinator to the other instances, over HTTP long
// polls. Polls carry load reports to the coordinator; replies carry changed
// objects. Internal to `router`.
//
//     feed_client client(self, view, take_load_counts, clock);
//     client.follow(lease_record);
//     if (!client.fresh(now))
//         watch_store();

#ifndef FILBERTHUB_ROUTER_FLEET_FEED_HPP
#define FILBERTHUB_ROUTER_FLEET_FEED_HPP

#include "router/deployment_view.hpp"
#include "router/fleet_timing.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/net/http_listener.hpp>
#include <filberthub/routing/account_quota.hpp>
#include <filberthub/routing/coordinator_lease.hpp>
#include <filberthub/routing/server_health.hpp>

#include <QtCore/QTimer>

namespace filberthub {

// Path of the long polls.
inline constexpr const char* feed_path = "/feed";
// Path at which a coordinator is notified that another process has taken its
// lease.
inline constexpr const char* stop_path = "/stop";

// The load that an instance reports to the coordinator.
struct load_counts
{
    // Number of requests per key since the last report.
    std::map<service_id, std::map<key_number, std::uint32_t>> requests;
    // Typical duration of the work of each server, relative to the mean of its
    // service.
    std::map<backend_server_id, double> slowdowns;
    // Servers whose answers said that they are leaving, with the start of the
    // incarnation that said so. Their keys have to move.
    std::map<backend_server_id, std::uint64_t> leaving;
    // Its sequence is 0 if no account has a limit.
    quota_report quota;
    // Results of requests by server since the last report.
    std::map<backend_server_id, result_counts> results;
    // Work of the requests per key in milliseconds at slowdown 1, by the mean
    // of their routes. Keys without it count by their requests.
    std::map<service_id, std::map<key_number, std::uint32_t>> work_ms;
};

// The age of the coordinator's view.
struct feed_age
{
    // Time since the store answered any call.
    milliseconds store{0};
    // Time since the view contained all changes of the deployment.
    milliseconds view{0};
};

// The coordinator's side of the feed. Guarantees that a reply holds every
// object that the instance may lack, with an upper bound of the age of its
// change: what has changed since the change number in the poll, or, in a poll
// that followed another process, since the versions of its last complete view.
// The whole view for each instance would take longer than a lease lasts in a
// large fleet.
class feed_server
{
public:
    feed_server(deployment_view& view,
        std::function<void(const instance_id&, const load_counts&)> on_report);

    // Sets the function that returns the shares for the reply to a poll.
    void on_quota_needed(
        std::function<std::optional<quota_reply>(const instance_id&)> callback)
    {
        on_quota_needed_ = std::move(callback);
    }

    // Records the report in a poll, and keeps the poll for `flush` and
    // `answer_due`. `run_id` identifies this process. A malformed poll is
    // answered with status 400.
    void on_poll(std::shared_ptr<http_exchange> exchange, std::uint64_t run_id,
        time_point now);
    // Regards these instances as members until the time-out after `now`, or
    // until they poll. `self` is left out.
    void assume_members(const std::vector<live_instance>& members,
        const instance_id& self, time_point now);
    // Whether objects have changed for an instance that waits for an answer.
    bool has_changes_to_send() const;
    // Answers the polls for which objects have changed or whose waiting time is
    // over. To be called some time after a change; see
    // `fleet_timing::flush_delay`.
    void flush(std::uint64_t run_id, feed_age age, time_point now);
    // Answers the polls whose waiting time is over. To be called at each tick.
    void answer_due(std::uint64_t run_id, feed_age age, time_point now);
    // Answers all open polls with status 409 and this body. To be called when
    // this process stops coordinating.
    void refuse_all(const std::string& body);
    // Returns the number of instances that have polled recently, plus this one.
    std::size_t fleet_size(time_point now);
    // Returns the instances that have polled and are not leaving, without this
    // one.
    std::vector<live_instance> members() const;
    // Returns the members that watch this process closely, in the order in
    // which they would replace it.
    std::vector<instance_id> standbys() const;

private:
    // A poll that is not answered yet.
    struct open_poll
    {
        std::shared_ptr<http_exchange> exchange;
        // Number of the last change that the instance has; 0 if it has followed
        // another process.
        std::uint64_t after_change = 0;
        // Set if `after_change` is 0.
        complete_versions complete;
        time_point answer_by;
        // Set if the poll reports on quotas.
        std::optional<instance_id> quota_sender;
    };

    // A reply for all polls that lack the same changes.
    struct encoded_reply
    {
        std::string text;
        // Empty until a poll needs it.
        std::string compressed;
    };

    static http_response response_to(
        const open_poll& poll, encoded_reply& reply);
    template <class Condition>
    void answer_if(std::uint64_t run_id, feed_age age, time_point now,
        const Condition& is_due);
    std::string encode_reply(const open_poll& poll, std::uint64_t run_id,
        feed_age age, time_point now) const;
    fleet_timing timing() const;

    deployment_view& view_;
    std::function<void(const instance_id&, const load_counts&)> on_report_;
    std::function<std::optional<quota_reply>(const instance_id&)>
        on_quota_needed_;
    std::vector<open_poll> polls_;
    struct polling_member
    {
        live_instance member;
        bool leaving = false;
        time_point last_poll;
    };

    std::map<instance_id, polling_member> members_;
};

// The side of the other instances: polls the coordinator and applies the
// changed objects to the view.
class feed_client : public QObject
{
public:
    feed_client(live_instance self, deployment_view& view,
        std::function<load_counts()> take_load_counts,
        std::function<time_point()> clock);

    // Polls this coordinator from now on, or none.
    void follow(const std::optional<lease_record>& coordinator);

    // Reports in the next polls that this instance is leaving and accepts no
    // more work.
    void announce_leaving()
    {
        leaving_ = true;
    }

    // Whether the view is as recent through the coordinator as it would be with
    // watches of the store by this process.
    bool fresh(time_point now) const;
    // Whether the coordinator has answered the last poll. If not, there may be
    // another one, or none.
    bool answering() const
    {
        return answering_;
    }
    // The time bounds that the coordinator has announced.
    const fleet_timing& timing() const
    {
        return timing_;
    }
    // The position of this instance among the standbys of the coordinator that
    // it follows, or nothing.
    std::optional<std::size_t> standby_rank() const
    {
        return standby_rank_;
    }

    // The standbys that the coordinator has named last.
    const std::vector<instance_id>& standbys() const
    {
        return standbys_;
    }

    // Returns the time up to which a coordinator has delivered all changes.
    time_point complete_until() const
    {
        return complete_until_;
    }

    // Sets the function that is called after each reply, with the time since
    // the store answered the coordinator.
    void on_answered(std::function<void(milliseconds)> callback)
    {
        on_answered_ = std::move(callback);
    }
    // Sets the function that is called with the shares in a reply and the time
    // at which its poll was sent.
    void on_quota(std::function<void(const quota_reply&, time_point)> callback)
    {
        on_quota_ = std::move(callback);
    }
    // Sets the function that is called with the body of the answer when the
    // polled process refuses, because it is no longer the coordinator.
    void on_refused(std::function<void(const std::string&)> callback)
    {
        on_refused_ = std::move(callback);
    }

private:
    void poll();
    void on_reply(http_result result);
    void set_standbys(const std::vector<instance_id>& standbys);
    // Returns the time since the store answered the coordinator.
    milliseconds apply(const std::string& body, time_point now);

    live_instance self_;
    bool leaving_ = false;
    deployment_view& view_;
    std::function<load_counts()> take_load_counts_;
    std::function<time_point()> clock_;
    std::function<void(milliseconds)> on_answered_;
    std::function<void(const std::string&)> on_refused_;
    std::function<void(const quota_reply&, time_point)> on_quota_;
    // When the last poll was sent.
    time_point poll_sent_;
    std::unique_ptr<http_client> client_;
    std::optional<lease_record> coordinator_;
    QTimer poll_timer_;
    // Number of the last change that was received.
    std::uint64_t last_change_ = 0;
    // Identifies the coordinator process that counted `last_change_`.
    std::uint64_t run_id_ = 0;
    fleet_timing timing_{std::size_t{1}};
    std::vector<instance_id> standbys_;
    std::optional<std::size_t> standby_rank_;
    bool answering_ = false;
    // Time up to which the view of the coordinator was complete at its last
    // reply.
    std::optional<time_point> view_complete_until_;
    // Largest value that `view_complete_until_` has had.
    time_point complete_until_;
};

} // namespace filberthub

#endif
