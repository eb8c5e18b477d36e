#include <filberthub/base/json_reader.hpp>
#include <filberthub/router/route_settings.hpp>
#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr std::int64_t largest_port = 65'535;

double positive(json_reader& reader, const std::string& field)
{
    const json& value = reader.value(field);
    if (!value.is_number() || value.get<double>() <= 0)
        reader.fail(field, value.dump() + " is not a positive number");
    return value.get<double>();
}

} // namespace

route_settings route_settings::from_text(const std::string& text)
{
    const json document = parse_json(text, error_kind::bad_settings);
    if (!document.is_object()) {
        throw error(error_kind::bad_settings,
            "expected an object, seen " + std::string(document.type_name()));
    }
    json_reader reader(document);
    route_settings own;
    own.instance = instance_id(reader.string("instance"));
    own.domain = failure_domain_id(reader.string("failure_domain"));
    own.first_start = reader.boolean_or("first_start", false);
    own.callers = endpoint_from_string(reader.string("callers"));
    own.readiness = endpoint_from_string(reader.string("readiness"));
    own.store = endpoint_from_string(reader.string("store"));
    const std::string address = reader.string("address");
    own.peers = {address, static_cast<std::uint16_t>(
                              reader.integer("peer_port", 1, largest_port))};
    own.operators = {address, static_cast<std::uint16_t>(reader.integer(
                                  "operator_port", 1, largest_port))};
    own.processor_share = positive(reader, "processor_share");
    reader.integer_or("server_heartbeat_ms", 1, 1'000'000, 1'000);
    own.bounds = platform_api::decode_bounds(reader.value("bounds"));
    if (reader.has("log")) {
        json_reader log = reader.object("log");
        own.log_output = log.string_or("output", own.log_output);
        own.log_level = log.string_or("level", own.log_level);
        log.finish();
        log_level_from_string(own.log_level);
    }
    reader.finish();
    return own;
}

} // namespace filberthub
