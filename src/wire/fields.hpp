// Conversions between base types and Cap'n Proto fields. Internal to `wire`.

#ifndef FILBERTHUB_WIRE_FIELDS_HPP
#define FILBERTHUB_WIRE_FIELDS_HPP

#include "wire/generated/peer.capnp.h"

#include <filberthub/membership/messages.hpp>
#include <filberthub/wire/message.hpp>

#include <string>

namespace filberthub::detail {

inline capnp::Text::Reader text(const std::string& value)
{
    return {value.c_str(), value.size()};
}

template <class Tag>
capnp::Text::Reader text(const strong_name<Tag>& value)
{
    return text(value.value());
}

inline std::string string_of(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

template <class Name>
Name name_of(capnp::Text::Reader value)
{
    return Name(string_of(value));
}

inline capnp::Data::Reader data(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

inline std::string string_of(capnp::Data::Reader value)
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
    return {name_of<instance_id>(reader.getInstance()),
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
            string_of(item.getName()), string_of(item.getValue()));
    return headers;
}

template <class Builder>
void write_names(Builder list, const std::vector<backend_server_id>& names)
{
    unsigned index = 0;
    for (const backend_server_id& name : names)
        list.set(index++, text(name));
}

template <class List>
std::vector<backend_server_id> read_names(List list)
{
    std::vector<backend_server_id> names;
    names.reserve(list.size());
    for (const auto item : list)
        names.push_back(name_of<backend_server_id>(item));
    return names;
}

// Each overload fills in the member of the union for its type.
void write(wire::schema::Message::Builder builder, const hello_message& value);
void write(
    wire::schema::Message::Builder builder, const forward_message& value);
void write(wire::schema::Message::Builder builder, const answer_message& value);
void write(wire::schema::Message::Builder builder, const cancel_message& value);
void write(wire::schema::Message::Builder builder, const pull_message& value);
void write(
    wire::schema::Message::Builder builder, const pulled_object_message& value);
forward_message read(wire::schema::Forward::Reader reader);
answer_message read(wire::schema::Answer::Reader reader);

} // namespace filberthub::detail

#endif
