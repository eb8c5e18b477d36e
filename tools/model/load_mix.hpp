// The workload of a load generator: the share of each service, the distribution
// of the keys, and the arrival times of an open loop.
//
//     load_mix mix(parse_json(text, error_kind::bad_settings), seed, start);
//     arrival_schedule schedule(2000, seed, start);
//     while (auto intended = schedule.take_due(now))
//         send(mix.next(*intended));

#ifndef FILBERTHUB_TOOLS_MODEL_LOAD_MIX_HPP
#define FILBERTHUB_TOOLS_MODEL_LOAD_MIX_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace filberthub::tools {

enum class key_distribution
{
    // Requests have no key.
    none,
    uniform,
    zipf,
    // A share of the requests goes to a few hot keys; the others are uniform
    // over all keys.
    hot
};

struct key_options
{
    key_distribution distribution = key_distribution::none;
    std::uint64_t count = 10'000;
    // Exponent of `zipf`.
    double exponent = 1;
    // Share of the requests that go to hot keys.
    double hot_share = 0.5;
    // Time after which the hot keys are replaced by others.
    duration hot_period = std::chrono::seconds(10);
};

// Generates keys, as numbers below `key_options::count`. Guarantees the same
// keys for the same seed and times.
class key_generator
{
public:
    static constexpr std::uint64_t hot_key_count = 10;

    key_generator(
        const key_options& options, std::uint64_t seed, time_point start);

    // Returns the key of the next request.
    std::uint64_t next(time_point now);

    // Returns whether the key is one of the most frequent ones at this time;
    // always false for a uniform distribution.
    bool is_hot(std::uint64_t key, time_point now);

private:
    // Chooses the hot keys of the period that `now` lies in, unless they are
    // already chosen.
    void choose_hot_keys(time_point now);

    key_options options_;
    std::uint64_t seed_;
    time_point start_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::uint64_t> zipf_ranks_;
    std::uint64_t period_ = 0;
    std::vector<std::uint64_t> hot_keys_;
};

// The requests for one service.
struct service_load
{
    service_id service;
    // Weight of the service, relative to the sum of all weights.
    double share = 1;
    std::string method = "GET";
    std::string path;
    std::size_t body_bytes = 0;
    key_options keys;
    std::string priority = "interactive";
    bool idempotent = true;
    milliseconds deadline{1000};
};

struct planned_request
{
    // Index in `load_mix::services()`.
    std::size_t service = 0;
    std::optional<std::uint64_t> key;
    bool hot = false;
};

// Chooses the service and the key of each request.
class load_mix
{
public:
    // Reads {"services":[...]}. Throws `error` of kind `bad_settings` if the
    // document is invalid or names no service.
    load_mix(const json& document, std::uint64_t seed, time_point start);

    // Returns the service and the key of the next request.
    planned_request next(time_point now);

    const std::vector<service_load>& services() const
    {
        return services_;
    }

private:
    std::vector<service_load> services_;
    std::vector<key_generator> keys_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> shares_;
};

// Poisson arrivals at a mean rate. Guarantees that the arrival times depend
// only on the seed and the start, never on when they are taken.
class arrival_schedule
{
public:
    arrival_schedule(double per_second, std::uint64_t seed, time_point start);

    // Returns the intended time of the next arrival and moves on to the one
    // after it, if that time has come. To be called until it returns nothing.
    std::optional<time_point> take_due(time_point now);

    // Returns the intended time of the next arrival.
    time_point next() const
    {
        return next_;
    }

private:
    void advance();

    std::mt19937_64 random_;
    std::exponential_distribution<double> interval_;
    time_point next_;
};

} // namespace filberthub::tools

#endif
