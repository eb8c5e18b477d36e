#include "tools/experiment/measures.hpp"

#include <filberthub/ownership/baseline_planners.hpp>
#include <filberthub/ownership/ownership_planner.hpp>

#include <algorithm>
#include <functional>
#include <random>

namespace filberthub::experiment {

namespace {

using server_list = std::vector<planned_server>;

server_list servers_of(const deployment& setup)
{
    server_list servers;
    for (unsigned index = 0; index < setup.services.front().servers; ++index)
        servers.push_back({backend_server_id("server-" + std::to_string(index)),
            failure_domain_id(std::to_string(index % setup.domains))});
    return servers;
}

void set_domain(server_list& servers, server_state state)
{
    for (planned_server& server : servers) {
        if (server.domain == failure_domain_id("0"))
            server.state = state;
    }
}

struct churn_event
{
    std::string name;
    // Changes of the servers, with a plan after each one.
    std::vector<std::function<void(server_list&)>> steps;
};

std::vector<churn_event> churn_events(unsigned servers)
{
    return {
        {"server lost",
            {[](server_list& list) { list[1].state = server_state::lost; }}},
        {"server added", {[servers](server_list& list) {
             list.push_back(
                 {backend_server_id("server-" + std::to_string(servers)),
                     failure_domain_id("0")});
         }}},
        {"server slowed to half",
            {[](server_list& list) { list[1].capacity = 0.5; }}},
        {"domain out and back", {[](server_list& list) {
                                     set_domain(list, server_state::domain_out);
                                 },
                                    [](server_list& list) {
                                        set_domain(
                                            list, server_state::in_service);
                                    }}},
    };
}

struct churn_counts
{
    std::size_t moves = 0;
    std::size_t min_moves = 0;

    // If no move is necessary, each move counts in full.
    double ratio() const
    {
        return static_cast<double>(moves) /
               static_cast<double>(std::max<std::size_t>(1, min_moves));
    }
};

template <ownership_planning Planner>
churn_counts measure(const Planner& planner, const churn_event& event,
    const deployment& setup, const group_weights& weights, group_count groups)
{
    server_list servers = servers_of(setup);
    ownership_table table =
        planner
            .plan(empty_table(service_id(setup.services.front().name), groups),
                servers, weights)
            .table;
    plan_hints hints;
    const auto plan = [&] {
        hints.settled = table.version();
        auto result = planner.plan(table, servers, weights, hints);
        table = result.table;
        return result;
    };
    // Plans until the table is balanced, so that the moves for the first
    // balance are not counted for the event.
    for (int round = 0; round < 5; ++round)
        plan();
    churn_counts counts;
    for (const auto& step : event.steps) {
        step(servers);
        // A planner may need further rounds to balance the load.
        for (int round = 0; round < 4; ++round) {
            const auto result = plan();
            counts.moves += result.moves.size();
            if (round == 0)
                counts.min_moves += result.min_moves;
        }
    }
    return counts;
}

} // namespace

void print_churn(
    std::ostream& stream, const deployment& setup, std::uint64_t seed)
{
    const group_count groups = group_count_for(setup.services.front().servers);
    group_weights weights(groups);
    std::mt19937_64 engine(seed);
    std::lognormal_distribution<double> weight(0, 0.5);
    for (std::uint32_t group = 0; group < groups.value(); ++group)
        weights.set(key_group(group), weight(engine));
    for (const churn_event& event :
        churn_events(setup.services.front().servers)) {
        const churn_counts ownership =
            measure(ownership_planner(), event, setup, weights, groups);
        const churn_counts modulo =
            measure(modulo_planner(), event, setup, weights, groups);
        const churn_counts rendezvous =
            measure(rendezvous_planner(), event, setup, weights, groups);
        print(stream, setup, seed,
            {"churn", event.name, ownership.ratio(), 1.05, false,
                {{"modulo hashing", modulo.ratio()},
                    {"rendezvous hashing", rendezvous.ratio()}},
                {{"moves", ownership.moves},
                    {"least_moves", ownership.min_moves},
                    {"unit", "moves per least possible move"}}});
    }
}

} // namespace filberthub::experiment
