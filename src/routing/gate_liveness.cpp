#include <filberthub/routing/gate_liveness.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Weights of the newest reply in the mean and in the mean deviation, and the
// number of deviations above the mean, as in the retransmission timer of TCP
// (RFC 6298).
constexpr double mean_smoothing = 1.0 / 8;
constexpr double deviation_smoothing = 1.0 / 4;
constexpr double deviations = 4;
// Bounds on the time by which a reply is expected. The lower one is for an
// unmeasured host, too: a round trip in a region takes some milliseconds.
constexpr milliseconds min_reply_time{30};
constexpr milliseconds max_reply_time{250};
// A host counts as unreachable after this multiple of its reply time, so that
// at least two questions are without an answer.
constexpr int silence_factor = 2;
// Time for which no slots are requested from an unreachable host.
constexpr milliseconds silent_pause{400};
// A queued request is asked about after this multiple of the wait that was told
// plus the slack. Most requests have a decision before.
constexpr double told_wait_factor = 1.5;
constexpr milliseconds told_wait_slack{50};
// A request waits for an answer of its gate for at most this part of the time
// that it has left.
constexpr int max_reply_part = 4;
// The interval between questions doubles at most this often.
constexpr unsigned max_doublings = 3;

double milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

duration scale(milliseconds time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace

bool gate_liveness::may_ask(const endpoint& host, time_point now) const
{
    const auto found = hosts_.find(host);
    return found == hosts_.end() || now >= found->second.silent_until;
}

milliseconds gate_liveness::reply_time(const endpoint& host) const
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || !found->second.measured)
        return min_reply_time;
    const host_state& state = found->second;
    return std::clamp(milliseconds(std::llround(
                          state.mean_ms + deviations * state.deviation_ms)),
        min_reply_time, max_reply_time);
}

milliseconds gate_liveness::silence_limit(const endpoint& host) const
{
    return reply_time(host) * silence_factor;
}

void gate_liveness::on_asked(slot_question& question, time_point now)
{
    const unsigned doublings = std::min(question.unanswered, max_doublings);
    ++question.unanswered;
    if (!question.asked_at)
        question.asked_at = now;
    question.ask_again_at =
        now + reply_time(question.host) * static_cast<int>(1U << doublings);
    host_state& state = hosts_[question.host];
    if (!state.unheard_since && now >= state.silent_until)
        state.unheard_since = now;
}

void gate_liveness::on_queued(
    slot_question& question, milliseconds wait, time_point now)
{
    on_reply(question.host, question.asked_at, now);
    question.asked_at.reset();
    question.unanswered = 0;
    question.ask_again_at =
        now + scale(wait, told_wait_factor) + told_wait_slack;
}

void gate_liveness::on_decided(const slot_question& question, time_point now)
{
    on_reply(question.host, question.asked_at, now);
}

void gate_liveness::on_late_reply(const endpoint& host, time_point now)
{
    if (hosts_.contains(host))
        on_reply(host, std::nullopt, now);
}

void gate_liveness::on_reply(
    const endpoint& host, std::optional<time_point> asked_at, time_point now)
{
    host_state& state = hosts_[host];
    // A slow host replies only after its questions were given up, and its reply
    // time would never be learned from open questions.
    if (!asked_at)
        asked_at = state.given_up_since;
    if (asked_at) {
        const double sample = std::min(milliseconds_between(*asked_at, now),
            static_cast<double>(max_reply_time.count()) * silence_factor);
        if (state.measured) {
            state.deviation_ms +=
                (std::abs(sample - state.mean_ms) - state.deviation_ms) *
                deviation_smoothing;
            state.mean_ms += (sample - state.mean_ms) * mean_smoothing;
        } else {
            state.mean_ms = sample;
            state.deviation_ms = sample / 2;
            state.measured = true;
        }
    }
    state.unheard_since.reset();
    state.given_up_since.reset();
    state.silent_until = {};
}

question_step gate_liveness::next_step(
    const slot_question& question, time_point now)
{
    host_state& state = hosts_[question.host];
    const milliseconds limit = silence_limit(question.host);
    if (state.unheard_since && now >= *state.unheard_since + limit) {
        if (!state.given_up_since)
            state.given_up_since = state.unheard_since;
        state.unheard_since.reset();
        state.silent_until = now + silent_pause;
    }
    const bool silent = now < state.silent_until;
    if (!question.asked_at) {
        // The queue of a host that is silent may be lost.
        return silent || now >= question.ask_again_at ? question_step::ask
                                                      : question_step::wait;
    }
    if (silent && now >= *question.asked_at + limit)
        return question_step::host_silent;
    const duration longest = std::max<duration>(
        (question.answer_deadline - *question.asked_at) / max_reply_part,
        min_reply_time * silence_factor);
    if (now >= *question.asked_at + longest)
        return question_step::no_reply;
    return now >= question.ask_again_at ? question_step::ask
                                        : question_step::wait;
}

} // namespace filberthub
