// Asks the gate of a group of servers for a slot, and runs the gates that this
// instance is responsible for. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_GATE_SERVICE_HPP
#define FILBERTHUB_ROUTER_GATE_SERVICE_HPP

#include "router/deployment_view.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/routing/slot_gate.hpp>

#include <QtCore/QTimer>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QUdpSocket>

namespace filberthub {

// A gate's reply to a request.
struct gate_reply
{
    enum class kind : std::uint8_t
    {
        granted,
        refused,
        // There is no answer; the instance decides alone.
        unreachable
    };

    kind verdict = kind::unreachable;
    backend_server_id server;
    milliseconds wait{0};
};

// Messages are CBOR arrays in datagrams: a lost one costs a request some
// milliseconds, and a silent peer holds up nothing.
class gate_service : public QObject
{
public:
    using callback = std::function<void(const gate_reply&)>;

    gate_service(const route_settings& settings, const deployment_view& view,
        std::function<time_point()> clock);

    // Opens the socket. Throws `error` of kind `bad_settings`.
    void start();

    // Asks for a slot and returns the number of the request, or nothing if the
    // gate is not reachable at present. `request.id` is set here. `answer` is
    // called once, later, unless the request is cancelled.
    std::optional<std::uint64_t> request_slot(
        slot_request request, std::size_t servers_of_service, callback answer);

    // Reports how a granted request ended, or withdraws a request.
    void finish(std::uint64_t number, const gate_result& result);

    const slot_gate& gate() const
    {
        return gate_;
    }

private:
    struct pending
    {
        callback answer;
        endpoint host;
        // The instance decides alone after this time.
        time_point until;
        bool granted = false;
    };

    const live_instance* host_of(const std::string& group) const;
    void read();
    void on_message(const json& message, const endpoint& sender);
    void on_ask(const json& message, const endpoint& sender, time_point now);
    void on_done(const json& message, const endpoint& sender, time_point now);
    void on_decision(std::uint64_t number, gate_verdict verdict,
        const std::string& server, milliseconds wait);
    void tell(const std::vector<gate_decision>& decisions);
    void send(const json& message, const endpoint& target);
    void check();
    void sweep();

    const route_settings& settings_;
    const deployment_view& view_;
    std::function<time_point()> clock_;
    slot_gate gate_;
    QUdpSocket socket_;
    std::map<std::uint64_t, pending> pending_;
    std::map<endpoint, time_point> silent_until_;
    std::uint64_t last_number_ = 0;
    QTimer check_timer_;
    QTimer sweep_timer_;
};

} // namespace filberthub

#endif
