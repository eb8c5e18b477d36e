// Serves the requests of callers: finds the route, chooses a server, sends, and
// decides what follows each attempt. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_CALLER_SERVICE_HPP
#define FILBERTHUB_ROUTER_CALLER_SERVICE_HPP

#include "router/backend_connections.hpp"
#include "router/fleet_feed.hpp"
#include "router/gate_service.hpp"

#include <filberthub/net/http_listener.hpp>
#include <filberthub/routing/request_rules.hpp>
#include <filberthub/routing/window_budget.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <list>

namespace filberthub {

class caller_service : public QObject
{
public:
    caller_service(const route_settings& settings, deployment_view& view,
        gate_service& gates, metric_registry& metrics,
        std::function<time_point()> clock);

    void accept(std::shared_ptr<http_exchange> exchange);

    // Tries requests again that wait for an owner or a server, or for a slot of
    // a server that owns their key no longer.
    void on_view_changed();
    void retry_waiting();
    // Housekeeping, a few times a second.
    void sweep();

    // To be called when this process has too little time left to begin work.
    // Refuses the requests that were not sent, and all further ones.
    void refuse_unsent();
    // To be called when this process ends. Answers all requests.
    void answer_all();

    // Returns what was counted since the last call, for the coordinator.
    load_counts take_counts();

    std::size_t in_flight() const
    {
        return requests_.size();
    }

private:
    struct request;
    using request_ref = std::shared_ptr<request>;

    void begin(const request_ref& item);
    void advance(const request_ref& item);
    void wait(const request_ref& item, time_point now);
    bool request_gate_slot(const request_ref& item, time_point now);
    void on_gate_reply(const request_ref& item, const gate_reply& answer);
    void send_without_gate(const request_ref& item, time_point now);
    void report_to_gate(request& item, send_outcome outcome, milliseconds taken,
        const std::optional<server_load_report>& report);
    std::optional<backend_server_id> pick(request& item, time_point now);
    std::optional<backend_server_id> pick_owner(request& item, time_point now);
    bool owner_is_lost(const request& item, time_point now) const;
    void send(const request_ref& item, const backend_server_id& server,
        time_point now);
    void on_result(const request_ref& item, const backend_server_id& server,
        http_result result);
    void on_answer(const request_ref& item, const backend_server_id& server,
        http_response response, milliseconds taken, time_point now);
    void on_timeout(const request_ref& item);
    void decide(
        const request_ref& item, const attempt_result& result, time_point now);
    void deliver(const request_ref& item, http_response response);
    void fail(const request_ref& item, const failure_answer& answer,
        std::string_view reason);
    void finish(const request_ref& item);
    void on_cancelled(const request_ref& item);
    bool is_sent(const request& item) const;
    void withdraw(request& item, time_point now);
    window_budget& budget_of(const service_id& service);
    http_request forwarded(const request& item, time_point now) const;

    const route_settings& settings_;
    deployment_view& view_;
    gate_service& gates_;
    std::function<time_point()> clock_;
    backend_connections connections_;
    std::list<request_ref> requests_;
    std::vector<request_ref> waiting_;
    std::map<service_id, window_budget> budgets_;
    load_counts counts_;
    QTimer wait_timer_;
    bool ending_ = false;
    counter& served_;
    counter& refused_;
    counter& failed_;
    counter& repeats_;
    histogram& latency_;
};

} // namespace filberthub

#endif
