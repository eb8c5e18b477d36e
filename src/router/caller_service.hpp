// Serves the requests of callers: finds the route, chooses a server, sends the
// request and decides what follows each attempt. Internal to `router`.
//
//     caller_service callers(settings, view, gates, metrics, clock);
//     callers.accept(exchange);

#ifndef FILBERTHUB_ROUTER_CALLER_SERVICE_HPP
#define FILBERTHUB_ROUTER_CALLER_SERVICE_HPP

#include "router/backend_connections.hpp"
#include "router/fleet_feed.hpp"
#include "router/gate_service.hpp"

#include <filberthub/net/http_listener.hpp>
#include <filberthub/routing/attempt_age.hpp>
#include <filberthub/routing/request_rules.hpp>
#include <filberthub/routing/shutdown_plan.hpp>
#include <filberthub/routing/window_budget.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <list>
#include <optional>

namespace filberthub {

// Guarantees that each accepted request gets one answer, unless its caller
// cancels it. Needs the Qt event loop.
class caller_service : public QObject
{
public:
    caller_service(const route_settings& settings, deployment_view& view,
        gate_service& gates, metric_registry& metrics,
        std::shared_ptr<memory_budget> budget,
        std::function<time_point()> clock);

    // Takes a request of a caller and answers it, now or later.
    void accept(std::shared_ptr<http_exchange> exchange);

    // To be called when the view has changed. Tries the waiting requests again,
    // also those that wait for a slot of a server that no longer owns their
    // key, or for a connection to a server that may not get them any more.
    void on_view_changed();
    // Tries the requests again that wait for an owner of their key, or that
    // pause after a refusal.
    void retry_waiting();
    // Drops connections that are no longer needed. To be called about once a
    // second.
    void sweep();

    // To be called when this process was told to stop.
    void begin_shutdown(const shutdown_plan& plan);
    // To be called when this process has too little time left to begin work.
    // Refuses the requests that were not sent, and all further ones.
    void refuse_unsent();
    // To be called before this process ends. Answers all requests.
    void answer_all();

    // Returns what was counted since the last call, for the coordinator.
    load_counts take_load_counts();
    // Applies shares of quotas that were asked for at `sent`.
    void apply_quota(const quota_reply& reply, time_point sent)
    {
        quota_.apply(reply, sent, clock_());
    }

    std::size_t in_flight() const
    {
        return requests_.size();
    }

private:
    struct caller_request;
    using request_ptr = std::shared_ptr<caller_request>;

    template <class Function>
    void guard(const request_ptr& request, std::string_view place,
        const Function& function);
    void abandon(const request_ptr& request);
    void admit(const request_ptr& request);
    bool identify_account(caller_request& request,
        const std::shared_ptr<const route_table>& routes) const;
    bool confirm_account(const request_ptr& request);
    void confirm_accounts();
    bool count_request(const request_ptr& request);
    void credit_request(caller_request& request);
    void count_outcome(const std::string& account, bool admitted);
    static void set_account_field(
        const caller_request& request, http_headers& headers);
    void reject_key(const request_ptr& request);
    void withdraw_unsent();
    void move_waiting();
    void record_announcements(const caller_request& request,
        const http_response& response, time_point now);
    void start_request(const request_ptr& request);
    void start_attempt(const request_ptr& request);
    void retry_later(const request_ptr& request, time_point now);
    bool request_gate_slot(const request_ptr& request, time_point now);
    void on_gate_reply(const request_ptr& request, const gate_reply& reply);
    void send_without_gate(
        const request_ptr& request, time_point now, const char* reason);
    void report_to_gate(caller_request& request, send_outcome outcome,
        milliseconds taken, const std::optional<server_load_report>& report);
    std::optional<backend_server_id> choose_server(
        caller_request& request, time_point now);
    std::optional<backend_server_id> usable_owner(
        caller_request& request, time_point now);
    bool owner_is_lost(const caller_request& request, time_point now) const;
    std::string_view owner_problem(
        const caller_request& request, time_point now) const;
    bool may_wait_for_owner(
        const caller_request& request, time_point now) const;
    milliseconds owner_rest(
        const caller_request& request, time_point now) const;
    void send(const request_ptr& request, const backend_server_id& server,
        time_point now);
    bool may_still_send(const caller_request& request, time_point now) const;
    void on_withdrawn(const request_ptr& request, time_point now);
    void on_result(const request_ptr& request, const backend_server_id& server,
        http_result result);
    void count_result(const backend_server_id& server, bool failed);
    void log_send_to_leaving_server(
        const caller_request& request, const backend_server_id& server);
    void on_answer(const request_ptr& request, const backend_server_id& server,
        http_response response, milliseconds taken, time_point now);
    void on_failed_attempt(const request_ptr& request,
        const attempt_result& result, time_point now);
    void deliver(const request_ptr& request, http_response response);
    void fail(const request_ptr& request, const failure_answer& answer,
        std::string_view reason);
    void finish(const request_ptr& request);
    void on_cancelled(const request_ptr& request);
    void count_rejection(std::string_view reason);
    bool is_sent(const caller_request& request) const;
    void cancel_attempt(caller_request& request, time_point now);
    window_budget& budget_of(const service_id& service);
    static service_id route_times_id(const caller_request& request);
    milliseconds age_of(const caller_request& request, milliseconds timeout);
    http_request make_forwarded_request(
        const caller_request& request, time_point now) const;

    const route_settings& settings_;
    deployment_view& view_;
    gate_service& gates_;
    metric_registry& metrics_;
    std::function<time_point()> clock_;
    backend_connections connections_;
    std::list<request_ptr> requests_;
    std::vector<request_ptr> waiting_requests_;
    // Retry budgets.
    std::map<service_id, window_budget> budgets_;
    // Of each route of `ages_routes_`.
    std::map<const route_rule*, attempt_age> ages_;
    std::shared_ptr<const route_table> ages_routes_;
    load_counts counts_;
    // The configuration that all unsent requests were checked against.
    std::shared_ptr<const route_table> confirmed_routes_;
    account_quota quota_;
    // By account and whether the requests were admitted.
    std::map<std::pair<std::string, bool>, counter*> account_counters_;
    // Durations of the work by service and route.
    service_time_tracker route_times_;
    QTimer retry_timer_;
    // Set once the process was told to stop.
    std::optional<shutdown_plan> shutdown_;
    // Whether all further requests are refused.
    bool stopping_ = false;
    counter& done_;
    counter& not_run_;
    counter& unknown_;
    counter& repeats_;
    counter& unknown_keys_;
    counter& sends_to_leaving_servers_;
    // By reason. All reasons are literals of this program.
    std::map<std::string, counter*, std::less<>> without_gate_;
    std::map<std::string, counter*, std::less<>> rejections_;
    histogram& told_wait_;
    histogram& gate_wait_;
    histogram& connection_wait_;
    histogram& latency_;
};

} // namespace filberthub

#endif
