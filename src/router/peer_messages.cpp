#include "router/peer_messages.hpp"

#include <algorithm>

namespace filberthub {
namespace {

// Longest time in a message. Longer ones are cut, so that sums of times do not
// overflow.
constexpr std::int64_t max_message_ms = 3'600'000;
// The list of excluded servers is the only value inside a message.
constexpr std::size_t max_message_depth = 2;

// Stops the parser of the library, which recurses into nested values, at a
// depth that no message has.
class depth_limit : public json::json_sax_t
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }
    bool string(string_t&) override
    {
        return true;
    }
    bool binary(binary_t&) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return false;
    }
    bool key(string_t&) override
    {
        return false;
    }
    bool end_object() override
    {
        return false;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= max_message_depth;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(
        std::size_t, const std::string&, const json::exception&) override
    {
        return false;
    }

private:
    std::size_t depth_ = 0;
};

} // namespace

json decode_datagram(const char* begin, const char* end)
{
    depth_limit limit;
    if (!json::sax_parse(begin, end, &limit, json::input_format_t::cbor)) {
        throw error(
            error_kind::bad_peer_message, "not a flat array of values in CBOR");
    }
    return json::from_cbor(begin, end);
}

milliseconds read_milliseconds(const json& value)
{
    if (value.is_number_unsigned()) {
        return milliseconds(std::min<std::uint64_t>(
            value.get<std::uint64_t>(), max_message_ms));
    }
    return milliseconds(
        std::clamp(value.get<std::int64_t>(), -max_message_ms, max_message_ms));
}

} // namespace filberthub
