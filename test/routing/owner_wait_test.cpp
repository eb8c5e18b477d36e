#include "routing/routing_builders.hpp"

#include <filberthub/routing/owner_wait.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

ownerless_request request_with(std::int64_t target_ms, std::int64_t deadline_ms)
{
    return {at_ms(0), milliseconds(target_ms), at_ms(deadline_ms),
        milliseconds(200)};
}

// Guards against requests that are rejected while their key moves although the
// new owner could still answer in time.
TEST(OwnerWait, LastsWhileTheTargetLatencyCanBeMet)
{
    const owner_wait wait;
    const ownerless_request request = request_with(800, 5'000);
    EXPECT_TRUE(wait.may_wait(request, 0, at_ms(599)));
    EXPECT_FALSE(wait.may_wait(request, 0, at_ms(600)));
}

// Guards against other waits than before on routes with a short target, or
// without one.
TEST(OwnerWait, LastsForTheMinimumTimeIfTheTargetIsShort)
{
    const owner_wait wait;
    for (const std::int64_t target : {0, 200, 500}) {
        const ownerless_request request = request_with(target, 500);
        EXPECT_TRUE(wait.may_wait(request, 255, at_ms(299))) << target;
        EXPECT_FALSE(wait.may_wait(request, 0, at_ms(300))) << target;
    }
}

// Guards against requests that are held until their callers are gone.
TEST(OwnerWait, EndsBeforeTheDeadline)
{
    const owner_wait wait;
    const ownerless_request request = request_with(800, 400);
    EXPECT_TRUE(wait.may_wait(request, 0, at_ms(374)));
    EXPECT_FALSE(wait.may_wait(request, 0, at_ms(375)));
}

// Guards against an instance that runs out of memory while many keys move: the
// least urgent requests are rejected.
TEST(OwnerWait, BoundsTheNumberOfWaitingRequests)
{
    const owner_wait wait;
    const ownerless_request request = request_with(800, 5'000);
    EXPECT_TRUE(wait.may_wait(request, 255, at_ms(500)));
    EXPECT_FALSE(wait.may_wait(request, 256, at_ms(500)));
    EXPECT_TRUE(wait.may_wait(request, 1'023, at_ms(100)));
    EXPECT_FALSE(wait.may_wait(request, 1'024, at_ms(100)));
}

} // namespace
} // namespace filberthub
