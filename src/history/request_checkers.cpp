// Checkers for P5, P6, P7 and P9.

#include "history/selection.hpp"

#include <algorithm>
#include <map>

namespace filberthub {

namespace {

using detail::event_list;
using detail::seconds;
using detail::select;

std::map<request_id, event_list> by_request(
    history_view history, event_kind kind)
{
    std::map<request_id, event_list> result;
    for (const history_event* event : select(history, {kind})) {
        if (!event->request.empty())
            result[event->request].push_back(event);
    }
    return result;
}

std::string subject_of(const request_id& id)
{
    return "request " + id.value();
}

} // namespace

violations check_own_answers(history_view history)
{
    violations result;
    for (const history_event* event : select(history, {event_kind::request})) {
        if (event->result != outcome::done ||
            event->digest == event->expected_digest)
            continue;
        result.push_back({5, detail::end_of(*event), subject_of(event->request),
            "answer with digest \"" + event->digest + "\"",
            "\"" + event->expected_digest + "\""});
    }
    return result;
}

violations check_not_run(history_view history)
{
    const auto attempts = by_request(history, event_kind::request);
    violations result;
    for (const auto& [id, executions] :
        by_request(history, event_kind::execute)) {
        const auto found = attempts.find(id);
        if (found == attempts.end())
            continue;
        for (const history_event* execution : executions) {
            const auto may_have_run = [&](const history_event* attempt) {
                return attempt->invoke <= execution->invoke &&
                       attempt->result != outcome::not_run;
            };
            if (std::ranges::any_of(found->second, may_have_run))
                continue;
            result.push_back({6, execution->invoke, subject_of(id),
                "executed by " + execution->server.value() + ", but each of " +
                    std::to_string(found->second.size()) +
                    " attempts was answered not-run or began later",
                "no execution"});
        }
    }
    return result;
}

violations check_at_most_once(history_view history)
{
    violations result;
    for (const auto& [id, executions] :
        by_request(history, event_kind::execute)) {
        const auto non_idempotent =
            std::ranges::count(executions, false, &history_event::idempotent);
        if (non_idempotent == 0 || executions.size() < 2)
            continue;
        std::string servers;
        for (const history_event* execution : executions) {
            servers += (servers.empty() ? "" : " and ") +
                       execution->server.value() + " at " +
                       seconds(execution->invoke);
        }
        result.push_back({7, executions[1]->invoke, subject_of(id),
            std::to_string(executions.size()) + " executions, on " + servers,
            "at most 1"});
    }
    return result;
}

violations check_graceful_shutdown(history_view history)
{
    violations result;
    const event_list work =
        select(history, {event_kind::request, event_kind::dispatch});
    for (const history_event* shutdown :
        select(history, {event_kind::shutdown})) {
        for (const history_event* event : work) {
            // A request that was refused as not run was not interrupted.
            const bool interrupted =
                !event->result || *event->result == outcome::unknown;
            if (event->instance != shutdown->instance || !interrupted ||
                !detail::overlap(*event, *shutdown))
                continue;
            result.push_back({9, detail::end_of(*event),
                subject_of(event->request) + " (" +
                    std::string(to_string(event->what)) + ")",
                detail::result_of(*event) + " during the shutdown of " +
                    shutdown->instance.value() + " from " +
                    seconds(shutdown->invoke),
                "done or not-run"});
        }
    }
    return result;
}

} // namespace filberthub
