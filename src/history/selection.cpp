#include "history/selection.hpp"

#include <algorithm>
#include <cstdio>

namespace filberthub {

namespace detail {

event_list select(history_view history, std::initializer_list<event_kind> kinds)
{
    event_list result;
    for (const history_event& event : history) {
        if (std::find(kinds.begin(), kinds.end(), event.what) != kinds.end())
            result.push_back(&event);
    }
    std::ranges::stable_sort(
        result, {}, [](const history_event* event) { return event->invoke; });
    return result;
}

time_point end_of(const history_event& event)
{
    return event.returned.value_or(time_point::max());
}

std::string seconds(duration interval)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f s",
        std::chrono::duration<double>(interval).count());
    return text;
}

std::string seconds(time_point time)
{
    return time == time_point::max() ? "the end"
                                     : seconds(time.time_since_epoch());
}

std::string result_of(const history_event& event)
{
    return event.result ? std::string(to_string(*event.result)) : "no answer";
}

} // namespace detail

std::string to_string(const violation& found)
{
    return "P" + std::to_string(found.promise) + " at " +
           detail::seconds(found.at) + ": " + found.subject + ": " +
           found.seen + ", expected " + found.expected;
}

violations check_all(history_view history)
{
    violations result;
    for (const auto check : {check_single_owner, check_assignments_survive,
             check_cold_start, check_domain_out, check_own_answers,
             check_not_run, check_at_most_once, check_leaving_server,
             check_graceful_shutdown, check_revisions, check_recovery}) {
        const violations found = check(history);
        result.insert(result.end(), found.begin(), found.end());
    }
    return result;
}

} // namespace filberthub
