#include <filberthub/telemetry/callback_guard.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace filberthub {
namespace {

// Guards against an exception that leaves a callback of the event loop, and
// against one that nobody notices.
TEST(CallbackGuard, ReportsAFailureAndCallsItsHandler)
{
    const std::uint64_t before = failed_callback_count();
    int handled = 0;
    guard_callback(
        "test", [] {}, [&] { ++handled; });
    EXPECT_EQ(handled, 0);
    guard_callback(
        "test", [] { throw std::runtime_error("expected"); },
        [&] { ++handled; });
    EXPECT_EQ(handled, 1);
    EXPECT_EQ(failed_callback_count(), before + 1);
}

// Guards against a process that goes on although the handler has failed too.
TEST(CallbackGuardDeathTest, EndsTheProcessIfTheHandlerFails)
{
    const auto fail = [] { throw std::runtime_error("expected"); };
    EXPECT_DEATH(guard_callback("test", fail, fail), "");
}

} // namespace
} // namespace filberthub
