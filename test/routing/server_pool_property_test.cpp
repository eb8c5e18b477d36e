// Random series of entries, announcements and removals of servers.

#include "routing/routing_builders.hpp"

#include <filberthub/routing/server_pool.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace filberthub {
namespace {

constexpr int id_count = 4;
constexpr int service_count = 3;

backend_server_id id_of(int number)
{
    return backend_server_id("s" + std::to_string(number));
}

service_id service_of(int number)
{
    return service_id("service-" + std::to_string(number));
}

// Every list of the pool has exactly the servers whose last entry names its
// service, and every pointer leads to the entry of its server.
void check_lists(const server_pool& pool,
    const std::map<backend_server_id, server_entry>& expected)
{
    std::size_t listed = 0;
    for (int number = 0; number < service_count; ++number) {
        const service_id service = service_of(number);
        const auto servers = pool.of_service(service);
        RC_ASSERT(servers.size() == pool.count_of(service));
        for (const observed_server* server : servers) {
            const auto found = expected.find(server->entry.id);
            RC_ASSERT(found != expected.end());
            RC_ASSERT(found->second.service == service);
            RC_ASSERT(server->entry.service == service);
            RC_ASSERT(pool.find(server->entry.id) == server);
            RC_ASSERT(server->entry.started == found->second.started);
        }
        listed += servers.size();
    }
    RC_ASSERT(listed == expected.size());
    for (int number = 0; number < id_count; ++number)
        RC_ASSERT((pool.find(id_of(number)) != nullptr) ==
                  expected.contains(id_of(number)));
}

// Guards against a server that stays in the list of a service after it was
// removed, for example because its entry changed its service and its start
// together: what was sent there read freed memory.
RC_GTEST_PROP(ServerPoolProperty, ListsExactlyTheServersOfEachService, ())
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    std::map<backend_server_id, server_entry> expected;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const time_point now = at_ms(step);
        const backend_server_id id = id_of(*rc::gen::inRange(0, id_count));
        const auto started = *rc::gen::inRange<std::uint64_t>(1, 4);
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            pool.remove(id);
            expected.erase(id);
            break;
        case 1:
            pool.set_leaving(id, started, now);
            break;
        case 2:
            pool.set_resting(id, started, now + milliseconds(5), now);
            break;
        case 3:
            pool.on_sent(id, now);
            pool.on_finished(
                id, send_outcome::lost, milliseconds(1), std::nullopt, now);
            break;
        default: {
            server_entry entry =
                server_builder(id.value())
                    .service(
                        service_of(*rc::gen::inRange(0, service_count)).value())
                    .started(started)
                    .build();
            entry.draining = *rc::gen::inRange(0, 4) == 0;
            pool.put(entry, 11, 0, now);
            expected[id] = entry;
        }
        }
        check_lists(pool, expected);
        pool.withdrawn_servers(service_of(0), now);
        pool.leaving_servers();
    }
}

// The same for the series that was found first.
TEST(ServerPool, ForgetsAServerThatChangedItsServiceAndItsStart)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    pool.put(server_builder("s1").started(1).build(), 11, 0, at_ms(0));
    pool.put(server_builder("s1").service("other").started(2).build(), 11, 0,
        at_ms(1));
    EXPECT_TRUE(pool.of_service(service_id("maps")).empty());
    EXPECT_EQ(pool.of_service(service_id("other")).size(), 1U);
    pool.remove(backend_server_id("s1"));
    EXPECT_TRUE(pool.of_service(service_id("other")).empty());
    EXPECT_EQ(pool.count_of(service_id("maps")), 0U);
}

// Guards against observations of a server of one service that are used for one
// of another, whose entry has the same id and start.
TEST(ServerPool, DiscardsObservationsWhenTheServiceChanges)
{
    server_pool pool(failure_domain_id("a"), {1.5, 5});
    const backend_server_id id("s1");
    pool.put(server_builder("s1").build(), 11, 0, at_ms(0));
    pool.on_sent(id, at_ms(0));
    pool.on_finished(
        id, send_outcome::unreachable, milliseconds(1), std::nullopt, at_ms(1));
    ASSERT_EQ(pool.find(id)->consecutive_failures, 1U);
    pool.put(server_builder("s1").service("other").build(), 11, 0, at_ms(2));
    EXPECT_EQ(pool.find(id)->consecutive_failures, 0U);
}

} // namespace
} // namespace filberthub
