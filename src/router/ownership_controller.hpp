// What the coordinator does for services with keys: it writes ownership tables
// and sends grants. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_OWNERSHIP_CONTROLLER_HPP
#define FILBERTHUB_ROUTER_OWNERSHIP_CONTROLLER_HPP

#include "router/deployment_view.hpp"
#include "router/fleet_feed.hpp"
#include "router/store_session.hpp"

#include <filberthub/routing/key_coordinator.hpp>

namespace filberthub {

// To be kept only while the process is the holder of the coordinator lease.
class ownership_controller
{
public:
    // `old_lease_end` is when earlier coordinators send no more grants.
    ownership_controller(const route_settings& settings, deployment_view& view,
        store_session& store, std::uint64_t term, time_point old_lease_end,
        std::function<time_point()> clock);
    ~ownership_controller();

    // Plans and sends what is due. To be called often, and only while the lease
    // is valid.
    void work(time_point now);
    void on_report(const load_counts& counts);
    // Earlier coordinators send no more grants from this time on.
    void on_predecessor_stopped(time_point old_lease_end);

private:
    struct service_ownership
    {
        explicit service_ownership(const key_granter_options& grants);

        key_coordinator keys;
        bool begun = false;
        time_point next_plan;
        std::string served;
        bool read_back = false;
    };

    void read_tables();
    void start_services(time_point now);
    void plan(const service_id& id, service_ownership& service, time_point now);
    std::vector<key_server> key_servers(
        const service_id& id, service_ownership& service, time_point now) const;
    void write(const service_id& id, const table_write& item);
    void on_write_reply(const service_id& id,
        platform_api::store_outcome outcome, const std::string& body);
    void read_back(const service_id& id);
    void send_commands(
        const service_id& id, service_ownership& service, time_point now);
    void send_command(const service_id& id, const grant_command& command);
    void publish(
        const service_id& id, service_ownership& service, time_point now);
    void end_stale_incarnations(service_ownership& service);
    http_client& client_of(const backend_server_id& id);

    const route_settings& settings_;
    deployment_view& view_;
    store_session& store_;
    std::uint64_t term_;
    time_point earlier_grants_end_;
    std::function<time_point()> clock_;
    // Lets callbacks of calls notice that the controller has ended.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::map<service_id, service_ownership> services_;
    std::map<service_id, std::pair<key_table, std::uint64_t>> stored_;
    bool tables_read_ = false;
    bool reading_ = false;
    time_point next_read_;
    std::map<backend_server_id, std::unique_ptr<http_client>> clients_;
    std::map<backend_server_id, double> slowdowns_;
    // Servers whose address was found to belong to another one.
    std::set<server_incarnation> lost_incarnations_;
    std::uint64_t published_ = 0;
};

} // namespace filberthub

#endif
