#include <filberthub/dissemination/propagation.hpp>
#include <filberthub/dissemination/revision_tracker.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iomanip>
#include <iostream>

namespace filberthub {
namespace {

const instance_id peer("entry-2");
const document_id policy{document_kind::policy, {}};
constexpr time_point start{std::chrono::seconds(50)};

revision_summary summary_of(std::uint64_t revision_number)
{
    revision_summary result;
    result.policy = revision(revision_number);
    return result;
}

// Guards against duplicate pulls of a document, and against a pull that is
// never repeated after its answer was lost.
TEST(RevisionTracker, PullsADocumentOnceWhileThePullIsOpen)
{
    revision_tracker tracker;
    EXPECT_EQ(tracker.merge(peer, summary_of(4), {}, start).size(), 1U);
    EXPECT_TRUE(tracker.merge(peer, summary_of(4), {}, start).empty());
    EXPECT_TRUE(tracker.is_behind());
    EXPECT_EQ(
        tracker.merge(peer, summary_of(4), {}, start + pull_timeout).size(),
        1U);
    EXPECT_TRUE(tracker.on_pulled(policy, 4));
    EXPECT_FALSE(tracker.is_behind());
}

// Guards against an instance that announces a version whose body it does not
// have, which makes other instances pull from it without success.
TEST(RevisionTracker, AnnouncesAVersionOnlyAfterItsBodyArrived)
{
    revision_tracker tracker;
    tracker.merge(peer, summary_of(4), {}, start);
    EXPECT_EQ(tracker.summary(start).policy, revision(0));
    tracker.on_pulled(policy, 4);
    EXPECT_EQ(tracker.summary(start).policy, revision(4));
}

// Guards against a version that decreases when an old summary or body arrives
// late.
RC_GTEST_PROP(RevisionTracker, NeverGoesBack, ())
{
    revision_tracker tracker;
    std::uint64_t highest = 0;
    const auto numbers = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    for (const std::uint64_t number : numbers) {
        tracker.merge(peer, summary_of(number), {}, start);
        RC_ASSERT(tracker.on_pulled(policy, number) == (number > highest));
        highest = std::max(highest, number);
        RC_ASSERT(tracker.version_of(policy) == highest);
    }
}

// Guards against a store age that is too low after a slow message, because its
// transit time was not added.
TEST(RevisionTracker, AgesAConfirmationFromTheSendingTime)
{
    revision_tracker tracker;
    revision_summary summary;
    summary.store_age = milliseconds(700);
    tracker.merge(peer, summary, {}, start);
    EXPECT_EQ(tracker.store_age(start), std::nullopt);
    tracker.merge(peer, summary, start - milliseconds(300), start);
    EXPECT_EQ(tracker.store_age(start), milliseconds(1000));
    summary.store_age = milliseconds(2000);
    tracker.merge(peer, summary, start, start);
    EXPECT_EQ(tracker.store_age(start), milliseconds(1000));
}

// Guards against a fleet that stops watching the store when the watchers are
// lost.
TEST(StoreWatch, PassesToTheNextRankWhenAWatcherIsUnreachable)
{
    EXPECT_TRUE(watches_store(2));
    EXPECT_FALSE(watches_store(3));
    EXPECT_TRUE(watches_store(3, 1));
}

// Guards against a graph of the wrong shape, which would invalidate the
// comparison.
TEST(BinomialGraph, LinksEachInstanceToPowersOfTwoInBothDirections)
{
    const auto links = links_of(topology::binomial_graph, 12);
    EXPECT_EQ(links[0], (std::vector<std::size_t>{1, 2, 4, 8, 10, 11}));
}

// Guards against a dissemination over the witness graph that needs more than 5
// rounds of 250 ms at the target size. Prints the comparison of all topologies.
TEST(Propagation, ReachesAllInstancesOverTheWitnessGraphInFiveHops)
{
    constexpr std::uint64_t runs = 50;
    std::cout << "    n   loss  topology        messages  hops max  coverage "
                 "mean  min\n"
              << std::fixed << std::setprecision(2);
    for (const std::size_t instances : {24U, 96U, 480U}) {
        for (const double lost : {1.0, 5.0, 10.0}) {
            for (std::size_t kind = 0; kind < topology_count; ++kind) {
                std::size_t messages = 0;
                std::size_t hops = 0;
                double coverage = 0;
                double worst = 1;
                for (std::uint64_t seed = 1; seed <= runs; ++seed) {
                    const auto result = propagate({static_cast<topology>(kind),
                        instances, lost, lost, seed});
                    messages += result.messages;
                    hops = std::max(hops, result.hops);
                    coverage += result.coverage() / runs;
                    worst = std::min(worst, result.coverage());
                }
                std::cout << std::setw(5) << instances << std::setw(6) << lost
                          << "%  " << std::setw(14) << std::left
                          << to_string(static_cast<topology>(kind))
                          << std::right << std::setw(10) << messages / runs
                          << std::setw(10) << hops << std::setw(15)
                          << 100 * coverage << std::setw(7) << 100 * worst
                          << "\n";
                if (static_cast<topology>(kind) == topology::witness_graph) {
                    EXPECT_EQ(worst, 1.0);
                    EXPECT_LE(hops, 5U);
                }
            }
        }
    }
}

} // namespace
} // namespace filberthub
