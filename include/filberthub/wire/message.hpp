// Messages that forward requests and store objects between two instances.
//
//     forward_message message;
//     message.number = number;
//     connection.send(message);

#ifndef FILBERTHUB_WIRE_MESSAGE_HPP
#define FILBERTHUB_WIRE_MESSAGE_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace filberthub {

// Identifies a forwarded request on a connection, where it is never reused.
using forward_number = strong_number<struct forward_number_tag, std::uint64_t>;

// HTTP header fields as pairs of name and value, in the order of transmission.
using header_list = std::vector<std::pair<std::string, std::string>>;

// First message on a connection. It identifies the sender.
struct hello_message
{
    instance_id instance;
    incarnation run;

    bool operator==(const hello_message&) const = default;
};

// A request from the entry instance to the instance that holds the server.
struct forward_message
{
    forward_number number;
    service_id service;
    backend_server_id server;
    // Whether the keys of the service are divided into groups. `group` and
    // `group_token` are only set in that case.
    bool keyed = false;
    key_group group;
    std::uint32_t group_token = 0;
    // Time left until the deadline, counted from the arrival of this message.
    std::uint32_t remaining_ms = 0;
    priority request_priority = priority::interactive;
    bool idempotent = true;
    request_id id;
    // Whether the holder of the request id's home has recorded the id. The
    // receiver then runs the request without checking for a repeat.
    bool recorded = false;
    std::string traceparent;
    std::string method;
    std::string target;
    header_list headers;
    std::string body;

    bool operator==(const forward_message&) const = default;
};

// Load of a backend server as seen by its holder. Entry instances compare it to
// choose between servers.
struct server_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    // Maximum number of requests in flight; 0 while the server accepts none.
    std::uint32_t limit = 0;
    std::uint32_t latency_us = 0;

    bool operator==(const server_load&) const = default;
};

// The result of a forwarded request. If the backend server gave no answer,
// `status` is 0, and `kind` and `message` state the reason.
struct answer_message
{
    forward_number number;
    error_kind kind = error_kind::internal;
    std::string message;
    std::uint16_t status = 0;
    header_list headers;
    std::string body;
    server_load load;

    bool operator==(const answer_message&) const = default;
};

// Cancels a forwarded request whose caller has disconnected.
struct cancel_message
{
    forward_number number;

    bool operator==(const cancel_message&) const = default;
};

// Requests the newest value of a store object that the receiver knows.
struct pull_message
{
    std::string object;
    // Version that the sender has, or 0 if it has none. The reply may contain
    // only the changes since this version.
    object_version known;

    bool operator==(const pull_message&) const = default;
};

// Reply to `pull_message`: a store object, either in full or as the changes
// since the version that was named there.
struct pulled_object_message
{
    std::string object;
    object_version version;
    std::string value;

    bool operator==(const pulled_object_message&) const = default;
};

} // namespace filberthub

#endif
