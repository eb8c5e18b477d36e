#include "tools/experiment/series.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <numeric>
#include <utility>

namespace filberthub::experiment {

line_fit fit_line(
    const std::vector<double>& sizes, const std::vector<double>& values)
{
    line_fit fit;
    std::vector<double> weights;
    weights.reserve(values.size());
    for (const double value : values)
        weights.push_back(value == 0 ? 1 : 1 / (value * value));
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    const auto mean = [&](const std::vector<double>& numbers) {
        return std::inner_product(
                   numbers.begin(), numbers.end(), weights.begin(), 0.0) /
               total;
    };
    const double mean_size = mean(sizes);
    const double mean_value = mean(values);
    double product = 0;
    double square = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const double distance = sizes[index] - mean_size;
        product += weights[index] * distance * (values[index] - mean_value);
        square += weights[index] * distance * distance;
    }
    if (square > 0) {
        fit.slope = product / square;
        fit.offset = mean_value - fit.slope * mean_size;
    } else if (mean_size > 0) {
        fit.slope = mean_value / mean_size;
    }
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const double expected = fit.offset + fit.slope * sizes[index];
        if (values[index] != 0)
            fit.residual = std::max(fit.residual,
                std::abs(expected - values[index]) / std::abs(values[index]));
    }
    return fit;
}

series::series(std::string name, std::string unit, std::string per)
    : line_({{"slope_of", std::move(name)}, {"unit", std::move(unit)},
          {"per", std::move(per)}})
{}

void series::add(double size, double value)
{
    sizes_.push_back(size);
    values_.push_back(value);
}

series& series::note(const std::string& field, json value)
{
    line_[field] = std::move(value);
    return *this;
}

void series::print(std::ostream& stream) const
{
    const line_fit fit = fit_line(sizes_, values_);
    json line = line_;
    line["sizes"] = sizes_;
    line["values"] = values_;
    line["slope"] = fit.slope;
    line["offset"] = fit.offset;
    line["residual"] = fit.residual;
    stream << line << std::endl;
}

double thread_cpu_nanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 +
           static_cast<double>(time.tv_nsec);
}

} // namespace filberthub::experiment
