// Reads and writes the `traceparent` header of W3C Trace Context.
//
//     trace_id_source ids(seed);
//     auto parent = trace_context::parse(header);
//     trace_context context = parent ? parent->child(ids)
//                                    : trace_context::start(ids, sampled);
//     forward("traceparent", context.to_traceparent());

#ifndef FILBERTHUB_TELEMETRY_TRACE_CONTEXT_HPP
#define FILBERTHUB_TELEMETRY_TRACE_CONTEXT_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace filberthub {

using trace_id = std::array<std::uint8_t, 16>;
using span_id = std::array<std::uint8_t, 8>;

// Returns the id in lower-case hexadecimal digits.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

// Generates random ids. Each instance needs a different seed, because equal
// seeds give equal ids.
class trace_id_source
{
public:
    explicit trace_id_source(std::uint64_t seed) : random_(seed) {}

    // The ids are never all zero, because zero means "no id".
    trace_id next_trace();
    span_id next_span();

    // Returns true with a probability of `permille` / 1000.
    bool sample(std::uint32_t permille);

private:
    std::mt19937_64 random_;
};

// The trace and the span to which a message belongs.
struct trace_context
{
    trace_id trace{};
    // The span of the sender.
    span_id span{};
    // Whether the spans of this trace are recorded.
    bool sampled = false;

    // Parses a header. Returns nothing if it is malformed; the receiver then
    // starts a new trace. In later versions of the format, only the fields of
    // version 00 are read.
    static std::optional<trace_context> parse(std::string_view text);

    // Returns the context of the first span in a new trace.
    static trace_context start(trace_id_source& ids, bool sampled);

    // Returns the context of a new span in the same trace.
    trace_context child(trace_id_source& ids) const;

    // Returns the value of the header in version 00.
    std::string to_traceparent() const;

    bool operator==(const trace_context&) const = default;
};

} // namespace filberthub

#endif
