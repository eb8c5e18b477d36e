// Counters, gauges and histograms, and their text format for a metrics
// endpoint.
//
//     metric_registry metrics;
//     counter& requests = metrics.add_counter("filberthub_requests_total",
//         "Requests by service.", {{"service", "kartlas"}});
//     requests.add();
//     send(metrics.text());

#ifndef FILBERTHUB_TELEMETRY_METRIC_REGISTRY_HPP
#define FILBERTHUB_TELEMETRY_METRIC_REGISTRY_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace filberthub {

// A number that only increases.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_ += amount;
    }
    std::uint64_t value() const
    {
        return value_;
    }

private:
    std::uint64_t value_ = 0;
};

// A number that can increase and decrease.
class gauge
{
public:
    void set(double value)
    {
        value_ = value;
    }
    void add(double amount)
    {
        value_ += amount;
    }
    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

// Count, sum and the quantiles 0.5, 0.95, 0.99 and 0.999 of samples. The
// quantiles are estimated in constant memory with the P-square algorithm.
class histogram
{
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void add(double sample);

    std::uint64_t count() const
    {
        return count_;
    }
    double sum() const
    {
        return sum_;
    }

    // Returns the estimate of one of the four quantiles over the last complete
    // window, or over the current one before the first call of `rotate`.
    // Returns NaN for any other quantile, or if the window has fewer than 11
    // samples, which is the number of markers that the estimate needs.
    double quantile(double probability) const;

    // Starts a new window. Call periodically, for example every 30 s, so that
    // the quantiles describe recent samples and not the whole lifetime.
    void rotate();

private:
    struct window;

    std::uint64_t count_ = 0;
    double sum_ = 0;
    std::unique_ptr<window> current_;
    std::unique_ptr<window> complete_;
};

using metric_labels = std::map<std::string, std::string>;

// Owns the metrics of one instance. Not thread-safe. The references that it
// returns are valid during its lifetime.
class metric_registry
{
public:
    // Maximum number of series. To exceed it is an error, because the values of
    // a label must come from a bounded set and never from a request.
    static constexpr std::size_t maximum_series = 20'000;

    // Each function returns the series with this name and these labels, and
    // creates it if it does not exist. Call once per series, outside of the
    // request path. Throws `error` of kind `internal` if a name is malformed,
    // if the name belongs to a metric of another type, or if there are too many
    // series.
    counter& add_counter(const std::string& name, const std::string& help,
        const metric_labels& labels = {});
    gauge& add_gauge(const std::string& name, const std::string& help,
        const metric_labels& labels = {});
    histogram& add_histogram(const std::string& name, const std::string& help,
        const metric_labels& labels = {});

    // Starts a new window in every histogram. Call periodically.
    void rotate();

    // Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    // The alternatives are in the order of `type_names`, which holds the type
    // names of the text format.
    using series = std::variant<std::unique_ptr<counter>,
        std::unique_ptr<gauge>, std::unique_ptr<histogram>>;
    struct family
    {
        std::string help;
        std::size_t type = 0;
        std::map<metric_labels, series> members;
    };

    template <class Metric>
    Metric& add(const std::string& name, const std::string& help,
        const metric_labels& labels);

    std::map<std::string, family> families_;
    std::size_t series_count_ = 0;
};

} // namespace filberthub

#endif
