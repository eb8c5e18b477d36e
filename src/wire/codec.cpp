#include "wire/control_fields.hpp"

#include <filberthub/wire/codec.hpp>

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <array>
#include <cstring>

namespace filberthub {
namespace {

using detail::read_name;
using detail::read_string;
using wire::schema::Message;

peer_message read_message(Message::Reader reader)
{
    switch (reader.which()) {
    case Message::HELLO:
        return hello_message{
            read_name<instance_id>(reader.getHello().getInstance()),
            incarnation(reader.getHello().getIncarnation())};
    case Message::FORWARD:
        return detail::read(reader.getForward());
    case Message::ANSWER:
        return detail::read(reader.getAnswer());
    case Message::CANCEL:
        return cancel_message{forward_number(reader.getCancel())};
    case Message::HEARTBEAT:
        return detail::read(reader.getHeartbeat());
    case Message::HEARTBEAT_ACK:
        return detail::read(reader.getHeartbeatAck());
    case Message::EXPIRY_QUERY:
        return detail::read(reader.getExpiryQuery());
    case Message::LEASE_EXPIRED:
        return detail::read(reader.getLeaseExpired());
    case Message::RELEASED:
        return detail::read(reader.getReleased());
    case Message::MEMBER_STATUS:
        return detail::read(reader.getMemberStatus());
    case Message::INTENT:
        return detail::read(reader.getIntent());
    case Message::INTENT_ACK:
        return detail::read(reader.getIntentAck());
    case Message::COLLECT:
        return detail::read(reader.getCollect());
    case Message::COLLECTED:
        return detail::read(reader.getCollected());
    case Message::PULL:
        return pull_message{read_string(reader.getPull().getObject()),
            object_version(reader.getPull().getKnown())};
    case Message::NEWS:
        return pulled_object_message{read_string(reader.getNews().getObject()),
            object_version(reader.getNews().getVersion()),
            read_string(reader.getNews().getValue())};
    case Message::SYNCHRONIZE:
        return detail::read(reader.getSynchronize());
    case Message::GROUP_RELEASED:
        return detail::read(reader.getGroupReleased());
    }
    throw error(error_kind::bad_peer_message,
        "message type " +
            std::to_string(static_cast<unsigned>(reader.which())) +
            " is not known");
}

// Returns the size in bytes of the frame at the start of `bytes`, as stated by
// the first word of its header. `bytes` has at least one word. Frames with more
// than one segment are rejected.
std::size_t frame_size(std::string_view bytes)
{
    // Cap'n Proto requires aligned words, which `bytes` need not be.
    std::array<std::uint64_t, 1> header{};
    std::memcpy(header.data(), bytes.data(), sizeof(header));
    std::uint32_t extra_segments = 0;
    std::memcpy(&extra_segments, bytes.data(), sizeof(extra_segments));
    if (extra_segments != 0) {
        throw error(error_kind::bad_peer_message,
            "the frame has " + std::to_string(extra_segments + 1ULL) +
                " segments, expected 1");
    }
    return capnp::expectedSizeInWordsFromPrefix(kj::arrayPtr(
               reinterpret_cast<const capnp::word*>(header.data()), 1)) *
           sizeof(capnp::word);
}

// Marks a packed frame. It takes the place of the segment count, which is never
// this large in a frame that is not packed.
constexpr std::uint32_t packed_marker = 0xFFFFFFFE;

struct packed_header
{
    std::uint32_t marker = packed_marker;
    // Of the body that follows, in bytes.
    std::uint32_t size = 0;
};

bool is_packed(const peer_message& message)
{
    return !std::holds_alternative<forward_message>(message) &&
           !std::holds_alternative<answer_message>(message) &&
           !std::holds_alternative<pulled_object_message>(message);
}

std::string encode_packed(capnp::MessageBuilder& builder)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto body = stream.getArray();
    packed_header header;
    header.size = static_cast<std::uint32_t>(body.size());
    std::string bytes(sizeof(header), '\0');
    std::memcpy(bytes.data(), &header, sizeof(header));
    bytes.append(reinterpret_cast<const char*>(body.begin()), body.size());
    return bytes;
}

// Translates errors of Cap'n Proto into `error` of kind `bad_peer_message`.
template <class Decode>
peer_message decode_checked(Decode decode)
{
    try {
        return decode();
    } catch (const kj::Exception& failure) {
        throw error(error_kind::bad_peer_message,
            std::string("the message is not valid: ") +
                failure.getDescription().cStr());
    }
}

void check_size(std::size_t size)
{
    if (size > maximum_message_bytes) {
        throw error(error_kind::bad_peer_message,
            "the message has " + std::to_string(size) + " bytes, limit " +
                std::to_string(maximum_message_bytes));
    }
}

} // namespace

std::string encode(const peer_message& message)
{
    // The first segment has room for the whole message: the decoder rejects
    // frames with more than one segment.
    std::size_t words = 1024;
    if (const auto* forward = std::get_if<forward_message>(&message))
        words += forward->body.size() / sizeof(capnp::word);
    if (const auto* answer = std::get_if<answer_message>(&message))
        words += answer->body.size() / sizeof(capnp::word);
    if (const auto* object = std::get_if<pulled_object_message>(&message))
        words += object->value.size() / sizeof(capnp::word);
    capnp::MallocMessageBuilder builder(static_cast<unsigned>(words));
    std::visit(
        [&](const auto& value) {
            detail::write(builder.initRoot<Message>(), value);
        },
        message);
    if (is_packed(message))
        return encode_packed(builder);
    if (builder.getSegmentsForOutput().size() > 1) {
        // Large headers can exceed the estimate. Copy all into one segment.
        const auto size = builder.getRoot<Message>().asReader().totalSize();
        capnp::MallocMessageBuilder single(
            static_cast<unsigned>(size.wordCount + 16));
        single.setRoot(builder.getRoot<Message>().asReader());
        const auto flat = capnp::messageToFlatArray(single);
        return {flat.asChars().begin(), flat.asChars().size()};
    }
    const auto flat = capnp::messageToFlatArray(builder);
    return {flat.asChars().begin(), flat.asChars().size()};
}

void frame_decoder::feed(std::string_view bytes)
{
    if (consumed_ > 0) {
        input_.erase(0, consumed_);
        consumed_ = 0;
    }
    input_.append(bytes);
}

std::optional<peer_message> frame_decoder::next()
{
    const std::string_view unread = std::string_view(input_).substr(consumed_);
    if (unread.size() < sizeof(capnp::word))
        return std::nullopt;
    packed_header header;
    std::memcpy(&header, unread.data(), sizeof(header));
    if (header.marker == packed_marker)
        return next_packed(unread, header.size);
    const std::size_t size = frame_size(unread);
    check_size(size);
    if (unread.size() < size)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), unread.data(), size);
    consumed_ += size;
    return decode_checked([&] {
        capnp::FlatArrayMessageReader reader(words);
        return read_message(reader.getRoot<Message>());
    });
}

std::optional<peer_message> frame_decoder::next_packed(
    std::string_view unread, std::size_t size)
{
    check_size(size);
    if (unread.size() < sizeof(packed_header) + size)
        return std::nullopt;
    consumed_ += sizeof(packed_header) + size;
    const std::string_view body = unread.substr(sizeof(packed_header), size);
    return decode_checked([&] {
        kj::ArrayInputStream stream(kj::arrayPtr(
            reinterpret_cast<const kj::byte*>(body.data()), body.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords =
            maximum_message_bytes / sizeof(capnp::word);
        capnp::PackedMessageReader reader(stream, options);
        return read_message(reader.getRoot<Message>());
    });
}

} // namespace filberthub
