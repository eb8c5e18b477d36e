// A streaming estimate of one quantile of the latency.
//
//     latency_quantile p95(0.95);
//     p95.add(latency);
//     if (auto value = p95.value()) ...

#ifndef FILBERTHUB_ADMISSION_LATENCY_QUANTILE_HPP
#define FILBERTHUB_ADMISSION_LATENCY_QUANTILE_HPP

#include <filberthub/base/types.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace filberthub {

// The P-square estimate of Boost.Accumulators weighs all samples equally and
// never discards old ones. A new estimate is therefore started for each window
// of 1024 answers. The value is that of the last complete window, or of the
// first window once it has at least 100 answers.
class latency_quantile
{
public:
    // Number of answers in a window.
    static constexpr std::size_t window_size = 1024;
    // Number of answers from which the first window has a value.
    static constexpr std::size_t min_samples = 100;

    // `probability` is between 0 and 1, such as 0.95 for the p95.
    explicit latency_quantile(double probability);

    void add(duration latency);

    // Returns the estimate, or nothing while there are too few answers.
    std::optional<duration> value() const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<
            boost::accumulators::tag::p_square_quantile>>;

    accumulator make_accumulator() const;

    double probability_;
    accumulator current_;
    std::size_t count_ = 0;
    std::optional<duration> last_window_value_;
};

} // namespace filberthub

#endif
