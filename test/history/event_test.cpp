#include <filberthub/base/error.hpp>
#include <filberthub/history/event.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace filberthub {
namespace {

using ::testing::HasSubstr;

history_event full_event()
{
    history_event event;
    event.who = "kartlas-3";
    event.what = event_kind::execute;
    event.invoke = time_point(milliseconds(5));
    event.returned = time_point(milliseconds(9));
    event.result = outcome::unknown;
    event.error = error_kind::outcome_unknown;
    event.token = fencing_token(0xFFFFFFFF00000001U);
    event.request = request_id("r-1");
    event.service = service_id("kartlas");
    event.key = "map \"7\"\n";
    event.group = key_group(77);
    event.instance = instance_id("entry-2");
    event.server = backend_server_id("kartlas-3");
    event.domain = failure_domain_id("mitt-a");
    event.document = revision(12);
    event.digest = "ab";
    event.expected_digest = "cd";
    event.idempotent = false;
    event.tolerated = false;
    event.limit = 2;
    return event;
}

std::string message_of(std::string_view text)
{
    try {
        decode_history(text);
    } catch (const error& failure) {
        return failure.what();
    }
    return "no error";
}

// Guards against a field that is written but not read, or the reverse.
TEST(HistoryEvent, ReadsBackEveryField)
{
    EXPECT_EQ(decode_line(encode_line(full_event())), full_event());
    EXPECT_EQ(decode_line(encode_line({})), history_event{});
    EXPECT_THAT(encode_line(full_event()), Not(HasSubstr("\n")));
}

// Guards against a history that cannot be read because its process was killed
// while writing, and against malformed lines that are ignored.
TEST(HistoryEvent, DropsOnlyAnIncompleteLastLine)
{
    const std::string line = encode_line(full_event());
    const std::string text = line + "\n" + line + "\n" + line.substr(0, 20);
    EXPECT_EQ(decode_history(text).size(), 2U);
    EXPECT_THAT(message_of(line + "\n{}\n"), HasSubstr("line 2: field \"/who"));
}

// Guards against errors that do not say which field is malformed.
TEST(HistoryEvent, NamesThePathOfABadField)
{
    const std::string start = R"({"who":"a","what":"request","invoke":5)";
    EXPECT_THAT(message_of(start + R"(,"return":4})" + "\n"),
        HasSubstr("\"/return\": it is before"));
    EXPECT_THAT(message_of(start + R"(,"result":"lost"})" + "\n"),
        HasSubstr("\"/result\": \"lost\" is not an outcome"));
    EXPECT_THAT(message_of(start + R"(,"token":-1})" + "\n"),
        HasSubstr("\"/token\": -1 is not"));
}

} // namespace
} // namespace filberthub
