// Messages for the records that outlive a holder: edit intents and groups that
// move between servers.
//
//     link.send(intent_message{server, number, check.record});

#ifndef FILBERTHUB_WIRE_RECOVERY_MESSAGE_HPP
#define FILBERTHUB_WIRE_RECOVERY_MESSAGE_HPP

#include <filberthub/attempt/intent_log.hpp>
#include <filberthub/base/types.hpp>

#include <cstdint>
#include <vector>

namespace filberthub {

// From a holder to its witnesses: before it sends a non-idempotent request,
// and again with the outcome.
struct intent_message
{
    backend_server_id server;
    // 0 if no acknowledgement is wanted.
    std::uint64_t number = 0;
    intent record;

    bool operator==(const intent_message&) const = default;
};

// From a witness that has handled the intent of that number.
struct intent_ack_message
{
    std::uint64_t number = 0;
    instance_id from;
    intent_reply reply = intent_reply::full;

    bool operator==(const intent_ack_message&) const = default;
};

// From a new holder to the witnesses of an earlier one.
struct collect_message
{
    backend_server_id server;
    std::uint64_t number = 0;
    // Token of the new holder.
    fencing_token token;

    bool operator==(const collect_message&) const = default;
};

// From a witness: all intents that it has for the server.
struct collected_message
{
    backend_server_id server;
    std::uint64_t number = 0;
    instance_id from;
    bool complete = false;
    bool former_holder = false;
    std::vector<intent> intents;

    bool operator==(const collected_message&) const = default;
};

// From a holder to a witness that has restarted: all records.
struct synchronize_message
{
    backend_server_id server;
    fencing_token token;
    // Incarnation of the witness that the records are meant for.
    incarnation receiver;
    std::vector<intent> intents;

    bool operator==(const synchronize_message&) const = default;
};

// From the holder of `server`: the server no longer serves the group, and no
// request for it is in progress there.
struct group_released_message
{
    service_id service;
    key_group group;
    // Token of the move that the release answers.
    std::uint32_t token = 0;
    backend_server_id server;

    bool operator==(const group_released_message&) const = default;
};

} // namespace filberthub

#endif
