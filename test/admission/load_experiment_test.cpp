#include <filberthub/admission/load_experiment.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

load_scenario short_scenario()
{
    load_scenario scenario;
    scenario.change = 1s;
    scenario.length = 3s;
    return scenario;
}

// Guards against a model whose figures are no queueing at all: without other
// requests the median is the service time and the hop.
TEST(LoadExperiment, HasServiceTimeAndHopAsLatencyWhenIdle)
{
    auto scenario = short_scenario();
    scenario.load = 0.01;
    const auto result = run_holder<server_gate>(
        scenario, server_gate_builder(), server_choice::keyed);
    // The median of this lognormal is 0.88 times its mean of 8 ms.
    EXPECT_NEAR(result.p50_ms, 8 * 0.88 + 1.4, 0.7);
    EXPECT_EQ(result.goodput, 1.0);
}

TEST(LoadExperiment, RepeatsItsFiguresForTheSameSeed)
{
    auto scenario = short_scenario();
    scenario.cold = 1;
    for (int run = 0; run < 2; ++run) {
        EXPECT_EQ(run_lent_credits(scenario, 10ms).p99_ms,
            run_lent_credits(scenario, 10ms).p99_ms);
        EXPECT_EQ(run_local_guess(scenario).overloads,
            run_local_guess(scenario).overloads);
    }
}

// Guards against a model in which a cold server cannot be overloaded, so that
// 0 overloads of a ramp would mean nothing.
TEST(LoadExperiment, OverloadsAColdServerWithoutARamp)
{
    auto scenario = short_scenario();
    scenario.cold = 1;
    using gate = basic_server_gate<no_ramp, static_limit>;
    EXPECT_GT(run_holder<gate>(scenario, gate::builder(), server_choice::keyed)
                  .overloads,
        10U);
}

} // namespace
} // namespace filberthub
