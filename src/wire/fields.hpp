// Conversions between base types and Cap'n Proto fields, and the fields of the
// messages that forward requests and store objects. Internal to `wire`.

#ifndef FILBERTHUB_WIRE_FIELDS_HPP
#define FILBERTHUB_WIRE_FIELDS_HPP

#include "wire/generated/peer.capnp.h"

#include <filberthub/base/error.hpp>
#include <filberthub/membership/messages.hpp>
#include <filberthub/wire/message.hpp>

#include <string>

namespace filberthub::detail {

// The views that `text` and `data` return refer to `value`.
inline capnp::Text::Reader text(const std::string& value)
{
    return {value.c_str(), value.size()};
}

template <class Tag, std::size_t MaxBytes>
capnp::Text::Reader text(const strong_name<Tag, MaxBytes>& value)
{
    return text(value.value());
}

inline std::string read_string(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

template <class Name>
Name read_name(capnp::Text::Reader value)
{
    if (value.size() == 0)
        return Name();
    if (auto name = Name::from({value.begin(), value.size()}))
        return *std::move(name);
    throw error(error_kind::bad_peer_message,
        "a name of " + std::to_string(value.size()) +
            " bytes in the message is not valid");
}

inline capnp::Data::Reader data(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

inline std::string read_string(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

inline void write_member(
    wire::schema::Member::Builder builder, const member_key& member)
{
    builder.setInstance(text(member.instance));
    builder.setIncarnation(member.run.value());
}

inline member_key read_member(wire::schema::Member::Reader reader)
{
    return {read_name<instance_id>(reader.getInstance()),
        incarnation(reader.getIncarnation())};
}

template <class List>
void write_headers(List list, const header_list& headers)
{
    unsigned index = 0;
    for (const auto& [name, value] : headers) {
        auto item = list[index++];
        item.setName(text(name));
        item.setValue(text(value));
    }
}

template <class List>
header_list read_headers(List list)
{
    header_list headers;
    headers.reserve(list.size());
    for (const auto item : list)
        headers.emplace_back(
            read_string(item.getName()), read_string(item.getValue()));
    return headers;
}

template <class Builder>
void write_server_ids(
    Builder list, const std::vector<backend_server_id>& servers)
{
    unsigned index = 0;
    for (const backend_server_id& server : servers)
        list.set(index++, text(server));
}

template <class List>
std::vector<backend_server_id> read_server_ids(List list)
{
    std::vector<backend_server_id> servers;
    servers.reserve(list.size());
    for (const auto item : list)
        servers.push_back(read_name<backend_server_id>(item));
    return servers;
}

// Each overload sets the union of a message to the fields of `value`.
void write(wire::schema::Message::Builder builder, const hello_message& value);
void write(
    wire::schema::Message::Builder builder, const forward_message& value);
void write(wire::schema::Message::Builder builder, const answer_message& value);
void write(wire::schema::Message::Builder builder, const cancel_message& value);
void write(wire::schema::Message::Builder builder, const pull_message& value);
void write(
    wire::schema::Message::Builder builder, const pulled_object_message& value);

// Throws `error` of kind `bad_peer_message` if the priority is not valid.
forward_message read(wire::schema::Forward::Reader reader);
answer_message read(wire::schema::Answer::Reader reader);

} // namespace filberthub::detail

#endif
