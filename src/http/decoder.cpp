#include <filberthub/base/error.hpp>
#include <filberthub/http/decoder.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace filberthub {
namespace {

namespace beast_http = boost::beast::http;

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Returns the length of the head including its empty line, or nothing if the
// head is incomplete.
std::optional<std::size_t> head_length(std::string_view bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + 4;
}

// Refuses line endings and folded lines that other parsers interpret
// differently.
void check_lines(std::string_view head, error_kind kind)
{
    for (std::size_t at = head.find('\n'); at != std::string_view::npos;
         at = head.find('\n', at + 1)) {
        if (at == 0 || head[at - 1] != '\r')
            throw error(kind, "the head contains a bare LF");
        if (at + 1 < head.size() &&
            (head[at + 1] == ' ' || head[at + 1] == '\t'))
            throw error(kind, "the head contains a folded line");
    }
    if (head.find('\0') != std::string_view::npos)
        throw error(kind, "the head contains a NUL");
}

// Refuses a message whose length two parsers can determine differently.
void check_length_fields(const http_headers& headers, error_kind kind)
{
    int lengths = 0;
    int codings = 0;
    for (const http_headers::field& item : headers.fields()) {
        if (same_header_name(item.name, "Content-Length"))
            ++lengths;
        if (same_header_name(item.name, "Transfer-Encoding")) {
            ++codings;
            if (!same_header_name(item.value, "chunked")) {
                throw error(kind,
                    "transfer coding \"" + item.value + "\" is not chunked");
            }
        }
    }
    if (lengths + codings > 1) {
        throw error(kind,
            "the head has " + std::to_string(lengths) + " Content-Length and " +
                std::to_string(codings) +
                " Transfer-Encoding fields, expected at most one of them");
    }
}

// Refuses an HTTP/1.1 request without exactly one Host field (RFC 9112, 3.2).
// In HTTP/1.0 the field may be absent.
void check_host(const http_request& request, unsigned version)
{
    const auto& fields = request.headers.fields();
    const auto hosts = std::count_if(
        fields.begin(), fields.end(), [](const http_headers::field& item) {
            return same_header_name(item.name, "Host");
        });
    if (hosts > 1 || (hosts == 0 && version >= 11)) {
        throw error(error_kind::bad_request, "the head has " +
                                                 std::to_string(hosts) +
                                                 " Host fields, expected one");
    }
}

// Replaces an absolute target by its path and query. Its host replaces the Host
// field (RFC 9112, 3.2.2).
void normalize_target(http_request& request)
{
    constexpr std::string_view scheme = "http://";
    if (request.target.size() < scheme.size() ||
        !same_header_name(
            std::string_view(request.target).substr(0, scheme.size()), scheme))
        return;
    const std::size_t end = request.target.find_first_of("/?", scheme.size());
    const std::string host = request.target.substr(scheme.size(),
        end == std::string::npos ? std::string::npos : end - scheme.size());
    if (host.empty()) {
        throw error(error_kind::bad_request,
            "target \"" + request.target + "\" has no host");
    }
    request.headers.set("Host", host);
    std::string rest =
        end == std::string::npos ? "/" : request.target.substr(end);
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    request.target = std::move(rest);
}

template <class Message>
http_headers copy_headers(const Message& message)
{
    http_headers headers;
    headers.reserve(16);
    for (const auto& item : message)
        headers.add(view_of(item.name_string()), view_of(item.value()));
    return headers;
}

// Larger buffers are released when they are empty: a client that stops sending
// would keep them.
constexpr std::size_t kept_input_bytes = std::size_t{16} * 1024;
// From this size on, the space of a body without a length is reserved as a
// whole, so that its growth copies no more than this. Untouched space takes no
// memory.
constexpr std::size_t small_body_bytes = std::size_t{1024} * 1024;

void reserve_body(std::string& body, std::size_t limit)
{
    if (body.size() >= small_body_bytes && body.capacity() < limit)
        body.reserve(limit);
}

// Passes `input` to `parser` and removes the bytes that the parser consumed.
// The parser consumes a chunk head or a trailer only as a whole and does not
// limit them, so that one of more than `line_limit` bytes is an error.
template <class Parser>
boost::beast::error_code parse_input(
    Parser& parser, std::string& input, std::size_t line_limit)
{
    std::size_t consumed = 0;
    boost::beast::error_code code;
    while (consumed < input.size() && !parser.is_done()) {
        const std::size_t step =
            parser.put(boost::asio::buffer(
                           input.data() + consumed, input.size() - consumed),
                code);
        consumed += step;
        if (code == beast_http::error::need_more) {
            code = {};
            if (input.size() - consumed > line_limit)
                code = beast_http::error::header_limit;
            break;
        }
        if (code || step == 0)
            break;
    }
    input.erase(0, consumed);
    if (input.empty() && input.capacity() > kept_input_bytes)
        input.shrink_to_fit();
    return code;
}

} // namespace

struct request_decoder::state
{
    using parser_type = beast_http::request_parser<beast_http::string_body>;

    http_limits limits;
    std::string input;
    // Set from the end of a head to the end of its body.
    std::optional<parser_type> parser;
    bool expect_continue = false;

    // Creates the parser if the head is complete.
    void begin_message()
    {
        const std::optional<std::size_t> length = head_length(input);
        if (length.value_or(input.size()) > limits.head_bytes) {
            throw error(error_kind::head_too_large,
                "the head has more than " + std::to_string(limits.head_bytes) +
                    " bytes");
        }
        if (!length) {
            // Otherwise a head with bare LFs would wait for an end that never
            // comes.
            check_lines(input, error_kind::bad_request);
            return;
        }
        check_lines(std::string_view(input).substr(0, *length),
            error_kind::bad_request);
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
        parser->body_limit(limits.body_bytes);
    }

    void check_parse_result(boost::beast::error_code code) const
    {
        if (!code)
            return;
        if (code == beast_http::error::body_limit) {
            throw error(error_kind::body_too_large,
                "the body has more than " + std::to_string(limits.body_bytes) +
                    " bytes");
        }
        throw error(error_kind::bad_request,
            "the request is not valid HTTP/1.1: " + code.message());
    }
};

request_decoder::request_decoder(http_limits limits)
    : state_(std::make_unique<state>())
{
    state_->limits = limits;
}

request_decoder::~request_decoder() = default;
request_decoder::request_decoder(request_decoder&&) noexcept = default;
request_decoder& request_decoder::operator=(
    request_decoder&&) noexcept = default;

void request_decoder::feed(std::string_view bytes)
{
    state_->input.append(bytes);
}

std::optional<http_request> request_decoder::next()
{
    state& self = *state_;
    if (!self.parser) {
        if (self.input.empty())
            return std::nullopt;
        self.begin_message();
        if (!self.parser)
            return std::nullopt;
    }
    const bool had_head = self.parser->is_header_done();
    self.check_parse_result(
        parse_input(*self.parser, self.input, self.limits.head_bytes));
    if (!had_head && self.parser->is_header_done()) {
        const auto& head = self.parser->get();
        check_length_fields(copy_headers(head), error_kind::bad_request);
        self.expect_continue =
            view_of(head[beast_http::field::expect]) == "100-continue";
    }
    if (!self.parser->is_done()) {
        reserve_body(self.parser->get().body(), self.limits.body_bytes);
        return std::nullopt;
    }

    auto message = self.parser->release();
    self.parser.reset();
    self.expect_continue = false;
    if (self.input.empty())
        self.input.shrink_to_fit();
    if (message.version() < 11 && message.version() != 10)
        throw error(error_kind::bad_request, "the version is not HTTP/1.x");
    http_request request;
    request.method = std::string(view_of(message.method_string()));
    request.target = std::string(view_of(message.target()));
    request.headers = copy_headers(message);
    request.keep_alive = message.keep_alive();
    request.body = std::move(message.body());
    check_host(request, message.version());
    normalize_target(request);
    return request;
}

bool request_decoder::in_message() const
{
    return state_->parser.has_value() || !state_->input.empty();
}

std::size_t request_decoder::buffered() const
{
    const std::size_t body =
        state_->parser ? state_->parser->get().body().size() : 0;
    return body + state_->input.size();
}

bool request_decoder::take_expect_continue()
{
    return std::exchange(state_->expect_continue, false);
}

struct response_decoder::state
{
    using parser_type = beast_http::response_parser<beast_http::string_body>;

    http_limits limits;
    std::string input;
    std::optional<parser_type> parser;
    bool head_checked = false;
    bool until_close = false;

    http_response take_response()
    {
        auto message = parser->release();
        parser.reset();
        http_response response;
        response.status = static_cast<int>(message.result_int());
        response.headers = copy_headers(message);
        response.keep_alive = message.keep_alive();
        response.body = std::move(message.body());
        if (response.status < 200) {
            throw error(error_kind::bad_backend_answer,
                "the interim answer " + std::to_string(response.status) +
                    " was not asked for");
        }
        return response;
    }

    void check_head(std::string_view head)
    {
        check_lines(head, error_kind::bad_backend_answer);
        head_checked = true;
    }
};

response_decoder::response_decoder(http_limits limits)
    : state_(std::make_unique<state>())
{
    state_->limits = limits;
}

response_decoder::~response_decoder() = default;
response_decoder::response_decoder(response_decoder&&) noexcept = default;
response_decoder& response_decoder::operator=(
    response_decoder&&) noexcept = default;

void response_decoder::begin(bool head_request, bool until_close)
{
    state_->until_close = until_close;
    state_->parser.emplace();
    // An eager parser of Boost 1.74 goes on to allocate the body after it has
    // found that its length is above the limit.
    state_->parser->eager(false);
    state_->parser->header_limit(
        static_cast<std::uint32_t>(state_->limits.head_bytes));
    state_->parser->body_limit(state_->limits.body_bytes);
    if (head_request)
        state_->parser->skip(true);
    state_->head_checked = false;
}

void response_decoder::feed(std::string_view bytes)
{
    state_->input.append(bytes);
}

std::optional<http_response> response_decoder::next()
{
    state& self = *state_;
    if (!self.parser || self.input.empty())
        return std::nullopt;
    if (!self.head_checked) {
        const std::optional<std::size_t> length = head_length(self.input);
        if (!length) {
            if (self.input.size() > self.limits.head_bytes) {
                throw error(error_kind::bad_backend_answer,
                    "the head of the answer is too large");
            }
            return std::nullopt;
        }
        self.check_head(std::string_view(self.input).substr(0, *length));
    }
    const bool had_head = self.parser->is_header_done();
    const boost::beast::error_code code =
        parse_input(*self.parser, self.input, self.limits.head_bytes);
    if (code) {
        throw error(error_kind::bad_backend_answer,
            "the answer is not valid HTTP/1.1: " + code.message());
    }
    if (!had_head && self.parser->is_header_done()) {
        check_length_fields(
            copy_headers(self.parser->get()), error_kind::bad_backend_answer);
        if (self.parser->need_eof() && !self.until_close) {
            throw error(error_kind::bad_backend_answer,
                "the answer has neither a length nor chunks");
        }
    }
    if (!self.parser->is_done()) {
        reserve_body(self.parser->get().body(), self.limits.body_bytes);
        return std::nullopt;
    }

    return self.take_response();
}

std::optional<http_response> response_decoder::finish()
{
    state& self = *state_;
    if (!self.parser || !self.until_close || !self.parser->is_header_done() ||
        self.parser->is_done() || !self.parser->need_eof())
        return std::nullopt;
    boost::beast::error_code code;
    self.parser->put_eof(code);
    if (code || !self.parser->is_done())
        return std::nullopt;
    return self.take_response();
}

std::size_t response_decoder::buffered() const
{
    const std::size_t body =
        state_->parser ? state_->parser->get().body().size() : 0;
    return body + state_->input.size();
}

bool response_decoder::has_excess() const
{
    return !state_->parser && !state_->input.empty();
}

} // namespace filberthub
