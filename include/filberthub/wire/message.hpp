// Messages of the request path between two instances.
//
//     forward_message message;
//     message.number = number;
//     link.send(encode(message));

#ifndef FILBERTHUB_WIRE_MESSAGE_HPP
#define FILBERTHUB_WIRE_MESSAGE_HPP

#include <filberthub/base/error.hpp>
#include <filberthub/base/types.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace filberthub {

// Number of a forwarded request. It is never used twice on a connection.
using forward_number = strong_number<struct forward_number_tag, std::uint64_t>;

using header_list = std::vector<std::pair<std::string, std::string>>;

// First message of a connection.
struct hello_message
{
    instance_id instance;
    incarnation run;

    bool operator==(const hello_message&) const = default;
};

// A request on its way from the entry instance to the holder of a server.
struct forward_message
{
    forward_number number;
    service_id service;
    backend_server_id server;
    // Whether the service divides its keys; `group` and `group_token` are only
    // used then.
    bool keyed = false;
    key_group group;
    std::uint32_t group_token = 0;
    // Rest of the deadline, counted from the arrival of this message.
    std::uint32_t remaining_ms = 0;
    priority rank = priority::interactive;
    bool idempotent = true;
    request_id id;
    // Whether the home holder has recorded the request id. Its server then
    // only runs it.
    bool recorded = false;
    std::string traceparent;
    std::string method;
    std::string target;
    header_list headers;
    std::string body;

    bool operator==(const forward_message&) const = default;
};

// State of a server's gate, for the choice between servers.
struct server_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    std::uint32_t latency_us = 0;

    bool operator==(const server_load&) const = default;
};

// The result of a forwarded request. `status` is 0 if there is no answer of a
// backend server; `kind` and `message` say why.
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

// The caller of a forwarded request has gone.
struct cancel_message
{
    forward_number number;

    bool operator==(const cancel_message&) const = default;
};

// Asks for the newest known value of a store object.
struct pull_message
{
    std::string object;
    // Version that the sender has; 0 if none. The answer may be a change of it.
    object_version known;

    bool operator==(const pull_message&) const = default;
};

// The value of a store object.
struct pulled_object_message
{
    std::string object;
    object_version version;
    std::string value;

    bool operator==(const pulled_object_message&) const = default;
};

} // namespace filberthub

#endif
