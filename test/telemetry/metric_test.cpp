#include <filberthub/base/error.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace filberthub {
namespace {

// A scrape fails as a whole if a line break or a quote is not escaped.
TEST(MetricRegistry, WritesTheTextFormat)
{
    metric_registry metrics;
    metrics.add_counter("requests_total", "All\nrequests.", {{"s", "a\"b\\\n"}})
        .add(3);
    metrics.add_gauge("open", "Open.").set(2.5);
    metrics.add_histogram("wait_ms", "Wait.").add(4);
    EXPECT_EQ(metrics.text(), "# HELP open Open.\n"
                              "# TYPE open gauge\n"
                              "open 2.5\n"
                              "# HELP requests_total All\\nrequests.\n"
                              "# TYPE requests_total counter\n"
                              "requests_total{s=\"a\\\"b\\\\\\n\"} 3\n"
                              "# HELP wait_ms Wait.\n"
                              "# TYPE wait_ms summary\n"
                              "wait_ms{quantile=\"0.5\"} NaN\n"
                              "wait_ms{quantile=\"0.95\"} NaN\n"
                              "wait_ms{quantile=\"0.99\"} NaN\n"
                              "wait_ms{quantile=\"0.999\"} NaN\n"
                              "wait_ms_sum 4\n"
                              "wait_ms_count 1\n");
}

// Two components that count the same thing must not write duplicate series.
TEST(MetricRegistry, ReturnsTheSameSeriesForTheSameLabels)
{
    metric_registry metrics;
    metrics.add_counter("a", "A.", {{"x", "1"}}).add();
    metrics.add_counter("a", "A.", {{"x", "1"}}).add();
    EXPECT_EQ(metrics.add_counter("a", "A.", {{"x", "1"}}).value(), 2U);
    EXPECT_EQ(metrics.add_counter("a", "A.", {{"x", "2"}}).value(), 0U);
}

// Such a metric would make the whole text unreadable for the scraper.
TEST(MetricRegistry, RefusesInvalidNamesAndOtherTypes)
{
    metric_registry metrics;
    metrics.add_counter("a", "A.");
    EXPECT_THROW(metrics.add_gauge("a", "A."), error);
    EXPECT_THROW(metrics.add_gauge("1a", "A."), error);
    EXPECT_THROW(metrics.add_gauge("b", "B.", {{"x y", ""}}), error);
    EXPECT_THROW(metrics.add_histogram("b", "B.", {{"quantile", ""}}), error);
    EXPECT_EQ(metrics.text(), "# HELP a A.\n# TYPE a counter\na 0\n");
}

// Response times have a long tail, in which an estimate can be far off.
TEST(Histogram, EstimatesQuantilesOfALongTail)
{
    histogram samples;
    std::vector<double> exact;
    std::mt19937_64 random(11);
    std::lognormal_distribution<double> times(1.0, 0.8);
    for (int i = 0; i < 100'000; ++i) {
        exact.push_back(times(random));
        samples.add(exact.back());
    }
    std::sort(exact.begin(), exact.end());
    for (const double probability : {0.5, 0.95, 0.99, 0.999}) {
        const double expected = exact[static_cast<std::size_t>(
            probability * static_cast<double>(exact.size()))];
        EXPECT_NEAR(samples.quantile(probability) / expected, 1.0, 0.05)
            << probability;
    }
}

// Old samples must not hide a recent change of the quantiles.
TEST(Histogram, ReportsTheLastCompleteWindow)
{
    histogram samples;
    for (int i = 0; i < 100; ++i)
        samples.add(1);
    samples.rotate();
    for (int i = 0; i < 100; ++i)
        samples.add(9);
    EXPECT_EQ(samples.quantile(0.5), 1);
    samples.rotate();
    EXPECT_EQ(samples.quantile(0.5), 9);
    EXPECT_EQ(samples.count(), 200U);
    EXPECT_TRUE(std::isnan(samples.quantile(0.7)));
}

} // namespace
} // namespace filberthub
