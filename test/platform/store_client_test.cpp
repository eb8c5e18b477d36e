// What the client of the platform makes of odd replies.

#include "net/loop.hpp"

#include <filberthub/net/http_listener.hpp>
#include <filberthub/platform/store_client.hpp>
#include <filberthub/telemetry/rejected_input.hpp>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

// Answers each call with a body that the test sets.
class store_client_test : public testing::Test
{
protected:
    store_client_test()
        : listener_({}, [this](const std::shared_ptr<http_exchange>& exchange) {
              http_response response;
              response.body = body_;
              exchange->respond(std::move(response));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    // Returns the listed instances, or nothing if the list is not available.
    std::optional<std::vector<listed_process>> list(const std::string& body)
    {
        body_ = body;
        store_client client(listener_.address());
        std::optional<std::vector<listed_process>> result;
        bool answered = false;
        client.list_instances(
            [&](bool available, std::vector<listed_process> listed) {
                answered = true;
                if (available)
                    result = std::move(listed);
            });
        EXPECT_TRUE(test::run_until([&] { return answered; }));
        return result;
    }

private:
    http_listener listener_;
    std::string body_;
};

std::string entry(const std::string& id)
{
    return R"({"id":")" + id + R"(","domain":"a","peer":"127.0.0.1:1",
        "caller":"127.0.0.1:2","operator":"127.0.0.1:3","state":"live"})";
}

// Guards against an instance that never finds the others because one entry of
// the list is odd.
TEST_F(store_client_test, ListsTheOtherInstancesBesideAnOddEntry)
{
    const std::string nested =
        std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& odd : {std::string("7"), std::string("{}"),
             std::string("null"), std::string("1e999"), nested,
             R"({"id":)" + nested + "}", entry("i\\n"), entry("\xff"),
             entry("\\ud800"), entry(std::string(300, 'i')),
             std::string(R"({"id":"x","domain":"a","peer":"127.0.0.1:99999",
                 "caller":"127.0.0.1:2","operator":"127.0.0.1:3"})")}) {
        const std::uint64_t rejected =
            rejected_count(rejected_input::instance_entry);
        const auto listed =
            list("[" + entry("i-1") + "," + odd + "," + entry("i-2") + "]");
        ASSERT_TRUE(listed) << odd.substr(0, 60);
        ASSERT_EQ(listed->size(), 2U) << odd.substr(0, 60);
        EXPECT_EQ(listed->at(0).id, instance_id("i-1"));
        EXPECT_EQ(listed->at(1).id, instance_id("i-2"));
        EXPECT_EQ(rejected_count(rejected_input::instance_entry), rejected + 1);
    }
}

// Guards against a malformed reply that is taken for an empty list.
TEST_F(store_client_test, RefusesAListThatIsNoArray)
{
    for (const char* body : {"", "{}", "7", "[", R"({"instances":[]})"})
        EXPECT_FALSE(list(body)) << body;
    EXPECT_TRUE(list("[]"));
}

} // namespace
} // namespace filberthub
