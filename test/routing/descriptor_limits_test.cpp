#include <filberthub/routing/descriptor_limits.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

const time_point start{std::chrono::hours(1)};

// Guards against callers that leave no descriptors for servers, other instances
// and files.
TEST(DescriptorLimits, LeaveDescriptorsForServersAndFiles)
{
    for (const std::size_t descriptors : {300U, 512U, 1'024U, 20'000U}) {
        const auto limits = descriptor_limits::of_process(descriptors);
        const std::size_t accepted =
            limits.callers + limits.peers + limits.operators + limits.readiness;
        EXPECT_LE(accepted + 200, descriptors);
        EXPECT_GE(limits.readiness, 2U);
    }
    // Both deployments have at most 114 instances.
    EXPECT_GE(descriptor_limits::of_process(1'024).peers, 114U);
}

// Guards against an ordinary caller that is refused while silent connections
// hold all descriptors.
TEST(ConnectionToClose, IsTheOneInactiveForLongestWithoutAnOpenRequest)
{
    const std::chrono::seconds second(1);
    EXPECT_EQ(connection_to_close({{true, start}, {false, start + 2 * second},
                  {false, start + second}, {false, start + 3 * second}}),
        2U);
}

// Guards against the loss of requests that servers work on.
TEST(ConnectionToClose, IsNoneIfAllHaveAnOpenRequest)
{
    EXPECT_EQ(
        connection_to_close({{true, start}, {true, start}}), std::nullopt);
}

} // namespace
} // namespace filberthub
