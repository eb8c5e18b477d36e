// Runs the membership of this instance: heartbeats, the witness protocol,
// takeover of servers, and the planning of the fleet table.
//
//     fleet_service fleet(std::move(environment));
//     fleet.on_changed = [&] { holders.refresh(); };
//     fleet.start();

#ifndef FILBERTHUB_NODE_FLEET_SERVICE_HPP
#define FILBERTHUB_NODE_FLEET_SERVICE_HPP

#include "node/dissemination_service.hpp"

#include <filberthub/membership/connectivity_view.hpp>
#include <filberthub/membership/fleet_planner.hpp>
#include <filberthub/membership/takeover_tracker.hpp>
#include <filberthub/membership/witness_ledger.hpp>
#include <filberthub/platform/store_client.hpp>

#include <QtCore/QObject>
#include <QtCore/QTimer>

#include <functional>
#include <map>
#include <set>

namespace filberthub {

// What the service needs from the rest of the node.
struct fleet_environment
{
    listed_process self;
    std::string table_path;
    store_client* store = nullptr;
    peer_hub* hub = nullptr;
    dissemination_service* dissemination = nullptr;
    // Backend servers of the policy in force.
    std::function<std::vector<backend_server_id>()> servers;
    // Whether operators took the instance or the failure domain out of service.
    std::function<bool(const instance_id&, const failure_domain_id&)>
        is_out_of_service;
};

// Guarantees that the adopted fleet table only follows one of a lower version,
// and that a lapse of the lease is reported once. After that the service has to
// be replaced.
class fleet_service : public QObject
{
public:
    explicit fleet_service(fleet_environment environment);

    // Begins to announce this instance and to join the fleet.
    void start();

    // Does the work that is due. Called by the timer.
    void tick(time_point now);

    // Handles a message of the lease protocol. Returns false for any other
    // message.
    bool handle(const peer_message& message, time_point now);

    // Ends the membership. Call when every server is released and no request is
    // in flight.
    void depart();
    // Announces that this instance leaves. From then on it plans no tables.
    void set_leaving();

    // Releases a server; see `takeover_tracker::release`.
    void release(const backend_server_id& server);

    const takeover_tracker& tracker() const
    {
        return tracker_;
    }
    const member_lease& lease() const
    {
        return lease_;
    }
    member_lease& lease()
    {
        return lease_;
    }
    const connectivity_view& connectivity() const
    {
        return connectivity_;
    }
    connectivity_view& connectivity()
    {
        return connectivity_;
    }
    const fleet_table_ptr& table() const
    {
        return table_;
    }

    // Returns the witnesses of `member` in the last table that listed it. While
    // a change of its witnesses is in progress these are the previous ones: the
    // member needs majorities of both lists until then, so that the previous
    // witnesses have all its records.
    std::vector<instance_id> witnesses_of(const member_key& member) const;

    // Returns the members that may have held `server` before this instance: an
    // empty list if there was no earlier holder, `nullopt` if the earlier
    // holders are not known. Call only after a table was adopted.
    std::optional<std::vector<member_key>> former_holders(
        const backend_server_id& server) const;

    // Returns the position of this instance among the planners, 0 for the
    // first; `nullopt` if it is not a member.
    std::optional<std::size_t> rank() const;

    // Returns servers that this instance should hand over to balance the load.
    // Empty until the table has been unchanged for some time.
    std::vector<backend_server_id> servers_to_release(time_point now) const;

    // Called after each change of the table or of the held servers.
    std::function<void()> on_changed;
    // Called once when the lease has lapsed. The instance has to join again.
    std::function<void()> on_lapsed;

private:
    void adopt(const fleet_table& table, time_point now);
    void send_to(
        const std::vector<instance_id>& to, const peer_message& message);
    void send_lease_messages(time_point now);
    void on_heartbeat(const heartbeat& message, time_point now);
    void on_ack(const heartbeat_ack& message, time_point now);
    void send_status(time_point now);

    void announce(time_point now);
    void refresh_instances(time_point now);
    duration refresh_interval() const;
    void read_table();
    void plan(time_point now);
    bool may_plan(time_point now);
    fleet_input planning_input() const;
    std::set<member_key> replaced_members() const;
    void commit(const fleet_table& next);
    void renew_without_witnesses(time_point now);

    fleet_environment environment_;
    member_lease lease_;
    witness_ledger ledger_;
    takeover_tracker tracker_;
    connectivity_view connectivity_;
    fleet_table_ptr table_;
    // Version of the store object that was last read or written, and of the
    // table in it.
    object_version store_version_;
    object_version store_table_version_;
    std::vector<listed_process> instances_;
    bool instances_known_ = false;
    std::map<member_key, member_status> statuses_;
    std::map<member_key, std::vector<instance_id>> record_witnesses_;
    // Members that any adopted table listed before this instance, by server.
    std::map<backend_server_id, std::set<member_key>> listed_before_;
    std::set<backend_server_id> held_;
    // Since when the planner has found a change that is not committed.
    std::optional<time_point> change_needed_since_;
    time_point table_changed_{};
    time_point next_announce_{};
    time_point next_refresh_{};
    time_point next_status_{};
    time_point next_full_plan_{};
    time_point next_self_renewal_{};
    bool lapse_reported_ = false;
    // Whether an input of the planner has changed since it last found nothing
    // to change.
    bool inputs_changed_ = true;
    // Whether a write or a read of the table is in progress.
    bool planning_ = false;
    bool reading_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
