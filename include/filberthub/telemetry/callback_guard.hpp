// Keeps exceptions inside the callbacks of the event loop. Qt cannot pass one
// on, so that it would end the process with all requests under way.
//
//     guard_callback("reply of the store", [&] { apply(reply); },
//         [&] { read_again(); });

#ifndef FILBERTHUB_TELEMETRY_CALLBACK_GUARD_HPP
#define FILBERTHUB_TELEMETRY_CALLBACK_GUARD_HPP

#include <cstdint>
#include <exception>
#include <string_view>

namespace filberthub {

// Logs and counts an exception that has left a callback. Thread-safe.
void report_failed_callback(
    std::string_view place, std::string_view message) noexcept;

// Returns how many failures were reported in this process.
std::uint64_t failed_callback_count();

// Calls `function`. If it throws, reports that and calls `on_failure`, which
// ends what the callback belongs to: its connection, call or request. An
// exception of `on_failure` ends the process, as nothing is known to be valid
// then. Exceptions that are not derived from `std::exception` pass, because the
// runtime uses them to end a thread.
template <class Function, class OnFailure>
void guard_callback(std::string_view place, const Function& function,
    const OnFailure& on_failure)
{
    try {
        function();
        return;
    } catch (const std::exception& failure) {
        report_failed_callback(place, failure.what());
    }
    [&]() noexcept { on_failure(); }();
}

} // namespace filberthub

#endif
