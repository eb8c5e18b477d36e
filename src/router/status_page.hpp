// The metrics and status pages for operators. Internal to `router`.
//
//     exchange->respond(operator_response(exchange->request().target, settings,
//         view, role, metrics, now));

#ifndef FILBERTHUB_ROUTER_STATUS_PAGE_HPP
#define FILBERTHUB_ROUTER_STATUS_PAGE_HPP

#include "router/deployment_view.hpp"
#include "router/fleet_role.hpp"

#include <filberthub/http/message.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

namespace filberthub {

// Returns the page at `target`: `/metrics` in the Prometheus text format,
// `/status` as JSON, and status 404 for any other target.
http_response operator_response(std::string_view target,
    const route_settings& settings, const deployment_view& view,
    const fleet_role& role, const metric_registry& metrics, time_point now);

} // namespace filberthub

#endif
