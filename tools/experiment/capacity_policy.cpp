#include "tools/experiment/capacity.hpp"
#include "tools/experiment/series.hpp"

#include <filberthub/dissemination/propagation.hpp>
#include <filberthub/policy/policy_document.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace filberthub::experiment {

namespace {

std::map<section_id, std::string> bodies_of(std::size_t sections)
{
    std::map<section_id, std::string> bodies;
    bodies[section_id("fleet")] =
        R"({"team": "operations", "regions": {"se-mitt":
            {"failure_domains": ["d0", "d1", "d2"]}}})";
    for (std::size_t index = 1; index < sections; ++index) {
        const std::string name = "service-" + std::to_string(index);
        json servers = json::array();
        for (std::size_t server = 0; server < 20; ++server)
            servers.push_back({{"id", name + "-" + std::to_string(server)},
                {"address", "127.0.11." + std::to_string(1 + server) + ":" +
                                std::to_string(9000 + index)},
                {"failure_domain", "d" + std::to_string(server % 3)}});
        const json body = {{"team", "map reads"},
            {"services", {{name, {{"routing", "by_key"}, {"slots", 2},
                                     {"connections_per_server", 250},
                                     {"default_priority", "interactive"},
                                     {"default_deadline_ms", 1000},
                                     {"maximum_deadline_ms", 3000},
                                     {"maximum_body_bytes", 65536},
                                     {"backend_servers", servers}}}}}};
        bodies[section_id(name)] = canonical_text(body);
    }
    return bodies;
}

policy_document read(const std::map<section_id, std::string>& bodies)
{
    std::map<section_id, json> parsed;
    for (const auto& [id, text] : bodies)
        parsed.emplace(id, parse_policy_text(text));
    return check_policy(parsed);
}

} // namespace

void print_policy_slopes(std::ostream& stream)
{
    series size("policy_bundle", "bytes", "sections");
    series decode("policy_bundle_check", "ms", "sections");
    series memory("policy_memory", "bytes", "sections");
    for (const std::size_t sections : {10U, 50U, 200U}) {
        const auto bodies = bodies_of(sections);
        std::size_t bytes = 0;
        for (const auto& [id, text] : bodies)
            bytes += text.size();
        const auto count = static_cast<double>(sections);
        size.add(count, static_cast<double>(bytes));
        decode.add(count, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(read(bodies));
        }) / 1e6);
        const std::size_t before = allocated_bytes();
        const auto document = std::make_unique<policy_document>(read(bodies));
        memory.add(count, static_cast<double>(allocated_bytes() - before));
    }
    for (series* each : {&size, &decode, &memory})
        each->note("backend_servers_per_section", 20).print(stream);
}

void print_dissemination_comparison(std::ostream& stream)
{
    constexpr std::uint64_t seeds = 20;
    for (const topology kind : {topology::witness_graph, topology::gossip,
             topology::tree, topology::binomial_graph}) {
        for (const std::size_t instances : {24U, 96U, 480U}) {
            for (const double lost : {0.0, 1.0, 5.0, 10.0}) {
                double messages = 0;
                double hops = 0;
                double coverage = 0;
                std::size_t most_hops = 0;
                double least_coverage = 1;
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    const auto result =
                        propagate({kind, instances, lost, 0, seed});
                    messages += static_cast<double>(result.messages) / seeds;
                    hops += static_cast<double>(result.hops) / seeds;
                    coverage += result.coverage() / seeds;
                    most_hops = std::max(most_hops, result.hops);
                    least_coverage =
                        std::min(least_coverage, result.coverage());
                }
                stream << json{{"news", to_string(kind)},
                              {"instances", instances}, {"lost_percent", lost},
                              {"seeds", seeds}, {"messages", messages},
                              {"hops", hops}, {"most_hops", most_hops},
                              {"coverage", coverage},
                              {"least_coverage", least_coverage}}
                       << std::endl;
            }
        }
    }
}

} // namespace filberthub::experiment
