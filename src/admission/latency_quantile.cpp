#include <filberthub/admission/latency_quantile.hpp>

namespace filberthub {

namespace accumulators = boost::accumulators;

latency_quantile::latency_quantile(double probability)
    : probability_(probability), current_(fresh())
{}

latency_quantile::accumulator latency_quantile::fresh() const
{
    return accumulator(accumulators::quantile_probability = probability_);
}

void latency_quantile::add(duration latency)
{
    current_(static_cast<double>(latency.count()));
    if (++count_ < window)
        return;
    last_ = duration(
        static_cast<std::int64_t>(accumulators::p_square_quantile(current_)));
    current_ = fresh();
    count_ = 0;
}

std::optional<duration> latency_quantile::value() const
{
    if (last_ || count_ < least)
        return last_;
    return duration(
        static_cast<std::int64_t>(accumulators::p_square_quantile(current_)));
}

} // namespace filberthub
