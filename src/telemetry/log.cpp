#include <filberthub/base/error.hpp>
#include <filberthub/telemetry/log.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <mutex>
#include <utility>

namespace filberthub {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> level_names = {
    "trace", "debug", "info", "warn", "error"};
constexpr std::array<std::string_view, 4> reserved_names = {
    "time", "level", "instance", "message"};

spdlog::level::level_enum spdlog_level(log_level level)
{
    return static_cast<spdlog::level::level_enum>(level);
}

// Names and messages can contain bytes of a request, which may be invalid
// UTF-8.
std::string json_text(std::string_view text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string value_text(const log_field::value_type& value)
{
    return std::visit(
        [](const auto& content) -> std::string {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, std::string_view>)
                return json_text(content);
            else
                return json(content).dump();
        },
        value);
}

// The number of lines in the current second.
struct rate_limiter_state
{
    // Lines per second; 0 means no limit.
    unsigned limit = 0;
    std::chrono::steady_clock::time_point second_start;
    unsigned lines = 0;
    std::uint64_t dropped = 0;
};

std::mutex rate_limiter_mutex;
rate_limiter_state rate_limiter;

// Returns whether a line may be written. Sets `dropped` to the number of lines
// that were dropped before the current second, if it has just started.
bool acquire_line(log_level level, std::uint64_t& dropped)
{
    const std::lock_guard lock(rate_limiter_mutex);
    rate_limiter_state& state = rate_limiter;
    if (state.limit == 0)
        return true;
    const auto now = std::chrono::steady_clock::now();
    if (now - state.second_start >= std::chrono::seconds(1)) {
        state.second_start = now;
        state.lines = 0;
        dropped = std::exchange(state.dropped, 0);
    }
    if (state.lines >= state.limit && level < log_level::warn) {
        ++state.dropped;
        return false;
    }
    ++state.lines;
    return true;
}

} // namespace

log_level log_level_from_string(std::string_view text)
{
    const auto found = std::find(level_names.begin(), level_names.end(), text);
    if (found == level_names.end()) {
        throw error(error_kind::bad_settings,
            "log level \"" + std::string(text) +
                "\" is none of trace, debug, info, warn, error");
    }
    return static_cast<log_level>(found - level_names.begin());
}

spdlog::sink_ptr make_log_sink(const std::string& output)
{
    if (output == "off")
        return std::make_shared<spdlog::sinks::null_sink_mt>();
    if (output == "stdout")
        return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    if (output == "stderr")
        return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    try {
        return std::make_shared<spdlog::sinks::basic_file_sink_mt>(output);
    } catch (const spdlog::spdlog_ex& failure) {
        throw error(error_kind::bad_settings,
            "log output \"" + output + "\": " + failure.what());
    }
}

void start_logging(
    spdlog::sink_ptr sink, log_level minimum, std::string_view instance)
{
    auto logger =
        std::make_shared<spdlog::logger>("filberthub", std::move(sink));
    logger->set_level(spdlog_level(minimum));
    // Events are rare, and the last ones before a process is killed must not be
    // lost.
    logger->flush_on(spdlog::level::info);
    // A '%' in the pattern starts a format flag.
    std::string name;
    for (const char character : json_text(instance))
        name += character == '%' ? "%%" : std::string(1, character);
    logger->set_pattern(
        "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"instance\":" + name + ",%v}",
        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void set_log_level(log_level minimum)
{
    spdlog::default_logger_raw()->set_level(spdlog_level(minimum));
}

void limit_log_rate(unsigned lines_per_second)
{
    const std::lock_guard lock(rate_limiter_mutex);
    rate_limiter = {};
    rate_limiter.limit = lines_per_second;
}

void log_event(log_level level, std::string_view message,
    std::initializer_list<log_field> fields)
{
    spdlog::logger* logger = spdlog::default_logger_raw();
    if (!logger->should_log(spdlog_level(level)))
        return;
    std::uint64_t dropped = 0;
    if (!acquire_line(level, dropped))
        return;
    if (dropped > 0) {
        logger->log(spdlog::level::warn,
            spdlog::string_view_t("\"level\":\"warn\",\"message\":\"log lines "
                                  "dropped\",\"lines\":" +
                                  std::to_string(dropped)));
    }
    std::string line = "\"level\":\"";
    line += level_names.at(static_cast<std::size_t>(level));
    line += "\",\"message\":" + json_text(message);
    for (const log_field& field : fields) {
        const bool is_reserved =
            std::find(reserved_names.begin(), reserved_names.end(),
                field.key()) != reserved_names.end();
        line += ',';
        line +=
            json_text((is_reserved ? "field_" : "") + std::string(field.key()));
        line += ':';
        line += value_text(field.value());
    }
    logger->log(spdlog_level(level), spdlog::string_view_t(line));
}

} // namespace filberthub
