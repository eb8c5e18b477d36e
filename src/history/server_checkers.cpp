// Checkers for P3, P4, P8 and P10.

#include "history/selection.hpp"

#include <algorithm>
#include <map>

namespace filberthub {

namespace {

using detail::end_of;
using detail::event_list;
using detail::seconds;
using detail::select;

constexpr duration new_request_limit = std::chrono::seconds(3);
constexpr duration adoption_limit = std::chrono::seconds(6);

// Returns whether `event` begins later than the limit after the start of
// `change` and before its end.
bool begins_after_limit(const history_event& event, const history_event& change)
{
    return event.invoke > change.invoke + new_request_limit &&
           event.invoke < end_of(change);
}

violation late_request_violation(int promise, const std::string& subject,
    const history_event& event, const history_event& change)
{
    return {promise, event.invoke, subject,
        std::string(to_string(event.what)) + " of request " +
            event.request.value() + " on " + event.server.value() + " began " +
            seconds(event.invoke - change.invoke) + " after the command",
        "none after " + seconds(new_request_limit)};
}

} // namespace

violations check_cold_start(history_view history)
{
    std::map<backend_server_id, event_list> executions;
    for (const history_event* event : select(history, {event_kind::execute}))
        executions[event->server].push_back(event);
    violations result;
    for (const history_event* cold : select(history, {event_kind::cold})) {
        event_list open;
        for (const history_event* event : executions[cold->server]) {
            std::erase_if(open, [&](const history_event* other) {
                return end_of(*other) <= event->invoke;
            });
            open.push_back(event);
            if (event->invoke < cold->invoke ||
                event->invoke >= end_of(*cold) ||
                open.size() <= cold->limit.value_or(0))
                continue;
            result.push_back({3, event->invoke, cold->server.value(),
                std::to_string(open.size()) + " requests at once in cold start",
                "at most " + std::to_string(cold->limit.value_or(0))});
        }
    }
    return result;
}

violations check_domain_out(history_view history)
{
    const event_list work =
        select(history, {event_kind::dispatch, event_kind::execute});
    violations result;
    for (const history_event* evacuation :
        select(history, {event_kind::domain_out})) {
        for (const history_event* event : work) {
            if (event->domain == evacuation->domain &&
                begins_after_limit(*event, *evacuation))
                result.push_back(late_request_violation(
                    4, evacuation->domain.value(), *event, *evacuation));
        }
    }
    return result;
}

violations check_leaving_server(history_view history)
{
    const event_list work =
        select(history, {event_kind::dispatch, event_kind::execute});
    violations result;
    for (const history_event* leaving :
        select(history, {event_kind::leaving})) {
        for (const history_event* event : work) {
            if (event->server != leaving->server)
                continue;
            if (begins_after_limit(*event, *leaving))
                result.push_back(late_request_violation(
                    8, leaving->server.value(), *event, *leaving));
            if (!detail::overlap(*event, *leaving) ||
                (event->returned && event->result == outcome::done))
                continue;
            result.push_back({8, event->invoke, leaving->server.value(),
                std::string(to_string(event->what)) + " of request " +
                    event->request.value() + " ended with " +
                    detail::result_of(*event) + " while the server was leaving",
                "done"});
        }
    }
    return result;
}

violations check_revisions(history_view history)
{
    std::map<std::string, event_list> adopted;
    violations result;
    for (const history_event* event :
        select(history, {event_kind::revision_adopted})) {
        if (!event->document)
            continue;
        event_list& earlier = adopted[event->who];
        if (!earlier.empty() && *event->document < *earlier.back()->document) {
            result.push_back({10, event->invoke, event->who,
                "revision " + std::to_string(event->document->value()) +
                    " after revision " +
                    std::to_string(earlier.back()->document->value()),
                "no lower revision"});
        }
        earlier.push_back(event);
    }
    const event_list running = select(history, {event_kind::running});
    for (const history_event* accepted :
        select(history, {event_kind::revision_accepted})) {
        for (const history_event* process : running) {
            // The limit starts with the acceptance of the revision or the start
            // of the process, whichever is later.
            const time_point deadline =
                std::max(end_of(*accepted) == time_point::max()
                             ? accepted->invoke
                             : end_of(*accepted),
                    process->invoke) +
                adoption_limit;
            const event_list& adoptions = adopted[process->who];
            const bool in_time =
                std::ranges::any_of(adoptions, [&](const history_event* event) {
                    return event->invoke <= deadline &&
                           *event->document >= *accepted->document;
                });
            if (in_time || end_of(*process) < deadline)
                continue;
            result.push_back({10, deadline, process->who,
                "revision " + std::to_string(accepted->document->value()) +
                    " was not in force",
                "it by " + seconds(deadline)});
        }
    }
    return result;
}

} // namespace filberthub
