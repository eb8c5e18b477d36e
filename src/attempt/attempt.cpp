#include <filberthub/attempt/attempt.hpp>

#include <array>
#include <string>

namespace filberthub {
namespace {

using effect = attempt_step::effect_kind;
using state = attempt_state;

// Cells of the transition table. `not_run` and `unknown` use the kind of the
// event; the others are complete.
constexpr attempt_step impossible{};
constexpr attempt_step ignored{effect::ignored, state::failed, {}};
constexpr attempt_step not_run{effect::fails_not_run, state::failed, {}};
constexpr attempt_step unknown{effect::fails_unknown, state::failed, {}};
constexpr attempt_step cancelled{effect::moves, state::cancelled, {}};

constexpr attempt_step to(state next)
{
    return {effect::moves, next, {}};
}

constexpr attempt_step fail(error_kind kind)
{
    return {effect::fails, state::failed, kind};
}

constexpr attempt_step expired = fail(error_kind::deadline_exceeded_not_run);
constexpr attempt_step may_have_run = fail(error_kind::outcome_unknown);
constexpr attempt_step bad_answer = fail(error_kind::bad_backend_answer);
constexpr attempt_step no_holder = fail(error_kind::no_holder);
constexpr attempt_step overloaded = fail(error_kind::overloaded);
constexpr attempt_step answered = to(state::answered);

using row = std::array<attempt_step, attempt_state_count>;

// One row per event, one column per state. Answers, lost connections and passed
// deadlines can arrive after another event has ended the attempt, so final
// states ignore all events.
// clang-format off
constexpr std::array<row, attempt_event_count> table = {{
// created            routed                queued              forwarded     sending          sent          answered failed   cancelled
/* route_found */
{{ to(state::routed), impossible,           impossible,         impossible,   impossible,      impossible,   ignored, ignored, ignored }},
/* queue_entered */
{{ impossible,        to(state::queued),    impossible,         impossible,   impossible,      impossible,   ignored, ignored, ignored }},
/* admitted */
{{ impossible,        to(state::sending),   to(state::sending), impossible,   impossible,      impossible,   ignored, ignored, ignored }},
/* refused */
{{ not_run,           not_run,              not_run,            impossible,   not_run,         impossible,   ignored, ignored, ignored }},
/* forward_written */
{{ impossible,        to(state::forwarded), impossible,         impossible,   impossible,      impossible,   ignored, ignored, ignored }},
/* forward_unwritten */
{{ impossible,        no_holder,            impossible,         impossible,   impossible,      impossible,   ignored, ignored, ignored }},
/* holder_answered */
{{ impossible,        impossible,           impossible,         answered,     impossible,      impossible,   ignored, ignored, ignored }},
/* holder_refused */
{{ impossible,        impossible,           impossible,         not_run,      impossible,      impossible,   ignored, ignored, ignored }},
/* holder_failed */
{{ impossible,        impossible,           impossible,         unknown,      impossible,      impossible,   ignored, ignored, ignored }},
/* link_lost */
{{ impossible,        impossible,           impossible,         may_have_run, impossible,      impossible,   ignored, ignored, ignored }},
/* first_byte_written */
{{ impossible,        impossible,           impossible,         impossible,   to(state::sent), impossible,   ignored, ignored, ignored }},
/* connection_unwritten */
{{ impossible,        impossible,           impossible,         impossible,   overloaded,      impossible,   ignored, ignored, ignored }},
/* connection_lost */
{{ impossible,        impossible,           impossible,         impossible,   impossible,      may_have_run, ignored, ignored, ignored }},
/* backend_answered */
{{ impossible,        impossible,           impossible,         impossible,   impossible,      answered,     ignored, ignored, ignored }},
/* backend_refused */
{{ impossible,        impossible,           impossible,         impossible,   impossible,      overloaded,   ignored, ignored, ignored }},
/* backend_answer_bad */
{{ impossible,        impossible,           impossible,         impossible,   impossible,      bad_answer,   ignored, ignored, ignored }},
/* deadline_passed */
{{ expired,           expired,              expired,            may_have_run, expired,         may_have_run, ignored, ignored, ignored }},
/* caller_gone */
{{ cancelled,         cancelled,            cancelled,          cancelled,    cancelled,       cancelled,    ignored, ignored, ignored }},
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

bool is_not_run(error_kind kind)
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
    switch (step.effect) {
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
        if (!is_not_run(kind)) {
            throw error(error_kind::internal,
                "attempt event " + std::string(to_string(event)) +
                    " has kind " + std::string(answer_for(kind).name) +
                    ", expected a kind whose outcome is not run");
        }
        failure_ = kind;
        break;
    case effect::fails_unknown:
        failure_ = is_not_run(kind) ? error_kind::outcome_unknown : kind;
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
