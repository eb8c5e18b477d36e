#include "fleet_harness.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <iostream>

namespace filberthub {
namespace {

// Each variant disables one rule of the protocol. A property that still holds
// for a variant would not test that rule.
struct resumes_after_lapse : lease_rules
{
    static constexpr bool lapse_is_final = false;
};
struct no_warm_up : lease_rules
{
    static constexpr duration warm_up{};
};
struct no_drift_margin : lease_rules
{
    static constexpr duration expiry = lease_interval;
};
struct no_joint_lists : lease_rules
{
    static constexpr bool joint_lists = false;
};
// Notices that were sent at different times count as evidence, as if a witness
// could not hear from the member again after its notice.
struct notices_are_evidence : lease_rules
{
    static constexpr bool simultaneous_silence = false;
};

// Returns a number below `limit`. The size is fixed because RapidCheck
// otherwise begins with small numbers, which give faults without effect.
template <class Number>
Number below(Number limit)
{
    return *rc::gen::resize(100, rc::gen::inRange<Number>(0, limit));
}

fault any_fault()
{
    fault result;
    result.kind =
        static_cast<fault_kind>(below(static_cast<int>(fault_kind::count)));
    result.first = below(1U << 16);
    result.second = below(1U << 16);
    result.gap_ms = below<std::int64_t>(1500);
    result.length_ms = below<std::int64_t>(3500);
    return result;
}

rc::detail::TestParams parameters(int schedules)
{
    rc::detail::TestParams result;
    result.seed = 20261204;
    if (const char* text = std::getenv("FILBERTHUB_SEED"))
        result.seed = std::stoull(text);
    result.maxSuccess = schedules;
    if (const char* text = std::getenv("FILBERTHUB_SCHEDULES"))
        result.maxSuccess = std::stoi(text);
    return result;
}

template <class Rules>
std::string violation_of(
    std::size_t instances, std::uint64_t seed, const std::vector<fault>& faults)
{
    fleet_harness<Rules> fleet(instances, seed);
    fleet.run(faults);
    return fleet.violation();
}

template <class Rules>
rc::detail::TestResult check_single_holder(
    const rc::detail::TestParams& params, const std::string& name)
{
    std::cout << name << ": seed " << params.seed << ", up to "
              << params.maxSuccess << " schedules\n";
    const auto property = [] {
        const std::size_t instances = 4 + below<std::size_t>(5);
        const auto seed = below<std::uint64_t>(1U << 30);
        std::vector<fault> faults;
        for (int count = 0; count < 12; ++count)
            faults.push_back(any_fault());
        const std::string seen = violation_of<Rules>(instances, seed, faults);
        if (!seen.empty())
            RC_FAIL(seen);
    };
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    // The default listener would print how to reproduce failures, which are
    // expected for the variants.
    rc::detail::TestListenerAdapter silent;
    return rc::detail::checkTestable(property, metadata, params, silent);
}

template <class Rules>
void expect_violation(int schedules, const std::string& name)
{
    rc::detail::TestParams params = parameters(schedules);
    params.seed = 20261204;
    params.maxSuccess = schedules;
    params.disableShrinking = true;
    const auto result = check_single_holder<Rules>(params, name);
    rc::detail::FailureResult failure;
    ASSERT_TRUE(result.template match<rc::detail::FailureResult>(failure))
        << "no violation within " << schedules << " schedules";
    EXPECT_THAT(failure.description, ::testing::HasSubstr("both holders"));
    std::cout << name << ": found after " << failure.numSuccess
              << " schedules: " << failure.description << "\n";
}

// Guards against two instances that send work to the same server at the same
// time, under pauses, partitions, message loss and delay, restarts, drains and
// store faults.
TEST(Fleet, HasOneHolderPerServerAtMost)
{
    const auto result =
        check_single_holder<lease_rules>(parameters(500), "protocol");
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

// The tests below show that the property detects the absence of each rule.
TEST(Fleet, HasTwoHoldersWhenALapsedLeaseResumes)
{
    expect_violation<resumes_after_lapse>(200, "resumes_after_lapse");
}

TEST(Fleet, HasTwoHoldersWhenAWitnessDoesNotWarmUp)
{
    expect_violation<no_warm_up>(200, "no_warm_up");
}

TEST(Fleet, HasTwoHoldersWhenTheDriftMarginIsMissing)
{
    expect_violation<no_drift_margin>(200, "no_drift_margin");
}

TEST(Fleet, HasTwoHoldersWhenOnlyTheNewWitnessesCount)
{
    expect_violation<no_joint_lists>(200, "no_joint_lists");
}

// Blocks the messages from a holder to its witnesses, one witness after the
// other for 1.5 s each. A majority of witnesses sends notices, but never at the
// same time.
template <class Rules>
std::string violation_of_consecutive_cuts()
{
    fleet_harness<Rules> fleet(8, 1);
    fleet.run_until_steady();
    const std::size_t holder = fleet.holder(backend_server_id("server-0"));
    for (const std::size_t witness : fleet.witnesses(holder)) {
        fleet.apply({fault_kind::cut_one_way, static_cast<unsigned>(holder),
            static_cast<unsigned>(witness), 0, 1500});
        fleet.run_for(milliseconds(2000));
    }
    return fleet.violation();
}

// Guards against a takeover based on evidence from different times, during
// which the holder never lost its lease.
TEST(Fleet, HasTwoHoldersOnlyWhenNoticesOfDifferentTimesCount)
{
    EXPECT_EQ(violation_of_consecutive_cuts<lease_rules>(), "");
    EXPECT_THAT(violation_of_consecutive_cuts<notices_are_evidence>(),
        ::testing::HasSubstr("both holders"));
}

// Crashes the holder of a server, or its whole failure domain, and returns the
// time until another instance is the holder.
duration time_without_holder(std::uint64_t seed, bool domain, bool store_down)
{
    const std::size_t instances = 6 + seed % 4;
    fleet_harness<lease_rules> fleet(instances, seed);
    fleet.run_until_steady();
    fleet.run_for(milliseconds(seed * 37 % 250));
    const backend_server_id server("server-0");
    const std::size_t before = fleet.holder(server);
    EXPECT_NE(before, fleet.no_holder);
    if (store_down)
        fleet.apply({fault_kind::store_down, 0, 0, 0, 10000});
    for (std::size_t index = 0; index < instances; ++index) {
        if (index == before || (domain && index % 3 == before % 3))
            fleet.apply(
                {fault_kind::crash, static_cast<unsigned>(index), 0, 0, 10000});
    }
    duration waited{};
    while (fleet.holder(server) == fleet.no_holder &&
           waited < std::chrono::seconds(9)) {
        fleet.run_for(milliseconds(1));
        waited += milliseconds(1);
    }
    EXPECT_EQ(fleet.violation(), "") << "seed " << seed;
    return waited;
}

// Guards against a protocol that is safe only because no instance takes over.
TEST(Fleet, ReplacesALostHolderWithinThreeSeconds)
{
    for (const bool domain : {false, true}) {
        for (const bool store_down : {false, true}) {
            duration longest{};
            for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                const duration waited =
                    time_without_holder(seed, domain, store_down);
                EXPECT_LE(waited, std::chrono::seconds(3)) << "seed " << seed;
                longest = std::max(longest, waited);
            }
            std::cout << (domain ? "failure domain" : "instance")
                      << " lost, store " << (store_down ? "down" : "up")
                      << ": at most " << longest / milliseconds(1)
                      << " ms without a holder\n";
        }
    }
}

} // namespace
} // namespace filberthub
