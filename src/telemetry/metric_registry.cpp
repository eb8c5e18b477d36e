#include <filberthub/base/error.hpp>
#include <filberthub/telemetry/metric_registry.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace filberthub {
namespace {

namespace ba = boost::accumulators;

constexpr std::array<double, 4> probabilities = {0.5, 0.95, 0.99, 0.999};
constexpr std::size_t marker_count = 2 * probabilities.size() + 3;
constexpr std::array<std::string_view, 3> type_names = {
    "counter", "gauge", "summary"};

bool is_name(std::string_view name)
{
    const auto is_letter_or_underscore = [](char character) {
        return (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') || character == '_';
    };
    return !name.empty() && is_letter_or_underscore(name.front()) &&
           std::all_of(name.begin(), name.end(), [&](char character) {
               return is_letter_or_underscore(character) ||
                      (character >= '0' && character <= '9');
           });
}

std::string number_text(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> digits = {};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return {digits.data(), end.ptr};
}

// An unescaped line break or quote would end the line or the label early.
std::string escaped(std::string_view text, bool is_label)
{
    std::string result;
    for (const char character : text) {
        if (character == '\n')
            result += "\\n";
        else if (character == '\\' || (character == '"' && is_label))
            (result += '\\') += character;
        else
            result += character;
    }
    return result;
}

std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? '{' : ',';
        ((text += name) += "=\"") += escaped(value, true) + '"';
    }
    return text.empty() ? text : text + '}';
}

void append_line(std::string& text, const std::string& name,
    const metric_labels& labels, const std::string& value)
{
    text += name + label_text(labels) + ' ' + value + '\n';
}

void append_metric(std::string& text, const std::string& name,
    const metric_labels& labels, const counter& metric)
{
    append_line(text, name, labels, std::to_string(metric.value()));
}

void append_metric(std::string& text, const std::string& name,
    const metric_labels& labels, const gauge& metric)
{
    append_line(text, name, labels, number_text(metric.value()));
}

void append_metric(std::string& text, const std::string& name,
    const metric_labels& labels, const histogram& metric)
{
    metric_labels with_quantile = labels;
    for (const double probability : probabilities) {
        with_quantile["quantile"] = number_text(probability);
        append_line(text, name, with_quantile,
            number_text(metric.quantile(probability)));
    }
    append_line(text, name + "_sum", labels, number_text(metric.sum()));
    append_line(text, name + "_count", labels, std::to_string(metric.count()));
}

} // namespace

struct histogram::window
{
    using accumulator = ba::accumulator_set<double,
        ba::stats<ba::tag::count, ba::tag::extended_p_square>>;

    accumulator samples{
        ba::tag::extended_p_square::probabilities = probabilities};
};

histogram::histogram() : current_(std::make_unique<window>()) {}

histogram::~histogram() = default;

void histogram::add(double sample)
{
    ++count_;
    sum_ += sample;
    current_->samples(sample);
}

double histogram::quantile(double probability) const
{
    const window& reported = complete_ != nullptr ? *complete_ : *current_;
    const auto position =
        std::find(probabilities.begin(), probabilities.end(), probability);
    if (position == probabilities.end() ||
        ba::count(reported.samples) < marker_count)
        return std::numeric_limits<double>::quiet_NaN();
    return ba::extended_p_square(
        reported.samples)[position - probabilities.begin()];
}

void histogram::rotate()
{
    complete_ = std::exchange(current_, std::make_unique<window>());
}

template <class Metric>
Metric& metric_registry::add(const std::string& name, const std::string& help,
    const metric_labels& labels)
{
    const std::size_t type =
        series(std::in_place_type<std::unique_ptr<Metric>>).index();
    bool is_valid = is_name(name) && !labels.contains("quantile");
    for (const auto& [label, value] : labels)
        is_valid = is_valid && is_name(label);
    if (!is_valid) {
        throw error(error_kind::internal,
            "metric \"" + name + label_text(labels) +
                "\" has a name or label that the text format does not allow");
    }
    const auto existing = families_.find(name);
    if (existing != families_.end()) {
        if (existing->second.type != type) {
            throw error(error_kind::internal,
                "metric \"" + name + "\" is a " +
                    std::string(type_names.at(existing->second.type)) +
                    ", not a " + std::string(type_names.at(type)));
        }
        const auto found = existing->second.members.find(labels);
        if (found != existing->second.members.end())
            return *std::get<std::unique_ptr<Metric>>(found->second);
    }
    if (series_count_ >= maximum_series) {
        throw error(error_kind::internal,
            "metric \"" + name + label_text(labels) +
                "\" is above the maximum of " + std::to_string(maximum_series) +
                " series");
    }
    ++series_count_;
    family& group =
        families_.try_emplace(name, family{help, type, {}}).first->second;
    auto metric = std::make_unique<Metric>();
    Metric& result = *metric;
    group.members.emplace(labels, std::move(metric));
    return result;
}

counter& metric_registry::add_counter(const std::string& name,
    const std::string& help, const metric_labels& labels)
{
    return add<counter>(name, help, labels);
}

gauge& metric_registry::add_gauge(const std::string& name,
    const std::string& help, const metric_labels& labels)
{
    return add<gauge>(name, help, labels);
}

histogram& metric_registry::add_histogram(const std::string& name,
    const std::string& help, const metric_labels& labels)
{
    return add<histogram>(name, help, labels);
}

void metric_registry::rotate()
{
    for (auto& [name, group] : families_) {
        for (auto& [labels, member] : group.members) {
            if (auto* found = std::get_if<std::unique_ptr<histogram>>(&member))
                (*found)->rotate();
        }
    }
}

std::string metric_registry::text() const
{
    std::string text;
    for (const auto& item : families_) {
        const std::string& name = item.first;
        const family& group = item.second;
        text += "# HELP " + name + ' ' + escaped(group.help, false) + '\n';
        text += "# TYPE " + name + ' ' +
                std::string(type_names.at(group.type)) + '\n';
        for (const auto& member : group.members) {
            std::visit(
                [&](const auto& metric) {
                    append_metric(text, name, member.first, *metric);
                },
                member.second);
        }
    }
    return text;
}

} // namespace filberthub
