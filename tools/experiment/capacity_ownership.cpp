#include "tools/experiment/capacity.hpp"
#include "tools/experiment/series.hpp"

#include <filberthub/ownership/ownership_planner.hpp>
#include <filberthub/ownership/table_codec.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filberthub::experiment {

namespace {

std::vector<planned_server> servers_of(std::size_t count)
{
    std::vector<planned_server> servers;
    for (std::size_t index = 0; index < count; ++index)
        servers.push_back(
            {backend_server_id("server-" + std::to_string(10000 + index)),
                failure_domain_id("domain-" + std::to_string(index % 3))});
    return servers;
}

// Returns the nanoseconds of one lookup, averaged over keys of the whole table.
double lookup_ns(const ownership_table& table)
{
    std::vector<std::string> keys;
    for (std::size_t key = 0; key < 100'000; ++key)
        keys.push_back("map-" + std::to_string(key * 7919));
    const double time = min_cpu_nanoseconds(20, [&] {
        for (const std::string& key : keys)
            do_not_optimize(table.find(key));
    });
    return time / static_cast<double>(keys.size());
}

// Measures the loss of up to a third of 1,334 servers, which is one failure
// domain.
void print_losses(std::ostream& stream)
{
    constexpr std::size_t count = 1334;
    series plan("ownership_plan_losses", "ms", "groups moved");
    series delta("ownership_delta", "bytes", "groups moved");
    series apply("ownership_delta_decode_and_apply", "ms", "groups moved");
    json lost_servers = json::array();
    const group_count groups = group_count_for(count);
    const group_weights weights(groups);
    const ownership_planner planner;
    const auto table = planner
                           .plan(empty_table(service_id("kartlas"), groups),
                               servers_of(count), weights)
                           .table;
    for (const std::size_t lost : {1U, 8U, 64U, 445U}) {
        auto servers = servers_of(count);
        for (std::size_t index = 0; index < lost; ++index)
            servers[index * 3].state = server_state::lost;
        const auto next = planner.plan(table, servers, weights);
        const auto moved = static_cast<double>(next.moves.size());
        plan.add(moved, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(planner.plan(table, servers, weights));
        }) / 1e6);
        const std::string change = encode_delta(table, next.table).dump();
        delta.add(moved, static_cast<double>(change.size()));
        apply.add(moved, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(apply_delta(table, json::parse(change)));
        }) / 1e6);
        lost_servers.push_back(lost);
    }
    for (series* each : {&plan, &delta, &apply})
        each->note("lost_servers", lost_servers).print(stream);
}

} // namespace

void print_ownership_slopes(std::ostream& stream)
{
    series text("ownership_table_json", "bytes", "groups");
    series memory("ownership_table_memory", "bytes", "groups");
    series lookup("ownership_lookup", "ns", "groups");
    series plan("ownership_plan_lost_server", "ms", "groups");
    series decode("ownership_table_decode", "ms", "groups");
    json servers_measured = json::array();
    for (const std::size_t count : {14U, 64U, 256U, 667U, 1334U}) {
        const group_count groups = group_count_for(count);
        auto servers = servers_of(count);
        const group_weights weights(groups);
        const ownership_planner planner;
        const auto first = planner.plan(
            empty_table(service_id("kartlas"), groups), servers, weights);
        const auto size = static_cast<double>(groups.value());
        servers_measured.push_back(count);

        const std::string body = encode(first.table).dump();
        text.add(size, static_cast<double>(body.size()));
        const std::size_t before = allocated_bytes();
        const auto copy = std::make_unique<ownership_table>(first.table);
        memory.add(size, static_cast<double>(allocated_bytes() - before));
        lookup.add(size, lookup_ns(*copy));
        decode.add(size, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(decode_table(json::parse(body)));
        }) / 1e6);

        servers.back().state = server_state::lost;
        plan.add(size, min_cpu_nanoseconds(12, [&] {
            do_not_optimize(planner.plan(first.table, servers, weights));
        }) / 1e6);
    }
    for (series* each : {&text, &memory, &lookup, &plan, &decode})
        each->note("servers", servers_measured).print(stream);
    print_losses(stream);
}

} // namespace filberthub::experiment
