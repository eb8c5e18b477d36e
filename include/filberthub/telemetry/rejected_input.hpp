// Counts what this process has received from outside and not used, by kind.
//
//     count_rejected(rejected_input::server_entry);
//
//     rejected_input_metrics metrics(registry);
//     metrics.update();

#ifndef FILBERTHUB_TELEMETRY_REJECTED_INPUT_HPP
#define FILBERTHUB_TELEMETRY_REJECTED_INPUT_HPP

#include <filberthub/telemetry/metric_registry.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace filberthub {

enum class rejected_input : std::uint8_t
{
    // The configuration of the operator.
    configuration,
    // An object of the store without a name that can be used.
    object_name,
    // The entry of a server.
    server_entry,
    // An ownership table in the store.
    ownership_table,
    // An object that the coordinator has published.
    published_object,
    // The handover in a server's answer to a release.
    handover,
    // A message of another instance, or a name in one.
    peer_message,
    // An entry of the platform's instance list.
    instance_entry
};
inline constexpr std::size_t rejected_input_count = 8;

// Returns the name for metrics, such as "server_entry".
std::string_view to_string(rejected_input kind);

// Adds to the counts of this process. Thread-safe.
void count_rejected(rejected_input kind, std::uint64_t count = 1);

// Returns how often `count_rejected` has counted this kind.
std::uint64_t rejected_count(rejected_input kind);

// Shows the counts as `filberthub_rejected_inputs_total`.
class rejected_input_metrics
{
public:
    explicit rejected_input_metrics(metric_registry& metrics);

    // Copies the counts. Call periodically.
    void update();

private:
    std::array<counter*, rejected_input_count> counters_{};
};

} // namespace filberthub

#endif
