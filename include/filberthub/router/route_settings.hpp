// The settings of `filberthub route`, read from JSON.
//
//     route_settings settings = route_settings::from_text(text);
//     router instance(settings);

#ifndef FILBERTHUB_ROUTER_ROUTE_SETTINGS_HPP
#define FILBERTHUB_ROUTER_ROUTE_SETTINGS_HPP

#include <filberthub/base/types.hpp>

#include <platform/protocol.hpp>

#include <string>

namespace filberthub {

// The settings of one routing process.
struct route_settings
{
    instance_id instance;
    failure_domain_id domain;
    // Whether the whole deployment is starting for the first time.
    bool first_start = false;
    // Address at which callers connect.
    endpoint callers;
    // Address at which the platform checks readiness.
    endpoint readiness;
    // Address at which other instances connect.
    endpoint peers;
    // Address of the metrics and status pages.
    endpoint operators;
    // Address of the platform's metadata store.
    endpoint store;
    // Share of one processor core that this process may use.
    double processor_share = 1;
    // Memory that this process may use.
    std::size_t memory_bytes = std::size_t{512} * 1024 * 1024;
    // Descriptors that this process may open; 0 stands for the limit of the
    // process.
    std::size_t descriptors = 0;
    // Limits that the operator of the platform sets.
    platform_api::operator_bounds bounds;
    std::string log_output = "stdout";
    // Least severe level that is logged.
    std::string log_level = "info";

    // Reads the settings from JSON. Throws `error` of kind `bad_settings` with
    // the path, the value seen and the value expected.
    static route_settings from_text(const std::string& text);
};

} // namespace filberthub

#endif
