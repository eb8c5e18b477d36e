#include "tools/experiment/measures.hpp"

#include <filberthub/ownership/baseline_planners.hpp>
#include <filberthub/ownership/ownership_planner.hpp>
#include <filberthub/ownership/weight_tracker.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace filberthub::experiment {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t key_count = 200'000;
constexpr std::size_t hot_keys = 10;
// Share of the requests that go to hot keys.
constexpr double hot_share = 0.5;
constexpr duration hot_period = 180s;
constexpr duration plan_interval = 5s;
constexpr double mean_service_seconds = 0.008;
// Share of the capacity of all servers.
constexpr double offered_load = 0.7;
// Peak-to-mean load.
constexpr double target_imbalance = 1.10;

// A distribution of requests over the keys.
class key_popularity
{
public:
    explicit key_popularity(std::vector<double> shares)
        : shares_(std::move(shares)), sums_(shares_.size())
    {
        std::partial_sum(shares_.begin(), shares_.end(), sums_.begin());
        for (double& share : shares_)
            share /= sums_.back();
    }

    template <class Engine>
    std::size_t sample(Engine& engine) const
    {
        std::uniform_real_distribution<double> uniform(0, sums_.back());
        const auto position =
            std::upper_bound(sums_.begin(), sums_.end(), uniform(engine));
        return std::min<std::size_t>(
            static_cast<std::size_t>(position - sums_.begin()),
            sums_.size() - 1);
    }

    const std::vector<double>& shares() const
    {
        return shares_;
    }

private:
    std::vector<double> shares_;
    std::vector<double> sums_;
};

key_popularity zipf(double exponent)
{
    std::vector<double> shares(key_count);
    for (std::size_t rank = 0; rank < key_count; ++rank)
        shares[rank] = std::pow(static_cast<double>(rank + 1), -exponent);
    return key_popularity(std::move(shares));
}

key_popularity hot_set(std::uint64_t seed)
{
    std::vector<double> shares(key_count, (1 - hot_share) / key_count);
    std::mt19937_64 engine(seed);
    for (std::size_t index = 0; index < hot_keys; ++index)
        shares[engine() % key_count] += hot_share / hot_keys;
    return key_popularity(std::move(shares));
}

// Simulates requests for the keys of the first service, and the plans that
// follow from the measured load.
class imbalance_simulation
{
public:
    imbalance_simulation(const deployment& setup, std::uint64_t seed)
        : engine_(seed),
          groups_(group_count_for(setup.services.front().servers)),
          requests_per_second_(offered_load * setup.services.front().servers *
                               setup.slots / mean_service_seconds)
    {
        for (std::size_t key = 0; key < key_count; ++key)
            key_names_.push_back(
                "map-" + std::to_string(seed) + "-" + std::to_string(key));
        for (unsigned index = 0; index < setup.services.front().servers;
             ++index)
            servers_.push_back({backend_server_id(
                                    "server-" + std::to_string(index)),
                failure_domain_id(std::to_string(index % setup.domains)),
                server_state::in_service, static_cast<double>(setup.slots)});
    }

    // Returns the peak-to-mean ratio of the expected load of the servers.
    double imbalance(
        const ownership_table& table, const key_popularity& keys) const
    {
        std::vector<double> loads(table.servers().size());
        for (std::size_t key = 0; key < key_count; ++key)
            loads[table.find(key_names_[key]).primary.value()] +=
                keys.shares()[key];
        return *std::max_element(loads.begin(), loads.end()) *
               static_cast<double>(servers_.size());
    }

    template <ownership_planning Planner>
    ownership_table first_table(const Planner& planner) const
    {
        return planner
            .plan(empty_table(service_id("keys"), groups_), servers_,
                group_weights(groups_))
            .table;
    }

    // Runs one phase of requests for each element of `phases`, and plans every
    // 5 s with the measured weights. Returns for each phase the imbalance at
    // its start and after each plan.
    std::vector<std::vector<double>> run(
        const std::vector<key_popularity>& phases, duration length)
    {
        weight_tracker tracker(groups_, {});
        ownership_table table = first_table(ownership_planner());
        std::exponential_distribution<double> interarrival_time(
            requests_per_second_);
        std::exponential_distribution<double> service_time(
            1 / mean_service_seconds);
        const auto seconds = [](double value) {
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(value));
        };
        std::vector<std::vector<double>> result;
        time_point now{1s};
        time_point next_plan = now + plan_interval;
        time_point end = now;
        for (const key_popularity& keys : phases) {
            end += length;
            std::vector<double> values{imbalance(table, keys)};
            while (now < end) {
                now += seconds(interarrival_time(engine_));
                const std::string& key = key_names_[keys.sample(engine_)];
                tracker.record(table.group_of_key(key), key,
                    seconds(service_time(engine_)), now);
                if (now < next_plan)
                    continue;
                next_plan += plan_interval;
                plan_hints hints;
                hints.hot_keys = tracker.hottest(hot_keys, now);
                hints.settled = table.version();
                table = ownership_planner()
                            .plan(table, servers_, tracker.weights(now), hints)
                            .table;
                values.push_back(imbalance(table, keys));
            }
            result.push_back(std::move(values));
        }
        return result;
    }

private:
    std::mt19937_64 engine_;
    group_count groups_;
    double requests_per_second_;
    std::vector<std::string> key_names_;
    std::vector<planned_server> servers_;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() / 2);
}

// Reports the median imbalance after the first 30 s of each phase, which are
// the first 6 values.
void report(std::ostream& stream, const deployment& setup, std::uint64_t seed,
    const std::string& name, const std::vector<key_popularity>& phases,
    duration length)
{
    imbalance_simulation run(setup, seed);
    const auto values = run.run(phases, length);
    std::vector<double> settled;
    double highest = 0;
    std::size_t slowest = 0;
    for (const auto& phase : values) {
        const std::size_t skipped = std::min<std::size_t>(6, phase.size() - 1);
        settled.insert(settled.end(),
            phase.begin() + static_cast<std::ptrdiff_t>(skipped), phase.end());
        highest =
            std::max(highest, *std::max_element(phase.begin(), phase.end()));
        const auto on_target = std::find_if(phase.begin(), phase.end(),
            [](double value) { return value <= target_imbalance; });
        slowest = std::max(
            slowest, static_cast<std::size_t>(on_target - phase.begin()));
    }
    std::vector<double> modulo;
    std::vector<double> rendezvous;
    const auto modulo_table = run.first_table(modulo_planner());
    const auto rendezvous_table = run.first_table(rendezvous_planner());
    double hottest = 0;
    for (const key_popularity& keys : phases) {
        modulo.push_back(run.imbalance(modulo_table, keys));
        rendezvous.push_back(run.imbalance(rendezvous_table, keys));
        hottest = std::max(hottest,
            *std::max_element(keys.shares().begin(), keys.shares().end()));
    }
    const unsigned servers = setup.services.front().servers;
    print(stream, setup, seed,
        {"imbalance", name, median(settled), target_imbalance, false,
            {{"modulo hashing", median(modulo)},
                {"rendezvous hashing", median(rendezvous)}},
            {{"unit", "peak to mean load after 30 s"},
                {"highest_after_30_s",
                    *std::max_element(settled.begin(), settled.end())},
                {"highest", highest},
                {"slowest_seconds_to_target", 5 * slowest},
                {"least_possible", std::max(1.0, hottest * servers)}}});
}

} // namespace

void print_imbalance(
    std::ostream& stream, const deployment& setup, std::uint64_t seed)
{
    report(stream, setup, seed, "zipf 0.9", {zipf(0.9)}, 120s);
    report(stream, setup, seed, "zipf 1.0", {zipf(1.0)}, 120s);
    report(stream, setup, seed, "10 hot keys, new every 180 s",
        {hot_set(seed), hot_set(seed + 1000), hot_set(seed + 2000)},
        hot_period);
}

} // namespace filberthub::experiment
