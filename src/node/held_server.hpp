// One backend server while this instance holds it: admission, connections,
// probes and grants.

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

// What a held server asks of the node, at each moment anew.
struct holder_view
{
    // Whether this instance may send work to the server now.
    std::function<bool(time_point)> is_holder;
    // Latest end of keyed requests and grants; empty without a lease.
    std::function<std::optional<time_point>()> grants_until;
    // Fencing token for a group's token.
    std::function<std::optional<fencing_token>(std::uint32_t)> token;
    // Groups that the server may serve now, by group token. Empty for services
    // that do not divide their keys.
    std::function<std::map<std::uint32_t, std::vector<key_group>>()> groups;
    // Called when the server is seen as lost or as serving again.
    std::function<void(bool lost)> observed;
};

// Guarantees: no request is sent after the lease of this instance; a keyed
// request ends before it; a request is sent at most once; and each request gets
// exactly one answer, unless it is cancelled.
class held_server : public QObject
{
public:
    held_server(const service_policy& policy, const backend_server& server,
        holder_view view, time_point now);

    // Takes a request. `done` may be called at once. Returns the number with
    // which it can be cancelled.
    request_number submit(forward_message message, time_point deadline,
        answer_callback done, time_point now);
    void cancel(request_number number, time_point now);

    // To be called every 10 ms or so.
    void tick(time_point now);

    // Refuses what waits and everything new; what is at the server finishes.
    void drain(time_point now);
    void set_out_of_service(bool out, time_point now);
    // Gives up everything, because the lease has lapsed: what waits is refused,
    // what is at the server is cancelled and its outcome unknown.
    void abandon(time_point now);
    // Applies a changed policy of the service.
    void set_policy(const service_policy& policy);

    // Whether nothing is waiting or at the server.
    bool idle() const
    {
        return requests_.empty();
    }
    // Whether a request of the group is at the server.
    bool serves(key_group group) const;

    // Whether the server may hold an unexpired grant for the group.
    bool is_granted(key_group group, time_point now) const;

    // Asks the server to give up its grants for these groups, so that a move
    // does not have to wait for their end. `group_token` is the token of the
    // move: it is above all earlier grants of the server and below those of a
    // later return. One call is in progress at a time.
    void revoke(
        std::uint32_t group_token, const std::vector<key_group>& groups);

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
    holder_view view_;
    server_gate gate_;
    http_client client_;
    // Probes and grants do not wait behind requests. Grants and their
    // revocation share one connection, so that they arrive in order.
    http_client probes_;
    http_client grants_;
    std::map<request_number, held_request> requests_;
    request_number last_{0};
    // End of the grant that the server accepted last, by group token.
    std::map<std::uint32_t, time_point> granted_until_;
    // Latest end of any grant that was sent for a group, also if its answer was
    // lost.
    std::unordered_map<key_group, time_point> offered_until_;
    // Latest end of a grant without an answer. It may arrive after a later
    // revocation on a new connection.
    time_point unconfirmed_until_{};
    bool revoking_ = false;
    time_point next_probe_{};
    time_point next_grant_{};
    unsigned missed_probes_ = 0;
    bool probing_ = false;
    bool lost_ = false;
    bool draining_ = false;
};

} // namespace filberthub

#endif
