// Cap'n Proto encoding and framing of the messages between instances.
//
//     frame_decoder decoder(limits);
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

// Every message that can travel between two instances.
using peer_message = std::variant<hello_message, forward_message,
    answer_message, cancel_message, heartbeat, heartbeat_ack, expiry_query,
    lease_expired, released, member_status, intent_message, intent_ack_message,
    collect_message, collected_message, pull_message, pulled_object_message,
    group_released_message, synchronize_message>;

// Returns the bytes of one message: requests, answers and news in Cap'n Proto's
// stream framing, and the small control messages in its packed form behind a
// marker and a length. Packing halves heartbeats and acks, which are most of
// the traffic for control, and would only cost time on bodies.
std::string encode(const peer_message& message);

// Bodies have at most 32 MiB; the rest of a message is small.
inline constexpr std::size_t maximum_message_bytes = std::size_t{34} << 20U;

// Splits the bytes of one connection into messages. It holds at most one
// incomplete message and what was fed.
class frame_decoder
{
public:
    void feed(std::string_view bytes);

    // Returns the next complete message, or nothing if bytes are missing.
    // Throws `error` of kind `bad_peer_message`; the connection has to be
    // closed then.
    std::optional<peer_message> next();

private:
    std::optional<peer_message> next_packed(
        std::string_view rest, std::size_t size);

    std::string input_;
    std::size_t consumed_ = 0;
};

} // namespace filberthub

#endif
