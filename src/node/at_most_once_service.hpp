// Runs non-idempotent requests at most once. Owns the duplicate filters of the
// held servers and the intent logs that this instance keeps as a witness.
//
//     at_most_once.on_held(server, now);
//     at_most_once.submit(message, deadline, done, send, now);

#ifndef FILBERTHUB_NODE_AT_MOST_ONCE_SERVICE_HPP
#define FILBERTHUB_NODE_AT_MOST_ONCE_SERVICE_HPP

#include "node/fleet_service.hpp"
#include "node/held_server.hpp"

#include <filberthub/attempt/duplicate_filter.hpp>
#include <filberthub/attempt/intent_log.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace filberthub {

// What the service needs from the rest of the node.
struct at_most_once_environment
{
    fleet_service* fleet = nullptr;
    peer_hub* hub = nullptr;
    instance_id self;
    incarnation self_incarnation;
};

// Sends a request whose intent is recorded. Calls `done` exactly once.
using recorded_request_sender =
    std::function<void(forward_message message, answer_callback done)>;

// Guarantees that a request runs only after a majority of the witnesses has
// recorded its intent, and that its id is not run again while the request is in
// progress, done or of unknown outcome. A new home admits no requests until it
// has the records of the earlier homes, or until these records have expired.
class at_most_once_service
{
public:
    at_most_once_service(
        at_most_once_environment environment, time_point started);

    // Call when this instance becomes the holder of a server, and when it is no
    // longer the holder. `on_dropped` refuses the pending requests.
    void on_held(const backend_server_id& server, time_point now);
    void on_dropped(const backend_server_id& server);

    // Submits a request whose home is `message.server`. Calls `done` exactly
    // once: with the stored answer of a repeated request, with a refusal, or
    // with the answer that `send` obtained.
    void submit(forward_message message, time_point deadline,
        answer_callback done, recorded_request_sender send, time_point now);

    // Handles a message of the intent protocol. Returns false for any other
    // message.
    bool handle(peer_connection& connection, const peer_message& message,
        time_point now);

    // Collects and synchronizes records and refuses overdue requests. Call
    // periodically.
    void tick(time_point now);
    // Call when the link to an instance was lost. The records are sent to it
    // again, because a synchronization on that link may not have arrived.
    void on_link_lost(const instance_id& instance);

    // Returns whether any request waits for its intent to be recorded.
    bool has_pending(const backend_server_id& server) const;
    // Returns whether the home may admit requests.
    bool ready(const backend_server_id& server) const;
    // Returns the number of request ids in the duplicate filter of the server.
    std::size_t recorded_count(const backend_server_id& server) const;

private:
    // The records of a member that may have been the home earlier, collected
    // from its witnesses.
    struct former_home
    {
        std::vector<instance_id> witnesses;
        intent_collector collector;
    };

    struct home_server
    {
        fencing_token token;
        std::unique_ptr<duplicate_filter> filter;
        std::vector<former_home> former_homes;
        // From then on the records of earlier homes have expired.
        time_point records_expire;
        time_point next_collect{};
        // Incarnations of the witnesses to which all records were sent.
        std::map<instance_id, incarnation> synchronized;
    };

    // A request that waits for a majority of the witnesses.
    struct pending_request
    {
        backend_server_id server;
        intent record;
        forward_message message;
        time_point deadline;
        answer_callback done;
        recorded_request_sender send;
        std::set<instance_id> acknowledged;
    };

    void collect(
        const backend_server_id& server, home_server& home, time_point now);
    void add_collected(home_server& home, const instance_id& from,
        const collect_reply& reply, time_point now);
    void finish_collection(home_server& home, time_point now);
    void synchronize(const backend_server_id& server, home_server& home);
    void on_ack(const intent_ack_message& ack);
    bool has_quorum(const pending_request& request) const;
    void run(pending_request request);
    void finish(const backend_server_id& server, const intent& record,
        const answer_message& answer);
    void record_outcome(const backend_server_id& server, const intent& record);
    intent_log& log_of(const backend_server_id& server);

    at_most_once_environment environment_;
    time_point started_;
    std::map<backend_server_id, home_server> homes_;
    std::map<backend_server_id, intent_log> logs_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace filberthub

#endif
