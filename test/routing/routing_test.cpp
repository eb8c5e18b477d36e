#include "routing/routing_builders.hpp"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <filberthub/routing/object_cache.hpp>
#include <filberthub/routing/request_rules.hpp>
#include <filberthub/routing/route_table.hpp>
#include <filberthub/routing/shutdown_plan.hpp>
#include <filberthub/routing/window_budget.hpp>

namespace filberthub {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

versioned_object object_of(const std::string& key, std::uint64_t version,
    std::optional<std::string> value)
{
    return {key, object_version(version), std::move(value)};
}

// Guards against an update that arrives late and replaces a newer one.
TEST(ObjectCache, NeverReplacesANewerVersion)
{
    object_cache objects;
    EXPECT_TRUE(objects.merge(object_of("server/1", 5, "new")));
    EXPECT_FALSE(objects.merge(object_of("server/1", 4, "old")));
    EXPECT_EQ(objects.find("server/1")->value, "new");
}

// Guards against an older copy that restores a removed server.
TEST(ObjectCache, DoesNotRestoreARemovedObject)
{
    object_cache objects;
    objects.merge(object_of("server/1", 5, "x"));
    objects.merge(object_of("server/1", 7, std::nullopt));
    EXPECT_FALSE(objects.merge(object_of("server/1", 6, "x")));
    EXPECT_FALSE(objects.find("server/1")->value.has_value());
}

// Guards against objects that stay cached because their removal was missed, and
// against the removal of objects that are newer than the list.
TEST(ObjectCache, RemovesObjectsMissingFromAList)
{
    object_cache objects;
    objects.merge(object_of("server/1", 4, "a"));
    objects.merge(object_of("server/2", 6, "b"));
    objects.merge(object_of("server/3", 20, "later than the list"));
    objects.merge(object_of("route/1", 4, "c"));
    const auto changes = objects.merge_list(
        "server", {object_of("server/2", 6, "b")}, object_version(11));
    ASSERT_THAT(changes, SizeIs(1));
    EXPECT_EQ(changes[0].key, "server/1");
    EXPECT_TRUE(objects.find("server/3")->value.has_value());
    EXPECT_TRUE(objects.find("route/1")->value.has_value());
}

// Guards against changes that are passed on twice or not at all.
TEST(ObjectCache, ReturnsEachChangedObjectOnceInOrderOfChange)
{
    object_cache objects;
    objects.merge(object_of("a/1", 2, "x"));
    objects.merge(object_of("a/2", 4, "y"));
    const std::uint64_t seen = objects.last_change();
    objects.merge(object_of("a/1", 6, "z"));
    const auto changes = objects.changes_after(seen);
    ASSERT_THAT(changes, SizeIs(1));
    EXPECT_EQ(changes[0].value, "z");
    EXPECT_THAT(objects.changes_after(objects.last_change()), IsEmpty());
}

routing_config two_routes()
{
    routing_config config;
    route_rule rule;
    rule.host = "Maps.Example";
    rule.prefix = "/floor/";
    rule.name = "short";
    rule.shares = {{service_id("a"), 90}, {service_id("b"), 10}};
    config.routes.push_back(rule);
    rule.prefix = "/floor/attic/";
    rule.name = "long";
    config.routes.push_back(rule);
    return config;
}

// Guards against an instance that lacks an object that another one regards as
// known to it.
TEST(ObjectCache, ReturnsAllObjectsBeyondACompleteVersion)
{
    object_cache cache;
    cache.merge(object_of("server/i-1", 4, "old"));
    cache.merge(object_of("server/i-2", 7, std::nullopt));
    cache.merge(object_of("fleet/members", 2, "m"));
    const auto changes = cache.changes_beyond({{"server", object_version(4)}});
    ASSERT_THAT(changes, SizeIs(2));
    EXPECT_EQ(changes[0].key, "server/i-2");
    EXPECT_EQ(changes[1].key, "fleet/members");

    cache.set_complete("server", object_version(7));
    cache.set_complete("server", object_version(5));
    EXPECT_EQ(cache.complete().at("server"), object_version(7));
}

// Guards against requests that are handled by the route of a shorter prefix or
// of another host.
TEST(RouteTable, PrefersTheLongestPrefixOfTheHost)
{
    const route_table table(two_routes());
    EXPECT_EQ(table.find("maps.example", "/floor/7")->name, "short");
    EXPECT_EQ(table.find("MAPS.example:80", "/floor/attic/7")->name, "long");
    EXPECT_EQ(
        table.find("maps.example", "/floor/?x=/floor/attic/")->name, "short");
    EXPECT_EQ(table.find("maps.example", "/floor"), nullptr);
    EXPECT_EQ(table.find("other.example", "/floor/7"), nullptr);
}

// Guards against a service that gets another share of the requests than its
// weight.
TEST(ChooseService, DividesRequestsByWeight)
{
    const routing_config config = two_routes();
    int first_service = 0;
    for (int sample = 0; sample < 1'000; ++sample) {
        first_service += choose_service(config.routes[0], sample / 1'000.0) ==
                                 service_id("a")
                             ? 1
                             : 0;
    }
    EXPECT_NEAR(first_service, 900, 1);
}

// Guards against a fleet whose instances together exceed its retry budget.
RC_GTEST_PROP(WindowBudget, BoundsTheRetriesOfTheFleet, ())
{
    const std::size_t fleet_size = *rc::gen::inRange<std::size_t>(1, 30);
    const window_budget_options options{0.2, 135, milliseconds(10'000)};
    std::vector<window_budget> budgets(fleet_size, window_budget(options));
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
    std::int64_t now = 0;
    const int steps = *rc::gen::inRange(100, 1'500);
    for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 40);
        const auto instance =
            static_cast<std::size_t>(*rc::gen::inRange(0, 1'000)) % fleet_size;
        if (*rc::gen::inRange(0, 2) == 0) {
            budgets[instance].on_request(at_ms(now), fleet_size);
            requests.push_back(now);
        }
        if (budgets[instance].try_take(at_ms(now), fleet_size))
            repeats.push_back(now);
    }
    for (const std::int64_t end : repeats) {
        const auto within = [](const std::vector<std::int64_t>& times,
                                std::int64_t last) {
            return static_cast<double>(std::count_if(
                times.begin(), times.end(), [&](std::int64_t time) {
                    return time <= last && time > last - 10'000;
                }));
        };
        RC_ASSERT(within(repeats, end) <=
                  135 + 0.2 * std::max({within(requests, end),
                                  within(requests, end - 5'000),
                                  within(requests, end - 10'000)}));
    }
}

// Guards against a large fleet that exceeds its budget: what the instances have
// saved adds up, and an incident makes all of them spend it at once.
TEST(WindowBudget, BoundsTheRetriesOfALargeFleetAfterACalmTime)
{
    constexpr std::size_t fleet_size = 295;
    constexpr double allowance = 630;
    constexpr std::int64_t window_ms = 10'000;
    // Requests of each instance in a window.
    constexpr std::int64_t requests = 100;
    window_budget budget({0.2, allowance, milliseconds(window_ms)});
    for (std::int64_t ms = 0; ms < 6 * window_ms; ms += window_ms / requests)
        budget.on_request(at_ms(ms), fleet_size);

    double retries = 0;
    for (std::int64_t ms = 0; ms < window_ms; ++ms) {
        const time_point now = at_ms(6 * window_ms + ms);
        if (ms % (window_ms / requests) == 0)
            budget.on_request(now, fleet_size);
        while (budget.try_take(now, fleet_size))
            ++retries;
    }
    EXPECT_LE(retries, 0.2 * requests + allowance / fleet_size);
    EXPECT_GE(retries, 0.8 * 0.2 * requests);
}

// Guards against requests that are sent to a failed server again and again.
TEST(ServerPool, AvoidsAnUnreachableServer)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.put(server_builder("s2").build(), 11, 0, at_ms(0));
    pool.on_sent(backend_server_id("s1"), at_ms(0));
    pool.on_finished(backend_server_id("s1"), send_outcome::unreachable,
        milliseconds(1), std::nullopt, at_ms(1));
    placement_request request;
    double next = 0;
    request.uniform_random = [&] { return next = next < 0.5 ? 0.9 : 0.1; };
    for (int attempt = 0; attempt < 10; ++attempt) {
        EXPECT_EQ(
            pool.choose(service_id("maps"), request, at_ms(10))->value(), "s2");
    }
}

// Guards against new requests to servers that must not get any.
TEST(ServerPool, NeverChoosesADrainingServerOrOneOfAnEvacuatedDomain)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").draining().build(), 11, 0, at_ms(0));
    pool.put(server_builder("s2").domain("b").build(), 11, 0, at_ms(0));
    pool.set_evacuated(failure_domain_id("b"), true, at_ms(0));
    placement_request request;
    request.uniform_random = [] { return 0.5; };
    EXPECT_FALSE(pool.choose(service_id("maps"), request, at_ms(1)));
}

// Guards against a server that is used again after its entry has lapsed or was
// written once more, and against an announcement that outlives its incarnation.
TEST(ServerPool, KeepsAnAnnouncementUntilTheServerHasStartedAnew)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    const backend_server_id id("s1");
    server_entry entry = server_builder("s1").build();
    entry.started = 7;
    pool.put(entry, 11, 0, at_ms(0));
    EXPECT_TRUE(pool.set_leaving(id, 7, at_ms(10)));
    EXPECT_FALSE(pool.set_leaving(id, 7, at_ms(20)));
    pool.put(entry, 11, 0, at_ms(30));
    EXPECT_FALSE(pool.usable(*pool.find(id)));
    EXPECT_EQ(pool.withdrawn_servers(service_id("maps"), at_ms(30)).size(), 1U);
    pool.remove(id);
    pool.put(entry, 11, 0, at_ms(40));
    EXPECT_FALSE(pool.usable(*pool.find(id)));
    entry.started = 8;
    pool.put(entry, 11, 0, at_ms(50));
    EXPECT_TRUE(pool.usable(*pool.find(id)));
    // A late answer of the earlier incarnation.
    EXPECT_FALSE(pool.set_leaving(id, 7, at_ms(60)));
    EXPECT_TRUE(pool.usable(*pool.find(id)));
}

// Guards against requests to a server that has asked for a pause.
TEST(ServerPool, SendsNothingToAServerThatRests)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    const backend_server_id id("s1");
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.set_resting(id, pool.find(id)->entry.started, at_ms(500), at_ms(0));
    EXPECT_FALSE(pool.may_send(*pool.find(id), at_ms(499)));
    EXPECT_FALSE(pool.may_send_keyed(*pool.find(id), at_ms(499)));
    EXPECT_FALSE(pool.allows_assigned(*pool.find(id), true, at_ms(499)));
    EXPECT_TRUE(pool.may_send(*pool.find(id), at_ms(500)));
}

// Guards against a keyed server that still gets requests after it has been
// known to drain for longer than the move of its keys takes.
TEST(ServerPool, AllowsADrainingOwnerForAShortTime)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.put(server_builder("s1").draining().build(), 11, 0, at_ms(100));
    const observed_server* server = pool.find(backend_server_id("s1"));
    EXPECT_TRUE(pool.may_send_keyed(*server, at_ms(1'000)));
    EXPECT_FALSE(pool.may_send_keyed(*server, at_ms(1'400)));
}

// Guards against the same if the update about the drain arrives late.
TEST(ServerPool, CountsThatTimeFromTheEarliestPossibleDrain)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.set_unusable_since(backend_server_id("s1"), at_ms(0));
    const observed_server* server = pool.find(backend_server_id("s1"));
    EXPECT_TRUE(pool.may_send_keyed(*server, at_ms(1'600)));
    pool.put(server_builder("s1").draining().build(), 11, 0, at_ms(1'600));
    pool.set_unusable_since(backend_server_id("s1"), at_ms(0));
    EXPECT_FALSE(pool.may_send_keyed(*server, at_ms(1'600)));
}

// Guards against a restarted server that is avoided for earlier failures.
TEST(ServerPool, DiscardsObservationsOfAnEarlierIncarnation)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.on_sent(backend_server_id("s1"), at_ms(0));
    pool.on_finished(backend_server_id("s1"), send_outcome::unreachable,
        milliseconds(1), std::nullopt, at_ms(1));
    pool.put(server_builder("s1").started(2).build(), 11, 0, at_ms(2));
    EXPECT_EQ(pool.find(backend_server_id("s1"))->consecutive_failures, 0U);
}

request_state state_of(bool repeatable)
{
    request_state state;
    state.repeatable = repeatable;
    state.attempts_allowed = 2;
    state.sends = 1;
    state.answer_deadline = at_ms(500);
    return state;
}

// Guards against an edit that is run twice.
TEST(AfterAttempt, DoesNotRepeatANonRepeatableRequestAfterALostAnswer)
{
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::lost}, at_ms(0)),
        next_step::give_up);
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::failed}, at_ms(0)),
        next_step::deliver);
    EXPECT_EQ(after_attempt(state_of(true), {send_outcome::lost}, at_ms(0)),
        next_step::repeat);
}

// Guards against a failure although the request has not run and may be sent
// again.
TEST(AfterAttempt, RepeatsARefusedRequestOfAnyKind)
{
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::refused}, at_ms(0)),
        next_step::repeat);
}

// Guards against more attempts than the route or the caller's time allows.
TEST(AfterAttempt, GivesUpWhenAttemptsOrTimeRunOut)
{
    request_state state = state_of(true);
    EXPECT_EQ(after_attempt(state, {send_outcome::lost}, at_ms(490)),
        next_step::give_up);
    state.sends = 2;
    EXPECT_EQ(after_attempt(state, {send_outcome::lost}, at_ms(0)),
        next_step::give_up);
}

// Guards against a request that is reported as not run although a server may
// have started it.
TEST(FailureAnswer, ReportsNotRunOnlyIfNoServerMayHaveStarted)
{
    request_state state = state_of(false);
    EXPECT_EQ(failure_of(state, false, milliseconds(50)).status, 503);
    state.may_have_run = true;
    EXPECT_EQ(failure_of(state, false, milliseconds(50)).status, 502);
    EXPECT_EQ(failure_of(state, true, milliseconds(50)).status, 504);
    EXPECT_FALSE(failure_of(state, true, milliseconds(50)).retry_after);
}

// Guards against requests that come late in the grace period and are cut off at
// its end while their server works on them.
TEST(ShutdownPlan, TakesLateRequestsOnlyIfTheyEndInTime)
{
    const shutdown_plan plan(at_ms(0), milliseconds(6'000));
    EXPECT_TRUE(plan.takes_request(at_ms(2'500), at_ms(9'000)));
    EXPECT_FALSE(plan.takes_request(at_ms(3'000), at_ms(9'000)));
    EXPECT_TRUE(plan.takes_request(at_ms(3'000), at_ms(3'800)));
    EXPECT_FALSE(plan.takes_request(
        plan.end() - milliseconds(100), plan.end() + milliseconds(1)));
    EXPECT_LT(plan.end(), at_ms(6'000));
}

// Guards against answers after the caller has left or the route's limit has
// passed.
TEST(AnswerDeadline, IsTheEarlierOfCallerAndRoute)
{
    EXPECT_EQ(compute_answer_deadline(
                  at_ms(0), milliseconds(2'000), milliseconds(600)),
        at_ms(600));
    EXPECT_LT(
        compute_answer_deadline(at_ms(0), milliseconds(500), milliseconds(600)),
        at_ms(500));
}

} // namespace
} // namespace filberthub
