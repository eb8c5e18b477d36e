// Time bounds and the feed at the sizes of large fleets, without processes.

#include "net/loop.hpp"

#include "router/feed_messages.hpp"
#include "router/fleet_feed.hpp"

#include <filberthub/routing/key_granter.hpp>

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <filberthub/telemetry/log.hpp>

#include <set>
#include <sstream>

namespace filberthub {
namespace {

using test::run_until;

class fleet_size_test : public testing::TestWithParam<std::size_t>
{};

// Guards against a bound that a healthy but quiet fleet exceeds: at 295
// instances all of them tried to take the lease every two seconds, and left the
// list of members although they polled.
TEST_P(fleet_size_test, BoundsExceedTheWaitOfAPoll)
{
    const fleet_timing timing(GetParam());
    // A reply may take this long on a small processor.
    constexpr milliseconds reply_time(500);
    EXPECT_GE(timing.poll_timeout(), timing.poll_wait() + reply_time);
    EXPECT_GE(timing.member_timeout(), timing.poll_timeout());
    EXPECT_GT(timing.takeover(), timing.poll_timeout());
    EXPECT_GE(timing.max_view_age(), timing.member_timeout());
    // The largest deployments allow 3 s for a change to take effect.
    EXPECT_LT(timing.max_view_age(), milliseconds(3'000));
    EXPECT_LE(fleet_timing::flush_delay(GetParam()), milliseconds(300));
    // What the coordinator announces leads to the same bounds.
    EXPECT_EQ(fleet_timing(timing.poll_wait()).takeover(), timing.takeover());
}

INSTANTIATE_TEST_SUITE_P(Sizes, fleet_size_test,
    testing::Values(1, 24, 128, 295, 480, 1'000, 1'000'000'000));

// Guards against keys of all servers that are refused because their grants end
// before a lost coordinator is replaced, as in a fleet of 295 instances.
TEST(FleetTiming, ReplacesALostCoordinatorBeforeItsGrantsEnd)
{
    // The loop of an instance looks at its state this often.
    const milliseconds tick{100};
    // After its last answer the coordinator renews all grants.
    const time_point lost = time_point{} + std::chrono::hours(1);
    lease_record other;
    other.holder = instance_id("a");
    other.run_id = 1;
    lease_record self;
    self.holder = instance_id("b");
    self.run_id = 2;
    coordinator_lease lease(self, {});
    const fleet_timing timing = fleet_timing::standby();
    lease.set_takeover(timing.takeover());
    lease.set_takeover_jitter(fleet_timing::standby_delay(0));
    lease.on_read(other, 4, lost - std::chrono::minutes(1));
    lease.on_coordinator_answered(lost);
    // The lease is read once the poll has failed.
    time_point now = lost + timing.poll_timeout() + tick;
    other.renewal = 90;
    lease.on_read(other, 99, now);
    while (!lease.next_write(now))
        now += tick;
    const key_granter_options grants;
    EXPECT_LE(now - lost, grants.grant_duration - grants.renewal);
}

// Guards against a coordinator whose work for the answers of servers grows with
// the square of the number of key ranges, and against moves of keys that take
// longer in small deployments.
TEST(FleetTiming, GathersAnswersForAsLongAsTheirWorkTakes)
{
    EXPECT_LE(fleet_timing::answer_delay(30), milliseconds(1));
    EXPECT_GE(fleet_timing::answer_delay(900), milliseconds(20));
    EXPECT_LE(fleet_timing::answer_delay(1'000'000'000), milliseconds(50));
}

// Guards against bounds that a faulty announcement makes useless.
TEST(FleetTiming, BoundsAnAnnouncedWait)
{
    EXPECT_LT(fleet_timing(milliseconds(3'600'000)).max_view_age(),
        milliseconds(3'000));
    EXPECT_EQ(fleet_timing(milliseconds(0)).poll_wait(),
        fleet_timing(std::size_t{1}).poll_wait());
}

// A coordinator with the polls of many instances, at a time that the test sets.
class large_feed_test : public testing::Test
{
protected:
    large_feed_test()
        : view_(route_settings{}),
          server_(view_, [](const instance_id&, const load_counts&) {}),
          listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              server_.on_poll(std::move(exchange), 7, now_);
              ++polls_;
          })
    {
        listener_.listen({"127.0.0.1", 0});
        change(1);
    }

    void change(std::uint64_t version)
    {
        view_.update({"server/i-1", object_version(version), "null"}, now_);
    }

    // Sends a poll of an instance that has followed another coordinator and has
    // all servers up to a version, if there is one.
    void poll_after_another_coordinator(
        std::size_t number, std::optional<std::uint64_t> version)
    {
        json poll{{"instance", "i" + std::to_string(number)},
            {"address", "127.0.0.1:1"}, {"processor_share", 0.1},
            {"leaving", false}, {"run", 8}, {"after", 5},
            {"counts",
                {{"requests", json::object()}, {"paces", json::object()}}}};
        if (version)
            poll["complete"] = {{"server", *version}};
        auto& client = clients_[number];
        client = std::make_unique<http_client>(
            listener_.address(), http_client_options{});
        http_request request;
        request.method = "POST";
        request.target = feed_path;
        request.headers.set("Accept-Encoding", reply_encoding);
        request.body = poll.dump();
        client->send(std::move(request), milliseconds(20'000),
            [this](const http_result& result) {
                if (!result.response || result.response->status != 200)
                    return;
                ++replies_;
                bodies_.insert(result.response->body);
                texts_.insert(reply_text(*result.response));
            });
    }

    // Sends a poll of an instance that has the changes up to `after`.
    void poll(std::size_t number, std::uint64_t after, bool is_standby = false)
    {
        auto& client = clients_[number];
        if (!client) {
            client = std::make_unique<http_client>(
                listener_.address(), http_client_options{});
        }
        http_request request;
        request.method = "POST";
        request.target = feed_path;
        request.body = json{{"instance", "i" + std::to_string(number)},
            {"address", "127.0.0.1:1"}, {"processor_share", 0.1},
            {"leaving", false}, {"run", 7}, {"after", after},
            {"standby", is_standby},
            {"counts",
                {{"requests", json::object()}, {"paces", json::object()}}}}
                           .dump();
        client->send(std::move(request), milliseconds(20'000),
            [this](const http_result& result) {
                if (result.response && result.response->status == 200)
                    ++replies_;
            });
    }

    time_point now_ = time_point{} + std::chrono::hours(1);
    deployment_view view_;
    feed_server server_;
    http_listener listener_;
    std::map<std::size_t, std::unique_ptr<http_client>> clients_;
    std::size_t polls_ = 0;
    std::size_t replies_ = 0;
    // Different replies, as sent and as read.
    std::set<std::string> bodies_;
    std::set<std::string> texts_;
};

// Guards against standbys of a large fleet that notice the loss of the
// coordinator as late as all other instances.
TEST_F(large_feed_test, AnswersStandbysSoon)
{
    for (std::size_t number = 0; number < 295; ++number)
        poll(number, view_.objects().last_change(), number == 7);
    ASSERT_TRUE(run_until([&] { return polls_ == 295; }));
    now_ += fleet_timing::standby().poll_wait();
    server_.answer_due(7, {}, now_);
    ASSERT_TRUE(run_until([&] { return replies_ == 1; }));
    EXPECT_LT(fleet_timing::standby().poll_wait() + milliseconds(400),
        fleet_timing::standby().poll_timeout());
}

// Guards against logs whose lines of requests are dropped, because each
// instance logs each step of the warm-up of hundreds of servers.
TEST(DeploymentView, LogsUpdatesOfServersOnTheCoordinatorOnly)
{
    std::ostringstream text;
    start_logging(std::make_shared<spdlog::sinks::ostream_sink_mt>(text),
        log_level::info, "i-1");
    deployment_view view((route_settings()));
    const time_point now{std::chrono::hours(1)};
    std::uint64_t version = 0;
    const auto lines_after_update = [&](const std::string& state) {
        text.str("");
        const json entry{{"Service", "maps"}, {"Address", "127.0.0.1:9"},
            {"Zone", "a"}, {"Capacity", 2}, {"State", state},
            {"WarmupLeftMs", 1'000 - version}, {"Version", "v1"},
            {"Sequence", 1}};
        view.update(
            {"server/i-1", object_version(++version), entry.dump()}, now);
        const std::string logged = text.str();
        return std::count(logged.begin(), logged.end(), '\n');
    };
    lines_after_update("ready");
    EXPECT_EQ(lines_after_update("ready"), 0);
    EXPECT_EQ(lines_after_update("draining"), 1);
    view.log_all_updates(true);
    EXPECT_EQ(lines_after_update("ready"), 1);
    start_logging(make_log_sink("off"), log_level::error, "");
}

// Guards against a coordinator that cannot send the view to a large fleet
// before it is replaced, as after a fresh start of all instances.
TEST_F(large_feed_test, SendsTheWholeViewBeforeAnotherInstanceTakesOver)
{
    constexpr std::size_t instances = 295;
    constexpr double link_bits_per_second = 200e6;
    for (std::uint64_t number = 0; number < 809; ++number) {
        const std::string unique = std::to_string(number * 7'919 % 100'003);
        view_.update(
            {"server/i-" + unique, object_version(number + 2),
                json{{"Service", "selo45a"}, {"Zone", "se-mitt-a"},
                    {"Address", "10.1.64." + unique + ":8500"},
                    {"Version", "v1"}, {"Capacity", 2}, {"State", "ready"},
                    {"WarmupLeftMs", 0}, {"Sequence", number},
                    {"born", 1'779'735'006'026 + number * 97}}
                    .dump()},
            now_);
    }
    poll_after_another_coordinator(1, std::nullopt);
    ASSERT_TRUE(run_until([&] { return polls_ == 1; }));
    server_.flush(7, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return replies_ == 1; }));
    const json reply = json::parse(*texts_.begin());
    EXPECT_EQ(reply.at("facts").size(), 810U);
    const double seconds = static_cast<double>(bodies_.begin()->size()) * 8 *
                           instances / link_bits_per_second;
    EXPECT_LT(seconds * 1'000,
        static_cast<double>(fleet_timing(instances).takeover().count()));
}

// Guards against a reply that is encoded anew for each instance, because each
// has watched the store by itself for a time.
TEST_F(large_feed_test, EncodesFewRepliesForManyDifferentVersions)
{
    constexpr std::size_t instances = 200;
    for (std::uint64_t version = 2; version < 300; ++version) {
        view_.update({"server/i-" + std::to_string(version),
                         object_version(version), "null"},
            now_);
    }
    for (std::size_t number = 0; number < instances; ++number)
        poll_after_another_coordinator(number, 50 + number);
    poll_after_another_coordinator(instances, std::nullopt);
    ASSERT_TRUE(run_until([&] { return polls_ == instances + 1; }));
    server_.flush(7, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return replies_ == instances + 1; }));
    EXPECT_LE(texts_.size(), 8U);
    // An instance that lacks everything does not make others get everything.
    std::size_t largest = 0;
    std::size_t smallest = 300;
    for (const std::string& text : texts_) {
        const std::size_t count = json::parse(text).at("facts").size();
        largest = std::max(largest, count);
        smallest = std::min(smallest, count);
    }
    EXPECT_EQ(largest, 299U);
    EXPECT_LE(smallest, 150U);
}

// Guards against instances that are regarded as gone while their polls wait.
TEST_F(large_feed_test, KeepsMembersWhosePollsWait)
{
    constexpr std::size_t instances = 295;
    for (std::size_t number = 0; number < instances; ++number)
        poll(number, 1);
    ASSERT_TRUE(run_until([&] { return polls_ == instances; }));
    // The polls are answered when their time is over, not before.
    now_ += fleet_timing(instances).poll_wait() - milliseconds(20);
    server_.answer_due(7, feed_age{}, now_);
    EXPECT_EQ(server_.fleet_size(now_), instances + 1);
    EXPECT_EQ(replies_, 0U);
    now_ += milliseconds(600);
    EXPECT_EQ(server_.fleet_size(now_), instances + 1);
    server_.answer_due(7, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return replies_ == instances; }));
}

// Guards against a series of changes that costs a reply to each instance for
// each change.
TEST_F(large_feed_test, SendsASeriesOfChangesTogether)
{
    poll(1, 0);
    for (std::uint64_t version = 2; version < 50; ++version) {
        poll(version, 1);
        change(version);
    }
    ASSERT_TRUE(run_until([&] { return polls_ == 49; }));
    EXPECT_TRUE(server_.has_changes_to_send());
    EXPECT_EQ(replies_, 0U);
    server_.flush(7, feed_age{}, now_);
    ASSERT_TRUE(run_until([&] { return replies_ == 49; }));
    EXPECT_FALSE(server_.has_changes_to_send());
}

// Guards against gates that all move, and a fleet that looks small, because a
// new coordinator knows only the instances that have polled it.
TEST_F(large_feed_test, AssumesTheMembersOfTheCoordinatorBefore)
{
    std::vector<live_instance> members;
    for (std::size_t number = 0; number < 100; ++number) {
        members.push_back({instance_id("i" + std::to_string(number)),
            {"127.0.0.1", 1}, number == 0 ? 0.5 : 0.07});
    }
    server_.assume_members(members, instance_id("i5"), now_);
    EXPECT_EQ(server_.fleet_size(now_), 100U);
    poll(7, 0);
    ASSERT_TRUE(run_until([&] { return polls_ == 1; }));
    EXPECT_EQ(server_.fleet_size(now_), 100U);
    EXPECT_EQ(server_.members().size(), 99U);
    // Those that do not poll are gone later.
    now_ += milliseconds(1'550);
    poll(8, 0);
    ASSERT_TRUE(run_until([&] { return polls_ == 2; }));
    now_ += milliseconds(100);
    EXPECT_LE(server_.fleet_size(now_), 3U);
}

// Guards against an instance with a small processor that coordinates a large
// fleet, because the newest list of members has only a few.
TEST(DeploymentView, RemembersTheLargestProcessorShare)
{
    deployment_view view((route_settings()));
    EXPECT_EQ(view.largest_processor_share(), 0);
    std::uint64_t version = 0;
    for (const double share : {0.07, 0.5, 0.07}) {
        view.update({deployment_view::members_key, object_version(++version),
                        deployment_view::encode_members(
                            {{instance_id("i"), {"127.0.0.1", 1}, share}})},
            time_point{});
    }
    EXPECT_EQ(view.largest_processor_share(), 0.5);
}

// Guards against the owners of all keys that are sent to each instance when one
// key moves.
TEST(DeploymentView, PublishesOnlyThePartsWhoseOwnersChanged)
{
    const auto range = [](key_number first, key_number last, const char* id) {
        return key_range{
            first, last, {backend_server_id(id), 1}, fencing_token(1), {}};
    };
    const auto before = deployment_view::encode_served_ranges(
        {range(0, 40'000, "s1"), range(40'001, 65'535, "s2")});
    const auto after =
        deployment_view::encode_served_ranges({range(0, 40'000, "s1"),
            range(40'001, 40'001, "s3"), range(40'002, 65'535, "s2")});
    ASSERT_EQ(before.size(), deployment_view::served_parts);
    std::size_t changed = 0;
    deployment_view view((route_settings()));
    const service_id service("maps");
    for (std::size_t part = 0; part < after.size(); ++part) {
        changed += before[part] == after[part] ? 0 : 1;
        view.update({deployment_view::served_key(service, part),
                        object_version(1), after[part]},
            time_point{});
    }
    EXPECT_EQ(changed, 1U);
    EXPECT_EQ(view.owner_of(service, 0)->value(), "s1");
    EXPECT_EQ(view.owner_of(service, 40'000)->value(), "s1");
    EXPECT_EQ(view.owner_of(service, 40'001)->value(), "s3");
    EXPECT_EQ(view.owner_of(service, 65'535)->value(), "s2");
    EXPECT_FALSE(view.owner_of(service, 65'536));
}

} // namespace
} // namespace filberthub
