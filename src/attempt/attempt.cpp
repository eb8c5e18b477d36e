#include <filberthub/attempt/attempt.hpp>

#include <array>
#include <string>

namespace filberthub {
namespace {

using effect = attempt_step::effect;
using state = attempt_state;

constexpr attempt_step no{};
constexpr attempt_step late{effect::ignored, state::failed, {}};
constexpr attempt_step not_run{effect::fails_not_run, state::failed, {}};
constexpr attempt_step unknown{effect::fails_unknown, state::failed, {}};
constexpr attempt_step gone{effect::moves, state::cancelled, {}};

constexpr attempt_step go(state next)
{
    return {effect::moves, next, {}};
}

constexpr attempt_step fail(error_kind kind)
{
    return {effect::fails, state::failed, kind};
}

constexpr attempt_step expired = fail(error_kind::deadline_exceeded_not_run);
constexpr attempt_step lost = fail(error_kind::outcome_unknown);
constexpr attempt_step bad = fail(error_kind::bad_backend_answer);
constexpr attempt_step no_link = fail(error_kind::no_holder);
constexpr attempt_step busy = fail(error_kind::overloaded);
constexpr attempt_step done = go(state::answered);

using row = std::array<attempt_step, attempt_state_count>;

// One row per event, one column per state. Answers of the holder and of the
// backend server, lost links and passed deadlines arrive late when another
// event has ended the attempt, so final states ignore all events.
// clang-format off
constexpr std::array<row, attempt_event_count> table = {{
// created            routed               queued             forwarded     sending            sent          answered failed cancelled
/* route_found */
{{ go(state::routed), no,                  no,                no,           no,                no,           late, late, late }},
/* queue_entered */
{{ no,                go(state::queued),   no,                no,           no,                no,           late, late, late }},
/* admitted */
{{ no,                go(state::sending),  go(state::sending), no,          no,                no,           late, late, late }},
/* refused */
{{ not_run,           not_run,             not_run,           no,           not_run,           no,           late, late, late }},
/* forward_written */
{{ no,                go(state::forwarded), no,               no,           no,                no,           late, late, late }},
/* forward_unwritten */
{{ no,                no_link,             no,                no,           no,                no,           late, late, late }},
/* holder_answered */
{{ no,                no,                  no,                done,         no,                no,           late, late, late }},
/* holder_refused */
{{ no,                no,                  no,                not_run,      no,                no,           late, late, late }},
/* holder_failed */
{{ no,                no,                  no,                unknown,      no,                no,           late, late, late }},
/* link_lost */
{{ no,                no,                  no,                lost,         no,                no,           late, late, late }},
/* first_byte_written */
{{ no,                no,                  no,                no,           go(state::sent),   no,           late, late, late }},
/* connection_unwritten */
{{ no,                no,                  no,                no,           busy,              no,           late, late, late }},
/* connection_lost */
{{ no,                no,                  no,                no,           no,                lost,         late, late, late }},
/* backend_answered */
{{ no,                no,                  no,                no,           no,                done,         late, late, late }},
/* backend_refused */
{{ no,                no,                  no,                no,           no,                busy,         late, late, late }},
/* backend_answer_bad */
{{ no,                no,                  no,                no,           no,                bad,          late, late, late }},
/* deadline_passed */
{{ expired,           expired,             expired,           lost,         expired,           lost,         late, late, late }},
/* caller_gone */
{{ gone,              gone,                gone,              gone,         gone,              gone,         late, late, late }},
}};
// clang-format on

constexpr std::array<std::string_view, attempt_state_count> state_names = {
    "created", "routed", "queued", "forwarded", "sending", "sent", "answered",
    "failed", "cancelled"};

constexpr std::array<std::string_view, attempt_event_count> event_names = {
    "route_found", "queue_entered", "admitted", "refused", "forward_written",
    "forward_unwritten", "holder_answered", "holder_refused", "holder_failed",
    "link_lost", "first_byte_written", "connection_unwritten",
    "connection_lost", "backend_answered", "backend_refused",
    "backend_answer_bad", "deadline_passed", "caller_gone"};

bool says_not_run(error_kind kind)
{
    return answer_for(kind).result == outcome::not_run;
}

} // namespace

std::string_view to_string(attempt_state value)
{
    return state_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(attempt_event value)
{
    return event_names.at(static_cast<std::size_t>(value));
}

const attempt_step& attempt_step_for(attempt_state state, attempt_event event)
{
    return table.at(static_cast<std::size_t>(event))
        .at(static_cast<std::size_t>(state));
}

attempt::attempt(request_kind kind, time_point deadline)
    : kind_(kind), deadline_(deadline)
{}

attempt_state attempt::on(attempt_event event, error_kind kind)
{
    const attempt_step& step = attempt_step_for(state_, event);
    switch (step.what) {
    case effect::ignored:
        return state_;
    case effect::impossible:
        throw error(error_kind::internal,
            "attempt event " + std::string(to_string(event)) + " in state " +
                std::string(to_string(state_)) + " is impossible");
    case effect::moves:
        if (step.next == attempt_state::answered)
            result_ = outcome::done;
        if (step.next == attempt_state::cancelled) {
            failure_ = error_kind::cancelled;
            const bool left = state_ == attempt_state::forwarded ||
                              state_ == attempt_state::sent;
            result_ = left ? outcome::unknown : outcome::not_run;
        }
        return state_ = step.next;
    case effect::fails:
        failure_ = step.kind;
        break;
    case effect::fails_not_run:
        if (!says_not_run(kind)) {
            throw error(error_kind::internal,
                "attempt event " + std::string(to_string(event)) +
                    " has kind " + std::string(answer_for(kind).name) +
                    ", expected one that says not run");
        }
        failure_ = kind;
        break;
    case effect::fails_unknown:
        failure_ = says_not_run(kind) ? error_kind::outcome_unknown : kind;
        break;
    }
    result_ = answer_for(*failure_).result;
    return state_ = step.next;
}

bool attempt::repeatable(time_point now) const
{
    if (state_ != attempt_state::failed || now >= deadline_)
        return false;
    if (result_ == outcome::not_run)
        return answer_for(*failure_).retryable;
    return kind_ == request_kind::idempotent && result_ == outcome::unknown;
}

} // namespace filberthub
