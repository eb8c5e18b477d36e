#include "tools/experiment/measures.hpp"

#include <filberthub/admission/load_experiment.hpp>

#include <algorithm>

namespace filberthub::experiment {

namespace {

using plain_gate = basic_server_gate<no_ramp, static_limit>;

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

load_result ours(const load_scenario& scenario, unsigned rescue_reserve = 0)
{
    return run_holder<server_gate>(scenario,
        server_gate_builder().rescue_reserve(rescue_reserve),
        scenario.keyed ? server_choice::keyed : server_choice::selector);
}

load_result plain(const load_scenario& scenario)
{
    return run_holder<plain_gate>(scenario, plain_gate::builder(),
        scenario.keyed ? server_choice::keyed : server_choice::round_robin);
}

constexpr const char* plain_name = "round robin, no ramp, static limit";

json unit(const char* text)
{
    return {{"unit", text}, {"source", "load model"}};
}

// The servers of a domain restart cold without notice, while they are in use;
// the model has no domain that leaves first, nor a planner that moves keys. If
// the other domains cannot carry the load, the share is of what they can.
void report_returning_domain(std::ostream& stream, const deployment& where,
    std::uint64_t seed, const service_shape& service)
{
    load_scenario scenario = scenario_of(where, service, seed);
    scenario.cold = service.servers / where.domains;
    const double remaining =
        static_cast<double>(service.servers - scenario.cold) / service.servers;
    const double carried = std::min(1.0, remaining / scenario.load);
    const load_result our_result = ours(scenario);
    const load_result plain_result = plain(scenario);
    const auto share = [&](const load_result& result) {
        return std::min(1.0, result.goodput / carried);
    };
    json details = unit("share served of what remaining servers can carry");
    details["note"] = "in use when they restart; keys stay";
    details["goodput"] = our_result.goodput;
    details["p99_ms"] = our_result.p99_ms;
    details["refused"] = our_result.refused;
    details["failed"] = our_result.failed;
    details["baseline_p99_ms"] = plain_result.p99_ms;
    details["baseline_refused"] = plain_result.refused;
    details["baseline_failed"] = plain_result.failed;
    print(stream, where, seed,
        {"service while a domain restarts cold", service.name,
            share(our_result), 0.999, true, {{plain_name, share(plain_result)}},
            details});
    print(stream, where, seed,
        {"overloads in cold start", service.name,
            static_cast<double>(our_result.overloads), 0, false,
            {{plain_name, plain_result.overloads}},
            unit("times that a cold server got more than it can handle")});
}

void report_stragglers(std::ostream& stream, const deployment& where,
    std::uint64_t seed, const service_shape& service)
{
    const load_scenario calm = scenario_of(where, service, seed);
    const double our_calm = ours(calm).p99_ms;
    const double plain_calm = plain(calm).p99_ms;
    for (const unsigned stragglers : {1U, 3U}) {
        load_scenario scenario = calm;
        scenario.stragglers = stragglers;
        const load_result our_result = ours(scenario);
        const load_result plain_result = plain(scenario);
        json details = unit("p99 divided by the p99 without stragglers");
        details["p99_ms"] = our_result.p99_ms;
        details["p99_without_ms"] = our_calm;
        details["goodput"] = our_result.goodput;
        details["baseline_p99_ms"] = plain_result.p99_ms;
        details["baseline_p99_without_ms"] = plain_calm;
        details["baseline_goodput"] = plain_result.goodput;
        details["slowness"] = scenario.slowness;
        // Below 1, the servers cannot carry the load whatever the choice is.
        details["capacity_by_load"] =
            (service.servers - stragglers * (1 - 1 / scenario.slowness)) /
            service.servers / scenario.load;
        if (!service.keyed && stragglers == 1) {
            // What the choice could reach at best: all load to the others.
            load_scenario removed = calm;
            removed.servers -= 1;
            removed.load *= static_cast<double>(calm.servers) / removed.servers;
            details["without_the_straggler"] = ours(removed).p99_ms / our_calm;
        }
        if (service.keyed)
            details["note"] = "keys stay; the planner takes no part here";
        print(stream, where, seed,
            {"tail latency with stragglers",
                service.name + ", " + std::to_string(stragglers),
                our_result.p99_ms / our_calm, 1.3, false,
                {{plain_name, plain_result.p99_ms / plain_calm}}, details});
    }
}

void report_rescue(
    std::ostream& stream, const deployment& where, std::uint64_t seed)
{
    const service_shape& service = where.services.back();
    load_scenario scenario = scenario_of(where, service, seed);
    scenario.rescue_share = 0.1;
    scenario.load = 0.1;
    const double unloaded = ours(scenario, 1).rescue_p99_ms;
    const double plain_unloaded = plain(scenario).rescue_p99_ms;
    scenario.load = 1.5;
    const load_result loaded = ours(scenario, 1);
    const load_result no_reserve = ours(scenario, 0);
    const load_result plain_loaded = plain(scenario);
    json details = unit("rescue p99 at 150% load by its p99 at 10% load");
    details["p99_ms"] = loaded.rescue_p99_ms;
    details["p99_unloaded_ms"] = unloaded;
    details["rescue_share"] = scenario.rescue_share;
    details["rescue_reserve"] = 1;
    print(stream, where, seed,
        {"rescue latency at 150% load", service.name,
            loaded.rescue_p99_ms / unloaded, 1.2, false,
            {{plain_name, plain_loaded.rescue_p99_ms / plain_unloaded},
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
