// Spans of requests, exported as lines of OTLP/JSON.
//
//     span_recorder recorder({.service = "filberthub", .instance =
//     "se-mitt-1"},
//         {.sample_permille = 10}, seed);
//     span hop = recorder.start(header, "forward", span_kind::server, now);
//     hop.set("filberthub.service", "kartlas");
//     recorder.finish(std::move(hop), later);
//     for (const std::string& line : recorder.take_lines())
//         write(line);

#ifndef FILBERTHUB_TELEMETRY_SPAN_HPP
#define FILBERTHUB_TELEMETRY_SPAN_HPP

#include <filberthub/telemetry/trace_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filberthub {

// Time of the system clock, as OTLP expects it. It is never used to decide
// anything.
using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

// The numbers are those of OTLP.
enum class span_kind : std::uint8_t
{
    internal = 1,
    server = 2,
    client = 3,
};

using span_value = std::variant<bool, std::int64_t, std::string>;

// One hop of a request. A span that is not sampled holds only its context, and
// its functions do nothing.
class span
{
public:
    // The context to send along with the request.
    const trace_context& context() const
    {
        return context_;
    }
    bool is_recorded() const
    {
        return data_ != nullptr;
    }

    void set(std::string_view key, std::string_view value);
    void set(std::string_view key, const char* value);
    void set(std::string_view key, std::int64_t value);
    void set(std::string_view key, bool value);

    // Marks the span as failed.
    void set_error(std::string_view message);

private:
    friend class span_recorder;

    struct attribute
    {
        std::string key;
        span_value value;
    };
    struct data
    {
        std::string name;
        span_kind kind = span_kind::internal;
        span_id parent{};
        wall_time begin;
        wall_time end;
        std::vector<attribute> attributes;
        std::string error;
        bool has_error = false;
    };

    trace_context context_;
    std::unique_ptr<data> data_;
};

// Who the spans come from.
struct span_resource
{
    std::string service;
    std::string instance;
};

struct span_limits
{
    // New traces that are recorded, in thousandths. Of a trace that a caller
    // began, the caller's flag counts.
    std::uint32_t sample_permille = 10;
    // Spans in one line of the output.
    std::size_t batch_size = 64;
    // Spans above this rate are not recorded, because every caller can ask for
    // its requests to be traced.
    std::uint32_t maximum_per_second = 1000;
};

// Starts and exports the spans of one instance. Not thread-safe.
class span_recorder
{
public:
    span_recorder(
        span_resource resource, span_limits limits, std::uint64_t seed);

    // Starts the span of a request with the `traceparent` header of its sender.
    // An empty or malformed header starts a new trace.
    span start(std::string_view traceparent, std::string_view name,
        span_kind kind, wall_time now);

    // Starts a span within the span of `parent`.
    span start(const trace_context& parent, std::string_view name,
        span_kind kind, wall_time now);

    // Ends the span and adds it to the present batch.
    void finish(span ended, wall_time now);

    // Returns the lines of full batches, each one an OTLP/JSON
    // `ExportTraceServiceRequest`. To be called regularly: at most 64 lines are
    // kept, and spans beyond them are dropped.
    std::vector<std::string> take_lines();

    // Closes the present batch even if it is not full. To be called by a timer
    // and before the process ends.
    void flush();

    // Spans that were left out because of the rate or of lines not taken.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    span begin(trace_context context, const span_id& parent,
        std::string_view name, span_kind kind, wall_time now);
    bool is_within_rate(wall_time now);

    span_resource resource_;
    span_limits limits_;
    trace_id_source ids_;
    std::vector<span> batch_;
    std::vector<std::string> lines_;
    std::uint64_t dropped_ = 0;
    std::int64_t present_second_ = 0;
    std::uint32_t begun_in_second_ = 0;
};

} // namespace filberthub

#endif
