// Structured log lines in JSON.
//
//     start_logging(make_log_sink("stderr"), log_level::info, "se-mitt-1");
//     log_event(log_level::warn, "lease expired",
//         {{log_key::server, server.value()}, {log_key::revision, 7}});
//
// writes
//
//     {"time":"2026-01-31T12:00:00.123Z","instance":"se-mitt-1",
//      "level":"warn","message":"lease expired",
//      "server":"kartlas-3","revision":7}

#ifndef FILBERTHUB_TELEMETRY_LOG_HPP
#define FILBERTHUB_TELEMETRY_LOG_HPP

#include <spdlog/common.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace filberthub {

enum class log_level : std::uint8_t
{
    trace,
    debug,
    info,
    warn,
    error,
};

// Parses the name of a level in the settings. Throws `error` of kind
// `bad_settings` if there is no such level.
log_level log_level_from_string(std::string_view text);

// The names of fields that several components log. A shared name allows queries
// to join the lines of different components.
namespace log_key {
inline constexpr std::string_view address = "address";
inline constexpr std::string_view attempt = "attempt";
inline constexpr std::string_view author = "author";
inline constexpr std::string_view bytes = "bytes";
inline constexpr std::string_view duration_ms = "duration_ms";
inline constexpr std::string_view error = "error";
inline constexpr std::string_view error_kind = "error_kind";
inline constexpr std::string_view failure_domain = "failure_domain";
inline constexpr std::string_view fleet_version = "fleet_version";
inline constexpr std::string_view group = "group";
inline constexpr std::string_view holder = "holder";
inline constexpr std::string_view incarnation = "incarnation";
inline constexpr std::string_view peer = "peer";
inline constexpr std::string_view region = "region";
inline constexpr std::string_view request_id = "request_id";
inline constexpr std::string_view revision = "revision";
inline constexpr std::string_view section = "section";
inline constexpr std::string_view server = "server";
inline constexpr std::string_view service = "service";
inline constexpr std::string_view status = "status";
inline constexpr std::string_view token = "token";
inline constexpr std::string_view trace_id = "trace_id";
} // namespace log_key

// A named value of a log line. It holds references to its strings, which must
// outlive the call of `log_event`.
class log_field
{
public:
    using value_type = std::variant<bool, std::int64_t, std::uint64_t, double,
        std::string_view>;

    template <class Value>
    log_field(std::string_view key, const Value& value)
        : key_(key), value_(convert(value))
    {}

    std::string_view key() const
    {
        return key_;
    }
    const value_type& value() const
    {
        return value_;
    }

private:
    template <class Value>
    static value_type convert(const Value& value)
    {
        if constexpr (std::same_as<Value, bool>)
            return value;
        else if constexpr (std::signed_integral<Value>)
            return std::int64_t{value};
        else if constexpr (std::unsigned_integral<Value>)
            return std::uint64_t{value};
        else if constexpr (std::floating_point<Value>)
            return double{value};
        else
            return std::string_view(value);
    }

    std::string_view key_;
    value_type value_;
};

// Returns the sink for the output in the settings: "off", "stdout", "stderr" or
// a file path. Throws `error` of kind `bad_settings` if the file cannot be
// opened.
spdlog::sink_ptr make_log_sink(const std::string& output);

// Directs the lines of `log_event` to `sink`. Call at startup, before other
// threads exist; tests may call it again.
void start_logging(
    spdlog::sink_ptr sink, log_level minimum, std::string_view instance);

// Limits the number of lines per second. Above the limit, lines below the level
// `warn` are dropped; a line in the next second reports their number. 0 means
// no limit.
void limit_log_rate(unsigned lines_per_second);

// Changes the minimum level.
void set_log_level(log_level minimum);

// Writes one line, unless `level` is below the minimum. Thread-safe. A field
// named `time`, `level`, `instance` or `message` gets the prefix `field_`,
// because those names are reserved.
void log_event(log_level level, std::string_view message,
    std::initializer_list<log_field> fields = {});

} // namespace filberthub

#endif
