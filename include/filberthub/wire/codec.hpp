// Encodes, frames and decodes the messages that instances exchange. The fields
// are encoded with Cap'n Proto.
//
//     socket.write(encode(cancel_message{number}));
//
//     frame_decoder decoder;
//     decoder.feed(bytes);
//     while (auto message = decoder.next())
//         std::visit(handler, std::move(*message));

#ifndef FILBERTHUB_WIRE_CODEC_HPP
#define FILBERTHUB_WIRE_CODEC_HPP

#include <filberthub/membership/messages.hpp>
#include <filberthub/wire/message.hpp>
#include <filberthub/wire/recovery_message.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace filberthub {

// All messages that two instances can exchange.
using peer_message = std::variant<hello_message, forward_message,
    answer_message, cancel_message, heartbeat, heartbeat_ack, expiry_query,
    lease_expired, released, member_status, intent_message, intent_ack_message,
    collect_message, collected_message, pull_message, pulled_object_message,
    group_released_message, synchronize_message>;

// Returns the frame of one message. Forwarded requests, answers and pulled
// objects use Cap'n Proto's stream framing. All other messages use the packed
// form behind a marker and a length: packing halves the size of heartbeats and
// acks, which make up most of the control traffic, but would only cost time on
// bodies.
std::string encode(const peer_message& message);

// Size limit of a frame: 32 MiB for the body and 2 MiB for all other fields.
inline constexpr std::size_t maximum_message_bytes = std::size_t{34} << 20U;

// Splits the byte stream of one connection into messages, in the order in which
// they were sent. It buffers only bytes that were fed and not yet decoded, and
// rejects a frame larger than `maximum_message_bytes` once its header arrives.
class frame_decoder
{
public:
    // Call this with the bytes that the connection has received.
    void feed(std::string_view bytes);

    // Call this after `feed` until it returns nothing. Returns the next
    // complete message, or nothing if more bytes are needed. Throws `error` of
    // kind `bad_peer_message` if the bytes are not valid; the connection must
    // then be closed, because the start of the next frame is unknown.
    std::optional<peer_message> next();

private:
    std::optional<peer_message> next_packed(
        std::string_view unread, std::size_t size);

    std::string input_;
    // Number of bytes at the front of `input_` that have been decoded. They are
    // erased by the next call of `feed`.
    std::size_t consumed_ = 0;
};

} // namespace filberthub

#endif
