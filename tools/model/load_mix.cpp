#include "tools/model/load_mix.hpp"

#include <algorithm>
#include <cmath>

namespace filberthub::tools {
namespace {

// Limits the Zipf table, which takes 16 bytes per key, to 160 MB.
constexpr std::int64_t max_keys = 10'000'000;
constexpr std::int64_t max_body_bytes = 32LL * 1024 * 1024;

double number_or(json_reader& reader, const std::string& field, double minimum,
    double maximum, double fallback)
{
    if (!reader.has(field))
        return fallback;
    const json& value = reader.value(field);
    if (!value.is_number() || value.get<double>() < minimum ||
        value.get<double>() > maximum) {
        reader.fail(field, value.dump() + " is not a number from " +
                               std::to_string(minimum) + " to " +
                               std::to_string(maximum));
    }
    return value.get<double>();
}

key_options key_options_from_json(json_reader reader)
{
    key_options options;
    const std::string name = reader.string("distribution");
    if (name == "uniform")
        options.distribution = key_distribution::uniform;
    else if (name == "zipf")
        options.distribution = key_distribution::zipf;
    else if (name == "hot")
        options.distribution = key_distribution::hot;
    else
        reader.fail("distribution",
            "\"" + name + "\" is not one of uniform, zipf, hot");
    options.count = static_cast<std::uint64_t>(
        reader.integer_or("count", 1, max_keys, 10'000));
    options.exponent = number_or(reader, "exponent", 0, 10, options.exponent);
    options.hot_share = number_or(reader, "hot_share", 0, 1, options.hot_share);
    options.hot_period =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            number_or(reader, "hot_period_s", 0.1, 86'400, 10)));
    reader.finish();
    return options;
}

service_load service_load_from_json(json_reader& reader)
{
    service_load load;
    load.service = service_id(reader.string("service"));
    load.share = number_or(reader, "share", 0, 1e9, load.share);
    load.method = reader.string_or("method", load.method);
    load.path = reader.string_or("path", "/" + load.service.value() + "/load");
    load.body_bytes = static_cast<std::size_t>(
        reader.integer_or("body_bytes", 0, max_body_bytes, 0));
    if (reader.has("keys"))
        load.keys = key_options_from_json(reader.object("keys"));
    load.priority = reader.string_or("priority", load.priority);
    load.idempotent = reader.boolean_or("idempotent", true);
    load.deadline =
        milliseconds(reader.integer_or("deadline_ms", 1, 600'000, 1000));
    reader.finish();
    return load;
}

std::vector<double> zipf_weights(const key_options& options)
{
    if (options.distribution != key_distribution::zipf)
        return {1};
    std::vector<double> weights(options.count);
    for (std::size_t rank = 0; rank < weights.size(); ++rank) {
        weights[rank] =
            std::pow(static_cast<double>(rank + 1), -options.exponent);
    }
    return weights;
}

} // namespace

key_generator::key_generator(
    const key_options& options, std::uint64_t seed, time_point start)
    : options_(options), seed_(seed), start_(start), random_(seed)
{
    const std::vector<double> weights = zipf_weights(options);
    zipf_ranks_ = std::discrete_distribution<std::uint64_t>(
        weights.begin(), weights.end());
}

std::uint64_t key_generator::next(time_point now)
{
    if (options_.distribution == key_distribution::zipf)
        return zipf_ranks_(random_);
    if (options_.distribution == key_distribution::hot &&
        std::bernoulli_distribution(options_.hot_share)(random_)) {
        choose_hot_keys(now);
        return hot_keys_[random_() % hot_keys_.size()];
    }
    return std::uniform_int_distribution<std::uint64_t>(0, options_.count - 1)(
        random_);
}

bool key_generator::is_hot(std::uint64_t key, time_point now)
{
    if (options_.distribution == key_distribution::zipf)
        return key < hot_key_count;
    if (options_.distribution != key_distribution::hot)
        return false;
    choose_hot_keys(now);
    return std::find(hot_keys_.begin(), hot_keys_.end(), key) !=
           hot_keys_.end();
}

void key_generator::choose_hot_keys(time_point now)
{
    const auto period = static_cast<std::uint64_t>(
        std::max(duration(0), now - start_) / options_.hot_period);
    if (!hot_keys_.empty() && period == period_)
        return;
    period_ = period;
    hot_keys_.clear();
    std::seed_seq seeds{seed_, seed_ >> 32, period};
    std::mt19937_64 generator(seeds);
    for (std::uint64_t index = 0; index < hot_key_count; ++index)
        hot_keys_.push_back(generator() % options_.count);
}

load_mix::load_mix(const json& document, std::uint64_t seed, time_point start)
    : random_(seed)
{
    json_reader reader(document);
    std::vector<double> shares;
    for (json_reader& item : reader.objects("services")) {
        services_.push_back(service_load_from_json(item));
        shares.push_back(services_.back().share);
        keys_.emplace_back(
            services_.back().keys, seed + services_.size(), start);
    }
    reader.finish();
    if (services_.empty())
        reader.fail("services", "empty, expected at least one service");
    shares_ =
        std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

planned_request load_mix::next(time_point now)
{
    planned_request result;
    result.service = shares_(random_);
    if (services_[result.service].keys.distribution == key_distribution::none)
        return result;
    key_generator& keys = keys_[result.service];
    result.key = keys.next(now);
    result.hot = keys.is_hot(*result.key, now);
    return result;
}

arrival_schedule::arrival_schedule(
    double per_second, std::uint64_t seed, time_point start)
    : random_(seed), interval_(per_second), next_(start)
{
    advance();
}

std::optional<time_point> arrival_schedule::take_due(time_point now)
{
    if (next_ > now)
        return std::nullopt;
    const time_point due = next_;
    advance();
    return due;
}

void arrival_schedule::advance()
{
    next_ += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(interval_(random_)));
}

} // namespace filberthub::tools
