#include <filberthub/base/json_reader.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>

namespace filberthub {
namespace {

using ::testing::HasSubstr;

std::string message_of(const std::function<void()>& action)
{
    try {
        action();
    } catch (const error& failure) {
        return failure.what();
    }
    return "no error";
}

// Without the path and the bound, an operator cannot find the wrong setting.
TEST(JsonReader, ReportsPathAndBoundOfANumberBelowTheMinimum)
{
    const json document = {{"limits", {{"slots", 0}}}};
    json_reader reader(document);
    EXPECT_EQ(
        message_of([&] { reader.object("limits").integer("slots", 1, 9); }),
        "field \"/limits/slots\": 0 is below the minimum 1");
}

// A misspelled field would otherwise silently keep its default value.
TEST(JsonReader, FinishRefusesUnknownFields)
{
    const json document = {{"slot", 2}};
    json_reader reader(document);
    reader.integer_or("slots", 1, 9, 1);
    EXPECT_THAT(message_of([&] { reader.finish(); }), HasSubstr("/slot"));
}

// The conversion to a signed integer would turn such a number negative.
TEST(JsonReader, RefusesNumbersAboveTheSignedRange)
{
    const json document = {{"slots", UINT64_MAX}};
    json_reader reader(document);
    EXPECT_THAT(message_of([&] { reader.integer("slots", 1, INT64_MAX); }),
        HasSubstr("above the maximum"));
}

} // namespace
} // namespace filberthub
