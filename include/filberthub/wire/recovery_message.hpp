// Messages that replicate edit intents to witnesses, so that a new holder can
// recover them, and messages that move key groups between servers.
//
//     connection.send(intent_message{server, number, record});

#ifndef FILBERTHUB_WIRE_RECOVERY_MESSAGE_HPP
#define FILBERTHUB_WIRE_RECOVERY_MESSAGE_HPP

#include <filberthub/attempt/intent_log.hpp>
#include <filberthub/base/types.hpp>

#include <cstdint>
#include <vector>

namespace filberthub {

// From a holder to its witnesses: sent before the holder sends a non-idempotent
// request to the server, and again with the outcome.
struct intent_message
{
    backend_server_id server;
    // Identifies the message in its acknowledgement; 0 requests none.
    std::uint64_t number = 0;
    intent record;

    bool operator==(const intent_message&) const = default;
};

// From a witness: its reply to the intent message of the same number.
struct intent_ack_message
{
    std::uint64_t number = 0;
    instance_id from;
    intent_reply reply = intent_reply::full;

    bool operator==(const intent_ack_message&) const = default;
};

// From a new holder to the witnesses of an earlier one: requests their intents.
struct collect_message
{
    backend_server_id server;
    std::uint64_t number = 0;
    // Token of the new holder.
    fencing_token token;

    bool operator==(const collect_message&) const = default;
};

// From a witness: its reply to the collect message of the same number, with all
// intents that it has for the server.
struct collected_message
{
    backend_server_id server;
    std::uint64_t number = 0;
    instance_id from;
    // See `collect_reply`.
    bool complete = false;
    bool former_holder = false;
    std::vector<intent> intents;

    bool operator==(const collected_message&) const = default;
};

// From a holder to a witness that may have lost its log in a restart: all
// intents of the server.
struct synchronize_message
{
    backend_server_id server;
    fencing_token token;
    // Incarnation of the witness that this message is addressed to.
    incarnation receiver;
    std::vector<intent> intents;

    bool operator==(const synchronize_message&) const = default;
};

// From the holder of `server`: the server no longer serves the key group, and
// has no request for it in progress.
struct group_released_message
{
    service_id service;
    key_group group;
    // Group token of the move that this release belongs to.
    std::uint32_t token = 0;
    backend_server_id server;

    bool operator==(const group_released_message&) const = default;
};

} // namespace filberthub

#endif
