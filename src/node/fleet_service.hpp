// Membership of this instance at run time: heartbeats, witness duties,
// takeover, and the planning of the fleet table.

#ifndef FILBERTHUB_NODE_FLEET_SERVICE_HPP
#define FILBERTHUB_NODE_FLEET_SERVICE_HPP

#include "node/news_service.hpp"

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
    news_service* news = nullptr;
    // Backend servers of the policy in force.
    std::function<std::vector<backend_server_id>()> servers;
    // Instances and failure domains that operators took out of service.
    std::function<bool(const instance_id&, const failure_domain_id&)> out;
};

class fleet_service : public QObject
{
public:
    explicit fleet_service(fleet_environment environment);

    // Begins to announce this instance and to join the fleet.
    void start();

    // Gives the instance its turn; called by its timer and after messages.
    void tick(time_point now);

    // Takes a message of the lease protocol. Returns false if it is none.
    bool handle(const peer_message& message, time_point now);

    // To be called when the last role was released and nothing is in flight.
    void depart();
    void set_leaving();

    // Gives up a server for good; see `takeover_tracker::release`.
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

    // Returns the witnesses that have all records of `member` in the last table
    // that listed it: its witnesses, or the ones before while a change of them
    // is not settled, because the member needs majorities of both until then.
    std::vector<instance_id> witnesses_of(const member_key& member) const;

    // Returns the members that held `server` before this instance; none if
    // there was no earlier holder, and nothing if they are not known.
    std::optional<std::vector<member_key>> former_holders(
        const backend_server_id& server) const;

    // Position of this instance among the planners; empty if it is no member.
    std::optional<std::size_t> rank() const;

    // Servers that this instance should hand to another one to even out load.
    std::vector<backend_server_id> places_to_release(time_point now) const;

    // Called after each change of the table or of the held servers.
    std::function<void()> changed;
    // Called once when the lease has lapsed. The process has to join again.
    std::function<void()> lapsed;

private:
    void adopt(const fleet_table& table, time_point now);
    void send_to(const std::vector<instance_id>& to, const peer_message& what);
    void send_lease_messages(time_point now);
    void on_heartbeat(const heartbeat& message, time_point now);
    void on_ack(const heartbeat_ack& message, time_point now);
    void send_status(time_point now);

    void announce(time_point now);
    void refresh_instances(time_point now);
    duration refresh_interval() const;
    void read_table();
    void plan(time_point now);
    bool plans_now(time_point now);
    fleet_input planning_input() const;
    std::set<member_key> replaced_members() const;
    void commit(const fleet_table& next);
    void renew_alone(time_point now);

    fleet_environment environment_;
    member_lease lease_;
    witness_ledger ledger_;
    takeover_tracker tracker_;
    connectivity_view connectivity_;
    fleet_table_ptr table_;
    // Version of the store object that `table_` was read from, if it was.
    object_version store_version_;
    object_version store_table_version_;
    std::vector<listed_process> instances_;
    bool instances_known_ = false;
    std::map<member_key, member_status> statuses_;
    std::map<member_key, std::vector<instance_id>> record_witnesses_;
    // Members that any table since the start listed before this instance.
    std::map<backend_server_id, std::set<member_key>> listed_before_;
    std::set<backend_server_id> held_;
    std::optional<time_point> change_wanted_;
    time_point table_changed_{};
    time_point next_announce_{};
    time_point next_refresh_{};
    time_point next_status_{};
    time_point next_full_plan_{};
    time_point next_solo_commit_{};
    bool lapse_reported_ = false;
    // Whether an input of the planner changed since it last found no change.
    bool inputs_changed_ = true;
    bool planning_ = false;
    bool reading_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
