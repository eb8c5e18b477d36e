// Functions shared by the checkers: selection of events by kind, comparison of
// intervals and formatting.

#ifndef FILBERTHUB_HISTORY_SELECTION_HPP
#define FILBERTHUB_HISTORY_SELECTION_HPP

#include <filberthub/history/checkers.hpp>

#include <initializer_list>
#include <string>
#include <vector>

namespace filberthub::detail {

using event_list = std::vector<const history_event*>;

// Returns the events of the given kinds, ordered by the start of their
// intervals.
event_list select(
    history_view history, std::initializer_list<event_kind> kinds);

// Returns the end of an event, or `time_point::max()` if it was not seen.
time_point end_of(const history_event& event);

// Returns whether the intervals of two events overlap.
inline bool overlap(const history_event& one, const history_event& other)
{
    return one.invoke < end_of(other) && other.invoke < end_of(one);
}

// Returns a time as "12.345 s", or "the end" for `time_point::max()`.
std::string seconds(time_point time);
std::string seconds(duration interval);

// Returns the name of an outcome, or "no answer".
std::string result_of(const history_event& event);

} // namespace filberthub::detail

#endif
