#include <filberthub/attempt/duplicate_filter.hpp>
#include <filberthub/attempt/intent_log.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using namespace std::chrono_literals;

request_key key(const std::string& id)
{
    return request_key_of(service_id("paydesk"), request_id(id));
}

duplicate_filter ready_filter(const duplicate_filter_settings& settings)
{
    duplicate_filter filter(settings, fencing_token(5));
    filter.adopt({}, time_point());
    return filter;
}

// Guards against two requests that are taken for repeats of each other.
TEST(RequestKey, DiffersByServiceAndId)
{
    EXPECT_NE(key("1"), key("2"));
    EXPECT_NE(key("1"), request_key_of(service_id("paydes"), request_id("k1")));
    EXPECT_EQ(key("1"), key("1"));
}

// Guards against a non-idempotent request that runs before the intents of the
// former holder are known.
TEST(DuplicateFilter, RefusesEverythingBeforeAdoption)
{
    duplicate_filter filter({}, fencing_token(5));
    EXPECT_EQ(filter.begin(key("1"), {}).reason, error_kind::no_holder);
}

// Guards against a repeat that runs although the request ran or may have run,
// and against the outcome of a former run that is applied to the current one.
TEST(DuplicateFilter, AnswersARepeatWithTheRecordedOutcome)
{
    auto filter = ready_filter({});
    const auto first = filter.begin(key("1"), {});
    ASSERT_EQ(first.decision, duplicate_decision::start);
    EXPECT_EQ(
        filter.begin(key("1"), {}).reason, error_kind::duplicate_in_progress);
    EXPECT_TRUE(filter.finish(first.record, intent_state::done, "paid", {}));
    const auto repeat = filter.begin(key("1"), {});
    EXPECT_EQ(repeat.decision, duplicate_decision::answer);
    EXPECT_EQ(repeat.answer, "paid");

    const auto second = filter.begin(key("2"), {});
    filter.finish(second.record, intent_state::unknown, "", {});
    EXPECT_EQ(filter.begin(key("2"), {}).reason, error_kind::outcome_unknown);

    const auto third = filter.begin(key("3"), {});
    filter.finish(third.record, intent_state::not_run, "", {});
    const auto again = filter.begin(key("3"), {});
    EXPECT_EQ(again.decision, duplicate_decision::start);
    EXPECT_FALSE(filter.finish(third.record, intent_state::not_run, "", {}))
        << "the outcome of a former run";
}

// Guards against memory that grows with the number of ids or answers, and
// against a full filter that evicts the record of a payment.
TEST(DuplicateFilter, StaysWithinItsBoundsAndEvictsNothing)
{
    duplicate_filter_settings settings;
    settings.max_entries = 3;
    settings.max_answer_bytes = 5000;
    auto filter = ready_filter(settings);
    for (const char* id : {"1", "2", "3"}) {
        const auto check = filter.begin(key(id), {});
        filter.finish(check.record, intent_state::done,
            std::string(id[0] == '3' ? 4097 : 4096, 'x'), {});
    }
    EXPECT_EQ(filter.begin(key("4"), {}).reason, error_kind::overloaded);
    EXPECT_EQ(filter.answer_bytes(), 4096U);
    EXPECT_EQ(filter.begin(key("1"), {}).decision, duplicate_decision::answer);
    for (const char* id : {"2", "3"})
        EXPECT_EQ(filter.begin(key(id), {}).reason, error_kind::duplicate_done);
}

// Guards against records that are never removed, and against a second run of a
// request that takes longer than the window.
TEST(DuplicateFilter, ExpiresAfterTheWindowUnlessInProgress)
{
    auto filter = ready_filter({});
    const auto done = filter.begin(key("1"), {});
    filter.finish(done.record, intent_state::done, "paid", {});
    filter.begin(key("2"), {});
    EXPECT_EQ(filter.begin(key("1"), time_point(10min)).decision,
        duplicate_decision::answer);
    const time_point later(10min + 1ms);
    EXPECT_EQ(
        filter.begin(key("1"), later).decision, duplicate_decision::start);
    EXPECT_EQ(filter.begin(key("2"), later).reason,
        error_kind::duplicate_in_progress);
    EXPECT_EQ(filter.answer_bytes(), 0U);
}

// Guards against a full log that acknowledges an intent without recording it.
TEST(IntentLog, RefusesIntentsWhenFullAndExpiresThemAfterTheWindow)
{
    intent_log_settings settings;
    settings.max_entries = 1;
    intent_log log(settings, incarnation(1), time_point());
    const intent first{{0, 1}, fencing_token(1), 1, intent_state::started};
    const intent second{{0, 2}, fencing_token(1), 2, intent_state::started};
    EXPECT_EQ(log.record(first, {}), intent_reply::recorded);
    EXPECT_EQ(log.record(second, {}), intent_reply::full);
    EXPECT_FALSE(log.collect(fencing_token(1), {}).complete);
    EXPECT_TRUE(log.collect(fencing_token(1), time_point(11min)).complete);
    EXPECT_EQ(
        log.record(second, time_point(11min + 1ms)), intent_reply::recorded);
    EXPECT_EQ(log.size(), 1U);
}

} // namespace
} // namespace filberthub
