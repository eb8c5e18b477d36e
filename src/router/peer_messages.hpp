// Decodes what other instances send: datagrams about gates, and values in them
// and in the messages of the feed. Internal to `router`.
//
//     const json message = decode_datagram(bytes.begin(), bytes.end());
//     const milliseconds wait = read_milliseconds(message.at(4));

#ifndef FILBERTHUB_ROUTER_PEER_MESSAGES_HPP
#define FILBERTHUB_ROUTER_PEER_MESSAGES_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>

namespace filberthub {

// Decodes a datagram, an array in CBOR whose elements are plain values or
// arrays of them. Throws `error` of kind `bad_peer_message` if it is anything
// else.
json decode_datagram(const char* begin, const char* end);

// Returns a time, which is cut to an hour so that sums of times do not
// overflow. Throws `json::exception` if the value is not a number.
milliseconds read_milliseconds(const json& value);

// Returns a value of an enumeration whose last value is `last`. Throws `error`
// of kind `bad_peer_message` if the number is out of range.
template <class Enum>
Enum read_enum(const json& value, Enum last)
{
    const auto number = value.get<std::int64_t>();
    if (number < 0 || number > static_cast<std::int64_t>(last)) {
        throw error(error_kind::bad_peer_message,
            std::to_string(number) + " is not a value from 0 to " +
                std::to_string(static_cast<std::int64_t>(last)));
    }
    return static_cast<Enum>(number);
}

} // namespace filberthub

#endif
