#include <policy/policy_store_model.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace filberthub {
namespace {

using ::testing::HasSubstr;

constexpr std::uint32_t schedule_seed = 20261204;

std::vector<std::uint8_t> random_schedule(std::mt19937& random)
{
    std::vector<std::uint8_t> bytes(1200);
    for (std::uint8_t& byte : bytes)
        byte = static_cast<std::uint8_t>(random());
    return bytes;
}

// Guards against accepted revisions that are reverted, lost changes, changes
// that are applied twice, and results that do not match what happened.
RC_GTEST_PROP(Proposal, KeepsItsGuaranteesUnderAnyScheduleOfFaults, ())
{
    const auto length = *rc::gen::inRange<std::size_t>(0, 1200);
    const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(
        length, rc::gen::arbitrary<std::uint8_t>());
    const schedule_report report = run_schedule(bytes, {});
    if (!report.violation.empty())
        RC_FAIL(report.violation);
}

// Guards against schedules that never reach one of the outcomes, which the
// property above would then not cover.
TEST(Proposal, ReachesEachOutcomeIn100Schedules)
{
    std::mt19937 random(schedule_seed);
    std::map<proposal_outcome, int> outcomes;
    for (int i = 0; i < 100; ++i) {
        const schedule_report report =
            run_schedule(random_schedule(random), {});
        ASSERT_EQ(report.violation, "") << "schedule " << i;
        for (const auto& [outcome, count] : report.outcomes)
            outcomes[outcome] += count;
    }
    for (const auto& [outcome, count] : outcomes) {
        const std::string name(to_string(outcome));
        std::printf("%s: %d\n", name.c_str(), count);
    }
    for (const proposal_outcome outcome : {proposal_outcome::accepted,
             proposal_outcome::conflict, proposal_outcome::invalid,
             proposal_outcome::store_unavailable, proposal_outcome::unknown})
        EXPECT_GT(outcomes[outcome], 20) << to_string(outcome);
}

int schedules_until_violation(const model_faults& faults)
{
    std::mt19937 random(schedule_seed);
    for (int i = 1; i <= 100; ++i) {
        const schedule_report report =
            run_schedule(random_schedule(random), faults);
        if (!report.violation.empty()) {
            std::printf("schedule %d: %s\n", i, report.violation.c_str());
            return i;
        }
    }
    return 101;
}

// The two tests below show that the checks of the model detect faults.
TEST(ProposalModel, DetectsOperatorsThatIgnoreTheirNonce)
{
    EXPECT_LE(schedules_until_violation({.hides_own_nonce = true}), 10);
}

TEST(ProposalModel, DetectsAStoreThatIgnoresTheExpectedVersion)
{
    EXPECT_LE(schedules_until_violation({.ignores_version = true}), 10);
}

proposal_request set_team(const std::string& team, const std::string& nonce)
{
    return {set_section{section_id("s"), {{"team", team}}}, "kim", nonce, {}};
}

// Returns a root after `count` changes of instance "i".
policy_root root_with_writers(std::size_t count)
{
    policy_root root;
    for (std::size_t i = 0; i < count; ++i) {
        root.base = root.number;
        root.number = root.number.next();
        root.nonce = "other " + std::to_string(i);
        const change_mark mark{root.number, "sam", root.nonce};
        root.instances[instance_id("i")] = {i % 2 == 0, mark};
        root.writers.push_back({mark, "instance \"i\""});
        if (root.writers.size() > maximum_writers)
            root.writers.erase(root.writers.begin());
    }
    return root;
}

proposal_result result_of(const proposal_step& step)
{
    return std::get<proposal_result>(step);
}

// Guards against a result that says "not written" when this can no longer be
// determined.
TEST(Proposal, IsUnknownWhenItsRevisionIsNoLongerAmongTheWriters)
{
    for (const std::size_t later : {16U, 17U}) {
        proposal change(set_team("t", "own"));
        change.start();
        change.next(root_was_read{object_version(0), {}});
        change.next(body_was_written{});
        change.next(reply_was_lost{});
        const proposal_step step = change.next(
            root_was_read{object_version(later), root_with_writers(later)});
        if (later == 17U) {
            EXPECT_EQ(result_of(step).outcome, proposal_outcome::unknown);
        } else {
            EXPECT_TRUE(std::holds_alternative<update_root>(step));
        }
    }
}

// Guards against a result that says "not written" although the reply to the
// update was lost.
TEST(Proposal, IsUnknownWhenTheStoreDoesNotReplyAfterAnUpdate)
{
    proposal change(set_team("t", "own"));
    change.start();
    change.next(root_was_read{object_version(0), {}});
    change.next(body_was_written{});
    proposal_step step = change.next(reply_was_lost{});
    while (!std::holds_alternative<proposal_result>(step))
        step = change.next(reply_was_lost{});
    EXPECT_EQ(result_of(step).outcome, proposal_outcome::unknown);
    EXPECT_EQ(result_of(step).base, revision(0));
}

// Guards against a retry that says "nothing was written" while the update of
// the earlier proposal can still reach the store.
TEST(Proposal, StaysUnknownWhenItRetriesAChangeInDoubt)
{
    proposal_request request = set_team("t", "own");
    request.base = revision(4);
    request.in_doubt = revision(6);
    proposal unanswered(request);
    proposal_step step = unanswered.start();
    while (!std::holds_alternative<proposal_result>(step))
        step = unanswered.next(call_failed{});
    EXPECT_EQ(result_of(step).outcome, proposal_outcome::unknown);
    EXPECT_EQ(result_of(step).in_doubt, revision(6));

    // The earlier proposal read revision 5, so revision 4 is out of date.
    proposal retried(request);
    retried.start();
    EXPECT_TRUE(std::holds_alternative<read_root>(
        retried.next(root_was_read{object_version(4), root_with_writers(4)})));
    EXPECT_TRUE(std::holds_alternative<write_body>(
        retried.next(root_was_read{object_version(5), root_with_writers(5)})));
}

// Guards against a change on a base for which conflicts cannot be detected.
TEST(Proposal, RefusesABaseThatIsTooOldOrInTheFuture)
{
    proposal_request request = set_team("t", "own");
    request.base = revision(3);
    proposal old(request);
    old.start();
    const proposal_result refused = result_of(
        old.next(root_was_read{object_version(40), root_with_writers(40)}));
    EXPECT_EQ(refused.outcome, proposal_outcome::conflict);
    EXPECT_EQ(refused.message,
        "base revision 3 is too old to tell whether section \"s\" was "
        "changed; expected 24 or later");

    request.base = revision(41);
    proposal early(request);
    proposal_step step = early.start();
    while (!std::holds_alternative<proposal_result>(step)) {
        step = early.next(
            root_was_read{object_version(40), root_with_writers(40)});
    }
    EXPECT_EQ(result_of(step).outcome, proposal_outcome::invalid);
    EXPECT_EQ(result_of(step).message,
        "base revision 41 is above the revision 40 of the policy");
}

// Guards against a conflict whose cause the author cannot find.
TEST(Proposal, NamesTheConflictingChange)
{
    proposal change(
        {set_instance{instance_id("i"), true}, "kim", "own", revision(2)});
    change.start();
    const proposal_result refused = result_of(
        change.next(root_was_read{object_version(5), root_with_writers(5)}));
    EXPECT_EQ(refused.winner, (change_mark{revision(5), "sam", "other 4"}));
    EXPECT_EQ(refused.message,
        "instance \"i\" was changed in revision 5 by \"sam\", after the "
        "proposal's base revision 2");
}

// Guards against store calls for a section that cannot be accepted.
TEST(Proposal, RefusesAnInvalidSectionWithoutAStoreCall)
{
    proposal change(
        {set_section{section_id("s"), {{"team", 1}}}, "kim", "own", {}});
    const proposal_result refused = result_of(change.start());
    EXPECT_EQ(refused.outcome, proposal_outcome::invalid);
    EXPECT_EQ(
        refused.message, "section \"s\": field \"/team\": 1 is not a string");
}

// Guards against a root that exceeds the size limit of the store or that cannot
// be written as JSON.
TEST(Proposal, RefusesAuthorsAndNoncesThatTheRootCannotHold)
{
    for (const std::string author : {"", "\xff"}) {
        proposal change({remove_section{section_id("s")}, author, "own"});
        EXPECT_EQ(result_of(change.start()).outcome, proposal_outcome::invalid);
    }
    proposal change(set_team("t", std::string(65, 'n')));
    EXPECT_EQ(result_of(change.start()).message,
        "nonce: 65 bytes are not between 1 and 64");
}

// Guards against a store that returns a body with another digest.
TEST(Proposal, ReadsABodyAgainWhenItHasAnotherDigest)
{
    policy_root root = root_with_writers(1);
    const std::string text = R"({"team":"other"})";
    root.sections[section_id("a")] = {digest_of(text), root.writers[0].mark};
    proposal change(set_team("t", "own"));
    change.start();
    change.next(root_was_read{object_version(1), root});
    EXPECT_TRUE(
        std::holds_alternative<read_body>(change.next(body_was_read{"{}"})));
    EXPECT_TRUE(
        std::holds_alternative<write_body>(change.next(body_was_read{text})));
}

// Guards against a misspelled failure domain that is taken out of service
// without effect.
TEST(Proposal, RefusesAnUnknownFailureDomain)
{
    proposal change(
        {set_domain{failure_domain_id("d"), true}, "kim", "own", {}});
    change.start();
    const proposal_result refused =
        result_of(change.next(root_was_read{object_version(0), {}}));
    EXPECT_EQ(refused.outcome, proposal_outcome::invalid);
    EXPECT_THAT(refused.message, HasSubstr("failure domain \"d\""));
}

// Guards against a caller that passes an outcome of another store call.
TEST(Proposal, ThrowsWhenTheEventDoesNotBelongToTheStep)
{
    proposal change(set_team("t", "own"));
    change.start();
    EXPECT_THROW(change.next(update_was_accepted{}), error);
}

} // namespace
} // namespace filberthub
