// Asks the gate of a group of servers for a slot, and runs the gates that this
// instance is responsible for. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_GATE_SERVICE_HPP
#define FILBERTHUB_ROUTER_GATE_SERVICE_HPP

#include "router/beliefs.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/routing/slot_gate.hpp>

#include <QtCore/QTimer>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QUdpSocket>

namespace filberthub {

// What a request was told by its gate.
struct gate_answer
{
    enum class kind : std::uint8_t
    {
        granted,
        refused,
        // There is no answer; the instance decides alone.
        silent
    };

    kind verdict = kind::silent;
    backend_server_id server;
    milliseconds wait{0};
};

// Messages are CBOR arrays in datagrams: a lost one costs a request some
// milliseconds, and a silent peer holds up nothing.
class gate_service : public QObject
{
public:
    using callback = std::function<void(const gate_answer&)>;

    gate_service(const route_settings& own, const beliefs& known,
        std::function<time_point()> clock);

    // Opens the socket. Throws `error` of kind `bad_settings`.
    void start();

    // Asks for a slot and returns the number of the ask, or nothing if the gate
    // is not reachable at present. `request.id` is set here. `answer` is called
    // once, later, unless the ask is cancelled.
    std::optional<std::uint64_t> ask(gate_request_slot request,
        std::size_t servers_of_service, callback answer);

    // Reports how a granted request ended, or withdraws an ask.
    void done(std::uint64_t number, const gate_result& result);

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

    const route_settings& own_;
    const beliefs& known_;
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
