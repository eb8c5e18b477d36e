// Messages of the lease protocol as plain structs. The library `wire` encodes
// them.
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

// One start of one instance. Leases and places in holder lists belong to it.
struct member_key
{
    instance_id instance;
    incarnation run;

    // clang-tidy 14 takes the 0 of a generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const member_key&) const = default;
};

// How old the sender's evidence of each member is. Entry i is the age of the
// member i of the fleet table of version `fleet`, in steps of 250 ms rounded
// up; 15 stands for no evidence of the last 3 s. Bits without an age would
// confirm each other for ever as they travel in circles. Two entries share a
// byte, the even one in the low half.
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
    // Version of the fleet table that the sender has in full.
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
    // The store age in it and `evidence` are only sent on acks: the sending
    // time of the heartbeat bounds how long an ack was under way.
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

// From a witness: it sent no ack to `member` for the last `silence`. Round 0 is
// a notice, which only suggests a query; another round answers the query of
// that number and is evidence.
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

// From an instance that gave up its place in the holder list of a server, to
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

// From a member to the planners while the fleet table lacks what it says.
struct member_status
{
    member_key from;
    // Whether the member has held its lease. It is then put in holder lists.
    bool ready = false;
    // The newest version whose witness change a majority of both lists has
    // acknowledged.
    object_version settled;
    // Whether the member has left for good: it holds no lease and sends no
    // acks any more.
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
