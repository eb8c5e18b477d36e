#include "routing/routing_builders.hpp"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <filberthub/routing/object_cache.hpp>
#include <filberthub/routing/request_rules.hpp>
#include <filberthub/routing/route_table.hpp>
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

TEST(cached_objects, NeverGoBack)
{
    object_cache objects;
    EXPECT_TRUE(objects.merge(object_of("server/1", 5, "new")));
    EXPECT_FALSE(objects.merge(object_of("server/1", 4, "old")));
    EXPECT_EQ(objects.find("server/1")->value, "new");
}

// Guards against an older copy that brings a removed server back.
TEST(cached_objects, RememberWhatWasRemoved)
{
    object_cache objects;
    objects.merge(object_of("server/1", 5, "x"));
    objects.merge(object_of("server/1", 7, std::nullopt));
    EXPECT_FALSE(objects.merge(object_of("server/1", 6, "x")));
    EXPECT_FALSE(objects.find("server/1")->value.has_value());
}

TEST(cached_objects, RemoveWhatAListDoesNotContain)
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

TEST(cached_objects, AreToldOnceInTheOrderOfChange)
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

TEST(a_route_table, PrefersTheLongestPrefixOfTheHost)
{
    const route_table table(two_routes());
    EXPECT_EQ(table.find("maps.example", "/floor/7")->name, "short");
    EXPECT_EQ(table.find("MAPS.example:80", "/floor/attic/7")->name, "long");
    EXPECT_EQ(
        table.find("maps.example", "/floor/?x=/floor/attic/")->name, "short");
    EXPECT_EQ(table.find("maps.example", "/floor"), nullptr);
    EXPECT_EQ(table.find("other.example", "/floor/7"), nullptr);
}

TEST(a_route, DividesRequestsByWeight)
{
    const routing_config config = two_routes();
    int heavy = 0;
    for (int draw = 0; draw < 1'000; ++draw) {
        heavy +=
            choose_service(config.routes[0], draw / 1'000.0) == service_id("a")
                ? 1
                : 0;
    }
    EXPECT_NEAR(heavy, 900, 1);
}

// Guards against a fleet that together exceeds its retry budget.
RC_GTEST_PROP(a_window_budget_property, KeepsTheSumOfAllInstances, ())
{
    const std::size_t fleet = *rc::gen::inRange<std::size_t>(1, 30);
    const window_budget_options options{0.2, 135, milliseconds(10'000)};
    std::vector<window_budget> budgets(fleet, window_budget(options));
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
    std::int64_t now = 0;
    const int steps = *rc::gen::inRange(100, 1'500);
    for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 40);
        const auto who =
            static_cast<std::size_t>(*rc::gen::inRange(0, 1'000)) % fleet;
        if (*rc::gen::inRange(0, 2) == 0) {
            budgets[who].on_request(at_ms(now), fleet);
            requests.push_back(now);
        }
        if (budgets[who].try_take(at_ms(now), fleet))
            repeats.push_back(now);
    }
    for (const std::int64_t end : repeats) {
        const auto within = [end](const std::vector<std::int64_t>& times,
                                std::int64_t span) {
            return std::count_if(
                times.begin(), times.end(), [&](std::int64_t time) {
                    return time <= end && time > end - span;
                });
        };
        // Tokens from requests may be a window old.
        RC_ASSERT(static_cast<double>(within(repeats, 10'000)) <=
                  135 + 0.2 * static_cast<double>(within(requests, 20'000)));
    }
}

TEST(a_pool, AvoidsAnUnreachableServer)
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
    for (int look = 0; look < 10; ++look) {
        EXPECT_EQ(
            pool.choose(service_id("maps"), request, at_ms(10))->value(), "s2");
    }
}

TEST(a_pool, NeverChoosesALeavingServerOrOneOfAnEvacuatedDomain)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").draining().build(), 11, 0, at_ms(0));
    pool.put(server_builder("s2").domain("b").build(), 11, 0, at_ms(0));
    pool.set_evacuated(failure_domain_id("b"), true, at_ms(0));
    placement_request request;
    request.uniform_random = [] { return 0.5; };
    EXPECT_FALSE(pool.choose(service_id("maps"), request, at_ms(1)));
}

// Guards against a keyed server that gets requests after its leaving was known
// for longer than the move of its keys takes.
TEST(a_pool, LetsAnOwnerGoOnForAMomentWhileItLeaves)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.put(server_builder("s1").draining().build(), 11, 0, at_ms(100));
    const observed_server* server = pool.find(backend_server_id("s1"));
    EXPECT_TRUE(pool.may_send_keyed(*server, at_ms(1'000)));
    EXPECT_FALSE(pool.may_send_keyed(*server, at_ms(1'400)));
}

// Guards against the same where the leaving was heard late.
TEST(a_pool, CountsTheMomentFromWhenTheOwnerMayHaveBegunToLeave)
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

TEST(a_pool, ForgetsTheLoadOfAnEarlierLife)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.on_sent(backend_server_id("s1"), at_ms(0));
    pool.on_finished(backend_server_id("s1"), send_outcome::unreachable,
        milliseconds(1), std::nullopt, at_ms(1));
    pool.put(server_builder("s1").started(2).build(), 11, 0, at_ms(2));
    EXPECT_EQ(pool.find(backend_server_id("s1"))->failures_in_row, 0U);
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

// Guards against an edit that runs twice.
TEST(a_request, ThatMayNotRepeatIsNotSentAgainAfterALostAnswer)
{
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::lost}, at_ms(0)),
        next_step::give_up);
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::failed}, at_ms(0)),
        next_step::deliver);
    EXPECT_EQ(after_attempt(state_of(true), {send_outcome::lost}, at_ms(0)),
        next_step::repeat);
}

TEST(a_request, ThatWasRefusedMayBeSentAgainWhateverItsKind)
{
    EXPECT_EQ(after_attempt(state_of(false), {send_outcome::refused}, at_ms(0)),
        next_step::repeat);
}

TEST(a_request, EndsWithItsAttemptsOrItsTime)
{
    request_state state = state_of(true);
    EXPECT_EQ(after_attempt(state, {send_outcome::lost}, at_ms(490)),
        next_step::give_up);
    state.sends = 2;
    EXPECT_EQ(after_attempt(state, {send_outcome::lost}, at_ms(0)),
        next_step::give_up);
}

// Guards against a false "not run".
TEST(a_failure, SaysNotRunOnlyIfNoServerMayHaveBegun)
{
    request_state state = state_of(false);
    EXPECT_EQ(failure_of(state, false, milliseconds(50)).status, 503);
    state.may_have_run = true;
    EXPECT_EQ(failure_of(state, false, milliseconds(50)).status, 502);
    EXPECT_EQ(failure_of(state, true, milliseconds(50)).status, 504);
    EXPECT_FALSE(failure_of(state, true, milliseconds(50)).retry_after);
}

TEST(a_request, GivesUpAtTheEarlierOfCallerAndRoute)
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
