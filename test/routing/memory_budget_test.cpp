#include <filberthub/routing/memory_budget.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace filberthub {
namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
const time_point start{std::chrono::hours(1)};

memory_use use_of(memory_kind kind, std::size_t bytes)
{
    memory_use use;
    use[kind] = bytes;
    return use;
}

struct client
{
    explicit client(const std::shared_ptr<memory_budget>& budget)
        : holder(budget, [this](shed_reason reason) { dropped = reason; })
    {}

    void hold(memory_kind kind, std::size_t bytes, time_point progress,
        time_point now, bool served = false)
    {
        holder.set(use_of(kind, bytes), served, progress, now);
    }

    std::optional<shed_reason> dropped;
    memory_holder holder;
};

std::shared_ptr<memory_budget> budget_of(std::size_t bytes)
{
    return std::make_shared<memory_budget>(
        memory_limits{bytes, bytes - bytes / 16, bytes});
}

// Guards against a body within the limits that the smallest instances of the
// deployments cannot take.
TEST(MemoryLimits, LeaveRoomForTheLargestBody)
{
    for (const std::size_t megabytes : {112U, 120U, 182U, 400U, 512U}) {
        const auto limits = memory_limits::of_process(megabytes * mebibyte);
        EXPECT_GE(limits.largest_body(), 64 * mebibyte) << megabytes;
        EXPECT_LE(limits.total + 36 * mebibyte, megabytes * mebibyte);
    }
}

// Guards against clients that stop just short of the end of their bodies: the
// one that still sends was refused, and they kept the memory.
TEST(MemoryBudget, DropsAStalledHolderBeforeOneThatMakesProgress)
{
    const auto budget = budget_of(20 * mebibyte);
    client stalled(budget);
    client active(budget);
    const time_point now = start + stall_time * 5;
    stalled.hold(memory_kind::arriving, 4 * mebibyte, start, start);
    active.hold(memory_kind::arriving, 16 * mebibyte, now, now);
    EXPECT_EQ(stalled.dropped, shed_reason::stalled);
    EXPECT_FALSE(active.dropped);
    EXPECT_EQ(budget->use().total(), 16 * mebibyte);
    EXPECT_EQ(budget->shed(shed_reason::stalled), 1U);
}

// Guards against work of a server that is lost while there is a cheaper choice.
TEST(MemoryBudget, DropsARequestThatAServerWorksOnLast)
{
    const auto budget = budget_of(20 * mebibyte);
    client served(budget);
    client active(budget);
    served.hold(memory_kind::waiting, 16 * mebibyte, start, start, true);
    const time_point now = start + stall_time * 10;
    active.hold(memory_kind::arriving, 4 * mebibyte, now, now);
    EXPECT_EQ(active.dropped, shed_reason::largest);
    EXPECT_FALSE(served.dropped);
    served.hold(memory_kind::waiting, 21 * mebibyte, now, now, true);
    EXPECT_EQ(served.dropped, shed_reason::served);
}

// Guards against clients that keep a request open at a server to protect the
// responses that they do not read.
TEST(MemoryBudget, ProtectsNoClientThatLeavesResponsesUnread)
{
    const auto budget = budget_of(20 * mebibyte);
    client unread(budget);
    client active(budget);
    unread.hold(memory_kind::unread, 10 * mebibyte, start, start, true);
    const time_point now = start + stall_time;
    active.hold(memory_kind::arriving, 11 * mebibyte, now, now);
    EXPECT_EQ(unread.dropped, shed_reason::stalled);
    EXPECT_FALSE(active.dropped);
}

// Guards against large requests that leave no memory for small ones.
TEST(MemoryBudget, KeepsAPartForSmallHolders)
{
    const auto budget = budget_of(16 * mebibyte);
    std::vector<std::unique_ptr<client>> large;
    for (int count = 0; count < 20; ++count) {
        large.push_back(std::make_unique<client>(budget));
        large.back()->hold(memory_kind::waiting, mebibyte, start, start, true);
    }
    EXPECT_EQ(budget->use().total(), 15 * mebibyte);
    client small(budget);
    small.hold(memory_kind::arriving, large_holder_bytes, start, start);
    EXPECT_FALSE(small.dropped);
}

// Guards against a server that responds without end: its answer is the largest.
TEST(MemoryBudget, DropsTheLargestIncompleteAnswer)
{
    const auto budget = std::make_shared<memory_budget>(
        memory_limits{100 * mebibyte, 90 * mebibyte, 5 * mebibyte});
    client endless(budget);
    client usual(budget);
    endless.hold(memory_kind::answer, 4 * mebibyte, start, start, true);
    usual.hold(memory_kind::answer, 2 * mebibyte, start, start, true);
    EXPECT_EQ(endless.dropped, shed_reason::answer);
    EXPECT_FALSE(usual.dropped);
}

// Guards against bytes that stay counted after their holder has ended.
TEST(MemoryBudget, ForgetsEndedHolders)
{
    const auto budget = budget_of(20 * mebibyte);
    {
        client first(budget);
        first.hold(memory_kind::waiting, 15 * mebibyte, start, start);
        first.hold(memory_kind::unread, 14 * mebibyte, start, start);
        EXPECT_EQ(budget->use()[memory_kind::waiting], 0U);
        EXPECT_EQ(budget->use()[memory_kind::unread], 14 * mebibyte);
    }
    EXPECT_EQ(budget->use().total(), 0U);
    client second(budget);
    second.hold(memory_kind::waiting, 15 * mebibyte, start, start);
    second.holder.clear();
    EXPECT_EQ(budget->use().total(), 0U);
    EXPECT_FALSE(second.dropped);
}

// Guards against a holder that changes while another is dropped, such as a
// connection that gets the next request.
TEST(MemoryBudget, AllowsChangesDuringADrop)
{
    const auto budget = budget_of(20 * mebibyte);
    client next(budget);
    client second(budget);
    memory_holder first(budget, [&](shed_reason) {
        next.hold(memory_kind::waiting, 18 * mebibyte, start, start);
    });
    first.set(
        use_of(memory_kind::arriving, 10 * mebibyte), false, start, start);
    second.hold(memory_kind::arriving, 9 * mebibyte, start, start);
    EXPECT_TRUE(next.dropped);
    EXPECT_FALSE(second.dropped);
    EXPECT_EQ(budget->use().total(), 9 * mebibyte);
}

} // namespace
} // namespace filberthub
