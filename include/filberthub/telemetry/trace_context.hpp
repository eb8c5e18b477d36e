// The W3C `traceparent` header.
//
//     trace_id_source ids(seed);
//     auto parent = trace_context::parse(header);
//     trace_context own = parent ? parent->child(ids)
//                                : trace_context::start(ids, sampled);
//     forward("traceparent", own.to_traceparent());

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

// Returns lower-case hexadecimal digits.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

// Makes random ids. The seed has to differ between the instances, so that their
// ids differ.
class trace_id_source
{
public:
    explicit trace_id_source(std::uint64_t seed) : random_(seed) {}

    // Neither id is ever all zero, which means "no id".
    trace_id next_trace();
    span_id next_span();

    // Returns true in `permille` of 1000 calls on average.
    bool sample(std::uint32_t permille);

private:
    std::mt19937_64 random_;
};

// The trace and span that a message belongs to.
struct trace_context
{
    trace_id trace{};
    // The span of the sender.
    span_id span{};
    // Whether the spans of this trace are recorded.
    bool sampled = false;

    // Returns nothing if the text is malformed; the receiver then starts a new
    // trace. Later versions of the format are read as far as version 00 goes.
    static std::optional<trace_context> parse(std::string_view text);

    static trace_context start(trace_id_source& ids, bool sampled);

    // Returns the context of a new span in the same trace.
    trace_context child(trace_id_source& ids) const;

    std::string to_traceparent() const;

    bool operator==(const trace_context&) const = default;
};

} // namespace filberthub

#endif
