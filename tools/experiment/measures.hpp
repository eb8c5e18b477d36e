// The five measures of docs/design.md, each beside its baselines and target.
//
//     print_churn(std::cout, deployment_of("golvkarta"), seed);

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_MEASURES_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_MEASURES_HPP

#include <filberthub/base/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace filberthub::experiment {

using json = nlohmann::json;

struct service_shape
{
    std::string name;
    unsigned servers = 1;
    // Whether each key belongs to one server.
    bool keyed = false;
};

struct deployment
{
    std::string name;
    unsigned domains = 3;
    unsigned instances = 24;
    unsigned slots = 2;
    duration hop{};
    // The first service divides its keys.
    std::vector<service_shape> services;

    unsigned servers() const;
};

// Throws `error` of kind `bad_settings` if there is no such deployment.
deployment deployment_of(const std::string& name);

// One measured value; smaller is better unless the target is a minimum.
struct measurement
{
    std::string measure;
    std::string what;
    double value = 0;
    double target = 0;
    bool at_least = false;
    json baselines = json::object();
    // What the value rests on, and further figures.
    json details = json::object();
};

void print(std::ostream& stream, const deployment& where, std::uint64_t seed,
    const measurement& measured);

void print_imbalance(
    std::ostream& stream, const deployment& where, std::uint64_t seed);
void print_churn(
    std::ostream& stream, const deployment& where, std::uint64_t seed);
void print_unavailable_time(
    std::ostream& stream, const deployment& where, std::uint64_t seed);
void print_service_under_load(
    std::ostream& stream, const deployment& where, std::uint64_t seed);

} // namespace filberthub::experiment

#endif
