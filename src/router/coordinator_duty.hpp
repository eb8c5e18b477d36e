// What the coordinator does for services with keys: it writes ownership tables
// and sends grants. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_COORDINATOR_DUTY_HPP
#define FILBERTHUB_ROUTER_COORDINATOR_DUTY_HPP

#include "router/beliefs.hpp"
#include "router/fleet_feed.hpp"
#include "router/store_session.hpp"

#include <filberthub/routing/key_coordinator.hpp>

namespace filberthub {

// To be kept only while the process is the holder of the coordinator lease.
class coordinator_duty
{
public:
    // `old_lease_end` is when earlier coordinators send no more grants.
    coordinator_duty(const route_settings& own, beliefs& known,
        store_session& store, std::uint64_t term, time_point old_lease_end,
        std::function<time_point()> clock);
    ~coordinator_duty();

    // Plans and sends what is due. To be called often, and only while the lease
    // is valid.
    void work(time_point now);
    void on_report(const load_counts& counts);
    // Earlier coordinators send no more grants from this time on.
    void on_predecessor_stopped(time_point old_lease_end);

private:
    struct service_duty
    {
        explicit service_duty(const key_granter_options& grants);

        key_coordinator keys;
        bool begun = false;
        time_point next_plan;
        std::string served;
        bool read_back = false;
    };

    void read_tables();
    void begin_services(time_point now);
    void plan(const service_id& id, service_duty& duty, time_point now);
    std::vector<key_server> key_servers(
        const service_id& id, service_duty& duty, time_point now) const;
    void write(const service_id& id, const table_write& item);
    void on_write_reply(const service_id& id,
        platform_api::store_outcome outcome, const std::string& body);
    void read_back(const service_id& id);
    void send_orders(const service_id& id, service_duty& duty, time_point now);
    void send_order(const service_id& id, const grant_order& order);
    void publish(const service_id& id, service_duty& duty, time_point now);
    void end_dead_lives(service_duty& duty);
    http_client& client_of(const backend_server_id& id);

    const route_settings& own_;
    beliefs& known_;
    store_session& store_;
    std::uint64_t term_;
    time_point old_holds_end_;
    std::function<time_point()> clock_;
    // Lets callbacks of calls notice that the duty has ended.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::map<service_id, service_duty> duties_;
    std::map<service_id, std::pair<key_table, std::uint64_t>> stored_;
    bool tables_read_ = false;
    bool reading_ = false;
    time_point next_read_;
    std::map<backend_server_id, std::unique_ptr<http_client>> clients_;
    std::map<backend_server_id, double> paces_;
    // Servers whose address was found to belong to another one.
    std::set<server_life> lost_lives_;
    std::uint64_t published_ = 0;
};

} // namespace filberthub

#endif
