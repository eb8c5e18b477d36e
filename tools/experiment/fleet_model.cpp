#include "tools/experiment/fleet_model.hpp"

#include <filberthub/base/error.hpp>

#include <string>

namespace filberthub::experiment {

fleet_input fleet_input_of(const fleet_size& size)
{
    fleet_input input;
    for (std::size_t index = 0; index < size.members; ++index) {
        const member_key key{
            instance_id("hub-" + std::to_string(1000 + index)), incarnation(1)};
        input.instances.push_back({key,
            {"127.0.10." + std::to_string(1 + index % 250), 7000},
            failure_domain_id("domain-" + std::to_string(index % size.domains)),
            false});
        input.statuses.push_back({key, true, {}, false});
    }
    for (std::size_t index = 0; index < size.servers; ++index)
        input.servers.emplace_back("server-" + std::to_string(10000 + index));
    return input;
}

fleet_table joining_fleet(const fleet_size& size)
{
    fleet_input input = fleet_input_of(size);
    input.statuses.clear();
    return plan_fleet(fleet_table(), input).value();
}

fleet_table settled_fleet(const fleet_size& size)
{
    fleet_input input = fleet_input_of(size);
    fleet_table table;
    // The planner takes one version each to add the members, to assign the
    // holders and to settle the witness lists. Many more rounds mean that it
    // does not converge.
    for (int round = 0; round < 10; ++round) {
        for (member_status& status : input.statuses)
            status.settled = table.version();
        auto next = plan_fleet(table, input);
        if (!next)
            return table;
        table = *std::move(next);
    }
    throw error(error_kind::internal, "the fleet planner does not converge");
}

} // namespace filberthub::experiment
