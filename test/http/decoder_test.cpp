#include <filberthub/base/error.hpp>
#include <filberthub/http/decoder.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// Returns the kind of error that the decoder throws for `bytes`, if it throws.
std::optional<error_kind> request_error(const std::string& bytes)
{
    request_decoder decoder({.head_bytes = 1024, .body_bytes = 64});
    try {
        decoder.feed(bytes);
        while (decoder.next())
            continue;
    } catch (const error& failure) {
        return failure.kind();
    }
    return std::nullopt;
}

// Segment boundaries can fall anywhere, also within a head, and must not change
// the requests.
TEST(RequestDecoder, SplitsPipelinedRequestsFedByteByByte)
{
    const std::string bytes = "POST /kartskriv/room HTTP/1.1\r\n"
                              "Host: a\r\nContent-Length: 3\r\n\r\nabc"
                              "GET /kartlas/2 HTTP/1.1\r\nHost: a\r\n\r\n";
    request_decoder decoder({});
    std::vector<http_request> requests;
    for (const char byte : bytes) {
        decoder.feed(std::string_view(&byte, 1));
        while (auto request = decoder.next())
            requests.push_back(std::move(*request));
    }
    ASSERT_EQ(requests.size(), 2u);
    EXPECT_EQ(requests[0].body, "abc");
    EXPECT_EQ(requests[1].target, "/kartlas/2");
    EXPECT_FALSE(decoder.in_message());
}

struct refused_request
{
    const char* name;
    std::string bytes;
    error_kind kind;
};

class RefusedRequests : public testing::TestWithParam<refused_request>
{};

// Ambiguous messages allow request smuggling, and oversized ones would grow the
// buffers without bound.
TEST_P(RefusedRequests, HaveTheExpectedErrorKind)
{
    EXPECT_EQ(request_error(GetParam().bytes), GetParam().kind);
}

const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";

INSTANTIATE_TEST_SUITE_P(Malformed, RefusedRequests,
    testing::Values(
        refused_request{"BothLengths",
            head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            error_kind::bad_request},
        refused_request{"ChunkedThenLength",
            head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
                   "0\r\n\r\n",
            error_kind::bad_request},
        refused_request{"DuplicateLengths",
            head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            error_kind::bad_request},
        refused_request{"SameLengthTwice",
            head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            error_kind::bad_request},
        refused_request{"BareLineFeed", "GET / HTTP/1.1\nHost: a\n\n",
            error_kind::bad_request},
        refused_request{
            "FoldedLine", head + "X: a\r\n b\r\n\r\n", error_kind::bad_request},
        refused_request{"UnknownCoding",
            head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            error_kind::bad_request},
        refused_request{"NegativeLength", head + "Content-Length: -1\r\n\r\n",
            error_kind::bad_request},
        refused_request{"Garbage", std::string(32, '\x01') + "\r\n\r\n",
            error_kind::bad_request},
        refused_request{
            "NoHost", "GET / HTTP/1.1\r\n\r\n", error_kind::bad_request},
        refused_request{"TwoHosts",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            error_kind::bad_request},
        refused_request{"AbsoluteTargetWithoutAHost",
            "GET http:///x HTTP/1.1\r\nHost: a\r\n\r\n",
            error_kind::bad_request},
        refused_request{"HugeHead", head + std::string(2000, 'x'),
            error_kind::head_too_large},
        refused_request{"HugeBody", head + "Content-Length: 65\r\n\r\n",
            error_kind::body_too_large},
        refused_request{"HugeBodyThatFollowsAtOnce",
            head + "Content-Length: 999999999999\r\n\r\n" +
                std::string(100, 'x'),
            error_kind::body_too_large},
        refused_request{"HugeChunkExtension",
            head + "Transfer-Encoding: chunked\r\n\r\n1;x=" +
                std::string(2000, 'x'),
            error_kind::bad_request},
        refused_request{"HugeTrailer",
            head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " +
                std::string(2000, 'x'),
            error_kind::bad_request},
        refused_request{"HugeChunk",
            head + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n" +
                std::string(100, 'x'),
            error_kind::body_too_large}),
    [](const auto& row) { return std::string(row.param.name); });

struct accepted_target
{
    const char* name;
    const char* line;
    const char* host;
    const char* target;
};

class AcceptedTargets : public testing::TestWithParam<accepted_target>
{};

// Proxies send targets in absolute form. Such a request must not be refused or
// routed by the wrong host.
TEST_P(AcceptedTargets, AreConvertedToOriginForm)
{
    request_decoder decoder({});
    decoder.feed("GET " + std::string(GetParam().line) + "\r\nHost: a\r\n\r\n");
    const auto request = decoder.next();
    ASSERT_TRUE(request);
    EXPECT_EQ(request->headers.get("Host"), GetParam().host);
    EXPECT_EQ(request->target, GetParam().target);
}

INSTANTIATE_TEST_SUITE_P(Forms, AcceptedTargets,
    testing::Values(accepted_target{"Origin", "/x?y=http://b/ HTTP/1.1", "a",
                        "/x?y=http://b/"},
        accepted_target{"Absolute", "http://b:80/x?y HTTP/1.1", "b:80", "/x?y"},
        accepted_target{"UpperCaseScheme", "HTTP://b/x HTTP/1.1", "b", "/x"},
        accepted_target{"AbsoluteWithoutAPath", "http://b HTTP/1.1", "b", "/"},
        accepted_target{
            "AbsoluteWithAQueryOnly", "http://b?y HTTP/1.1", "b", "/?y"}),
    [](const auto& row) { return std::string(row.param.name); });

// HTTP/1.0 does not require the Host field.
TEST(RequestDecoder, AcceptsAnHttp10RequestWithoutAHost)
{
    EXPECT_FALSE(request_error("GET / HTTP/1.0\r\n\r\n"));
}

// Returns the kind of error that the decoder throws for `bytes`, if it throws.
std::optional<error_kind> response_error(const std::string& bytes)
{
    response_decoder decoder({});
    decoder.begin(false);
    try {
        decoder.feed(bytes);
        decoder.next();
    } catch (const error& failure) {
        return failure.kind();
    }
    return std::nullopt;
}

// Guards against memory for a length above the limit: the process ended, or
// held as much as the server sent.
TEST(ResponseDecoder, RefusesALengthAboveTheLimitWhenTheBodyFollowsAtOnce)
{
    EXPECT_EQ(response_error(
                  "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\na"),
        error_kind::bad_backend_answer);
}

// Guards against a chunk head or a trailer that never ends and fills the
// memory.
TEST(ResponseDecoder, RefusesEndlessLinesBetweenChunks)
{
    const std::string start =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string rest(http_limits{}.head_bytes + 1, '0');
    for (const char* line : {"", "1;a=", "0\r\nA: "}) {
        EXPECT_EQ(
            response_error(start + line + rest), error_kind::bad_backend_answer)
            << line;
    }
}

// Guards against a decoder that stops at the border of two reads.
TEST(ResponseDecoder, DecodesChunksHoweverTheyAreSplit)
{
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        response_decoder decoder({});
        decoder.begin(false);
        std::optional<http_response> response;
        for (std::size_t at = 0; at < bytes.size(); at += size) {
            ASSERT_FALSE(response);
            decoder.feed(bytes.substr(at, size));
            response = decoder.next();
        }
        ASSERT_TRUE(response) << size;
        EXPECT_EQ(response->body, "abcde");
        EXPECT_FALSE(decoder.has_excess());
    }
}

// A truncated response without a length would look complete.
TEST(ResponseDecoder, RefusesAResponseWithoutLengthOrChunks)
{
    EXPECT_EQ(response_error("HTTP/1.1 200 OK\r\n\r\nabc"),
        error_kind::bad_backend_answer);
}

// A caller must not get part of a body as a complete response.
TEST(ResponseDecoder, ReturnsNothingForATruncatedResponse)
{
    response_decoder decoder({});
    decoder.begin(false);
    decoder.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_FALSE(decoder.next());
}

// The second response would otherwise be taken for that of the next request.
TEST(ResponseDecoder, ReportsExcessBytesWhenTheServerRespondsTwice)
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    response_decoder decoder({});
    decoder.begin(false);
    decoder.feed(response + response);
    ASSERT_TRUE(decoder.next());
    EXPECT_TRUE(decoder.has_excess());
}

// The decoder would otherwise wait for a body that is never sent.
TEST(ResponseDecoder, ExpectsNoBodyForAHeadRequest)
{
    response_decoder decoder({});
    decoder.begin(true);
    decoder.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_TRUE(decoder.next());
}

// A line break would let a value inject further header fields.
TEST(HttpMessage, RefusesLineBreaksInHeaderValues)
{
    http_response response;
    response.headers.add("X", "a\r\nSet-Cookie: b");
    EXPECT_THROW(encode(response), error);
}

} // namespace
} // namespace filberthub
