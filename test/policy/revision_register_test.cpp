#include <filberthub/policy/revision_register.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace filberthub {
namespace {

shared_policy any_document()
{
    return std::make_shared<const policy_document>();
}

// Guards against a document that arrives late and reverts the policy.
RC_GTEST_PROP(RevisionRegister, IsAtTheHighestRevisionAfterEachOffer, ())
{
    revision_register policy;
    revision highest;
    const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(0, 20));
    for (const std::uint64_t number : numbers) {
        const shared_policy document = any_document();
        const bool is_adopted = policy.offer(revision(number), document);
        RC_ASSERT(is_adopted == (revision(number) > highest));
        RC_ASSERT(is_adopted == (policy.document() == document));
        highest = std::max(highest, revision(number));
        RC_ASSERT(policy.in_force() == highest);
    }
}

// Guards against a start with the policy of a single peer that is out of date.
TEST(RevisionRegister, StartsFromTheHighestOfThreePeers)
{
    const std::vector<peer_policy> answers = {
        {instance_id("a"), revision(4), any_document()},
        {instance_id("b"), revision(7), any_document()},
        {instance_id("b"), revision(6), any_document()},
        {instance_id("c"), revision(9), nullptr},
        {instance_id("d"), revision(5), any_document()},
    };
    revision_register policy;
    // A second answer of the same peer and an answer without a document do not
    // count.
    EXPECT_FALSE(policy.offer_highest(std::span(answers).first(4)));
    EXPECT_EQ(policy.in_force(), revision(0));
    EXPECT_TRUE(policy.offer_highest(answers));
    EXPECT_EQ(policy.in_force(), revision(7));
    EXPECT_EQ(policy.document(), answers[1].document);
}

} // namespace
} // namespace filberthub
