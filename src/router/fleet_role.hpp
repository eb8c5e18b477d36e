// Decides whether this process coordinates the fleet, follows the coordinator,
// or watches the store itself. Reads and writes the coordinator lease. Internal
// to `router`.
//
//     fleet_role role(settings, view, metrics, take_load_counts, clock);
//     role.tick(now);
//     if (role.coordinates(now)) ...

#ifndef FILBERTHUB_ROUTER_FLEET_ROLE_HPP
#define FILBERTHUB_ROUTER_FLEET_ROLE_HPP

#include "router/fleet_feed.hpp"
#include "router/lease_news.hpp"
#include "router/ownership_controller.hpp"
#include "router/store_session.hpp"

#include <filberthub/routing/quota_allocator.hpp>

namespace filberthub {

// Runs the ownership controller only while this process holds a valid
// coordinator lease, which each tick checks. Watches the store while no
// coordinator delivers current changes.
class fleet_role
{
public:
    fleet_role(const route_settings& settings, deployment_view& view,
        metric_registry& metrics, std::function<load_counts()> take_load_counts,
        std::function<time_point()> clock);

    // Renews the lease and does the work of the current role. To be called
    // every 100 ms.
    void tick(time_point now);
    // Handles a poll of another instance, its question for the lease, or the
    // message of a successor that has taken the lease.
    void on_poll(std::shared_ptr<http_exchange> exchange);
    // To be called after objects of the view have changed.
    void on_view_changed();
    // Gives up the lease and does not take it again. To be called once, when
    // the process starts to shut down.
    void leave();

    // Sets the function that applies shares of quotas, with the time at which
    // they were asked for.
    void on_quota(std::function<void(const quota_reply&, time_point)> callback);

    // Whether this process holds a valid coordinator lease.
    bool coordinates(time_point now) const
    {
        return lease_.holds(now);
    }
    store_epoch epoch() const
    {
        return store_.epoch();
    }
    const coordinator_lease& lease() const
    {
        return lease_;
    }
    // Whether a coordinator delivers current changes to this process.
    bool follows(time_point now) const
    {
        return client_.fresh(now);
    }

private:
    void on_watch_update(const watch_update& update);
    void apply_update(const watch_update& update, time_point now);
    void on_lease_objects(const watch_update& update);
    void on_store_epoch(store_epoch epoch);
    void advance(time_point now);
    void coordinate(time_point now);
    // Gives up the lease after a failure, so that another instance coordinates.
    void resign();
    void flush();
    void allocate_quotas(time_point now);
    void report_local_quota(const quota_report& report, time_point now);
    std::optional<quota_reply> quota_for(const instance_id& instance);
    void pause_coordinating(time_point now);
    void stop_coordinating();
    void follow(time_point now);
    void renew(time_point now);
    void set_takeover_times();
    void tick_soon();
    void flush_soon();
    void write_lease(const lease_write& write);
    void read_lease();
    void apply_lease_reply(const std::string& body);
    // Returns the time since the store answered a call of this process.
    milliseconds store_age(time_point now) const;
    feed_age view_age(time_point now) const;
    void publish_members(time_point now);
    // Reports the keys without an owner, by cause.
    void report_grant_progress(time_point now);
    // Asks the predecessor to stop granting, unless it is known to have stopped
    // or to be unable to grant.
    void stop_predecessor(time_point now);
    void on_stop_reply(std::uint64_t term, const http_result& result);
    void on_predecessor_stopped(
        time_point now, const std::optional<time_point>& leases_before_it_end);
    void on_stop_request(http_exchange& exchange);
    // Uses what another instance tells about the lease.
    void on_lease_news(const lease_news& news);
    // Returns the newest record that this process knows, if there is one.
    std::optional<lease_news> newest_lease() const;
    // Returns the body of the answer to a poll that this process refuses.
    std::string refusal_text() const;
    // Returns the instances that may know the coordinator, those first that
    // would have replaced the last one.
    std::vector<endpoint> peers_to_ask() const;

    const route_settings& settings_;
    deployment_view& view_;
    metric_registry& metrics_;
    std::function<load_counts()> take_load_counts_;
    std::function<time_point()> clock_;
    lease_record self_;
    // Random part of the delay before a takeover.
    milliseconds takeover_jitter_;
    coordinator_lease lease_;
    store_session store_;
    feed_server server_;
    feed_client client_;
    lease_inquiry inquiry_;
    // The lease that a successor has told this process.
    std::optional<lease_news> told_by_successor_;
    // Connection to the coordinator that held the lease before this process.
    std::unique_ptr<http_client> predecessor_client_;
    bool stop_request_open_ = false;
    time_point next_stop_request_;
    std::unique_ptr<ownership_controller> controller_;
    // Present together with `controller_`.
    std::optional<quota_allocator> quotas_;
    std::function<void(const quota_reply&, time_point)> on_quota_;
    // Whether `controller_` waits for a renewal of a lease that has ended.
    bool granting_paused_ = false;
    // Whether `controller_` has failed and must not go on.
    bool coordinating_failed_ = false;
    bool lease_read_open_ = false;
    bool leaving_ = false;
    bool tick_pending_ = false;
    QTimer flush_timer_;
    time_point next_report_;
    time_point next_progress_report_;
    // The last published list of members, and the number of lists published.
    std::string published_members_;
    std::uint64_t publication_count_ = 0;
    // Present while no coordinator delivers current changes.
    std::optional<time_point> isolated_since_;
};

} // namespace filberthub

#endif
