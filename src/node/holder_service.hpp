// Owns the backend servers that this instance holds: follows takeovers, runs
// requests, releases moved key groups and hands servers over.
//
//     holders.refresh();
//     const held_request_handle handle = holders.submit(message, done);

#ifndef FILBERTHUB_NODE_HOLDER_SERVICE_HPP
#define FILBERTHUB_NODE_HOLDER_SERVICE_HPP

#include "node/at_most_once_service.hpp"
#include "node/fleet_service.hpp"
#include "node/group_handover.hpp"
#include "node/held_server.hpp"
#include "node/ownership_service.hpp"
#include "node/policy_service.hpp"

#include <map>
#include <memory>

namespace filberthub {

// What the service needs from the rest of the node.
struct holder_environment
{
    fleet_service* fleet = nullptr;
    ownership_service* ownership = nullptr;
    policy_service* policy = nullptr;
    at_most_once_service* at_most_once = nullptr;
    peer_hub* hub = nullptr;
    // Sends a request whose intent is recorded to the holder of
    // `message.server`, which may be this instance.
    recorded_request_sender relay;
    // Whether operators took this instance or its failure domain out of
    // service.
    std::function<bool()> is_out_of_service;
};

// Identifies a submitted request for `holder_service::cancel`. A default number
// identifies no request.
struct held_request_handle
{
    backend_server_id server;
    request_number number;
};

// Guarantees that a held server is handed over only when none of its requests
// is in progress.
class holder_service : public QObject
{
public:
    explicit holder_service(holder_environment environment);

    // Starts the timer of the periodic work.
    void start();

    // Updates the held servers from the fleet table, the policy and the
    // ownership tables. Call after a change of any of them.
    void refresh();

    // Submits a request for a held server. `done` is called exactly once unless
    // the request is cancelled.
    held_request_handle submit(forward_message message, answer_callback done);
    void cancel(const held_request_handle& handle);

    // Call when the holder of another server reports that it released a group.
    void on_group_released(const group_released_message& message);

    // Ends all requests at the held servers. Call when the lease has lapsed.
    void abandon();

    // Begins to hand over every server. Call when the process leaves.
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
    // Call only if `holds(server)`.
    const held_server& held(const backend_server_id& server) const
    {
        return *held_.at(server)->server;
    }

private:
    struct held_entry
    {
        std::unique_ptr<held_server> server;
        service_id service;
        group_handover handover{backend_server_id()};
        // Since when this instance holds the server.
        time_point held_since;
        // Whether the server is being handed over.
        bool releasing = false;
    };

    void tick(time_point now);
    void add(const service_policy& policy, const backend_server& server,
        time_point now);
    void drop(const backend_server_id& server);
    held_server_environment make_environment(const backend_server_id& server);
    // Runs a recorded request at the usable server at `position` in its home
    // order, and at later ones while each proves that it did not run it.
    void run_recorded(
        forward_message message, answer_callback done, std::size_t position);
    void route_to_owner(forward_message& message) const;
    backend_server_id server_for(
        const forward_message& message, std::size_t position) const;
    void send_group_releases(time_point now);
    bool may_release(const held_entry& held, time_point now) const;
    void send_to_holders(
        const backend_server_id& server, const peer_message& message);
    void hand_over(time_point now);

    holder_environment environment_;
    std::map<backend_server_id, std::unique_ptr<held_entry>> held_;
    time_point next_releases_{};
    time_point next_rebalance_{};
    bool draining_ = false;
    QTimer timer_;
};

} // namespace filberthub

#endif
