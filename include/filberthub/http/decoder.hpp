// Incremental HTTP/1.1 decoders over Boost.Beast's parser. They do no I/O:
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

// Sizes in bytes above which a message is refused.
struct http_limits
{
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{32} * 1024 * 1024;
};

// Turns the bytes of one connection into requests. It holds at most the head
// limit and the body limit, plus what was fed and not yet decoded. Message
// shapes on which two parsers can disagree are refused: both length fields,
// repeated lengths, a bare LF, folded lines, unknown transfer codings, a Host
// field that is repeated or, in HTTP/1.1, missing. Targets are in origin form:
// the host of an absolute target becomes the Host field.
class request_decoder
{
public:
    explicit request_decoder(http_limits limits);
    ~request_decoder();
    request_decoder(request_decoder&&) noexcept;
    request_decoder& operator=(request_decoder&&) noexcept;

    // Takes the next bytes of the connection.
    void feed(std::string_view bytes);

    // Returns the next complete request, or nothing if bytes are missing.
    // Throws `error` of kind `bad_request`, `head_too_large` or
    // `body_too_large`; the connection has to be closed then.
    std::optional<http_request> next();

    // Whether a request has begun and is not complete.
    bool in_message() const;

    // Bytes held for messages that are not complete.
    std::size_t buffered() const;

    // Whether the head of the current request asks for "100 Continue" before
    // it sends its body. True once per request.
    bool take_expect_continue();

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Turns the bytes of a backend connection into the answer to the one request in
// flight. An answer whose end cannot be proved (no length and no chunks) is
// refused, because a truncated one would look complete.
class response_decoder
{
public:
    explicit response_decoder(http_limits limits);
    ~response_decoder();
    response_decoder(response_decoder&&) noexcept;
    response_decoder& operator=(response_decoder&&) noexcept;

    // To be called when a request is sent. `head_request` tells that the answer
    // has no body whatever its length field says. With `until_close`, an answer
    // without a length ends with its connection, which `finish` reports.
    void begin(bool head_request, bool until_close = false);

    // Takes the next bytes of the connection.
    void feed(std::string_view bytes);

    // Returns the answer once it is complete. Throws `error` of kind
    // `bad_backend_answer`; the connection has to be closed then.
    std::optional<http_response> next();

    // To be called when the server closed the connection in order. Returns the
    // answer if the close completes it.
    std::optional<http_response> finish();

    // Whether bytes remain after the answer, or came without a request. Such a
    // connection must not be used again.
    bool has_excess() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace filberthub

#endif
