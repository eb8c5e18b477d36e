#include <filberthub/routing/standbys.hpp>

#include <gmock/gmock.h>

namespace filberthub {
namespace {

using testing::Contains;
using testing::IsEmpty;
using testing::SizeIs;

std::vector<standby_candidate> candidates_of(
    const std::string& prefix, std::size_t count, double share)
{
    std::vector<standby_candidate> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back({instance_id(prefix + std::to_string(index)), share});
    return result;
}

// Guards against a coordinator whose work is taken over by an instance that is
// too small for it.
TEST(Standbys, HaveALargeShareOfAProcessor)
{
    auto candidates = candidates_of("small-", 280, 0.1);
    for (const standby_candidate& large : candidates_of("large-", 4, 0.5))
        candidates.push_back(large);
    const auto standbys = choose_standbys(candidates);
    EXPECT_THAT(standbys, SizeIs(3));
    for (const instance_id& id : standbys)
        EXPECT_TRUE(id.value().starts_with("large-")) << id.value();
}

// Guards against standbys that change, and watch the coordinator in vain, each
// time that an instance joins or leaves.
TEST(Standbys, StayWhenOthersJoinOrLeave)
{
    auto candidates = candidates_of("i-", 20, 0.2);
    const auto before = choose_standbys(candidates);
    std::erase_if(candidates, [&](const standby_candidate& candidate) {
        return candidate.id == before.at(1);
    });
    const auto after = choose_standbys(candidates);
    EXPECT_THAT(after, Contains(before.at(0)));
    EXPECT_THAT(after, Contains(before.at(2)));
    EXPECT_THAT(after, SizeIs(3));
}

// Guards against a small fleet without a coordinator.
TEST(Standbys, ExistInFleetsOfAnySize)
{
    EXPECT_THAT(choose_standbys({}), IsEmpty());
    EXPECT_THAT(choose_standbys(candidates_of("i-", 1, 0.1)), SizeIs(1));
    EXPECT_THAT(choose_standbys(candidates_of("i-", 1'000, 0.1)), SizeIs(3));
}

} // namespace
} // namespace filberthub
