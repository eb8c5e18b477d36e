// Counters, gauges and histograms, and their text form for a metrics page.
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

// A number that only grows.
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

// A number that goes up and down.
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
// quantiles are estimates in constant memory (P-square algorithm).
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
    // window, or over the present one before the first call of `rotate`. NaN if
    // the window has fewer than 11 samples, the number of markers that the
    // estimate needs, or if it is another quantile.
    double quantile(double probability) const;

    // Begins a new window. To be called by a timer, for example every 30 s, so
    // that the quantiles describe the present and not the whole lifetime.
    void rotate();

private:
    struct window;

    std::uint64_t count_ = 0;
    double sum_ = 0;
    std::unique_ptr<window> present_;
    std::unique_ptr<window> complete_;
};

using metric_labels = std::map<std::string, std::string>;

// Owns the metrics of one instance. Not thread-safe. The references that it
// gives out are valid during its lifetime.
class metric_registry
{
public:
    // More series than this are an error, because the values of a label must
    // come from a bounded set and never from a request.
    static constexpr std::size_t maximum_series = 20'000;

    // Each returns the series with this name and these labels and makes it if
    // there is none. To be called once, outside of the request path. Throws
    // `error` of kind `internal` if the name is malformed or belongs to a
    // metric of another type, or if there are too many series.
    counter& add_counter(const std::string& name, const std::string& help,
        const metric_labels& labels = {});
    gauge& add_gauge(const std::string& name, const std::string& help,
        const metric_labels& labels = {});
    histogram& add_histogram(const std::string& name, const std::string& help,
        const metric_labels& labels = {});

    // Begins a new window of every histogram.
    void rotate();

    // Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    // The order is that of the names in the text format.
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
