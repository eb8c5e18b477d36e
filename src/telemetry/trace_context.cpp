#include <filberthub/telemetry/trace_context.hpp>

#include <algorithm>
#include <cstring>

namespace filberthub {
namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
// Two digits of the version, 32 of the trace, 16 of the span and two of the
// flags, separated by '-'.
constexpr std::size_t header_size = 55;

std::optional<std::uint8_t> hex_digit_value(char character)
{
    if (character >= '0' && character <= '9')
        return static_cast<std::uint8_t>(character - '0');
    if (character >= 'a' && character <= 'f')
        return static_cast<std::uint8_t>(character - 'a' + 10);
    return std::nullopt;
}

template <std::size_t Size>
bool read_hex(std::string_view text, std::array<std::uint8_t, Size>& bytes)
{
    for (std::size_t index = 0; index < Size; ++index) {
        const auto high = hex_digit_value(text[2 * index]);
        const auto low = hex_digit_value(text[2 * index + 1]);
        if (!high || !low)
            return false;
        bytes[index] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return true;
}

template <std::size_t Size>
char* write_hex(char* out, const std::array<std::uint8_t, Size>& bytes)
{
    for (const std::uint8_t byte : bytes) {
        *out++ = hex_digits[byte >> 4];
        *out++ = hex_digits[byte & 0xf];
    }
    return out;
}

template <std::size_t Size>
std::string hex_of(const std::array<std::uint8_t, Size>& bytes)
{
    std::string text(2 * Size, '0');
    write_hex(text.data(), bytes);
    return text;
}

template <class Id>
bool is_zero(const Id& id)
{
    return std::all_of(
        id.begin(), id.end(), [](std::uint8_t byte) { return byte == 0; });
}

template <class Id>
Id random_id(std::mt19937_64& random)
{
    Id id = {};
    do {
        for (std::size_t offset = 0; offset < id.size();
             offset += sizeof(std::uint64_t)) {
            const std::uint64_t bits = random();
            std::memcpy(id.data() + offset, &bits, sizeof(bits));
        }
    } while (is_zero(id));
    return id;
}

} // namespace

std::string to_hex(const trace_id& id)
{
    return hex_of(id);
}

std::string to_hex(const span_id& id)
{
    return hex_of(id);
}

trace_id trace_id_source::next_trace()
{
    return random_id<trace_id>(random_);
}

span_id trace_id_source::next_span()
{
    return random_id<span_id>(random_);
}

bool trace_id_source::sample(std::uint32_t permille)
{
    return random_() % 1000 < permille;
}

std::optional<trace_context> trace_context::parse(std::string_view text)
{
    if (text.size() < header_size || text[2] != '-' || text[35] != '-' ||
        text[52] != '-')
        return std::nullopt;
    std::array<std::uint8_t, 1> version = {};
    std::array<std::uint8_t, 1> flags = {};
    trace_context result;
    if (!read_hex(text.substr(0, 2), version) ||
        !read_hex(text.substr(3, 32), result.trace) ||
        !read_hex(text.substr(36, 16), result.span) ||
        !read_hex(text.substr(53, 2), flags))
        return std::nullopt;
    // Version ff is invalid. Version 00 has no further fields; those of a later
    // version follow another '-'.
    const bool has_more = text.size() > header_size;
    if (version[0] == 0xff || (has_more && version[0] == 0) ||
        (has_more && text[header_size] != '-'))
        return std::nullopt;
    if (is_zero(result.trace) || is_zero(result.span))
        return std::nullopt;
    result.sampled = (flags[0] & 1) != 0;
    return result;
}

trace_context trace_context::start(trace_id_source& ids, bool sampled)
{
    return {ids.next_trace(), ids.next_span(), sampled};
}

trace_context trace_context::child(trace_id_source& ids) const
{
    return {trace, ids.next_span(), sampled};
}

std::string trace_context::to_traceparent() const
{
    std::string text(header_size, '-');
    text[0] = '0';
    text[1] = '0';
    write_hex(text.data() + 3, trace);
    write_hex(text.data() + 36, span);
    text[53] = '0';
    text[54] = sampled ? '1' : '0';
    return text;
}

} // namespace filberthub
