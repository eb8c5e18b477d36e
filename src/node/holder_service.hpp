// The backend servers that this instance holds, and the moves of key groups
// between them and the servers of other holders.

#ifndef FILBERTHUB_NODE_HOLDER_SERVICE_HPP
#define FILBERTHUB_NODE_HOLDER_SERVICE_HPP

#include "node/edit_service.hpp"
#include "node/fleet_service.hpp"
#include "node/group_handover.hpp"
#include "node/held_server.hpp"
#include "node/ownership_service.hpp"
#include "node/policy_service.hpp"

#include <map>
#include <memory>

namespace filberthub {

struct holder_environment
{
    fleet_service* fleet = nullptr;
    ownership_service* ownership = nullptr;
    policy_service* policy = nullptr;
    edit_service* edits = nullptr;
    peer_hub* hub = nullptr;
    // Sends a recorded request to the holder of `message.server`, which may be
    // this instance.
    edit_runner relay;
};

// A request that can be cancelled.
struct held_ticket
{
    backend_server_id server;
    request_number number;
};

class holder_service : public QObject
{
public:
    explicit holder_service(holder_environment environment);

    void start();

    // Brings the held servers in line with the fleet table, the policy and the
    // ownership tables. To be called after a change of any of them.
    void refresh();

    // Takes a request for a held server. `done` gets exactly one answer.
    held_ticket submit(forward_message message, answer_callback done);
    void cancel(const held_ticket& ticket);

    void on_group_released(const group_released_message& message);

    // Answers everything in progress, because the lease has lapsed.
    void abandon();

    // Begins to hand over every server. To be called when the process leaves.
    void begin_drain();
    bool draining() const
    {
        return draining_;
    }
    bool drained() const
    {
        return draining_ && held_.empty();
    }

    bool holds(const backend_server_id& server) const
    {
        return held_.contains(server);
    }
    std::vector<backend_server_id> held_servers() const;
    const held_server& held(const backend_server_id& server) const
    {
        return *held_.at(server)->server;
    }

private:
    struct entry
    {
        std::unique_ptr<held_server> server;
        service_id service;
        group_handover handover{backend_server_id()};
        // Since when this instance holds the server.
        time_point since;
        bool releasing = false;
    };

    void tick(time_point now);
    void add(const service_policy& policy, const backend_server& server,
        time_point now);
    void drop(const backend_server_id& server);
    holder_view view_of(const backend_server_id& server);
    // Runs a recorded request at the first usable server in its home order.
    void run_recorded(
        forward_message message, answer_callback done, std::size_t position);
    backend_server_id server_for(
        const forward_message& message, std::size_t position) const;
    void send_group_releases(time_point now);
    bool may_release(const entry& held, time_point now) const;
    void send_to_holders(
        const backend_server_id& server, const peer_message& message);
    void hand_over(time_point now);

    holder_environment environment_;
    std::map<backend_server_id, std::unique_ptr<entry>> held_;
    time_point next_releases_{};
    time_point next_relief_{};
    bool draining_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
