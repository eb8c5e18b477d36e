#include "app/command_line.hpp"

#include <iostream>

namespace filberthub::detail {
namespace {

std::string to_display_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_status(const json& status)
{
    for (const char* field :
        {"instance", "incarnation", "failure_domain", "policy_revision",
            "fleet_version", "lease_held", "may_send", "leaving"})
        std::cout << field << ": " << to_display_text(status.at(field)) << '\n';
    std::cout << "ownership tables:\n";
    for (const auto& item : status.at("ownership").items())
        std::cout << "  " << item.key() << " version " << item.value() << '\n';
    std::cout << "held servers:\n";
    for (const json& held : status.at("held")) {
        std::cout << "  " << to_display_text(held.at("server")) << " limit "
                  << held.at("limit") << " in flight " << held.at("in_flight")
                  << " waiting " << held.at("waiting")
                  << (held.at("lost").get<bool>() ? " LOST" : "") << '\n';
    }
    std::cout << "members:\n";
    for (const json& member : status.at("members")) {
        std::cout << "  " << to_display_text(member.at("instance")) << " in "
                  << to_display_text(member.at("failure_domain"))
                  << (member.at("ready").get<bool>() ? "" : " joining") << '\n';
    }
}

void print_route_status(const json& status)
{
    for (const char* field : {"instance", "ready", "revision", "fleet_size",
             "coordinator", "coordinates", "follows"})
        std::cout << field << ": " << to_display_text(status.at(field)) << '\n';
    std::cout << "servers:\n";
    for (const json& server : status.at("servers")) {
        std::cout << "  " << to_display_text(server.at("id")) << " of "
                  << to_display_text(server.at("service")) << " in "
                  << to_display_text(server.at("failure_domain")) << " at "
                  << to_display_text(server.at("address")) << " in flight "
                  << server.at("in_flight") << " expected ms "
                  << server.at("expected_ms")
                  << (server.at("cold").get<bool>() ? " COLD" : "")
                  << (server.at("usable").get<bool>() ? "" : " LEAVING")
                  << '\n';
    }
}

} // namespace

exit_code status_command(const arguments& args)
{
    TCLAP::CmdLine line("Shows the revisions that an instance has in force, "
                        "the servers it holds and the members it knows; of "
                        "`route`, its configuration, coordinator and servers.",
        ' ', program_version);
    const TCLAP::ValueArg<std::string> address("o", "operator",
        "Operator address of the instance", true, "", "IP:PORT", line);
    const TCLAP::SwitchArg as_json("j", "json", "Print JSON", line);
    parse(line, "status", args);

    http_request request;
    request.target = "/v1/status";
    const endpoint target = endpoint_from_string(address.getValue());
    auto response = call_operator_api(target, request);
    bool is_routing_process = false;
    if (response && response->status == 404) {
        // Routing processes serve their status at another path.
        is_routing_process = true;
        request.target = "/status";
        response = call_operator_api(target, request);
    }
    if (!response || response->status != 200)
        return exit_code::unavailable;
    if (as_json.getValue())
        std::cout << response->body << '\n';
    else if (is_routing_process)
        print_route_status(parse_json(response->body, error_kind::internal));
    else
        print_status(parse_json(response->body, error_kind::internal));
    return exit_code::ok;
}

} // namespace filberthub::detail
