#include <filberthub/telemetry/span.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace filberthub {
namespace {

using nlohmann::json;

const std::string valid =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

// A lost trace id or flag would split a trace between two instances.
TEST(TraceContext, KeepsTraceAndFlagOfAValidHeader)
{
    const auto parent = trace_context::parse(valid);
    ASSERT_TRUE(parent);
    EXPECT_EQ(to_hex(parent->trace), "4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_TRUE(parent->sampled);
    EXPECT_EQ(parent->to_traceparent(), valid);
    trace_id_source ids(1);
    EXPECT_EQ(parent->child(ids).trace, parent->trace);
    EXPECT_NE(parent->child(ids).span, parent->span);
}

// Ids from malformed headers would join the traces of unrelated requests.
TEST(TraceContext, RefusesMalformedHeaders)
{
    const auto with = [](std::size_t at, const std::string& text) {
        return std::string(valid).replace(at, text.size(), text);
    };
    for (const std::string& header : {std::string(), valid.substr(1),
             valid + "-00", valid + " ", with(0, "ff"), with(0, "0x"),
             with(2, "_"), with(3, std::string(32, '0')), with(3, "G"),
             with(3, "A"), with(36, std::string(16, '0')), with(53, "0g")})
        EXPECT_FALSE(trace_context::parse(header)) << header;
    EXPECT_TRUE(trace_context::parse(with(0, "01") + "-more"));
    EXPECT_FALSE(trace_context::parse(with(0, "01") + "more"));
}

// Headers from the network can have any length and content. The parser must not
// read beyond the end or accept ids that it does not write back.
RC_GTEST_PROP(TraceContext, WritesBackTheIdsOfAcceptedHeaders, ())
{
    std::string header = valid;
    const auto edits = *rc::gen::inRange(0, 3);
    for (int i = 0; i < edits; ++i) {
        header[*rc::gen::inRange<std::size_t>(0, header.size())] =
            *rc::gen::arbitrary<char>();
    }
    header.resize(*rc::gen::inRange<std::size_t>(0, 60), '-');
    const auto parsed = trace_context::parse(header);
    if (parsed)
        RC_ASSERT(
            parsed->to_traceparent().substr(3, 49) == header.substr(3, 49));
}

constexpr wall_time start_time{std::chrono::seconds(1'800'000'000)};

// A collector rejects or misplaces spans with other names, types or parents.
TEST(Span, IsWrittenAsOtlpJsonWithTheParentOfTheHeader)
{
    span_recorder recorder({"filberthub", "se-mitt-1"}, {0, 1, 10}, 7);
    span hop = recorder.start(valid, "forward", span_kind::server, start_time);
    hop.set("service", "kartlas");
    hop.set("group", std::int64_t{12});
    hop.set("key", "\xff\"\n");
    hop.set_error("overloaded");
    const std::string expected_span = to_hex(hop.context().span);
    recorder.finish(std::move(hop), start_time + std::chrono::nanoseconds(5));

    const auto lines = recorder.take_lines();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].find('\n'), std::string::npos);
    const json resource = json::parse(lines[0])["resourceSpans"][0];
    EXPECT_EQ(resource["resource"]["attributes"][1]["value"]["stringValue"],
        "se-mitt-1");
    const json written = resource["scopeSpans"][0]["spans"][0];
    EXPECT_EQ(written["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_EQ(written["parentSpanId"], "00f067aa0ba902b7");
    EXPECT_EQ(written["spanId"], expected_span);
    EXPECT_EQ(written["kind"], 2);
    EXPECT_EQ(written["startTimeUnixNano"], "1800000000000000000");
    EXPECT_EQ(written["endTimeUnixNano"], "1800000000000000005");
    EXPECT_EQ(written["attributes"][1]["value"]["intValue"], "12");
    EXPECT_EQ(
        written["attributes"][2]["value"]["stringValue"], "\xef\xbf\xbd\"\n");
    EXPECT_EQ(written["status"]["code"], 2);
}

// Requests with malformed headers must still be traced, each in its own trace.
TEST(Span, StartsANewTraceWhenTheHeaderIsMalformed)
{
    span_recorder recorder({"filberthub", "se-mitt-1"}, {1000, 1, 10}, 7);
    const span first =
        recorder.start("00-zz", "entry", span_kind::server, start_time);
    const span second =
        recorder.start("00-zz", "entry", span_kind::server, start_time);
    EXPECT_TRUE(first.is_recorded());
    EXPECT_NE(first.context().trace, second.context().trace);
}

// A wrong rate would flood the collector or leave operators without traces.
TEST(Span, IsSampledAtTheConfiguredRate)
{
    span_recorder recorder({"filberthub", "se-mitt-1"}, {100, 1, 1'000'000}, 7);
    int recorded = 0;
    for (int i = 0; i < 10'000; ++i) {
        recorded += recorder.start("", "entry", span_kind::server, start_time)
                        .is_recorded();
    }
    EXPECT_NEAR(recorded, 1000, 150);
}

// Callers can set the sampled flag on each request. Neither that nor an
// exporter that stops taking lines may make the memory grow without bound.
TEST(Span, IsDroppedAboveTheRateAndWhenLinesAreNotTaken)
{
    span_recorder recorder({"filberthub", "se-mitt-1"}, {0, 1, 100}, 7);
    for (int i = 0; i < 150; ++i) {
        recorder.finish(
            recorder.start(valid, "entry", span_kind::server, start_time),
            start_time);
    }
    EXPECT_EQ(recorder.take_lines().size(), 64U);
    EXPECT_EQ(recorder.dropped(), 150U - 64U);
    const span next = recorder.start(valid, "entry", span_kind::server,
        start_time + std::chrono::seconds(1));
    EXPECT_TRUE(next.is_recorded());
}

// A batch that is not full must not be lost at exit, and an empty one must not
// be written.
TEST(Span, IsExportedInBatches)
{
    span_recorder recorder({"filberthub", "se-mitt-1"}, {0, 3, 100}, 7);
    for (int i = 0; i < 4; ++i) {
        recorder.finish(
            recorder.start(valid, "entry", span_kind::server, start_time),
            start_time);
    }
    EXPECT_EQ(recorder.take_lines().size(), 1U);
    recorder.flush();
    EXPECT_EQ(recorder.take_lines().size(), 1U);
    recorder.flush();
    EXPECT_TRUE(recorder.take_lines().empty());
}

} // namespace
} // namespace filberthub
