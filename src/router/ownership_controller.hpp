// The coordinator's work for services with keys: writes ownership tables to the
// store and sends grant commands to servers. Internal to `router`.
//
//     ownership_controller controller(
//         settings, view, store, term, earlier_leases_end, clock);
//     controller.advance(now);

#ifndef FILBERTHUB_ROUTER_OWNERSHIP_CONTROLLER_HPP
#define FILBERTHUB_ROUTER_OWNERSHIP_CONTROLLER_HPP

#include "router/deployment_view.hpp"
#include "router/fleet_feed.hpp"
#include "router/store_session.hpp"

#include <filberthub/routing/key_coordinator.hpp>

namespace filberthub {

// Guarantees that a grant command is sent only for a table that is committed in
// the store. Must exist only while the process holds the coordinator lease.
class ownership_controller
{
public:
    // Starts to read the stored tables. Earlier coordinators send no more
    // grants from `earlier_leases_end` on.
    ownership_controller(const route_settings& settings, deployment_view& view,
        store_session& store, std::uint64_t term, time_point earlier_leases_end,
        std::function<time_point()> clock);
    ~ownership_controller();

    // Plans tables and sends the commands that are due, unless the lease has
    // ended. To be called at each tick.
    void advance(time_point now);
    // Sets when the lease ends, which is never before the first call. A lease
    // that has ended may be renewed: as nobody else has held it meanwhile, this
    // coordinator still knows all grants that were sent.
    void set_lease_end(time_point end)
    {
        lease_end_ = end;
    }
    // Adds the load that an instance has reported.
    void on_report(const load_counts& counts);
    // Earlier coordinators have confirmed that they send no more grants from
    // `earlier_leases_end` on.
    void on_predecessor_stopped(time_point earlier_leases_end);

    // Sets the function that is called when the work of the coordinator has
    // failed, so that it must not go on. It must not destroy this object.
    void on_failure(std::function<void()> callback)
    {
        on_failure_ = std::move(callback);
    }

    // The store was restored from an older copy, and this coordinator keeps its
    // lease. Keys may have been granted by another one until
    // `unseen_grants_end`.
    void on_epoch(time_point unseen_grants_end);
    // To be called after the construction if earlier coordinators may exist of
    // which the store does not know.
    void assume_unseen_coordinators()
    {
        others_unseen_ = true;
    }

    // How far the grants of a service have come.
    struct progress
    {
        key_coverage keys;
        // Time since the last table was committed by this coordinator.
        milliseconds table_age{0};
        // Whether a table write has no known outcome yet.
        bool write_open = false;
        // Number of keys that no server can serve alone.
        std::size_t heavy_keys = 0;
        // Number of usable servers that get no keys, because they leave
        // commands without an answer.
        std::size_t silent_servers = 0;
    };
    std::map<service_id, progress> grant_progress(time_point now) const;

private:
    struct service_ownership
    {
        explicit service_ownership(const key_granter_options& grants);

        key_coordinator keys;
        bool started = false;
        time_point next_plan;
        // When this coordinator committed the present table, or started.
        time_point committed_at;
        // The last published texts of the served key ranges, by part.
        std::vector<std::string> published_parts;
        // `key_granter::granted_version` at that time.
        std::optional<std::uint64_t> published_version;
        // Whether the outcome of the last table write is unknown.
        bool needs_read_back = false;
        // Keys that no server can serve alone.
        std::vector<key_number> heavy_keys;
        time_point next_heavy_key_check;
        // Usable servers that got no keys in the last plan, because they leave
        // commands without an answer.
        std::set<server_incarnation> silent_servers;
    };

    void read_tables();
    void read_table(const versioned_object& object);
    void start_services(time_point now);
    void plan(const service_id& id, service_ownership& service, time_point now);
    // Logs keys that no server can serve alone.
    void report_heavy_keys(const service_id& id, service_ownership& service,
        const std::vector<key_server>& servers, time_point now);
    std::vector<key_server> key_servers(
        const service_id& id, service_ownership& service, time_point now);
    // Updates the silent servers of the service, and logs each change.
    void note_silent_servers(const service_id& id, service_ownership& service);
    void write(const service_id& id, const table_write& table);
    void on_write_reply(const service_id& id,
        platform_api::store_outcome outcome, const std::string& body);
    // Reads the stored table to find out whether the last write succeeded.
    void read_back(const service_id& id);
    // Sends some of the commands that are due, so that other events are handled
    // before the rest.
    void send_due_commands(time_point now);
    // Returns the number of commands sent.
    std::size_t send_commands(
        const service_id& id, service_ownership& service, time_point now);
    // Asks the silent servers whether they answer again. Returns the number of
    // commands sent.
    std::size_t send_probes(
        const service_id& id, service_ownership& service, time_point now);
    // Sends a command, or reports it as unanswered if that is not possible.
    void try_send(const service_id& id, service_ownership& service,
        const grant_command& command, time_point now);
    void send_command(const service_id& id, const grant_command& command);
    void publish(
        const service_id& id, service_ownership& service, time_point now);
    void publish_part(const service_id& id, std::size_t part,
        const std::string& text, time_point now);
    void note_turn(time_point now);
    void replace_stale_incarnations(service_ownership& service);
    void on_connection_lost(const backend_server_id& id);
    http_client& client_of(const backend_server_id& id);

    const route_settings& settings_;
    deployment_view& view_;
    store_session& store_;
    std::uint64_t term_;
    time_point earlier_grants_end_;
    time_point unseen_grants_end_;
    bool others_unseen_ = false;
    time_point lease_end_ = time_point::max();
    std::function<time_point()> clock_;
    std::function<void()> on_failure_ = [] {};
    // Tells the callbacks of open calls whether the controller still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::map<service_id, service_ownership> services_;
    // Tables read at the start, with their revision in the store.
    std::map<service_id, std::pair<key_table, std::uint64_t>> stored_tables_;
    // Services whose stored tables could not be read. They are read again.
    std::set<service_id> unreadable_tables_;
    bool tables_read_ = false;
    bool table_read_open_ = false;
    time_point next_table_read_;
    std::map<backend_server_id, std::unique_ptr<http_client>> clients_;
    std::map<backend_server_id, double> slowdowns_;
    server_health health_;
    std::uint64_t publication_count_ = 0;
    std::optional<time_point> last_turn_;
    // Until then, missing answers say nothing about their servers.
    time_point late_until_;
    // Runs `advance` some time after an answer of a server.
    QTimer advance_timer_;
    // Runs `send_due_commands` after other events.
    QTimer command_timer_;
};

} // namespace filberthub

#endif
