// Checkers for P1, P2 and P11.

#include "history/selection.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace filberthub {

namespace {

using detail::end_of;
using detail::event_list;
using detail::seconds;
using detail::select;

constexpr duration recovery_limit = std::chrono::seconds(3);

std::string describe(const history_event& event)
{
    std::string text = event.server.value() + " of " + event.who;
    if (event.token)
        text += " with token " + std::to_string(event.token->value());
    return text + " from " + seconds(event.invoke) + " to " +
           seconds(end_of(event));
}

// Adds a violation for each pair of `events` that overlap on different servers,
// or, if `compare_holders` is set, on different holders.
void check_overlaps(const std::string& subject, const event_list& events,
    bool compare_holders, violations& result)
{
    // The events are ordered by their start, so that an event can only overlap
    // with earlier ones that are still open.
    event_list open;
    for (const history_event* event : events) {
        std::erase_if(open, [&](const history_event* other) {
            return end_of(*other) <= event->invoke;
        });
        for (const history_event* other : open) {
            if (!detail::overlap(*event, *other))
                continue;
            if (event->server != other->server ||
                (compare_holders && event->who != other->who)) {
                result.push_back({1, event->invoke, subject,
                    describe(*other) + " and " + describe(*event),
                    "one owner at a time"});
            }
        }
        open.push_back(event);
    }
}

// Adds a violation for each event whose token is not above an earlier token of
// another server.
void check_tokens(
    const std::string& subject, const event_list& events, violations& result)
{
    const history_event* highest = nullptr;
    for (const history_event* event : events) {
        if (!event->token)
            continue;
        if (highest != nullptr && event->server != highest->server &&
            *event->token <= *highest->token) {
            result.push_back({1, event->invoke, subject,
                describe(*event) + " after " + describe(*highest),
                "a higher token on the new server"});
        }
        if (highest == nullptr || *event->token > *highest->token)
            highest = event;
    }
}

using subject_key = std::pair<service_id, std::string>;

std::string name_of(const subject_key& subject)
{
    return subject.first.value() + " " + subject.second;
}

subject_key group_of_event(const history_event& event)
{
    return {event.service,
        "group " +
            (event.group ? std::to_string(event.group->value()) : "none")};
}

} // namespace

violations check_single_owner(history_view history)
{
    std::map<subject_key, event_list> groups;
    std::map<subject_key, event_list> keys;
    for (const history_event* event : select(history, {event_kind::own}))
        groups[group_of_event(*event)].push_back(event);
    for (const history_event* event : select(history, {event_kind::execute})) {
        // A request without a token needs no owner.
        if (event->token && !event->key.empty())
            keys[{event->service, "key " + event->key}].push_back(event);
    }
    violations result;
    for (const auto& [subject, events] : groups) {
        check_overlaps(name_of(subject), events, true, result);
        check_tokens(name_of(subject), events, result);
    }
    for (const auto& [subject, events] : keys) {
        check_overlaps(name_of(subject), events, false, result);
        check_tokens(name_of(subject), events, result);
    }
    return result;
}

violations check_assignments_survive(history_view history)
{
    const event_list losses = select(history, {event_kind::loss});
    const auto explained_by_loss = [&](time_point from, time_point to) {
        return std::ranges::any_of(losses, [&](const history_event* loss) {
            return !loss->tolerated && loss->invoke >= from &&
                   loss->invoke <= to;
        });
    };
    std::map<subject_key, event_list> acknowledged;
    for (const history_event* event : select(history, {event_kind::assigned})) {
        if (event->token && event->returned)
            acknowledged[group_of_event(*event)].push_back(event);
    }
    violations result;
    for (const history_event* read :
        select(history, {event_kind::assignment_read})) {
        const subject_key subject = group_of_event(*read);
        const auto found = acknowledged.find(subject);
        if (found == acknowledged.end() || !read->token)
            continue;
        for (const history_event* assignment : found->second) {
            const bool older = *assignment->returned <= read->invoke &&
                               *read->token < *assignment->token;
            const bool other_server = *read->token == *assignment->token &&
                                      read->server != assignment->server;
            if ((!older && !other_server) ||
                explained_by_loss(assignment->invoke, read->invoke))
                continue;
            result.push_back({2, read->invoke, name_of(subject),
                describe(*read) + " was read",
                describe(*assignment) + " or newer"});
            break;
        }
    }
    return result;
}

namespace {

// Returns the last loss up to `at`, or null if there is none.
const history_event* last_loss(const event_list& losses, time_point at)
{
    const auto after = std::ranges::upper_bound(
        losses, at, {}, [](const history_event* loss) { return loss->invoke; });
    return after == losses.begin() ? nullptr : *(after - 1);
}

// Returns whether one of `requests` was answered within the interval.
bool served(const event_list& requests, time_point from, time_point to)
{
    return std::ranges::any_of(requests, [&](const history_event* event) {
        return event->result == outcome::done && event->returned &&
               *event->returned > from && *event->returned <= to;
    });
}

// Returns whether `event` shows that its key was not served again in time after
// the last loss before it.
bool shows_outage(const history_event& event, const event_list& requests,
    const event_list& losses)
{
    const history_event* loss = last_loss(losses, event.invoke);
    if (loss == nullptr || event.error == error_kind::overloaded)
        return false;
    const time_point recovery_deadline = loss->invoke + recovery_limit;
    if (event.invoke >= recovery_deadline) {
        return event.result != outcome::done &&
               !served(requests, loss->invoke, event.invoke);
    }
    // A request that waits longer than the limit also shows an outage.
    const time_point stall_deadline = event.invoke + recovery_limit;
    return end_of(event) > stall_deadline &&
           last_loss(losses, stall_deadline) == loss &&
           !served(requests, loss->invoke, recovery_deadline);
}

} // namespace

violations check_recovery(history_view history)
{
    const event_list losses = select(history, {event_kind::loss});
    std::map<subject_key, event_list> keys;
    for (const history_event* event : select(history, {event_kind::request})) {
        if (!event->key.empty())
            keys[{event->service, "key " + event->key}].push_back(event);
    }
    violations result;
    for (const auto& [subject, requests] : keys) {
        for (const history_event* event : requests) {
            if (!shows_outage(*event, requests, losses))
                continue;
            result.push_back({11, event->invoke, name_of(subject),
                "request " + event->request.value() + " got " +
                    detail::result_of(*event) + " at " +
                    seconds(end_of(*event)) + " after the loss at " +
                    seconds(last_loss(losses, event->invoke)->invoke),
                "service within " + seconds(recovery_limit)});
        }
    }
    return result;
}

} // namespace filberthub
