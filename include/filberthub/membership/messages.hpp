// Messages of the lease protocol as plain structs, which the library `wire`
// encodes.
//
//     heartbeat message = *lease.heartbeat_due(now);

#ifndef FILBERTHUB_MEMBERSHIP_MESSAGES_HPP
#define FILBERTHUB_MEMBERSHIP_MESSAGES_HPP

#include <filberthub/base/revision_summary.hpp>
#include <filberthub/base/types.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace filberthub {

// One process run of an instance. Leases and places in holder lists belong to a
// run, not to the instance.
struct member_key
{
    instance_id instance;
    incarnation run;

    // clang-tidy 14 takes the 0 of a generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const member_key&) const = default;
};

// Ages of the sender's evidence of each member. Entry i is the age for member i
// of the fleet table of version `fleet`, in steps of 250 ms rounded up; 15
// means no evidence within the last 3 s. Flags without an age would be passed
// around in cycles and confirm each other forever. Two entries share a byte,
// the even one in the low half.
struct member_ages
{
    object_version fleet;
    std::vector<std::uint8_t> nibbles;

    bool operator==(const member_ages&) const = default;
};

// From a member to each of its witnesses, every 250 ms.
struct heartbeat
{
    member_key from;
    std::uint64_t number = 0;
    // Version of the newest fleet table that the sender has received.
    object_version fleet;
    std::vector<backend_server_id> retired;
    revision_summary known;

    bool operator==(const heartbeat&) const = default;
};

// From a witness to the member, one for each heartbeat that it accepts.
struct heartbeat_ack
{
    member_key from;
    member_key to;
    // Number of the heartbeat.
    std::uint64_t number = 0;
    object_version fleet;
    // `evidence` and the store age in `known` are sent only in acks, because
    // the sending time of the heartbeat bounds the transit time of its ack.
    revision_summary known;
    member_ages evidence;

    bool operator==(const heartbeat_ack&) const = default;
};

// From an instance that suspects a member to the member's witnesses.
struct expiry_query
{
    member_key from;
    member_key member;
    // Identifies the round; never 0.
    std::uint64_t round = 0;

    bool operator==(const expiry_query&) const = default;
};

// From a witness that has sent no ack to `member` for the duration `silence`.
// Round 0 marks a notice, which only prompts a query. Any other round answers
// the query of that round and is evidence.
struct lease_expired
{
    member_key from;
    member_key member;
    // Sender of the query; empty in a notice.
    member_key to;
    std::uint64_t round = 0;
    duration silence{};
    object_version fleet;
    // Servers that the member retired, as recorded by this witness.
    std::vector<backend_server_id> retired;

    bool operator==(const lease_expired&) const = default;
};

// From an instance that released its place in the holder list of a server, to
// the other instances in the list and to the planners.
struct released
{
    member_key from;
    backend_server_id server;
    // Version at which the sender was appended; identifies the place.
    object_version since;
    // Fleet version of the token that the sender used last. An instance acts
    // on a release only at this version or a later one.
    object_version fleet;

    bool operator==(const released&) const = default;
};

// From a member to the planners, until the fleet table contains its content.
struct member_status
{
    member_key from;
    // Whether the member has held its lease and may be added to holder lists.
    bool ready = false;
    // The newest version whose change of witnesses a majority of both witness
    // lists has acknowledged.
    object_version settled;
    // Whether the member has left permanently. It then holds no lease and sends
    // no acks.
    bool departed = false;

    bool operator==(const member_status&) const = default;
};

// A message with its recipients.
template <class Message>
struct outgoing
{
    std::vector<instance_id> to;
    Message message;
};

} // namespace filberthub

template <>
struct std::hash<filberthub::member_key>
{
    std::size_t operator()(const filberthub::member_key& key) const
    {
        return std::hash<filberthub::instance_id>()(key.instance) ^
               (std::hash<filberthub::incarnation>()(key.run) *
                   0x9e3779b97f4a7c15U);
    }
};

#endif
