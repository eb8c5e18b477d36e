#include <filberthub/base/json_reader.hpp>
#include <filberthub/router/route_settings.hpp>
#include <filberthub/telemetry/log.hpp>

namespace filberthub {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t bytes_per_megabyte = 1'048'576;
constexpr std::int64_t max_memory_megabytes = 1'048'576;
constexpr std::int64_t max_descriptors = 1'000'000;

double read_positive_number(json_reader& reader, const std::string& field)
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
    route_settings settings;
    settings.instance = instance_id(reader.string("instance"));
    settings.domain = failure_domain_id(reader.string("failure_domain"));
    settings.first_start = reader.boolean_or("first_start", false);
    settings.callers = endpoint_from_string(reader.string("callers"));
    settings.readiness = endpoint_from_string(reader.string("readiness"));
    settings.store = endpoint_from_string(reader.string("store"));
    const std::string address = reader.string("address");
    settings.peers = {address,
        static_cast<std::uint16_t>(reader.integer("peer_port", 1, max_port))};
    settings.operators = {address, static_cast<std::uint16_t>(reader.integer(
                                       "operator_port", 1, max_port))};
    settings.processor_share = read_positive_number(reader, "processor_share");
    if (reader.has("memory_megabytes")) {
        settings.memory_bytes = static_cast<std::size_t>(
            reader.integer("memory_megabytes", 1, max_memory_megabytes) *
            bytes_per_megabyte);
    }
    settings.descriptors = static_cast<std::size_t>(
        reader.integer_or("descriptors", 0, max_descriptors, 0));
    reader.integer_or("server_heartbeat_ms", 1, 1'000'000, 1'000);
    settings.bounds = platform_api::decode_bounds(reader.value("bounds"));
    if (reader.has("log")) {
        json_reader log = reader.object("log");
        settings.log_output = log.string_or("output", settings.log_output);
        settings.log_level = log.string_or("level", settings.log_level);
        log.finish();
        log_level_from_string(settings.log_level);
    }
    reader.finish();
    return settings;
}

} // namespace filberthub
