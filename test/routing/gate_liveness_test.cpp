#include "routing/routing_builders.hpp"

#include <filberthub/routing/gate_liveness.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

const endpoint host{"10.0.0.9", 7000};

class GateLiveness : public testing::Test
{
public:
    slot_question ask(std::int64_t ms, std::int64_t allowed_ms = 5'000)
    {
        slot_question question(host, at_ms(ms + allowed_ms));
        liveness_.on_asked(question, at_ms(ms));
        return question;
    }

    // A host that replies within `reply_ms` to each of 40 questions.
    void measure(std::int64_t reply_ms)
    {
        for (std::int64_t ms = -40'000; ms < 0; ms += 1'000)
            liveness_.on_decided(ask(ms), at_ms(ms + reply_ms));
    }

    gate_liveness liveness_;
};

// Guards against the loss of a gate by waiting: a request that waited for
// longer than three times its first estimate bypassed the gate, and all gates
// of the host were bypassed for 400 ms.
TEST_F(GateLiveness, AsksAgainAboutAnOverdueRequestAndKeepsTheHost)
{
    slot_question question = ask(0);
    liveness_.on_queued(question, milliseconds(100), at_ms(5));
    int questions = 0;
    for (std::int64_t ms = 10; ms < 3'000; ms += 10) {
        const question_step step = liveness_.next_step(question, at_ms(ms));
        ASSERT_TRUE(step == question_step::wait || step == question_step::ask)
            << "at " << ms << " ms";
        if (step == question_step::ask) {
            ++questions;
            liveness_.on_asked(question, at_ms(ms));
            liveness_.on_queued(question, milliseconds(200), at_ms(ms + 8));
        }
        ASSERT_TRUE(liveness_.may_ask(host, at_ms(ms)));
    }
    // One question per 350 ms, not one per check.
    EXPECT_GE(questions, 5);
    EXPECT_LE(questions, 10);
}

// Guards against a lost datagram that makes a host unreachable, or that delays
// its request for long.
TEST_F(GateLiveness, RepeatsALostQuestionWhileTheHostRepliesToOthers)
{
    measure(4);
    slot_question lost = ask(0);
    const slot_question other = ask(1);
    liveness_.on_decided(other, at_ms(6));
    EXPECT_EQ(liveness_.next_step(lost, at_ms(20)), question_step::wait);
    EXPECT_EQ(liveness_.next_step(lost, at_ms(30)), question_step::ask);
    liveness_.on_asked(lost, at_ms(30));
    EXPECT_EQ(liveness_.next_step(lost, at_ms(60)), question_step::wait);
    EXPECT_TRUE(liveness_.may_ask(host, at_ms(60)));
}

// Guards against requests that wait for a host that has stopped.
TEST_F(GateLiveness, GivesUpOnAHostThatRepliesToNothing)
{
    measure(4);
    slot_question queued = ask(0);
    liveness_.on_queued(queued, milliseconds(2'000), at_ms(4));
    slot_question question = ask(100);
    EXPECT_EQ(liveness_.next_step(question, at_ms(159)), question_step::ask);
    EXPECT_EQ(
        liveness_.next_step(question, at_ms(160)), question_step::host_silent);
    EXPECT_FALSE(liveness_.may_ask(host, at_ms(160)));
    // A request in the queue of the host is asked about at once.
    EXPECT_EQ(liveness_.next_step(queued, at_ms(160)), question_step::ask);
    liveness_.on_asked(queued, at_ms(160));
    EXPECT_EQ(
        liveness_.next_step(queued, at_ms(220)), question_step::host_silent);
    EXPECT_TRUE(liveness_.may_ask(host, at_ms(560)));
}

// Guards against a small host that is given up under load although it replies.
TEST_F(GateLiveness, AllowsASlowHostTheTimeOfItsReplies)
{
    measure(120);
    EXPECT_GT(liveness_.silence_limit(host), milliseconds(200));
    const slot_question question = ask(0);
    EXPECT_NE(
        liveness_.next_step(question, at_ms(200)), question_step::host_silent);
}

// Guards against a host that is slow from its first reply on, and is given up
// each time before that reply.
TEST_F(GateLiveness, LearnsTheReplyTimeFromLateReplies)
{
    for (std::int64_t ms = 0; ms < 10'000; ms += 1'000) {
        const slot_question question = ask(ms);
        if (liveness_.next_step(question, at_ms(ms + 130)) ==
            question_step::host_silent) {
            liveness_.on_late_reply(host, at_ms(ms + 150));
            EXPECT_TRUE(liveness_.may_ask(host, at_ms(ms + 150)));
        } else {
            liveness_.on_decided(question, at_ms(ms + 150));
        }
    }
    EXPECT_NE(liveness_.next_step(ask(10'000), at_ms(10'130)),
        question_step::host_silent);
}

// Guards against a request with a short deadline that waits for a slow host
// until its time has passed.
TEST_F(GateLiveness, GivesUpEarlyForARequestWithAShortDeadline)
{
    measure(240);
    const slot_question question = ask(0, 500);
    EXPECT_EQ(
        liveness_.next_step(question, at_ms(126)), question_step::no_reply);
    EXPECT_TRUE(liveness_.may_ask(host, at_ms(126)));
}

} // namespace
} // namespace filberthub
