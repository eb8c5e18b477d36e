// Requests slots from the gate of a group of servers, and runs the gates that
// this instance hosts. Internal to `router`.
//
//     gate_service gates(settings, view, clock);
//     gates.start();
//     auto number = gates.request_slot(request, random, on_reply);
//     if (number)
//         gates.finish(*number, result);

#ifndef FILBERTHUB_ROUTER_GATE_SERVICE_HPP
#define FILBERTHUB_ROUTER_GATE_SERVICE_HPP

#include "router/deployment_view.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/routing/gate_liveness.hpp>
#include <filberthub/routing/group_choice.hpp>
#include <filberthub/routing/slot_gate.hpp>

#include <QtCore/QTimer>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QUdpSocket>

#include <unordered_map>

namespace filberthub {

// A gate's reply to a request for a slot.
struct gate_reply
{
    enum class kind : std::uint8_t
    {
        granted,
        refused,
        // The host of the gate replies to nothing; the instance chooses a
        // server without the gate.
        unreachable,
        // The same if the host replies, but not about this request.
        no_reply
    };

    kind decision = kind::unreachable;
    // The server to send to, if the slot was granted.
    backend_server_id server;
    // Time until room is expected, if the slot was refused.
    milliseconds wait{0};
    // The wait that the gate told first, if the request was queued.
    std::optional<milliseconds> told_wait;
};

// Messages between instances are CBOR arrays in UDP datagrams. A request that
// is overdue is sent again: a lost one delays its request by some tens of
// milliseconds, and an instance that does not respond blocks no other. Needs
// the Qt event loop.
class gate_service : public QObject
{
public:
    using callback = std::function<void(const gate_reply&)>;

    gate_service(const route_settings& settings, const deployment_view& view,
        std::function<time_point()> clock);

    // Opens the socket. Throws `error` of kind `bad_settings`.
    void start();

    // The address of the socket.
    endpoint address() const;

    // Requests a slot and returns the number of the request, or nothing if the
    // gate is not reachable at present. `request.id` and `request.group` are
    // set here; `uniform_random` in [0, 1) decides among groups. `on_reply` is
    // called once, after this call has returned, unless the request is
    // withdrawn first.
    std::optional<std::uint64_t> request_slot(
        slot_request request, double uniform_random, callback on_reply);

    // Reports how a granted request ended, or withdraws a request that has no
    // reply yet.
    void finish(std::uint64_t number, const gate_result& result);

    // The gates that this instance hosts.
    const slot_gate& gate() const
    {
        return gate_;
    }

private:
    struct pending_request
    {
        callback on_reply;
        slot_request request;
        slot_question question;
        std::optional<milliseconds> told_wait;
        bool granted = false;
    };

    const live_instance* find_gate_host(const std::string& group);
    const live_instance* choose_gate_host(const std::string& group) const;
    // Returns whether all datagrams that have arrived were handled.
    bool read_datagrams();
    void on_message(const json& message, const endpoint& sender);
    void on_slot_request(
        const json& message, const endpoint& sender, time_point now);
    void on_finish(const json& message, const endpoint& sender, time_point now);
    void on_decision(
        const json& message, const endpoint& sender, time_point now);
    void ask(std::uint64_t number, pending_request& request, time_point now);
    void ask_moved_gates(time_point now);
    void note_wait(
        const slot_request& request, milliseconds wait, time_point now);
    void give_up(std::uint64_t number, gate_reply::kind reason);
    void send_decisions(const std::vector<gate_decision>& decisions);
    void send(const json& message, const endpoint& target);
    void check_deadlines();
    void sweep();

    const route_settings& settings_;
    const deployment_view& view_;
    std::function<time_point()> clock_;
    slot_gate gate_;
    QUdpSocket socket_;
    std::map<std::uint64_t, pending_request> pending_;
    // The hosts of gates that were requested from, while the members are those
    // of `hosts_version_`: the choice compares all members.
    std::unordered_map<std::string, const live_instance*> hosts_;
    std::uint64_t hosts_version_ = 0;
    gate_liveness liveness_;
    group_choice groups_;
    // Version of the members when the hosts of pending requests were checked.
    std::uint64_t checked_version_ = 0;
    // Starts at the boot time, so that a restarted process does not use numbers
    // that gates still hold for the earlier one.
    std::uint64_t last_number_;
    // Continues to read after a turn in which not all messages were handled.
    QTimer reading_timer_;
    QTimer deadline_timer_;
    QTimer sweep_timer_;
};

} // namespace filberthub

#endif
