#include "node/operator_service.hpp"

#include "node/clock.hpp"

namespace filberthub {
namespace {

http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

void add_metric(std::string& text, std::string_view name, std::uint64_t value)
{
    text += "# TYPE ";
    text += name;
    text += " gauge\n";
    text += name;
    text += ' ';
    text += std::to_string(value);
    text += '\n';
}

} // namespace

void operator_service::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string& target = exchange->request().target;
    if (target == "/healthz") {
        exchange->respond(health());
    } else if (target == "/readyz") {
        exchange->respond(readiness());
    } else if (target == "/v1/status") {
        exchange->respond(json_response(200, status()));
    } else if (target == "/metrics") {
        http_response response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics();
        exchange->respond(std::move(response));
    } else {
        handle_policy(exchange);
    }
}

http_response operator_service::health() const
{
    return json_response(200, {{"instance", view_.config->instance.value()}});
}

// An instance is ready if it can route requests: a policy is in force, the
// holders of servers are known, the instance is in service and does not leave.
http_response operator_service::readiness() const
{
    const fleet_table_ptr& table = view_.fleet()->table();
    const shared_policy document = view_.policy()->document();
    const bool in_service = document &&
                            document->in_service(view_.config->instance) &&
                            document->in_service(view_.config->domain);
    const bool ready =
        !view_.leaving() && in_service && table && !table->servers().empty();
    return json_response(ready ? 200 : 503, {{"ready", ready}});
}

json operator_service::status() const
{
    const time_point now = clock_now();
    const fleet_service& fleet = *view_.fleet();
    json held = json::array();
    for (const backend_server_id& id : view_.holders()->held_servers()) {
        const held_server& server = view_.holders()->held(id);
        const server_load load = server.load(now);
        held.push_back({{"server", id.value()}, {"limit", load.limit},
            {"in_flight", load.in_flight}, {"waiting", load.waiting},
            {"latency_us", load.latency_us}, {"lost", server.is_lost()}});
    }
    json members = json::array();
    if (fleet.table()) {
        for (const fleet_member& member : fleet.table()->members())
            members.push_back({{"instance", member.key.instance.value()},
                {"incarnation", member.key.run.value()},
                {"failure_domain", member.domain.value()},
                {"ready", member.ready}});
    }
    json tables = json::object();
    const shared_policy document = view_.policy()->document();
    if (document) {
        for (const auto& item : document->services()) {
            const ownership_table* table = view_.ownership()->find(item.first);
            if (table != nullptr)
                tables[item.first.value()] = table->version().value();
        }
    }
    return {{"instance", view_.config->instance.value()},
        {"incarnation", fleet.lease().self().run.value()},
        {"failure_domain", view_.config->domain.value()},
        {"policy_revision", view_.policy()->in_force().value()},
        {"fleet_version", fleet.table() ? fleet.table()->version().value() : 0},
        {"lease_held", fleet.lease().held(now)},
        {"may_send", fleet.connectivity().may_send_new_work(now)},
        {"leaving", view_.leaving()}, {"held", held}, {"members", members},
        {"ownership", tables}};
}

std::string operator_service::metrics() const
{
    const entry_counters& counters = view_.entry->counters();
    std::string text;
    add_metric(text, "filberthub_requests_received", counters.received);
    add_metric(text, "filberthub_requests_done", counters.done);
    add_metric(text, "filberthub_requests_not_run", counters.not_run);
    add_metric(text, "filberthub_requests_unknown", counters.unknown);
    add_metric(text, "filberthub_retries", counters.retries);
    add_metric(text, "filberthub_requests_in_flight", view_.entry->in_flight());
    add_metric(text, "filberthub_caller_connections",
        view_.callers->connection_count());
    add_metric(text, "filberthub_store_calls", view_.store->calls());
    add_metric(text, "filberthub_servers_held",
        view_.holders()->held_servers().size());
    add_metric(text, "filberthub_rejected_instance_entries",
        store_client::rejected_instance_entries());
    return text;
}

} // namespace filberthub
