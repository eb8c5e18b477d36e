#include <filberthub/telemetry/rejected_input.hpp>

#include <atomic>
#include <string>

namespace filberthub {
namespace {

constexpr std::array<std::string_view, rejected_input_count> kind_names = {
    "configuration", "object_name", "server_entry", "ownership_table",
    "published_object", "handover", "peer_message", "instance_entry"};

std::array<std::atomic<std::uint64_t>, rejected_input_count> counts{};

} // namespace

std::string_view to_string(rejected_input kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

void count_rejected(rejected_input kind, std::uint64_t count)
{
    counts.at(static_cast<std::size_t>(kind)) += count;
}

std::uint64_t rejected_count(rejected_input kind)
{
    return counts.at(static_cast<std::size_t>(kind));
}

rejected_input_metrics::rejected_input_metrics(metric_registry& metrics)
{
    for (std::size_t kind = 0; kind < rejected_input_count; ++kind) {
        counters_.at(kind) =
            &metrics.add_counter("filberthub_rejected_inputs_total",
                "Names, entries and messages from outside that were not used.",
                {{"kind", std::string(kind_names.at(kind))}});
    }
}

void rejected_input_metrics::update()
{
    for (std::size_t kind = 0; kind < rejected_input_count; ++kind) {
        counter& shown = *counters_.at(kind);
        shown.add(
            rejected_count(static_cast<rejected_input>(kind)) - shown.value());
    }
}

} // namespace filberthub
