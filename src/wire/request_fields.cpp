#include "wire/fields.hpp"

namespace filberthub::detail {

using wire::schema::Message;

void write(Message::Builder builder, const hello_message& value)
{
    auto out = builder.initHello();
    out.setInstance(text(value.instance));
    out.setIncarnation(value.run.value());
}

void write(Message::Builder builder, const forward_message& value)
{
    auto out = builder.initForward();
    out.setNumber(value.number.value());
    out.setService(text(value.service));
    out.setServer(text(value.server));
    out.setKeyed(value.keyed);
    out.setGroup(value.group.value());
    out.setGroupToken(value.group_token);
    out.setRemainingMs(value.remaining_ms);
    out.setPriority(static_cast<std::uint8_t>(value.request_priority));
    out.setIdempotent(value.idempotent);
    out.setRequestId(text(value.id));
    out.setRecorded(value.recorded);
    out.setTraceparent(text(value.traceparent));
    out.setMethod(text(value.method));
    out.setTarget(text(value.target));
    write_headers(out.initHeaders(static_cast<unsigned>(value.headers.size())),
        value.headers);
    out.setBody(data(value.body));
}

void write(Message::Builder builder, const answer_message& value)
{
    auto out = builder.initAnswer();
    out.setNumber(value.number.value());
    out.setError(static_cast<std::uint8_t>(value.kind));
    out.setMessage(text(value.message));
    out.setStatus(value.status);
    write_headers(out.initHeaders(static_cast<unsigned>(value.headers.size())),
        value.headers);
    out.setBody(data(value.body));
    auto load = out.initLoad();
    load.setInFlight(value.load.in_flight);
    load.setWaiting(value.load.waiting);
    load.setLimit(value.load.limit);
    load.setLatencyUs(value.load.latency_us);
}

void write(Message::Builder builder, const cancel_message& value)
{
    builder.setCancel(value.number.value());
}

void write(Message::Builder builder, const pull_message& value)
{
    auto out = builder.initPull();
    out.setObject(text(value.object));
    out.setKnown(value.known.value());
}

void write(Message::Builder builder, const pulled_object_message& value)
{
    auto out = builder.initNews();
    out.setObject(text(value.object));
    out.setVersion(value.version.value());
    out.setValue(data(value.value));
}

forward_message read(wire::schema::Forward::Reader reader)
{
    if (reader.getPriority() >= priority_count) {
        throw error(error_kind::bad_peer_message,
            "priority " + std::to_string(reader.getPriority()) +
                " is not valid: expected less than " +
                std::to_string(priority_count));
    }
    forward_message value;
    value.number = forward_number(reader.getNumber());
    value.service = read_name<service_id>(reader.getService());
    value.server = read_name<backend_server_id>(reader.getServer());
    value.keyed = reader.getKeyed();
    value.group = key_group(reader.getGroup());
    value.group_token = reader.getGroupToken();
    value.remaining_ms = reader.getRemainingMs();
    value.request_priority = static_cast<priority>(reader.getPriority());
    value.idempotent = reader.getIdempotent();
    value.id = read_name<request_id>(reader.getRequestId());
    value.recorded = reader.getRecorded();
    value.traceparent = read_string(reader.getTraceparent());
    value.method = read_string(reader.getMethod());
    value.target = read_string(reader.getTarget());
    value.headers = read_headers(reader.getHeaders());
    value.body = read_string(reader.getBody());
    return value;
}

answer_message read(wire::schema::Answer::Reader reader)
{
    answer_message value;
    value.number = forward_number(reader.getNumber());
    value.kind = error_kind_from_number(reader.getError());
    value.message = read_string(reader.getMessage());
    value.status = reader.getStatus();
    value.headers = read_headers(reader.getHeaders());
    value.body = read_string(reader.getBody());
    const auto load = reader.getLoad();
    value.load = {.in_flight = load.getInFlight(),
        .waiting = load.getWaiting(),
        .limit = load.getLimit(),
        .latency_us = load.getLatencyUs()};
    return value;
}

} // namespace filberthub::detail
