#include "tools/experiment/measures.hpp"

#include <filberthub/admission/load_experiment.hpp>

#include <algorithm>

namespace filberthub::experiment {

namespace {

using baseline_gate = basic_server_gate<no_ramp, static_limit>;

load_scenario scenario_of(
    const deployment& where, const service_shape& service, std::uint64_t seed)
{
    load_scenario scenario;
    scenario.servers = service.servers;
    scenario.slots = where.slots;
    scenario.instances = where.instances;
    scenario.hop = where.hop;
    scenario.keyed = service.keyed;
    scenario.seed = seed;
    return scenario;
}

// Runs `server_gate`, with `server_selector` for requests without a key.
load_result run_gate(const load_scenario& scenario, unsigned rescue_reserve = 0)
{
    return run_holder<server_gate>(scenario,
        server_gate_builder().rescue_reserve(rescue_reserve),
        scenario.keyed ? server_choice::keyed : server_choice::selector);
}

// Runs the baseline, which neither adapts its limit nor chooses by load.
load_result run_baseline(const load_scenario& scenario)
{
    return run_holder<baseline_gate>(scenario, baseline_gate::builder(),
        scenario.keyed ? server_choice::keyed : server_choice::round_robin);
}

constexpr const char* baseline_name = "round robin, no ramp, static limit";

json unit_details(const char* unit)
{
    return {{"unit", unit}, {"source", "load model"}};
}

// The servers of a domain restart cold without notice, while they are in use.
// The model neither takes the domain out of service first nor moves keys. The
// served share is relative to the load that the remaining domains can handle,
// if that is less than the total load.
void report_returning_domain(std::ostream& stream, const deployment& where,
    std::uint64_t seed, const service_shape& service)
{
    load_scenario scenario = scenario_of(where, service, seed);
    scenario.cold_servers = service.servers / where.domains;
    const double remaining =
        static_cast<double>(service.servers - scenario.cold_servers) /
        service.servers;
    const double sustainable_share = std::min(1.0, remaining / scenario.load);
    const load_result gate_result = run_gate(scenario);
    const load_result baseline_result = run_baseline(scenario);
    const auto share = [&](const load_result& result) {
        return std::min(1.0, result.goodput / sustainable_share);
    };
    json details =
        unit_details("share served of what remaining servers can carry");
    details["note"] = "in use when they restart; keys stay";
    details["goodput"] = gate_result.goodput;
    details["p99_ms"] = gate_result.p99_ms;
    details["refused"] = gate_result.refused;
    details["failed"] = gate_result.failed;
    details["baseline_p99_ms"] = baseline_result.p99_ms;
    details["baseline_refused"] = baseline_result.refused;
    details["baseline_failed"] = baseline_result.failed;
    print(stream, where, seed,
        {"service while a domain restarts cold", service.name,
            share(gate_result), 0.999, true,
            {{baseline_name, share(baseline_result)}}, details});
    print(stream, where, seed,
        {"overloads in cold start", service.name,
            static_cast<double>(gate_result.overloads), 0, false,
            {{baseline_name, baseline_result.overloads}},
            unit_details(
                "times that a cold server got more than it can handle")});
}

void report_stragglers(std::ostream& stream, const deployment& where,
    std::uint64_t seed, const service_shape& service)
{
    const load_scenario normal = scenario_of(where, service, seed);
    const double gate_normal_p99 = run_gate(normal).p99_ms;
    const double baseline_normal_p99 = run_baseline(normal).p99_ms;
    for (const unsigned stragglers : {1U, 3U}) {
        load_scenario scenario = normal;
        scenario.stragglers = stragglers;
        const load_result gate_result = run_gate(scenario);
        const load_result baseline_result = run_baseline(scenario);
        json details =
            unit_details("p99 divided by the p99 without stragglers");
        details["p99_ms"] = gate_result.p99_ms;
        details["p99_without_ms"] = gate_normal_p99;
        details["goodput"] = gate_result.goodput;
        details["baseline_p99_ms"] = baseline_result.p99_ms;
        details["baseline_p99_without_ms"] = baseline_normal_p99;
        details["baseline_goodput"] = baseline_result.goodput;
        details["slowness"] = scenario.straggler_slowdown;
        // Below 1, no choice of servers can handle the load.
        details["capacity_by_load"] =
            (service.servers -
                stragglers * (1 - 1 / scenario.straggler_slowdown)) /
            service.servers / scenario.load;
        if (!service.keyed && stragglers == 1) {
            // The best possible choice sends the whole load to the other
            // servers.
            load_scenario without_straggler = normal;
            without_straggler.servers -= 1;
            without_straggler.load *=
                static_cast<double>(normal.servers) / without_straggler.servers;
            details["without_the_straggler"] =
                run_gate(without_straggler).p99_ms / gate_normal_p99;
        }
        if (service.keyed)
            details["note"] = "keys stay; the planner takes no part here";
        print(stream, where, seed,
            {"tail latency with stragglers",
                service.name + ", " + std::to_string(stragglers),
                gate_result.p99_ms / gate_normal_p99, 1.3, false,
                {{baseline_name, baseline_result.p99_ms / baseline_normal_p99}},
                details});
    }
}

void report_rescue(
    std::ostream& stream, const deployment& where, std::uint64_t seed)
{
    const service_shape& service = where.services.back();
    load_scenario scenario = scenario_of(where, service, seed);
    scenario.rescue_share = 0.1;
    scenario.load = 0.1;
    const double unloaded = run_gate(scenario, 1).rescue_p99_ms;
    const double baseline_unloaded = run_baseline(scenario).rescue_p99_ms;
    scenario.load = 1.5;
    const load_result loaded = run_gate(scenario, 1);
    const load_result no_reserve = run_gate(scenario, 0);
    const load_result baseline_loaded = run_baseline(scenario);
    json details =
        unit_details("rescue p99 at 150% load by its p99 at 10% load");
    details["p99_ms"] = loaded.rescue_p99_ms;
    details["p99_unloaded_ms"] = unloaded;
    details["rescue_share"] = scenario.rescue_share;
    details["rescue_reserve"] = 1;
    print(stream, where, seed,
        {"rescue latency at 150% load", service.name,
            loaded.rescue_p99_ms / unloaded, 1.2, false,
            {{baseline_name, baseline_loaded.rescue_p99_ms / baseline_unloaded},
                {"without a reserved slot",
                    no_reserve.rescue_p99_ms / unloaded}},
            details});
}

} // namespace

void print_service_under_load(
    std::ostream& stream, const deployment& where, std::uint64_t seed)
{
    for (const service_shape& service : where.services) {
        report_returning_domain(stream, where, seed, service);
        report_stragglers(stream, where, seed, service);
    }
    report_rescue(stream, where, seed);
}

} // namespace filberthub::experiment
