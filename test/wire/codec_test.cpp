#include <filberthub/wire/codec.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

const member_key member{instance_id("se-mitt-1"), incarnation(7)};

// Returns one message of each type.
std::vector<peer_message> sample_messages()
{
    forward_message forward;
    forward.number = forward_number(9);
    forward.service = service_id("kartlas");
    forward.server = backend_server_id("kartlas-3");
    forward.keyed = true;
    forward.group = key_group(77);
    forward.group_token = 12;
    forward.remaining_ms = 250;
    forward.request_priority = priority::rescue;
    forward.idempotent = false;
    forward.id = request_id("r-1");
    forward.recorded = true;
    forward.traceparent = "00-a-b-01";
    forward.method = "GET";
    forward.target = "/kartlas/7";
    forward.headers = {{"A", "b"}, {"C", std::string(9000, 'x')}};
    forward.body = std::string("\0binary", 7);

    answer_message answer;
    answer.number = forward_number(9);
    answer.kind = error_kind::overloaded;
    answer.message = "queue is full";
    answer.status = 200;
    answer.headers = {{"E", "f"}};
    answer.body = std::string(100'000, 'b');
    answer.load = {1, 2, 3, 4};

    heartbeat beat{
        member, 3, object_version(4), {backend_server_id("kartlas-1")}, {}};
    beat.known.policy = revision(5);
    beat.known.ownership = {{service_id("kartlas"), object_version(6)}};
    heartbeat_ack ack{member, member, 3, object_version(4), {}, {}};
    ack.known.store_age = duration(17);
    ack.evidence = {object_version(4), {0x12, 0xf0}};

    const intent record{{1, 2}, fencing_token(3), 4, intent_state::unknown};
    const backend_server_id server("kartskriv-2");
    return {hello_message{member.instance, member.run}, forward, answer,
        cancel_message{forward_number(9)}, beat, ack,
        expiry_query{member, member, 8},
        lease_expired{
            member, member, member, 8, duration(9), object_version(1), {}},
        released{member, server, object_version(2), object_version(3)},
        member_status{member, true, object_version(2), true},
        intent_message{server, 1, record},
        intent_ack_message{1, member.instance, intent_reply::former_holder},
        collect_message{server, 2, fencing_token(5)},
        collected_message{server, 2, member.instance, true, true, {record}},
        synchronize_message{
            server, fencing_token(5), incarnation(6), {record, record}},
        pull_message{"policy/root", object_version(2)},
        pulled_object_message{"policy/root", object_version(3), "{}"},
        group_released_message{service_id("kartlas"), key_group(1), 2, server}};
}

// Guards against a field that is encoded into one place and decoded from
// another, and against a message that is lost when it arrives in several
// pieces.
TEST(PeerMessage, KeepsItsFieldsWhenDecodedFromPieces)
{
    std::string bytes;
    for (const peer_message& message : sample_messages())
        bytes += encode(message);
    frame_decoder decoder;
    std::vector<peer_message> decoded;
    for (std::size_t offset = 0; offset < bytes.size(); offset += 1000) {
        decoder.feed(std::string_view(bytes).substr(offset, 1000));
        while (auto message = decoder.next())
            decoded.push_back(std::move(*message));
    }
    EXPECT_EQ(decoded, sample_messages());
}

// Guards against accepting a corrupt frame header, and against buffering or
// allocating as many bytes as it claims.
TEST(FrameDecoder, RejectsInvalidAndOversizedFrames)
{
    for (const std::string& bytes :
        {std::string(64, '\xff'),
            std::string("\0\0\0\0\xff\xff\xff\x7f", 8) + std::string(8, 'a')}) {
        frame_decoder decoder;
        decoder.feed(bytes);
        EXPECT_THROW(decoder.next(), error);
    }
}

// Guards against a crash, or an error of another kind, when a message arrives
// with a flipped bit.
TEST(FrameDecoder, DoesNotCrashOnFlippedBits)
{
    for (const peer_message& message : sample_messages()) {
        const std::string encoded = encode(message);
        const std::size_t bits = std::min<std::size_t>(encoded.size(), 600) * 8;
        for (std::size_t bit = 0; bit < bits; bit += 3) {
            std::string bytes = encoded;
            bytes[bit / 8] =
                static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
            frame_decoder decoder;
            decoder.feed(bytes);
            try {
                decoder.next();
            } catch (const error& failure) {
                EXPECT_EQ(failure.kind(), error_kind::bad_peer_message);
            }
        }
    }
}

} // namespace
} // namespace filberthub
