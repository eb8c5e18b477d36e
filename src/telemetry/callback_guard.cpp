#include <filberthub/telemetry/callback_guard.hpp>

#include <filberthub/base/json_text.hpp>
#include <filberthub/telemetry/log.hpp>

#include <atomic>

namespace filberthub {
namespace {

std::atomic<std::uint64_t> failures{0};

} // namespace

void report_failed_callback(
    std::string_view place, std::string_view message) noexcept
{
    ++failures;
    log_event(log_level::error, "callback failed",
        {{"place", place}, {log_key::error, shorten(message)}});
}

std::uint64_t failed_callback_count()
{
    return failures;
}

} // namespace filberthub
