// The five quality measures of docs/design.md. Each value is printed with its
// target and the values of its baselines.
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
    // Whether each key is owned by one server.
    bool keyed = false;
};

// Size and network of a deployment that the measures are taken for.
struct deployment
{
    std::string name;
    unsigned domains = 3;
    unsigned instances = 24;
    // Slots of each server.
    unsigned slots = 2;
    // Round-trip time between two instances.
    duration hop{};
    // The first service is keyed.
    std::vector<service_shape> services;

    // Returns the number of servers of all services.
    unsigned servers() const;
};

// Returns the example deployment "golvkarta" or "meridian". Throws `error` of
// kind `bad_settings` for any other name.
deployment deployment_of(const std::string& name);

// One measured value. Smaller is better unless the target is a minimum.
struct measurement
{
    std::string measure;
    std::string case_name;
    double value = 0;
    double target = 0;
    bool target_is_minimum = false;
    json baselines = json::object();
    // Unit and source of the value, and further figures.
    json details = json::object();
};

// Prints one JSON line.
void print(std::ostream& stream, const deployment& setup, std::uint64_t seed,
    const measurement& measured);

// Peak-to-mean load of the servers for several distributions of keys.
void print_imbalance(
    std::ostream& stream, const deployment& setup, std::uint64_t seed);
// Groups moved after a change of the servers, relative to the fewest possible
// moves.
void print_churn(
    std::ostream& stream, const deployment& setup, std::uint64_t seed);
// Time without service for the keys of a lost instance, server or domain.
void print_unavailable_time(
    std::ostream& stream, const deployment& setup, std::uint64_t seed);
// Service during a cold restart, with stragglers and above the capacity.
void print_service_under_load(
    std::ostream& stream, const deployment& setup, std::uint64_t seed);

} // namespace filberthub::experiment

#endif
