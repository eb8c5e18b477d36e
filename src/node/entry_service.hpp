// Routes the requests of callers that are connected to this instance to the
// holders of backend servers and returns the answers.
//
//     entry.accept(exchange);

#ifndef FILBERTHUB_NODE_ENTRY_SERVICE_HPP
#define FILBERTHUB_NODE_ENTRY_SERVICE_HPP

#include "node/holder_service.hpp"
#include "node/route.hpp"

#include <filberthub/admission/retry_budget.hpp>
#include <filberthub/net/http_listener.hpp>

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace filberthub {

// What the service needs from the rest of the node.
struct entry_environment
{
    instance_id self;
    fleet_service* fleet = nullptr;
    ownership_service* ownership = nullptr;
    policy_service* policy = nullptr;
    holder_service* holders = nullptr;
    peer_hub* hub = nullptr;
};

// Counts since the start of the process: requests, their answers by outcome,
// and retries.
struct entry_counters
{
    std::uint64_t received = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
};

// Guarantees exactly one answer for each request. A request that may have run
// is repeated only if it is idempotent; a refusal says "not run" only if each
// of its attempts is proved not to have run.
class entry_service : public QObject
{
public:
    explicit entry_service(entry_environment environment);

    // Replaces the membership services after this instance joined again.
    void set_membership(fleet_service& fleet, holder_service& holders,
        ownership_service& ownership, policy_service& policy, peer_hub& hub);

    // Accepts a request of a caller and answers on its exchange.
    void accept(std::shared_ptr<http_exchange> exchange);

    // Sends a request whose home has recorded its intent to the holder of
    // `message.server`. The request is sent once and not repeated.
    void relay(forward_message message, answer_callback done);

    // Call with the answer of a holder to a forwarded request. An answer to an
    // unknown request is ignored.
    void on_answer(answer_message answer);
    // Call when the link to an instance was lost. If its connection was never
    // established, the requests sent on it are proved not to have run.
    void on_link_lost(const instance_id& instance, bool established);

    std::size_t in_flight() const
    {
        return requests_.size();
    }
    const entry_counters& counters() const
    {
        return counters_;
    }

private:
    using entry_number = forward_number;

    // A request of a caller that has no final answer yet.
    struct entry_request
    {
        std::shared_ptr<http_exchange> exchange;
        parsed_request parsed;
        // Keeps alive the service policy that `parsed` refers to.
        shared_policy policy;
        time_point deadline;
        // Target of the current attempt, and its handle if this instance is the
        // target.
        std::optional<instance_id> sent_to;
        std::optional<held_request_handle> handle;
        // Number of the current attempt.
        entry_number number;
        unsigned attempt_count = 0;
        // Whether an earlier attempt may have run.
        bool may_have_run = false;
        time_point next_attempt{};
        // Whether the request waits for `next_attempt`.
        bool waiting = false;
    };
    using request_ptr = std::shared_ptr<entry_request>;

    // A recorded request that is relayed for the holder of its home.
    struct relayed_request
    {
        answer_callback done;
        instance_id sent_to;
        time_point deadline;
    };

    // The load of a server that its holder last reported.
    struct observed_load
    {
        server_load load;
        time_point observed_at{};
    };

    void finish_relay(entry_number number, answer_message answer);
    void tick(time_point now);
    void start(const request_ptr& request, time_point now);
    void choose_server(entry_request& request);
    backend_server_id choose_by_load(const service_policy& service);
    std::optional<instance_id> choose_instance(
        const backend_server_id& server) const;
    void send(const request_ptr& request, time_point now);
    void on_attempt_answer(
        const request_ptr& request, answer_message answer, time_point now);
    bool retry(const request_ptr& request, const answer_message& answer,
        time_point now);
    void finish(const request_ptr& request, http_response response);
    void fail(const request_ptr& request, error_kind kind,
        const std::string& message);
    void cancel(const request_ptr& request);
    void record_answer(
        const backend_server_id& server, const answer_message& answer);

    entry_environment environment_;
    std::unordered_map<entry_number, request_ptr> requests_;
    std::unordered_map<entry_number, relayed_request> relays_;
    entry_number last_number_{0};
    // Position in the holder list to send to, by server. Advanced when the
    // instance there is not the holder or did not answer.
    std::map<backend_server_id, std::size_t> holder_positions_;
    std::map<backend_server_id, observed_load> loads_;
    retry_budget budget_;
    std::mt19937_64 random_;
    entry_counters counters_;
    QTimer timer_;
};

} // namespace filberthub

#endif
