#include "router/status_page.hpp"

#include <filberthub/base/json_reader.hpp>

namespace filberthub {
namespace {

json server_json(
    const server_pool& pool, const observed_server& server, time_point now)
{
    return {{"id", server.entry.id.value()},
        {"service", server.entry.service.value()},
        {"failure_domain", server.entry.domain.value()},
        {"address", to_string(server.entry.address)},
        {"usable", pool.usable(server)}, {"cold", pool.cold(server, now)},
        {"in_flight", server.in_flight},
        {"expected_ms", pool.expected_ms(server, now)},
        {"success", server.success}};
}

json status_json(const route_settings& settings, const deployment_view& view,
    const fleet_role& role, time_point now)
{
    json servers = json::array();
    json services = json::object();
    const auto routes = view.routes();
    if (routes) {
        for (const auto& [id, rule] : routes->config().services) {
            services[id.value()] = {{"keyed", rule.keyed}};
            for (const observed_server* server : view.servers().of_service(id))
                servers.push_back(server_json(view.servers(), *server, now));
        }
    }
    const auto& lease = role.lease().record();
    return {{"instance", settings.instance.value()}, {"ready", view.ready()},
        {"store_epoch", role.epoch().value()},
        {"revision", routes ? routes->config().version.value() : 0},
        {"fleet_size", view.fleet_size()},
        {"coordinator", lease ? lease->holder.value() : ""},
        {"coordinates", role.coordinates(now)}, {"follows", role.follows(now)},
        {"services", services}, {"servers", servers}};
}

} // namespace

http_response operator_response(std::string_view target,
    const route_settings& settings, const deployment_view& view,
    const fleet_role& role, const metric_registry& metrics, time_point now)
{
    http_response response;
    if (target == "/metrics") {
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics.text();
    } else if (target == "/status") {
        response.headers.set("Content-Type", "application/json");
        response.body = status_json(settings, view, role, now).dump();
    } else {
        response.status = 404;
    }
    return response;
}

} // namespace filberthub
