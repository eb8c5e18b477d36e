#include <filberthub/base/error.hpp>
#include <filberthub/http/message.hpp>

#include <algorithm>
#include <array>

namespace filberthub {
namespace {

char to_lower(char character)
{
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character + 32)
               : character;
}

std::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Content";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

// A line break in a value would let a caller inject fields or whole messages.
void refuse_line_breaks(std::string_view text)
{
    constexpr std::string_view forbidden("\r\n\0", 3);
    if (text.find_first_of(forbidden) != std::string_view::npos) {
        throw error(error_kind::bad_request,
            "a header field or target contains CR, LF or NUL");
    }
}

void append_headers(std::string& bytes, const http_headers& headers)
{
    for (const http_headers::field& item : headers.fields()) {
        refuse_line_breaks(item.name);
        refuse_line_breaks(item.value);
        bytes += item.name;
        bytes += ": ";
        bytes += item.value;
        bytes += "\r\n";
    }
}

void append_end(std::string& bytes, std::size_t body_size, bool keep_alive)
{
    bytes += "Content-Length: ";
    bytes += std::to_string(body_size);
    bytes += keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
}

// Bytes reserved for a head.
constexpr std::size_t usual_head_bytes = 256;

void append_head(std::string& bytes, const http_request& request)
{
    refuse_line_breaks(request.target);
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    append_headers(bytes, request.headers);
    append_end(bytes, request.content().size(), request.keep_alive);
}

void append_head(std::string& bytes, const http_response& response)
{
    bytes += "HTTP/1.1 ";
    bytes += std::to_string(response.status);
    bytes += ' ';
    bytes += reason_phrase(response.status);
    bytes += "\r\n";
    append_headers(bytes, response.headers);
    append_end(bytes, response.body.size(), response.keep_alive);
}

} // namespace

bool same_header_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::optional<std::string_view> http_headers::get(std::string_view name) const
{
    for (const field& item : fields_) {
        if (same_header_name(item.name, name))
            return item.value;
    }
    return std::nullopt;
}

void http_headers::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void http_headers::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(fields_,
        [&](const field& item) { return same_header_name(item.name, name); });
}

void remove_hop_by_hop_fields(http_headers& headers)
{
    constexpr std::array<std::string_view, 9> names = {"Connection",
        "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Content-Length", "Expect"};
    for (const std::string_view name : names)
        headers.remove(name);
}

std::string encode(const http_request& request)
{
    const std::string& body = request.content();
    std::string bytes;
    bytes.reserve(usual_head_bytes + body.size());
    append_head(bytes, request);
    bytes += body;
    return bytes;
}

std::string encode(const http_response& response)
{
    std::string bytes;
    bytes.reserve(usual_head_bytes + response.body.size());
    append_head(bytes, response);
    bytes += response.body;
    return bytes;
}

std::string encode_head(const http_request& request)
{
    std::string bytes;
    bytes.reserve(usual_head_bytes);
    append_head(bytes, request);
    return bytes;
}

std::string encode_head(const http_response& response)
{
    std::string bytes;
    bytes.reserve(usual_head_bytes);
    append_head(bytes, response);
    return bytes;
}

} // namespace filberthub
