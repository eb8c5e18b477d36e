// A streaming estimate of one quantile of latency.
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

// The P-square estimate of Boost.Accumulators never forgets, so two of them are
// used in turn: the value is that of the last complete window of 1024 answers,
// or of the first window while it has at least 100.
class latency_quantile
{
public:
    static constexpr std::size_t window = 1024;
    static constexpr std::size_t least = 100;

    // `probability` is between 0 and 1.
    explicit latency_quantile(double probability);

    void add(duration latency);

    // Returns nothing while there are too few answers.
    std::optional<duration> value() const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<
            boost::accumulators::tag::p_square_quantile>>;

    accumulator fresh() const;

    double probability_;
    accumulator current_;
    std::size_t count_ = 0;
    std::optional<duration> last_;
};

} // namespace filberthub

#endif
