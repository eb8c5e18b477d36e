#include <filberthub/base/error.hpp>
#include <filberthub/telemetry/log.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <thread>

#include <sstream>

namespace filberthub {
namespace {

using nlohmann::json;

class Log : public ::testing::Test
{
protected:
    void start(log_level minimum, std::string_view instance)
    {
        start_logging(std::make_shared<spdlog::sinks::ostream_sink_mt>(text_),
            minimum, instance);
    }
    void TearDown() override
    {
        start_logging(make_log_sink("off"), log_level::error, "");
    }

    std::ostringstream text_;
};

// Operators' queries need each value under its name and with its JSON type.
TEST_F(Log, WritesOneJsonLineWithAllFields)
{
    start(log_level::info, "se-mitt-1");
    log_event(log_level::warn, "lease expired",
        {{log_key::server, "kartlas-3"}, {log_key::revision, 7U},
            {log_key::duration_ms, -1.5}, {"ok", true}});
    const json line = json::parse(text_.str());
    EXPECT_EQ(line["instance"], "se-mitt-1");
    EXPECT_EQ(line["level"], "warn");
    EXPECT_EQ(line["message"], "lease expired");
    EXPECT_EQ(line["server"], "kartlas-3");
    EXPECT_EQ(line["revision"], 7);
    EXPECT_EQ(line["duration_ms"], -1.5);
    EXPECT_EQ(line["ok"], true);
    EXPECT_EQ(line["time"].get<std::string>().size(), 24U);
}

// Bytes of a request must not be able to forge a log line or to make one
// invalid.
TEST_F(Log, EscapesBytesThatARequestCanContain)
{
    start(log_level::info, "%v\"");
    log_event(log_level::info, "\"},\n{%v {} \xff",
        {{"a\"b", "\n"}, {"level", "forged"}});
    const std::string text = text_.str();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    const json line = json::parse(text);
    EXPECT_EQ(line["instance"], "%v\"");
    EXPECT_EQ(line["message"], "\"},\n{%v {} \xef\xbf\xbd");
    EXPECT_EQ(line["a\"b"], "\n");
    EXPECT_EQ(line["level"], "info");
    EXPECT_EQ(line["field_level"], "forged");
}

// A misspelled level or an unusable file must be an error and not the loss of
// all lines.
TEST_F(Log, OmitsLinesBelowTheMinimumAndRefusesBadSettings)
{
    start(log_level_from_string("warn"), "se-mitt-1");
    log_event(log_level::info, "started");
    EXPECT_EQ(text_.str(), "");
    EXPECT_THROW(log_level_from_string("loud"), error);
    EXPECT_THROW(make_log_sink("/proc/no/such/file"), error);
}

// The log must not grow with the load, and dropped lines must be reported.
TEST_F(Log, LimitsTheLinesPerSecondAndReportsDroppedOnes)
{
    start(log_level::info, "i");
    limit_log_rate(3);
    for (int line = 0; line < 10; ++line)
        log_event(log_level::info, "request served");
    log_event(log_level::warn, "lease lapsed");
    const std::string text = text_.str();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 4);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'010));
    log_event(log_level::info, "request served");
    EXPECT_NE(text_.str().find("\"lines\":7"), std::string::npos);
    limit_log_rate(0);
}

} // namespace
} // namespace filberthub
