// Fields of responses that concern their connection. Internal to `net`.

#ifndef FILBERTHUB_NET_RESPONSE_FIELDS_HPP
#define FILBERTHUB_NET_RESPONSE_FIELDS_HPP

#include <filberthub/net/http_client.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace filberthub::detail {

// A longer announced idle time is cut to this.
inline constexpr long max_idle_seconds = 86'400;

// Returns the idle timeout in the `Keep-Alive` field, if there is one.
inline std::optional<milliseconds> announced_idle_time(
    const http_response& response)
{
    const auto field = response.headers.get("Keep-Alive");
    if (!field)
        return std::nullopt;
    const std::size_t position = field->find("timeout=");
    if (position == std::string_view::npos)
        return std::nullopt;
    long seconds = 0;
    const char* begin = field->data() + position + 8;
    const auto parsed =
        std::from_chars(begin, field->data() + field->size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0)
        return std::nullopt;
    return milliseconds(std::min(seconds, max_idle_seconds) * 1000);
}

// Removes the exchange number. Throws if it is that of another request: the
// response came late, or the server mixed up its responses.
inline void take_exchange_number(http_response& response, call_number number)
{
    const auto seen = response.headers.get(exchange_header);
    if (seen && *seen != std::to_string(number.value())) {
        throw error(error_kind::bad_backend_answer,
            "the answer has exchange number " + std::string(*seen) +
                ", expected " + std::to_string(number.value()));
    }
    response.headers.remove(exchange_header);
}

} // namespace filberthub::detail

#endif
