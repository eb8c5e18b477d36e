// Conversions between the messages for leases, takeover and recovery and their
// Cap'n Proto fields. Internal to `wire`.

#ifndef FILBERTHUB_WIRE_CONTROL_FIELDS_HPP
#define FILBERTHUB_WIRE_CONTROL_FIELDS_HPP

#include "wire/fields.hpp"

#include <filberthub/wire/recovery_message.hpp>

namespace filberthub::detail {

// Each overload sets the union of a message to the fields of `value`.
void write(wire::schema::Message::Builder builder, const heartbeat& value);
void write(wire::schema::Message::Builder builder, const heartbeat_ack& value);
void write(wire::schema::Message::Builder builder, const expiry_query& value);
void write(wire::schema::Message::Builder builder, const lease_expired& value);
void write(wire::schema::Message::Builder builder, const released& value);
void write(wire::schema::Message::Builder builder, const member_status& value);
void write(wire::schema::Message::Builder builder, const intent_message& value);
void write(
    wire::schema::Message::Builder builder, const intent_ack_message& value);
void write(
    wire::schema::Message::Builder builder, const collect_message& value);
void write(
    wire::schema::Message::Builder builder, const collected_message& value);
void write(
    wire::schema::Message::Builder builder, const synchronize_message& value);
void write(wire::schema::Message::Builder builder,
    const group_released_message& value);

// Each overload reads the fields of one message. Those that read intents throw
// `error` of kind `bad_peer_message` if the state of an intent is not known.
heartbeat read(wire::schema::Heartbeat::Reader reader);
heartbeat_ack read(wire::schema::HeartbeatAck::Reader reader);
expiry_query read(wire::schema::ExpiryQuery::Reader reader);
lease_expired read(wire::schema::LeaseExpired::Reader reader);
released read(wire::schema::Released::Reader reader);
member_status read(wire::schema::MemberStatus::Reader reader);
intent_message read(wire::schema::Intent::Reader reader);
intent_ack_message read(wire::schema::IntentAck::Reader reader);
collect_message read(wire::schema::Collect::Reader reader);
collected_message read(wire::schema::Collected::Reader reader);
synchronize_message read(wire::schema::Synchronize::Reader reader);
group_released_message read(wire::schema::GroupReleased::Reader reader);

} // namespace filberthub::detail

#endif
