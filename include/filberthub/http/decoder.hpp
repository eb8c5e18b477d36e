// Incremental HTTP/1.1 decoders based on the parser of Boost.Beast. They do no
// I/O:
//
//     request_decoder decoder(limits);
//     decoder.feed(bytes);
//     while (auto request = decoder.next())
//         handle(std::move(*request));

#ifndef FILBERTHUB_HTTP_DECODER_HPP
#define FILBERTHUB_HTTP_DECODER_HPP

#include <filberthub/http/message.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace filberthub {

// Maximum sizes of a message in bytes. Larger messages are refused.
struct http_limits
{
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{32} * 1024 * 1024;
};

// Decodes the bytes of one connection into requests. It holds at most one head
// and one body within the limits, plus the bytes that were fed and not yet
// decoded. To prevent request smuggling, it refuses messages that two parsers
// can interpret differently: both length fields, repeated lengths, a bare LF,
// folded lines, unknown transfer codings, and a Host field that is repeated or,
// in HTTP/1.1, missing. The targets that it returns are in origin form: the
// host of an absolute target becomes the Host field.
class request_decoder
{
public:
    explicit request_decoder(http_limits limits);
    ~request_decoder();
    request_decoder(request_decoder&&) noexcept;
    request_decoder& operator=(request_decoder&&) noexcept;

    // Appends bytes that were received on the connection.
    void feed(std::string_view bytes);

    // Returns the next complete request, or nothing if more bytes are needed.
    // Throws `error` of kind `bad_request`, `head_too_large` or
    // `body_too_large`; the connection must then be closed.
    std::optional<http_request> next();

    // Returns whether a request has been received in part.
    bool in_message() const;

    // Returns the number of bytes held for incomplete requests.
    std::size_t buffered() const;

    // Returns true, once per request, if the caller waits for "100 Continue"
    // before it sends the body of the current request.
    bool take_expect_continue();

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Decodes the bytes of a backend connection into the response to the one
// request in flight. A response without a length that is not chunked is refused
// by default, because a truncated one would look complete.
class response_decoder
{
public:
    explicit response_decoder(http_limits limits);
    ~response_decoder();
    response_decoder(response_decoder&&) noexcept;
    response_decoder& operator=(response_decoder&&) noexcept;

    // Call when a request is sent. With `head_request`, the response has no
    // body, whatever its length field says. With `until_close`, a response
    // without a length is accepted and ends when the connection closes; see
    // `finish`.
    void begin(bool head_request, bool until_close = false);

    // Appends bytes that were received on the connection.
    void feed(std::string_view bytes);

    // Returns the response once it is complete. Throws `error` of kind
    // `bad_backend_answer`; the connection must then be closed.
    std::optional<http_response> next();

    // Call when the server has closed the connection without a reset. Returns
    // the response if the close completes it.
    std::optional<http_response> finish();

    // Returns the number of bytes held for an incomplete response.
    std::size_t buffered() const;

    // Returns whether there are bytes after the response or without a request.
    // Such a connection must not be used again.
    bool has_excess() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace filberthub

#endif
