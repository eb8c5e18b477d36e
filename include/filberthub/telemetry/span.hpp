// Trace spans of requests, exported as lines of OTLP/JSON.
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

// Time of the system clock, as OTLP requires it. No routing decision uses it.
using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

// The kind of a span. The numbers are those of OTLP.
enum class span_kind : std::uint8_t
{
    internal = 1,
    server = 2,
    client = 3,
};

using span_value = std::variant<bool, std::int64_t, std::string>;

// One hop of a request. A span that is not recorded holds only its context, and
// the functions that change it have no effect.
class span
{
public:
    // Returns the context to send with the request to the next hop.
    const trace_context& context() const
    {
        return context_;
    }
    bool is_recorded() const
    {
        return data_ != nullptr;
    }

    // Adds an attribute.
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

// The process that the spans come from.
struct span_resource
{
    std::string service;
    std::string instance;
};

struct span_limits
{
    // Share of new traces that are recorded, in thousandths. In a trace that a
    // caller started, the sampled flag of the caller decides.
    std::uint32_t sample_permille = 10;
    // Number of spans in one line of the output.
    std::size_t batch_size = 64;
    // Spans above this rate are not recorded. The rate is limited because every
    // caller can set the sampled flag on its requests.
    std::uint32_t maximum_per_second = 1000;
};

// Starts and exports the spans of one instance. Not thread-safe.
class span_recorder
{
public:
    span_recorder(
        span_resource resource, span_limits limits, std::uint64_t seed);

    // Starts the span of a received request. `traceparent` is the header that
    // its sender set; an empty or malformed one starts a new trace.
    span start(std::string_view traceparent, std::string_view name,
        span_kind kind, wall_time now);

    // Starts a child span of the span of `parent`.
    span start(const trace_context& parent, std::string_view name,
        span_kind kind, wall_time now);

    // Ends the span and adds it to the current batch.
    void finish(span ended, wall_time now);

    // Returns and removes the lines of complete batches, each one an OTLP/JSON
    // `ExportTraceServiceRequest`. Call periodically: at most 64 lines are
    // kept, and further spans are dropped.
    std::vector<std::string> take_lines();

    // Completes the current batch even if it is not full. Call periodically and
    // before the process exits.
    void flush();

    // Returns the number of spans that were dropped because of the rate limit
    // or because `take_lines` was not called.
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
    std::int64_t current_second_ = 0;
    std::uint32_t started_in_second_ = 0;
};

} // namespace filberthub

#endif
