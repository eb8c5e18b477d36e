// Callbacks and requests that fail inside the process.

#include "net/loop.hpp"

#include <filberthub/net/http_client.hpp>
#include <filberthub/net/http_listener.hpp>
#include <filberthub/telemetry/callback_guard.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace filberthub {
namespace {

using test::run_until;

// A listener that answers, or throws for the target "/throw", and a client.
class callback_failure_test : public testing::Test
{
protected:
    callback_failure_test()
        : listener_({}, [this](const std::shared_ptr<http_exchange>& exchange) {
              ++arrived_;
              if (exchange->request().target == "/throw")
                  throw std::runtime_error("expected");
              exchange->respond(http_response{});
          })
    {
        listener_.listen({"127.0.0.1", 0});
        client_ = std::make_unique<http_client>(
            listener_.address(), http_client_options{.max_connections = 1});
    }

    http_result call(const std::string& target, const std::string& value)
    {
        http_request request;
        request.target = target;
        request.headers.set("X-Value", value);
        std::optional<http_result> result;
        client_->send(std::move(request), milliseconds(3'000),
            [&](const http_result& seen) { result = seen; });
        run_until([&] { return result.has_value(); });
        return result.value_or(http_result{});
    }

    int arrived_ = 0;
    http_listener listener_;
    std::unique_ptr<http_client> client_;
    const std::uint64_t failures_ = failed_callback_count();
};

// Guards against a process that ends, or a connection that is lost, because one
// request has a field that cannot be written.
TEST_F(callback_failure_test, FailsOnlyTheRequestThatCannotBeWritten)
{
    ASSERT_TRUE(call("/", "a").response);
    const http_result failed = call("/", "a\nb");
    EXPECT_FALSE(failed.response);
    EXPECT_FALSE(failed.sent);
    EXPECT_EQ(arrived_, 1);
    EXPECT_TRUE(call("/", "c").response);
    EXPECT_EQ(client_->open_connections(), 1U);
    EXPECT_EQ(failed_callback_count(), failures_ + 1);
}

// Guards against a client that stops working after a callback has failed.
TEST_F(callback_failure_test, ServesFurtherCallsAfterACallbackThatThrows)
{
    bool called = false;
    client_->send(http_request{}, milliseconds(3'000), [&](const http_result&) {
        called = true;
        throw std::runtime_error("expected");
    });
    ASSERT_TRUE(run_until([&] { return called; }));
    EXPECT_TRUE(call("/", "a").response);
    EXPECT_EQ(failed_callback_count(), failures_ + 1);
}

// Guards against a request without an answer, and against one that is said not
// to have run although its handler may have passed it on.
TEST_F(callback_failure_test, AnswersARequestWhoseHandlerThrows)
{
    const http_result failed = call("/throw", "a");
    ASSERT_TRUE(failed.response);
    EXPECT_EQ(failed.response->status, 502);
    EXPECT_TRUE(call("/", "a").response);
    EXPECT_EQ(listener_.in_flight(), 0U);
    EXPECT_EQ(failed_callback_count(), failures_ + 1);
}

} // namespace
} // namespace filberthub
