// HTTP/1.1 messages as plain values.
//
//     http_request request;
//     request.method = "GET";
//     request.target = "/kartlas/floor?map=7";
//     request.headers.set("Filberthub-Key", "home-7");

#ifndef FILBERTHUB_HTTP_MESSAGE_HPP
#define FILBERTHUB_HTTP_MESSAGE_HPP

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filberthub {

// The header fields of a message in the order in which they were received or
// added. Names are case-insensitive.
class http_headers
{
public:
    struct field
    {
        std::string name;
        std::string value;
    };

    // Returns the value of the first field with this name.
    std::optional<std::string_view> get(std::string_view name) const;

    // Removes all fields with this name and adds one with `value`.
    void set(std::string_view name, std::string_view value);

    // Adds a field, even if there is already one with this name.
    void add(std::string_view name, std::string_view value);

    // Removes all fields with this name.
    void remove(std::string_view name);

    const std::vector<field>& fields() const
    {
        return fields_;
    }

    void reserve(std::size_t count)
    {
        fields_.reserve(count);
    }

private:
    std::vector<field> fields_;
};

// Returns whether two names are equal, ignoring the case of ASCII letters.
bool same_header_name(std::string_view left, std::string_view right);

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    // Whether the connection stays open after the response.
    bool keep_alive = true;
    // If set, the body in place of `body`: that of another request, which is
    // forwarded without a copy.
    std::shared_ptr<const std::string> shared_body;

    const std::string& content() const
    {
        return shared_body ? *shared_body : body;
    }
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    bool keep_alive = true;
};

// Removes the fields that apply to a single connection (RFC 9110, 7.6.1) and
// the length fields, which `encode` adds. Call before a message is forwarded.
void remove_hop_by_hop_fields(http_headers& headers);

// Returns the bytes of the message, with a Content-Length field. Throws `error`
// of kind `bad_request` if a header field or the target contains CR, LF or NUL.
std::string encode(const http_request& request);
std::string encode(const http_response& response);

// The same without the body, which the caller sends afterwards.
std::string encode_head(const http_request& request);
std::string encode_head(const http_response& response);

} // namespace filberthub

#endif
