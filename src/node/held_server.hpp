// Sends requests to one backend server that this instance holds: admission,
// connections, probes and grants.
//
//     held_server held(policy, server, environment, now);
//     const request_number number = held.submit(message, deadline, done, now);

#ifndef FILBERTHUB_NODE_HELD_SERVER_HPP
#define FILBERTHUB_NODE_HELD_SERVER_HPP

#include <filberthub/admission/server_gate.hpp>
#include <filberthub/attempt/attempt.hpp>
#include <filberthub/net/http_client.hpp>
#include <filberthub/policy/service_policy.hpp>
#include <filberthub/wire/message.hpp>

#include <QtCore/QObject>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace filberthub {

using answer_callback = std::function<void(answer_message)>;

// What a held server needs from the rest of the node. The functions are called
// for each decision, because the results change with time.
struct held_server_environment
{
    // Whether this instance may send work to the server now.
    std::function<bool(time_point)> is_holder;
    // Latest end of keyed requests and grants; `nullopt` without a lease.
    std::function<std::optional<time_point>()> grants_until;
    // Fencing token for a group's token.
    std::function<std::optional<fencing_token>(std::uint32_t)> token;
    // Groups that the server may serve now, by group token. Empty for services
    // that do not divide their keys.
    std::function<std::map<std::uint32_t, std::vector<key_group>>()> groups;
    // Called when the server is considered lost, and when it answers again.
    std::function<void(bool lost)> on_lost_changed;
};

// Guarantees that no request is sent after the lease of this instance ended,
// that a keyed request ends before the lease does, that a request is sent at
// most once, and that each request gets exactly one answer unless it is
// cancelled.
class held_server : public QObject
{
public:
    held_server(const service_policy& policy, const backend_server& server,
        held_server_environment environment, time_point now);

    // Submits a request. `done` may be called before this returns. Returns the
    // number for `cancel`.
    request_number submit(forward_message message, time_point deadline,
        answer_callback done, time_point now);
    // Cancels a request; its `done` is not called. Ignores unknown numbers.
    void cancel(request_number number, time_point now);

    // Does the work that is due. Call about every 10 ms.
    void tick(time_point now);

    // Refuses waiting and new requests. Requests at the server are finished.
    void drain(time_point now);
    // Call when the failure domain of the server is taken out of service or put
    // back.
    void set_out_of_service(bool out, time_point now);
    // Ends all requests. Call when the lease has lapsed: waiting requests are
    // refused; requests that were sent are cancelled with an unknown outcome.
    void abandon(time_point now);
    // Applies a changed policy of the service.
    void set_policy(const service_policy& policy);

    // Returns whether no request is waiting or at the server.
    bool idle() const
    {
        return requests_.empty();
    }
    // Returns whether a keyed request of the group is waiting or at the server.
    bool has_request_for(key_group group) const;

    // Returns whether the server may hold an unexpired grant for the group.
    bool is_granted(key_group group, time_point now) const;

    // Asks the server to drop its grants for these groups, so that a move does
    // not have to wait until they expire. `group_token` is the token of the
    // move: it is higher than the tokens of all earlier grants and lower than
    // those after a later move back. Does nothing while an earlier call is in
    // progress or the server is lost.
    void revoke(
        std::uint32_t group_token, const std::vector<key_group>& groups);

    // Returns the load for status and balancing. The limit is 0 while the
    // server takes no requests.
    server_load load(time_point now) const;
    bool is_lost() const
    {
        return lost_;
    }
    const backend_server& server() const
    {
        return server_;
    }

private:
    // A request that is waiting or at the server.
    struct held_request
    {
        forward_message message;
        time_point deadline;
        answer_callback done;
        attempt progress;
        std::optional<call_number> call;
    };

    void send(request_number number, time_point now);
    void on_result(request_number number, http_result result);
    void refuse(request_number number, error_kind kind, const std::string& why);
    void apply(const gate_changes& changes, time_point now);
    void answer_with(request_number number, held_request request,
        http_result& result, time_point now);
    http_request backend_request(
        const held_request& request, time_point now) const;

    void probe(time_point now);
    void on_probe(bool answered);
    void renew_grants(time_point now);

    service_policy policy_;
    backend_server server_;
    held_server_environment environment_;
    server_gate gate_;
    http_client client_;
    // Probes and grants have connections of their own, so that they do not wait
    // behind requests. Grants and revocations share one connection, so that
    // they arrive in order.
    http_client probes_;
    http_client grants_;
    std::map<request_number, held_request> requests_;
    request_number last_number_{0};
    // End of the grant that the server accepted last, by group token.
    std::map<std::uint32_t, time_point> granted_until_;
    // Latest end of any grant that was sent for a group, including grants whose
    // answer was lost.
    std::unordered_map<key_group, time_point> sent_grant_until_;
    // Latest end of a grant without an answer. Such a grant may reach the
    // server after a later revocation that was sent on a new connection.
    time_point unconfirmed_grant_until_{};
    bool revoking_ = false;
    time_point next_probe_{};
    time_point next_grants_{};
    unsigned missed_probes_ = 0;
    bool probing_ = false;
    bool lost_ = false;
    bool draining_ = false;
};

} // namespace filberthub

#endif
