// Events of the histories that each process writes while it runs. After a test
// they are merged and checked against the promises of the design.
//
//     history_event event;
//     event.who = "loadgen-1";
//     event.what = event_kind::request;
//     file << encode_line(event) << '\n';
//
// Times are those of the monotonic clock of one host, on which all processes of
// a test run. Histories of several hosts cannot be merged.

#ifndef FILBERTHUB_HISTORY_EVENT_HPP
#define FILBERTHUB_HISTORY_EVENT_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

using json = nlohmann::json;

// What an event describes. The comment names its writer and the fields that
// checkers read besides `who`, `what` and the interval.
enum class event_kind : std::uint8_t
{
    // Caller, once for each attempt: `request`, `service`, `key`, `instance`
    // (its entry), `result`, `error`, `digest` and `expected_digest`.
    request,
    // Holder, from the first byte sent to a backend server until its answer is
    // complete: `instance`, `server`, `domain`, `request`, `result`.
    dispatch,
    // Backend server, for each request that it runs: `server`, `domain`,
    // `service`, `key`, `token`, `request`, `idempotent`, `result`. The
    // interval ends no later than its grant, as for `own`.
    execute,
    // Holder, while it may admit work for a group: `service`, `group`,
    // `server`, `token`. The interval ends no later than its lease, even if the
    // process was paused and writes the event later.
    own,
    // Planner, after the commit of an assignment was acknowledged: `service`,
    // `group`, `server`, `token`.
    assigned,
    // Any instance, when it reads an assignment: as `assigned`.
    assignment_read,
    // Test program, when it stops a process or cuts a domain off: `instance`,
    // `server` or `domain`; `tolerated` is false beyond the agreed losses.
    loss,
    // Backend server, while it is in cold start: `server`, `limit`.
    cold,
    // Operator, from the accepted command until the domain is back: `domain`.
    domain_out,
    // Operator, from the accepted command until the server is removed:
    // `server`.
    leaving,
    // Instance, from SIGTERM until it exits: `instance`.
    shutdown,
    // Operator, when a revision of the policy document was accepted:
    // `document`.
    revision_accepted,
    // Instance, when a revision came into force there: `document`.
    revision_adopted,
    // Instance, while it runs and is not cut off from the others.
    running
};

std::string_view to_string(event_kind value);

struct history_event
{
    // The process. A restarted instance has another name, for example with its
    // incarnation.
    std::string who;
    event_kind what = event_kind::request;
    time_point invoke;
    // Nothing if the end was not seen.
    std::optional<time_point> returned;
    std::optional<outcome> result;
    std::optional<error_kind> error;
    std::optional<fencing_token> token;
    request_id request;
    service_id service;
    std::string key;
    std::optional<key_group> group;
    instance_id instance;
    backend_server_id server;
    failure_domain_id domain;
    std::optional<revision> document;
    // Digest of the answer, and of the one that belongs to the request.
    std::string digest;
    std::string expected_digest;
    bool idempotent = true;
    bool tolerated = true;
    // Requests at once that the server can handle.
    std::optional<std::uint32_t> limit;

    bool operator==(const history_event&) const = default;
};

// Returns the event as one line of JSON without a line end. Fields with their
// default values are left out.
std::string encode_line(const history_event& event);

// Throws `error` of kind `internal` with the path, the value seen and what was
// expected.
history_event decode_line(std::string_view line);

// Returns the events of a file. An incomplete last line is dropped, because a
// process that was killed may leave one; any other bad line throws `error` of
// kind `internal` with its number.
std::vector<history_event> decode_history(std::string_view text);

// Returns all events, ordered by invocation.
std::vector<history_event> merge_histories(
    std::span<const std::vector<history_event>> histories);

} // namespace filberthub

#endif
