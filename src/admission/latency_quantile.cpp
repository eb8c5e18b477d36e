#include <filberthub/admission/latency_quantile.hpp>

namespace filberthub {

namespace accumulators = boost::accumulators;

latency_quantile::latency_quantile(double probability)
    : probability_(probability), current_(make_accumulator())
{}

latency_quantile::accumulator latency_quantile::make_accumulator() const
{
    return accumulator(accumulators::quantile_probability = probability_);
}

void latency_quantile::add(duration latency)
{
    current_(static_cast<double>(latency.count()));
    if (++count_ < window_size)
        return;
    last_window_value_ = duration(
        static_cast<std::int64_t>(accumulators::p_square_quantile(current_)));
    current_ = make_accumulator();
    count_ = 0;
}

std::optional<duration> latency_quantile::value() const
{
    if (last_window_value_ || count_ < min_samples)
        return last_window_value_;
    return duration(
        static_cast<std::int64_t>(accumulators::p_square_quantile(current_)));
}

} // namespace filberthub
