#include <filberthub/policy/section.hpp>
#include <filberthub/policy/settings.hpp>
#include <policy/detail/read_endpoint.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace filberthub {
namespace {

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::int64_t gibibyte = 1024 * mebibyte;

template <class Id>
Id read_id(json_reader& reader, const std::string& field)
{
    const std::string name = reader.string(field);
    try {
        check_name(name, "field \"/" + field + "\"");
    } catch (const error& failure) {
        throw error(error_kind::bad_settings, failure.what());
    }
    return Id(name);
}

std::string read_output(json_reader& reader, const std::string& fallback)
{
    std::string output = reader.string_or("output", fallback);
    const bool is_known =
        output == "off" || output == "stdout" || output == "stderr";
    if (!is_known && output.find('/') == std::string::npos) {
        reader.fail("output",
            json(output).dump() +
                " is none of off, stdout, stderr or a path with a '/'");
    }
    return output;
}

log_settings read_log(json_reader reader)
{
    constexpr std::array<std::string_view, 5> levels = {
        "trace", "debug", "info", "warn", "error"};
    log_settings log;
    log.output = read_output(reader, "stderr");
    log.level = reader.string_or("level", log.level);
    if (std::find(levels.begin(), levels.end(), log.level) == levels.end()) {
        reader.fail("level", json(log.level).dump() +
                                 " is none of trace, debug, info, warn, error");
    }
    reader.finish();
    return log;
}

trace_settings read_trace(json_reader reader)
{
    trace_settings trace;
    trace.output = read_output(reader, "off");
    trace.sample_permille = static_cast<std::uint32_t>(
        reader.integer_or("sample_permille", 0, 1000, trace.sample_permille));
    reader.finish();
    return trace;
}

std::uint64_t read_bytes(json_reader& reader, const std::string& field,
    std::uint64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    return static_cast<std::uint64_t>(reader.integer_or(
        field, minimum, maximum, static_cast<std::int64_t>(fallback)));
}

void check_not_below(const json_reader& reader, const std::string& field,
    std::uint64_t value, const std::string& other, std::uint64_t other_value)
{
    if (value < other_value) {
        reader.fail(field, std::to_string(value) + " is below " + other + " " +
                               std::to_string(other_value));
    }
}

// The upper bounds are those of the peer protocol: 32 MiB for a body and 64 MiB
// of buffered bytes for one connection.
limit_settings read_limits(json_reader reader)
{
    limit_settings limits;
    limits.caller_connections = static_cast<std::uint32_t>(reader.integer_or(
        "caller_connections", 1, 1'000'000, limits.caller_connections));
    limits.head_bytes =
        read_bytes(reader, "head_bytes", limits.head_bytes, 256, mebibyte);
    limits.body_bytes =
        read_bytes(reader, "body_bytes", limits.body_bytes, 0, 32 * mebibyte);
    limits.buffered_bytes_per_connection =
        read_bytes(reader, "buffered_bytes_per_connection",
            limits.buffered_bytes_per_connection, kibibyte, 64 * mebibyte);
    limits.buffered_bytes = read_bytes(
        reader, "buffered_bytes", limits.buffered_bytes, kibibyte, gibibyte);
    check_not_below(reader, "buffered_bytes_per_connection",
        limits.buffered_bytes_per_connection, "head_bytes + body_bytes",
        limits.head_bytes + limits.body_bytes);
    check_not_below(reader, "buffered_bytes", limits.buffered_bytes,
        "buffered_bytes_per_connection", limits.buffered_bytes_per_connection);
    reader.finish();
    return limits;
}

// Returns whether two listeners cannot both be bound. A listener on 0.0.0.0
// uses its port on every address.
bool conflict(const endpoint& left, const endpoint& right)
{
    return left.port == right.port &&
           (left.address == right.address || left.address == "0.0.0.0" ||
               right.address == "0.0.0.0");
}

void check_address_conflicts(const settings& value)
{
    const std::array<std::pair<std::string, const endpoint*>, 4> addresses = {{
        {"/listen/callers", &value.callers},
        {"/listen/peers", &value.peers},
        {"/listen/operators", &value.operators},
        {"/platform", &value.platform},
    }};
    for (std::size_t i = 1; i < addresses.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (conflict(*addresses[i].second, *addresses[j].second)) {
                throw error(error_kind::bad_settings,
                    "field \"" + addresses[i].first +
                        "\": " + to_string(*addresses[i].second) +
                        " is not free, because \"" + addresses[j].first +
                        "\" is " + to_string(*addresses[j].second));
            }
        }
    }
}

// Checks an address to which processes connect: it has to identify one machine.
void check_single_address(
    const json_reader& reader, const std::string& field, const endpoint& value)
{
    if (value.address == "0.0.0.0") {
        reader.fail(field,
            "\"" + to_string(value) + "\" is not the address of one machine");
    }
}

} // namespace

settings settings::from_text(std::string_view text)
{
    return from_json(parse_policy_text(text, error_kind::bad_settings));
}

settings settings::from_json(const json& document)
{
    json_reader reader(document, error_kind::bad_settings);
    settings result;
    result.instance = read_id<instance_id>(reader, "instance");
    result.region = read_id<region_id>(reader, "region");
    result.domain = read_id<failure_domain_id>(reader, "failure_domain");
    json_reader listen = reader.object("listen");
    result.callers = detail::read_endpoint(listen, "callers");
    result.peers = detail::read_endpoint(listen, "peers");
    check_single_address(listen, "peers", result.peers);
    result.operators = detail::read_endpoint(listen, "operators");
    listen.finish();
    result.platform = detail::read_endpoint(reader, "platform");
    check_single_address(reader, "platform", result.platform);
    const json empty = json::object();
    result.log =
        read_log(reader.has("log")
                     ? reader.object("log")
                     : json_reader(empty, error_kind::bad_settings, "/log"));
    result.trace = read_trace(
        reader.has("trace")
            ? reader.object("trace")
            : json_reader(empty, error_kind::bad_settings, "/trace"));
    if (reader.has("limits"))
        result.limits = read_limits(reader.object("limits"));
    reader.finish();
    check_address_conflicts(result);
    return result;
}

settings_builder::settings_builder() : document_(json::object()) {}

settings_builder::settings_builder(std::string_view text)
    : document_(parse_policy_text(text, error_kind::bad_settings))
{
    settings::from_json(document_);
}

settings_builder& settings_builder::instance(const instance_id& id)
{
    document_["instance"] = id.value();
    return *this;
}

settings_builder& settings_builder::region(const region_id& id)
{
    document_["region"] = id.value();
    return *this;
}

settings_builder& settings_builder::domain(const failure_domain_id& id)
{
    document_["failure_domain"] = id.value();
    return *this;
}

settings_builder& settings_builder::callers(const endpoint& address)
{
    document_["listen"]["callers"] = to_string(address);
    return *this;
}

settings_builder& settings_builder::peers(const endpoint& address)
{
    document_["listen"]["peers"] = to_string(address);
    return *this;
}

settings_builder& settings_builder::operators(const endpoint& address)
{
    document_["listen"]["operators"] = to_string(address);
    return *this;
}

settings_builder& settings_builder::platform(const endpoint& address)
{
    document_["platform"] = to_string(address);
    return *this;
}

settings_builder& settings_builder::log(
    const std::string& output, const std::string& level)
{
    document_["log"] = {{"output", output}, {"level", level}};
    return *this;
}

settings_builder& settings_builder::trace(
    const std::string& output, std::uint32_t sample_permille)
{
    document_["trace"] = {
        {"output", output}, {"sample_permille", sample_permille}};
    return *this;
}

settings_builder& settings_builder::limit(
    const std::string& field, std::uint64_t value)
{
    document_["limits"][field] = value;
    return *this;
}

settings settings_builder::build() const
{
    return settings::from_json(document_);
}

} // namespace filberthub
