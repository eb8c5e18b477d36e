// Runs non-idempotent requests at most once: the duplicate filters of the held
// servers, and the intent logs that this instance keeps as a witness.

#ifndef FILBERTHUB_NODE_EDIT_SERVICE_HPP
#define FILBERTHUB_NODE_EDIT_SERVICE_HPP

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

struct edit_environment
{
    fleet_service* fleet = nullptr;
    peer_hub* hub = nullptr;
    instance_id self;
    incarnation run;
};

// Sends a recorded request; it gets exactly one answer.
using edit_runner =
    std::function<void(forward_message message, answer_callback done)>;

// Guarantees that a request id is run only after a majority of the witnesses
// has recorded its intent, and not again while it is in progress, done or of
// unknown outcome. A new home admits nothing before it has the records of the
// earlier homes, or the time for which ids are remembered has passed.
class edit_service
{
public:
    edit_service(edit_environment environment, time_point started);

    // To be called when this instance becomes the holder of a server, and when
    // it no longer is.
    void on_held(const backend_server_id& server, time_point now);
    void on_dropped(const backend_server_id& server);

    // Takes a request whose home is `message.server`.
    void submit(forward_message message, time_point deadline,
        answer_callback done, edit_runner run, time_point now);

    // Takes a message about intents. Returns false if it is none.
    bool handle(peer_connection& connection, const peer_message& message,
        time_point now);

    void tick(time_point now);
    // A synchronization on the lost link may not have arrived.
    void on_link_lost(const instance_id& instance);

    // Whether a request waits for its intent to be recorded.
    bool busy(const backend_server_id& server) const;
    // Whether the home may admit requests.
    bool ready(const backend_server_id& server) const;
    std::size_t recorded(const backend_server_id& server) const;

private:
    struct former_home
    {
        std::vector<instance_id> witnesses;
        intent_collector collector;
    };

    struct home
    {
        fencing_token token;
        std::unique_ptr<duplicate_filter> filter;
        std::vector<former_home> formers;
        // When the records of earlier homes are too old to matter.
        time_point expires;
        time_point next_collect{};
        std::map<instance_id, incarnation> synchronized;
    };

    struct pending_edit
    {
        backend_server_id server;
        intent record;
        forward_message message;
        time_point deadline;
        answer_callback done;
        edit_runner run;
        std::set<instance_id> acknowledged;
    };

    void collect(const backend_server_id& server, home& item, time_point now);
    void add_collected(home& item, const instance_id& from,
        const collect_reply& reply, time_point now);
    void finish_collection(home& item, time_point now);
    void synchronize(const backend_server_id& server, home& item);
    void on_ack(const intent_ack_message& ack);
    bool has_quorum(const pending_edit& edit) const;
    void run(pending_edit edit);
    void finish(const backend_server_id& server, const intent& record,
        const answer_message& answer);
    void record_outcome(const backend_server_id& server, const intent& record);
    intent_log& log_of(const backend_server_id& server);

    edit_environment environment_;
    time_point started_;
    std::map<backend_server_id, home> homes_;
    std::map<backend_server_id, intent_log> logs_;
    std::map<std::uint64_t, pending_edit> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace filberthub

#endif
