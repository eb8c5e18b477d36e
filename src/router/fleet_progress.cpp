// Metrics and logs of the grants of the coordinator, by `fleet_role`.

#include "router/fleet_role.hpp"

#include <filberthub/telemetry/log.hpp>

namespace filberthub {

void fleet_role::report_grant_progress(time_point now)
{
    for (const auto& [id, progress] : controller_->grant_progress(now)) {
        const key_coverage& keys = progress.keys;
        const std::pair<const char*, std::size_t> stages[] = {
            {"served", keys.served}, {"unconfirmed", keys.unconfirmed},
            {"lapsed", keys.lapsed},
            {"awaiting_release", keys.awaiting_release},
            {"awaiting_token", keys.awaiting_token},
            {"awaiting_grant", keys.awaiting_grant}};
        for (const auto& [stage, count] : stages) {
            metrics_
                .add_gauge("filberthub_keys",
                    "Keys of a service by the stage of their grant; of the "
                    "coordinator only.",
                    {{"service", id.value()}, {"stage", stage}})
                .set(static_cast<double>(count));
        }
        metrics_
            .add_gauge("filberthub_keys_beyond_capacity",
                "Keys whose load exceeds the capacity of any server; of the "
                "coordinator only.",
                {{"service", id.value()}})
            .set(static_cast<double>(progress.heavy_keys));
        metrics_
            .add_gauge("filberthub_silent_servers",
                "Usable servers that get no keys, because they leave commands "
                "without an answer; of the coordinator only.",
                {{"service", id.value()}})
            .set(static_cast<double>(progress.silent_servers));
        if (keys.complete())
            continue;
        log_event(log_level::info, "keys without an owner",
            {{log_key::service, id.value()}, {"served", keys.served},
                {"unconfirmed", keys.unconfirmed}, {"lapsed", keys.lapsed},
                {"awaiting_release", keys.awaiting_release},
                {"awaiting_token", keys.awaiting_token},
                {"awaiting_grant", keys.awaiting_grant},
                {"open_commands", keys.open_commands},
                {"table_age_ms", progress.table_age.count()},
                {"write_open", progress.write_open}});
    }
}

} // namespace filberthub
