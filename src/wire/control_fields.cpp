#include "wire/control_fields.hpp"

namespace filberthub::detail {

using wire::schema::Message;

namespace {

// Value of `Known.storeAgeNs` if the store has never confirmed the revisions.
constexpr std::int64_t never_confirmed = -1;

void write_revisions(
    wire::schema::Known::Builder builder, const revision_summary& value)
{
    builder.setPolicy(value.policy.value());
    builder.setFleet(value.fleet.value());
    auto list =
        builder.initOwnership(static_cast<unsigned>(value.ownership.size()));
    unsigned index = 0;
    for (const auto& [service, version] : value.ownership) {
        auto item = list[index++];
        item.setService(text(service));
        item.setVersion(version.value());
    }
    builder.setStoreAgeNs(
        value.store_age ? static_cast<std::int64_t>(value.store_age->count())
                        : never_confirmed);
}

revision_summary read_revisions(wire::schema::Known::Reader reader)
{
    revision_summary value;
    value.policy = revision(reader.getPolicy());
    value.fleet = object_version(reader.getFleet());
    value.ownership.reserve(reader.getOwnership().size());
    for (const auto item : reader.getOwnership()) {
        value.ownership.emplace_back(read_name<service_id>(item.getService()),
            object_version(item.getVersion()));
    }
    if (reader.getStoreAgeNs() >= 0)
        value.store_age = duration(reader.getStoreAgeNs());
    return value;
}

void write_intent(
    wire::schema::IntentRecord::Builder builder, const intent& value)
{
    builder.setKeyHigh(value.key.high);
    builder.setKeyLow(value.key.low);
    builder.setHolder(value.holder.value());
    builder.setRun(value.run);
    builder.setState(static_cast<std::uint8_t>(value.state));
}

template <class List>
void write_intents(List list, const std::vector<intent>& intents)
{
    unsigned index = 0;
    for (const intent& record : intents)
        write_intent(list[index++], record);
}

intent read_intent(wire::schema::IntentRecord::Reader reader)
{
    if (reader.getState() > static_cast<std::uint8_t>(intent_state::not_run)) {
        throw error(error_kind::bad_peer_message,
            "intent state " + std::to_string(reader.getState()) +
                " is not known");
    }
    return {.key = {reader.getKeyHigh(), reader.getKeyLow()},
        .holder = fencing_token(reader.getHolder()),
        .run = reader.getRun(),
        .state = static_cast<intent_state>(reader.getState())};
}

template <class List>
std::vector<intent> read_intents(List list)
{
    std::vector<intent> intents;
    intents.reserve(list.size());
    for (const auto item : list)
        intents.push_back(read_intent(item));
    return intents;
}

} // namespace

void write(Message::Builder builder, const heartbeat& value)
{
    auto out = builder.initHeartbeat();
    write_member(out.initFrom(), value.from);
    out.setNumber(value.number);
    out.setFleet(value.fleet.value());
    write_server_ids(
        out.initRetired(static_cast<unsigned>(value.retired.size())),
        value.retired);
    write_revisions(out.initKnown(), value.known);
}

void write(Message::Builder builder, const heartbeat_ack& value)
{
    auto out = builder.initHeartbeatAck();
    write_member(out.initFrom(), value.from);
    write_member(out.initTo(), value.to);
    out.setNumber(value.number);
    out.setFleet(value.fleet.value());
    write_revisions(out.initKnown(), value.known);
    out.setEvidenceFleet(value.evidence.fleet.value());
    out.setEvidence(
        {value.evidence.nibbles.data(), value.evidence.nibbles.size()});
}

void write(Message::Builder builder, const expiry_query& value)
{
    auto out = builder.initExpiryQuery();
    write_member(out.initFrom(), value.from);
    write_member(out.initMember(), value.member);
    out.setRound(value.round);
}

void write(Message::Builder builder, const lease_expired& value)
{
    auto out = builder.initLeaseExpired();
    write_member(out.initFrom(), value.from);
    write_member(out.initMember(), value.member);
    write_member(out.initTo(), value.to);
    out.setRound(value.round);
    out.setSilenceNs(value.silence.count());
    out.setFleet(value.fleet.value());
    write_server_ids(
        out.initRetired(static_cast<unsigned>(value.retired.size())),
        value.retired);
}

void write(Message::Builder builder, const released& value)
{
    auto out = builder.initReleased();
    write_member(out.initFrom(), value.from);
    out.setServer(text(value.server));
    out.setSince(value.since.value());
    out.setFleet(value.fleet.value());
}

void write(Message::Builder builder, const member_status& value)
{
    auto out = builder.initMemberStatus();
    write_member(out.initFrom(), value.from);
    out.setReady(value.ready);
    out.setSettled(value.settled.value());
    out.setDeparted(value.departed);
}

void write(Message::Builder builder, const intent_message& value)
{
    auto out = builder.initIntent();
    out.setServer(text(value.server));
    out.setNumber(value.number);
    write_intent(out.initRecord(), value.record);
}

void write(Message::Builder builder, const intent_ack_message& value)
{
    auto out = builder.initIntentAck();
    out.setNumber(value.number);
    out.setFrom(text(value.from));
    out.setReply(static_cast<std::uint8_t>(value.reply));
}

void write(Message::Builder builder, const collect_message& value)
{
    auto out = builder.initCollect();
    out.setServer(text(value.server));
    out.setNumber(value.number);
    out.setToken(value.token.value());
}

void write(Message::Builder builder, const collected_message& value)
{
    auto out = builder.initCollected();
    out.setServer(text(value.server));
    out.setNumber(value.number);
    out.setFrom(text(value.from));
    out.setComplete(value.complete);
    out.setFormerHolder(value.former_holder);
    write_intents(out.initRecords(static_cast<unsigned>(value.intents.size())),
        value.intents);
}

void write(Message::Builder builder, const synchronize_message& value)
{
    auto out = builder.initSynchronize();
    out.setServer(text(value.server));
    out.setToken(value.token.value());
    out.setReceiver(value.receiver.value());
    write_intents(out.initRecords(static_cast<unsigned>(value.intents.size())),
        value.intents);
}

void write(Message::Builder builder, const group_released_message& value)
{
    auto out = builder.initGroupReleased();
    out.setService(text(value.service));
    out.setGroup(value.group.value());
    out.setToken(value.token);
    out.setServer(text(value.server));
}

heartbeat read(wire::schema::Heartbeat::Reader reader)
{
    heartbeat value;
    value.from = read_member(reader.getFrom());
    value.number = reader.getNumber();
    value.fleet = object_version(reader.getFleet());
    value.retired = read_server_ids(reader.getRetired());
    value.known = read_revisions(reader.getKnown());
    return value;
}

heartbeat_ack read(wire::schema::HeartbeatAck::Reader reader)
{
    heartbeat_ack value;
    value.from = read_member(reader.getFrom());
    value.to = read_member(reader.getTo());
    value.number = reader.getNumber();
    value.fleet = object_version(reader.getFleet());
    value.known = read_revisions(reader.getKnown());
    value.evidence.fleet = object_version(reader.getEvidenceFleet());
    const auto nibbles = reader.getEvidence();
    value.evidence.nibbles.assign(nibbles.begin(), nibbles.end());
    return value;
}

expiry_query read(wire::schema::ExpiryQuery::Reader reader)
{
    return {.from = read_member(reader.getFrom()),
        .member = read_member(reader.getMember()),
        .round = reader.getRound()};
}

lease_expired read(wire::schema::LeaseExpired::Reader reader)
{
    return {.from = read_member(reader.getFrom()),
        .member = read_member(reader.getMember()),
        .to = read_member(reader.getTo()),
        .round = reader.getRound(),
        .silence = duration(reader.getSilenceNs()),
        .fleet = object_version(reader.getFleet()),
        .retired = read_server_ids(reader.getRetired())};
}

released read(wire::schema::Released::Reader reader)
{
    return {.from = read_member(reader.getFrom()),
        .server = read_name<backend_server_id>(reader.getServer()),
        .since = object_version(reader.getSince()),
        .fleet = object_version(reader.getFleet())};
}

member_status read(wire::schema::MemberStatus::Reader reader)
{
    return {.from = read_member(reader.getFrom()),
        .ready = reader.getReady(),
        .settled = object_version(reader.getSettled()),
        .departed = reader.getDeparted()};
}

intent_message read(wire::schema::Intent::Reader reader)
{
    return {.server = read_name<backend_server_id>(reader.getServer()),
        .number = reader.getNumber(),
        .record = read_intent(reader.getRecord())};
}

intent_ack_message read(wire::schema::IntentAck::Reader reader)
{
    // A reply that this release does not know must not count as recorded. It is
    // treated like a full log, which stops the request.
    const bool recorded =
        reader.getReply() == static_cast<std::uint8_t>(intent_reply::recorded);
    const bool former_holder_reply =
        reader.getReply() ==
        static_cast<std::uint8_t>(intent_reply::former_holder);
    return {.number = reader.getNumber(),
        .from = read_name<instance_id>(reader.getFrom()),
        .reply = recorded              ? intent_reply::recorded
                 : former_holder_reply ? intent_reply::former_holder
                                       : intent_reply::full};
}

collect_message read(wire::schema::Collect::Reader reader)
{
    return {.server = read_name<backend_server_id>(reader.getServer()),
        .number = reader.getNumber(),
        .token = fencing_token(reader.getToken())};
}

collected_message read(wire::schema::Collected::Reader reader)
{
    return {.server = read_name<backend_server_id>(reader.getServer()),
        .number = reader.getNumber(),
        .from = read_name<instance_id>(reader.getFrom()),
        .complete = reader.getComplete(),
        .former_holder = reader.getFormerHolder(),
        .intents = read_intents(reader.getRecords())};
}

synchronize_message read(wire::schema::Synchronize::Reader reader)
{
    return {.server = read_name<backend_server_id>(reader.getServer()),
        .token = fencing_token(reader.getToken()),
        .receiver = incarnation(reader.getReceiver()),
        .intents = read_intents(reader.getRecords())};
}

group_released_message read(wire::schema::GroupReleased::Reader reader)
{
    return {.service = read_name<service_id>(reader.getService()),
        .group = key_group(reader.getGroup()),
        .token = reader.getToken(),
        .server = read_name<backend_server_id>(reader.getServer())};
}

} // namespace filberthub::detail
