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
constexpr double hot_share = 0.5;
constexpr duration hot_period = 180s;
constexpr duration plan_interval = 5s;
constexpr double mean_service_seconds = 0.008;
constexpr double load = 0.7;
constexpr double target = 1.10;

// How often each key is asked for.
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
    std::size_t draw(Engine& engine) const
    {
        std::uniform_real_distribution<double> any(0, sums_.back());
        const auto place =
            std::upper_bound(sums_.begin(), sums_.end(), any(engine));
        return std::min<std::size_t>(
            static_cast<std::size_t>(place - sums_.begin()), sums_.size() - 1);
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

class balance_run
{
public:
    balance_run(const deployment& where, std::uint64_t seed)
        : engine_(seed),
          groups_(group_count_for(where.services.front().servers)),
          requests_per_second_(load * where.services.front().servers *
                               where.slots / mean_service_seconds)
    {
        for (std::size_t key = 0; key < key_count; ++key)
            names_.push_back(
                "map-" + std::to_string(seed) + "-" + std::to_string(key));
        for (unsigned index = 0; index < where.services.front().servers;
             ++index)
            servers_.push_back({backend_server_id(
                                    "server-" + std::to_string(index)),
                failure_domain_id(std::to_string(index % where.domains)),
                server_state::in_service, static_cast<double>(where.slots)});
    }

    // Peak-to-mean of the expected load with `table`.
    double imbalance(
        const ownership_table& table, const key_popularity& keys) const
    {
        std::vector<double> loads(table.servers().size());
        for (std::size_t key = 0; key < key_count; ++key)
            loads[table.find(names_[key]).primary.value()] +=
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

    // Runs phases of requests with one popularity each, and plans every 5 s
    // with measured weights. Returns the imbalance after each plan by phase.
    std::vector<std::vector<double>> run(
        const std::vector<key_popularity>& phases, duration length)
    {
        weight_tracker tracker(groups_, {});
        ownership_table table = first_table(ownership_planner());
        std::exponential_distribution<double> gap(requests_per_second_);
        std::exponential_distribution<double> busy(1 / mean_service_seconds);
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
                now += seconds(gap(engine_));
                const std::string& key = names_[keys.draw(engine_)];
                tracker.record(
                    table.group_of_key(key), key, seconds(busy(engine_)), now);
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
    std::vector<std::string> names_;
    std::vector<planned_server> servers_;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() / 2);
}

// Figures of the time after the first 30 s of each phase.
void report(std::ostream& stream, const deployment& where, std::uint64_t seed,
    const std::string& name, const std::vector<key_popularity>& phases,
    duration length)
{
    balance_run run(where, seed);
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
        const auto good = std::find_if(phase.begin(), phase.end(),
            [](double value) { return value <= target; });
        slowest =
            std::max(slowest, static_cast<std::size_t>(good - phase.begin()));
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
    const unsigned servers = where.services.front().servers;
    print(stream, where, seed,
        {"imbalance", name, median(settled), target, false,
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
    std::ostream& stream, const deployment& where, std::uint64_t seed)
{
    report(stream, where, seed, "zipf 0.9", {zipf(0.9)}, 120s);
    report(stream, where, seed, "zipf 1.0", {zipf(1.0)}, 120s);
    report(stream, where, seed, "10 hot keys, new every 180 s",
        {hot_set(seed), hot_set(seed + 1000), hot_set(seed + 2000)},
        hot_period);
}

} // namespace filberthub::experiment
