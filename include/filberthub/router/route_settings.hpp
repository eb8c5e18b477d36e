// The settings of `filberthub route`, read from JSON.
//
//     route_settings settings = route_settings::from_text(text);

#ifndef FILBERTHUB_ROUTER_ROUTE_SETTINGS_HPP
#define FILBERTHUB_ROUTER_ROUTE_SETTINGS_HPP

#include <filberthub/base/types.hpp>

#include <platform/protocol.hpp>

#include <string>

namespace filberthub {

struct route_settings
{
    instance_id instance;
    failure_domain_id domain;
    // Whether the whole deployment starts for the first time.
    bool first_start = false;
    // Where callers connect.
    endpoint callers;
    // Where the platform asks for readiness.
    endpoint readiness;
    // Where other instances connect.
    endpoint peers;
    // Metrics and status.
    endpoint operators;
    // The platform's metadata store.
    endpoint store;
    // Part of one core that this process may use.
    double processor_share = 1;
    platform_api::operator_bounds bounds;
    std::string log_output = "stdout";
    std::string log_level = "info";

    // Throws `error` of kind `bad_settings` with the path, the value seen and
    // the value expected.
    static route_settings from_text(const std::string& text);
};

} // namespace filberthub

#endif
