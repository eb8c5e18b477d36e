#include "tools/experiment/measures.hpp"

#include <filberthub/base/error.hpp>

namespace filberthub::experiment {

unsigned deployment::servers() const
{
    unsigned sum = 0;
    for (const service_shape& service : services)
        sum += service.servers;
    return sum;
}

deployment deployment_of(const std::string& name)
{
    using std::chrono::microseconds;
    if (name == "golvkarta")
        return {name, 3, 24, 2, microseconds(1400),
            {{"kartlas", 14, true}, {"kartskriv", 8}, {"skanintag", 6},
                {"raddning", 6}}};
    if (name == "meridian")
        return {name, 4, 27, 4, microseconds(1000),
            {{"tractbook", 20, true}, {"paydesk", 10}, {"platvault", 8},
                {"clausefile", 8}}};
    throw error(error_kind::bad_settings,
        "no deployment is named \"" + name +
            "\"; expected \"golvkarta\" or \"meridian\"");
}

void print(std::ostream& stream, const deployment& setup, std::uint64_t seed,
    const measurement& measured)
{
    const bool met = measured.target_is_minimum
                         ? measured.value >= measured.target
                         : measured.value <= measured.target;
    stream << json{{"measure", measured.measure}, {"case", measured.case_name},
                  {"deployment", setup.name}, {"seed", seed},
                  {"value", measured.value}, {"target", measured.target},
                  {"target_is",
                      measured.target_is_minimum ? "minimum" : "maximum"},
                  {"met", met}, {"baselines", measured.baselines},
                  {"details", measured.details}}
           << std::endl;
}

} // namespace filberthub::experiment
