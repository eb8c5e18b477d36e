// Events of histories. Each process of a test writes its history while it runs.
// After the test the histories are merged and checked against the guarantees of
// the design.
//
//     history_event event;
//     event.who = "loadgen-1";
//     event.what = event_kind::request;
//     file << encode_line(event) << '\n';
//
// Times are those of the monotonic clock of the host on which all processes of
// the test run. Histories of several hosts cannot be merged.

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

// Kind of an event. The comments name the process that writes it and the fields
// that checkers read in addition to `who`, `what` and the interval.
enum class event_kind : std::uint8_t
{
    // Caller, for each attempt: `request`, `service`, `key`, `instance` (the
    // entry), `result`, `error`, `digest`, `expected_digest`.
    request,
    // Holder, from the first byte sent to a backend server until its answer is
    // complete: `instance`, `server`, `domain`, `request`, `result`.
    dispatch,
    // Backend server, for each request that it executes: `server`, `domain`,
    // `service`, `key`, `token`, `request`, `idempotent`, `result`. The
    // interval ends no later than the grant, as that of `own` ends no later
    // than the lease.
    execute,
    // Holder, while it may admit requests for a group: `service`, `group`,
    // `server`, `token`. The interval ends no later than the lease, even if the
    // process was paused and writes the event later.
    own,
    // Planner, after the commit of an assignment was acknowledged: `service`,
    // `group`, `server`, `token`.
    assigned,
    // Any instance, when it reads an assignment: the fields of `assigned`.
    assignment_read,
    // Test program, when it stops a process or disconnects a domain:
    // `instance`, `server` or `domain`; `tolerated` is false if the loss
    // exceeds those that the guarantees cover.
    loss,
    // Backend server, while it is in cold start: `server`, `limit`.
    cold,
    // Operator, from the accepted command until the domain is back in service:
    // `domain`.
    domain_out,
    // Operator, from the accepted command until the server is removed:
    // `server`.
    leaving,
    // Instance, from SIGTERM until it exits: `instance`.
    shutdown,
    // Operator, when a revision of the policy document was accepted:
    // `document`.
    revision_accepted,
    // Instance, when it has applied a revision: `document`.
    revision_adopted,
    // Instance, while it runs and is connected to the other instances.
    running
};

std::string_view to_string(event_kind value);

// An event with its interval. Fields that do not belong to its kind keep their
// defaults.
struct history_event
{
    // Name of the process that wrote the event. A restarted instance has
    // another name, for example one that contains its incarnation.
    std::string who;
    event_kind what = event_kind::request;
    time_point invoke;
    // End of the interval; nothing if it was not seen.
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
    // Digest of the answer that was received.
    std::string digest;
    // Digest of the answer that belongs to the request.
    std::string expected_digest;
    bool idempotent = true;
    bool tolerated = true;
    // Maximum number of concurrent requests of a server in cold start.
    std::optional<std::uint32_t> limit;

    bool operator==(const history_event&) const = default;
};

// Returns the event as a line of JSON without line feed. Fields with their
// default values are omitted.
std::string encode_line(const history_event& event);

// Returns the event of a line. Throws `error` of kind `internal` with the path,
// the value and what was expected.
history_event decode_line(std::string_view line);

// Returns the events of a file. An incomplete last line is ignored, because a
// killed process may leave one. Throws `error` of kind `internal` with the line
// number for any other malformed line.
std::vector<history_event> decode_history(std::string_view text);

// Returns all events, ordered by the start of their intervals.
std::vector<history_event> merge_histories(
    std::span<const std::vector<history_event>> histories);

} // namespace filberthub

#endif
