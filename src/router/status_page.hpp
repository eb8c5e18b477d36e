// The operator's pages of the routing process. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_STATUS_PAGE_HPP
#define FILBERTHUB_ROUTER_STATUS_PAGE_HPP

#include "router/deployment_view.hpp"
#include "router/fleet_role.hpp"

#include <filberthub/http/message.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

namespace filberthub {

// Answers `/metrics` and `/status`.
http_response operator_answer(std::string_view target,
    const route_settings& settings, const deployment_view& view,
    const fleet_role& role, const metric_registry& metrics, time_point now);

} // namespace filberthub

#endif
