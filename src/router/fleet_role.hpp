// Decides whether this process coordinates, follows, or watches the store by
// itself, and carries the lease's calls out. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_FLEET_ROLE_HPP
#define FILBERTHUB_ROUTER_FLEET_ROLE_HPP

#include "router/fleet_feed.hpp"
#include "router/ownership_controller.hpp"
#include "router/store_session.hpp"

namespace filberthub {

class fleet_role
{
public:
    fleet_role(const route_settings& settings, deployment_view& view,
        metric_registry& metrics, std::function<load_counts()> take_counts,
        std::function<time_point()> clock);

    // To be called ten times a second.
    void tick(time_point now);
    // A poll of another instance.
    void on_poll(std::shared_ptr<http_exchange> exchange);
    // Objects of the view have changed.
    void on_view_changed();
    // Gives the lease up and takes it no more.
    void leave();

    bool coordinates(time_point now) const
    {
        return lease_.holds(now);
    }
    const coordinator_lease& lease() const
    {
        return lease_;
    }
    bool follows(time_point now) const
    {
        return client_.fresh(now);
    }

private:
    void on_watch(const watch_update& update);
    void apply_update(const watch_update& update, time_point now);
    void on_lease_objects(const watch_update& update);
    void coordinate(time_point now);
    void follow(time_point now);
    void renew(time_point now);
    void tick_soon();
    void write_lease(const lease_write& write);
    void read_lease();
    void take_object(const std::string& body);
    milliseconds store_age(time_point now) const;
    feed_age view_age(time_point now) const;
    void publish_members(time_point now);
    void stop_predecessor();
    void on_stop(http_exchange& exchange);

    const route_settings& settings_;
    deployment_view& view_;
    std::function<load_counts()> take_counts_;
    std::function<time_point()> clock_;
    lease_record self_;
    coordinator_lease lease_;
    store_session store_;
    feed_server server_;
    feed_client client_;
    // To the coordinator that this process took the lease from.
    std::unique_ptr<http_client> predecessor_client_;
    std::unique_ptr<ownership_controller> controller_;
    bool reading_ = false;
    bool leaving_ = false;
    bool tick_pending_ = false;
    QTimer flush_timer_;
    time_point next_counts_;
    std::string members_;
    std::uint64_t published_ = 0;
    std::optional<time_point> isolated_since_;
};

} // namespace filberthub

#endif
