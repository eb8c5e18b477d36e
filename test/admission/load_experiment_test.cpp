#include <filberthub/admission/load_experiment.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

load_scenario short_scenario()
{
    load_scenario scenario;
    scenario.change_time = 1s;
    scenario.run_duration = 3s;
    return scenario;
}

// Guards against a model that adds latency from other sources than the service
// time, the hop and queueing. Without load, no request waits.
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

// Guards against sources of randomness that do not depend on the seed.
TEST(LoadExperiment, RepeatsItsResultsForTheSameSeed)
{
    auto scenario = short_scenario();
    scenario.cold_servers = 1;
    for (int run = 0; run < 2; ++run) {
        EXPECT_EQ(run_lent_credits(scenario, 10ms).p99_ms,
            run_lent_credits(scenario, 10ms).p99_ms);
        EXPECT_EQ(run_local_limits(scenario).overloads,
            run_local_limits(scenario).overloads);
    }
}

// Guards against a model in which a cold server cannot be overloaded. In such a
// model, zero overloads with a ramp would prove nothing.
TEST(LoadExperiment, OverloadsAColdServerWithoutARamp)
{
    auto scenario = short_scenario();
    scenario.cold_servers = 1;
    using gate = basic_server_gate<no_ramp, static_limit>;
    EXPECT_GT(run_holder<gate>(scenario, gate::builder(), server_choice::keyed)
                  .overloads,
        10U);
}

} // namespace
} // namespace filberthub
