#include "net/loop.hpp"

#include "router/feed_messages.hpp"
#include "router/fleet_feed.hpp"
#include "router/peer_messages.hpp"

#include <gtest/gtest.h>

#include <set>

namespace filberthub {
namespace {

using test::run_until;

constexpr std::uint64_t run_id = 7;

versioned_object server_object(std::uint64_t version, const std::string& state)
{
    return {"server/i-1", object_version(version),
        json{{"Service", "maps"}, {"Address", "127.0.0.1:9"}, {"Zone", "a"},
            {"Capacity", 2}, {"State", state}, {"WarmupLeftMs", 0},
            {"Version", "v1"}, {"Sequence", 1}}
            .dump()};
}

// A coordinator and an instance that follows it, at a time that the test sets.
class feed_test : public testing::Test
{
protected:
    feed_test()
        : coordinator_view_(route_settings{}),
          follower_view_(route_settings{}),
          server_(
              coordinator_view_, [](const instance_id&, const load_counts&) {}),
          listener_({},
              [this](std::shared_ptr<http_exchange> exchange) {
                  server_.on_poll(std::move(exchange), run_id, now_);
                  server_.flush(run_id, feed_age{}, now_);
              }),
          client_(
              {instance_id("follower"), {"127.0.0.1", 1}, 1}, follower_view_,
              [] { return load_counts{}; }, [this] { return now_; })
    {
        listener_.listen({"127.0.0.1", 0});
        coordinator_view_.update(server_object(1, "ready"), now_);
        lease_record lease;
        lease.holder = instance_id("coordinator");
        lease.address = listener_.address();
        lease.run_id = run_id;
        client_.follow(lease);
    }

    // Polls as an instance that has followed another coordinator and has all
    // servers up to a version, if there is one. Returns the reply.
    json poll_after_another_coordinator(std::optional<std::uint64_t> version)
    {
        json poll{{"instance", "i"}, {"address", "127.0.0.1:1"},
            {"processor_share", 1}, {"leaving", false},
            {"counts",
                {{"requests", json::object()}, {"paces", json::object()}}},
            {"run", run_id + 1}, {"after", 5}};
        if (version)
            poll["complete"] = {{"server", *version}};
        http_request request;
        request.method = "POST";
        request.target = feed_path;
        request.body = poll.dump();
        http_client instance(listener_.address(), {});
        std::optional<json> reply;
        instance.send(
            std::move(request), milliseconds(1'000), [&](http_result result) {
                reply = result.response ? json::parse(result.response->body)
                                        : json::object();
            });
        EXPECT_TRUE(run_until([&] { return reply.has_value(); }));
        return reply.value_or(json::object());
    }

    const observed_server* follower_server() const
    {
        return follower_view_.servers().find(backend_server_id("i-1"));
    }

    time_point now_ = time_point{} + std::chrono::hours(1);
    deployment_view coordinator_view_;
    deployment_view follower_view_;
    feed_server server_;
    http_listener listener_;
    feed_client client_;
};

// Guards against a follower that sends requests to the owner of keys for too
// long, because the coordinator learned late that the owner is leaving.
TEST_F(feed_test, PassesOnSinceWhenAServerMayBeLeaving)
{
    ASSERT_TRUE(run_until([&] { return follower_server() != nullptr; }));
    ASSERT_TRUE(client_.fresh(now_));
    const time_point missed_since = now_ - milliseconds(1'000);
    coordinator_view_.set_changes_missed_since(missed_since);
    coordinator_view_.update(server_object(2, "draining"), now_);
    coordinator_view_.set_changes_missed_since(std::nullopt);
    server_.flush(run_id, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return follower_server()->entry.draining; }));
    ASSERT_TRUE(follower_server()->unusable_since);
    EXPECT_LE(*follower_server()->unusable_since, missed_since);
}

// Guards against a coordinator of another release, or a faulty one, whose
// reply or published object ends the processes that follow it.
TEST_F(feed_test, SurvivesMalformedPublishedObjects)
{
    const std::string deep = std::string(100'000, '[');
    std::uint64_t version = 10;
    for (const std::string& odd :
        {deep, std::string("{}"), std::string(R"([["i-1","nowhere",1]])"),
            std::string(R"([["i-1","127.0.0.1:1",-1]])"), std::string("7"),
            std::string("[[1]]"), std::string("1e400")}) {
        follower_view_.update(
            {deployment_view::members_key, object_version(++version), odd},
            now_);
        follower_view_.update(
            {deployment_view::served_key(service_id("maps"), 0),
                object_version(++version), odd},
            now_);
    }
    EXPECT_TRUE(follower_view_.members().empty());
    ASSERT_TRUE(run_until([&] { return client_.fresh(now_); }));
}

// Guards against a new coordinator that cannot reach a large fleet in time,
// because it sends the whole view to each instance.
TEST_F(feed_test, SendsOnlyWhatAnInstanceMayLackAfterAnotherCoordinator)
{
    coordinator_view_.set_complete("server", object_version(3));
    coordinator_view_.update({"server/i-2", object_version(6), "{}"}, now_);
    const auto keys_of = [](const json& reply) {
        std::set<std::string> keys;
        for (const json& row : reply.at("facts"))
            keys.insert(row.at(0).get<std::string>());
        return keys;
    };
    const json partial = poll_after_another_coordinator(3);
    EXPECT_EQ(keys_of(partial), std::set<std::string>{"server/i-2"});
    EXPECT_EQ(partial.at("complete").at("server"), 3);
    // Without a complete view it needs everything.
    EXPECT_EQ(keys_of(poll_after_another_coordinator(std::nullopt)),
        (std::set<std::string>{"server/i-1", "server/i-2"}));
}

// Guards against a follower that lacks objects after a change of coordinators,
// because it claims a version up to which it was never complete.
TEST_F(feed_test, IsCompleteOnlyUpToWhatItsCoordinatorIs)
{
    coordinator_view_.set_complete("server", object_version(1));
    coordinator_view_.update(server_object(4, "ready"), now_);
    server_.flush(run_id, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return follower_server() != nullptr; }));
    const complete_versions& complete = follower_view_.objects().complete();
    EXPECT_EQ(complete.at("server"), object_version(1));
}

// An instance of the release before sends neither results nor work.
TEST(FeedMessages, CarriesResultsAndWorkAsOptionalFields)
{
    load_counts counts;
    counts.requests[service_id("maps")][7] = 3;
    counts.work_ms[service_id("maps")][7] = 600;
    counts.results[backend_server_id("i-1")] = {10, 5};
    const json document = encode_counts(counts);
    const load_counts decoded = decode_counts(document);
    EXPECT_EQ(decoded.work_ms, counts.work_ms);
    EXPECT_EQ(decoded.results.at(backend_server_id("i-1")).failures, 5U);
    json earlier = document;
    earlier.erase("work");
    earlier.erase("results");
    EXPECT_EQ(decode_counts(earlier).requests, counts.requests);
    EXPECT_TRUE(decode_counts(earlier).work_ms.empty());
    // An instance of the release before ignores them.
    EXPECT_TRUE(document.contains("requests") && document.contains("paces"));
}

// Guards against a faulty coordinator whose compressed reply ends the processes
// that follow it or takes their memory.
TEST(FeedMessages, RefusesMalformedCompressedReplies)
{
    const std::string text(5'000, 'a');
    http_response response;
    response.body = compress_reply(text);
    response.headers.set("Content-Encoding", reply_encoding);
    EXPECT_EQ(reply_text(response), text);
    EXPECT_LT(response.body.size(), text.size());
    const std::string good = response.body;
    for (const std::string& odd :
        {std::string(), std::string("\x7f"), std::string(8, '\xff'),
            good.substr(0, good.size() / 2), std::string(4, '\0') + good,
            std::string("\0\0\0\7", 4) + good.substr(4)}) {
        response.body = odd;
        EXPECT_THROW(reply_text(response), error) << odd.size();
    }
}

// Guards against an instance of another release, or a faulty one, whose poll
// ends the coordinator.
TEST_F(feed_test, RefusesAPollWithoutAllFields)
{
    const std::string polls[] = {
        R"({"instance":"i","address":"127.0.0.1:1","processor_share":1,
            "leaving":false,"counts":{"requests":{},"paces":{}}})",
        R"({"instance":"i","address":"127.0.0.1:1","processor_share":1,
            "leaving":false,"counts":{},"run":7,"after":0})"};
    http_client instance(listener_.address(), {});
    for (const std::string& poll : polls) {
        http_request request;
        request.method = "POST";
        request.target = feed_path;
        request.body = poll;
        std::optional<int> status;
        instance.send(
            std::move(request), milliseconds(1'000), [&](http_result result) {
                status = result.response ? result.response->status : 0;
            });
        ASSERT_TRUE(run_until([&] { return status.has_value(); }));
        EXPECT_EQ(*status, 400);
    }
    for (const live_instance& member : server_.members())
        EXPECT_NE(member.id.value(), "i");
}

// Guards against a follower that no longer acts on changes after a malformed
// reply.
TEST(FeedClient, ActsOnChangesAfterAMalformedReply)
{
    const std::string rest =
        R"(,"run":7,"change":1,"fleet":2,"hold_ms":400,"store_age_ms":0,
            "view_age_ms":0})";
    std::vector<std::string> replies = {
        R"({"facts":[["server/i-1",1,null,0],["server/i-2",1,7,0]])" + rest,
        R"({"facts":[["server/i-1",2,"null",0]])" + rest};
    std::vector<std::shared_ptr<http_exchange>> waiting;
    std::size_t polls = 0;
    http_listener listener({}, [&](std::shared_ptr<http_exchange> exchange) {
        if (polls >= replies.size()) {
            waiting.push_back(std::move(exchange));
            return;
        }
        http_response response;
        response.body = replies[polls++];
        exchange->respond(std::move(response));
    });
    listener.listen({"127.0.0.1", 0});
    deployment_view view((route_settings()));
    int changes = 0;
    view.on_change([&] { ++changes; });
    const time_point now{std::chrono::hours(1)};
    feed_client client(
        {instance_id("follower"), {"127.0.0.1", 1}, 1}, view,
        [] { return load_counts{}; }, [now] { return now; });
    lease_record lease;
    lease.holder = instance_id("coordinator");
    lease.address = listener.address();
    lease.run_id = 7;
    client.follow(lease);
    ASSERT_TRUE(run_until([&] { return !waiting.empty(); }));
    EXPECT_EQ(polls, 2U);
    EXPECT_EQ(changes, 1);
    EXPECT_EQ(view.objects().last_change(), 1U);
}

// Guards against a datagram that exhausts the stack, and against times whose
// sums overflow.
TEST(peer_messages_test, RefusesNestedDatagrams)
{
    const std::string deep(60'000, '\x81');
    EXPECT_THROW(
        decode_datagram(deep.data(), deep.data() + deep.size()), error);
    const auto bytes = json::to_cbor(json{1, "a", {"b", "c"}, 2});
    const char* begin = reinterpret_cast<const char*>(bytes.data());
    EXPECT_EQ(decode_datagram(begin, begin + bytes.size()).size(), 4U);
    EXPECT_EQ(read_milliseconds(json(UINT64_MAX)), milliseconds(3'600'000));
    EXPECT_EQ(read_milliseconds(json(INT64_MIN)), milliseconds(-3'600'000));
    EXPECT_THROW(read_enum(json(9), send_outcome::cancelled), error);
}

} // namespace
} // namespace filberthub
