#include "routing/routing_builders.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filberthub/routing/key_granter.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Model of a backend server: it applies commands, including delayed ones, as
// the platform specifies. No key may ever be held by two servers.
struct model_server
{
    std::vector<std::uint64_t> highest_token = std::vector<std::uint64_t>(8, 0);
    std::vector<time_point> held_until = std::vector<time_point>(8);

    bool grant(const grant_command& command, time_point arrival, time_point now)
    {
        for (key_number key = command.first / 8'192;
             key <= command.last / 8'192; ++key) {
            if (highest_token[key] > command.token.value())
                return false;
        }
        // The server's clock is 2% slow.
        const auto grant_duration =
            std::chrono::duration_cast<duration>(command.grant_duration * 1.02);
        for (key_number key = command.first / 8'192;
             key <= command.last / 8'192; ++key) {
            highest_token[key] = command.token.value();
            if (arrival + grant_duration > now)
                held_until[key] = arrival + grant_duration;
        }
        return true;
    }

    void release(const grant_command& command)
    {
        for (key_number key = command.first / 8'192;
             key <= command.last / 8'192; ++key)
            held_until[key] = {};
    }
};

// Guards against two owners of a key for random moves, lost answers, delayed
// commands and servers that restart under their ids.
RC_GTEST_PROP(KeyGranterProperty, NeverLetsTwoServersHoldAKey, ())
{
    key_granter granter{key_granter_options{}};
    std::map<backend_server_id, model_server> servers;
    struct late_command
    {
        grant_command command;
        time_point arrival;
        time_point applied;
    };
    std::vector<late_command> late;
    key_table table = table_of({});
    std::vector<int> owner(8, 0);
    std::uint64_t token = 1;
    for (key_number part = 0; part < 8; ++part) {
        key_range range =
            range_of(part * 8'192, part * 8'192 + 8'191, "s0", token++);
        table.ranges.push_back(range);
    }
    granter.adopt(table, at_ms(0));
    // The incarnations that the granter knows, and those that run.
    std::map<backend_server_id, std::uint64_t> known;
    std::map<backend_server_id, std::uint64_t> running;
    for (const char* id : {"s0", "s1", "s2"}) {
        known[backend_server_id(id)] = 1;
        running[backend_server_id(id)] = 1;
    }
    const auto any_server = [] {
        return backend_server_id("s" + std::to_string(*rc::gen::inRange(0, 3)));
    };
    const int steps = *rc::gen::inRange(20, 120);
    std::int64_t now_ms = 0;
    for (int step = 0; step < steps; ++step) {
        now_ms += *rc::gen::inRange(1, 900);
        const time_point now = at_ms(now_ms);
        std::erase_if(late, [&](const late_command& item) {
            if (item.applied > now)
                return false;
            if (item.command.release)
                servers[item.command.server.id].release(item.command);
            else
                servers[item.command.server.id].grant(
                    item.command, item.arrival, now);
            return true;
        });
        if (*rc::gen::inRange(0, 10) == 0) {
            // A restart, of which the granter may not notice the lost
            // connection.
            const backend_server_id id = any_server();
            ++running[id];
            servers.erase(id);
            std::erase_if(late, [&](const late_command& item) {
                return item.command.server.id == id;
            });
            if (*rc::gen::inRange(0, 3) != 0)
                granter.on_connection_lost(id);
        }
        if (*rc::gen::inRange(0, 6) == 0) {
            const backend_server_id id = any_server();
            if (known[id] != running[id]) {
                granter.on_server_restarted({id, known[id]}, {id, running[id]});
                known[id] = running[id];
            }
        }
        const auto outdated = granter.outdated();
        for (key_range& range : table.ranges) {
            const auto found = outdated.find(range.token);
            if (found == outdated.end())
                continue;
            range.owner = found->second;
            range.token = fencing_token(token++);
        }
        if (!outdated.empty())
            granter.adopt(table, now);
        if (*rc::gen::inRange(0, 4) == 0) {
            const auto part = static_cast<std::size_t>(*rc::gen::inRange(0, 8));
            key_range& range = table.ranges[part];
            if (range.previous.empty() || granter.is_granted(range.token)) {
                range.previous = {{range.owner, range.token}};
                const backend_server_id id = any_server();
                range.owner = {id, known[id]};
                range.token = fencing_token(token++);
                if (range.owner == range.previous[0].server)
                    range.previous.clear();
                granter.adopt(table, now);
            }
        }
        for (const grant_command& command : granter.due(now)) {
            const int outcome = *rc::gen::inRange(0, 5);
            if (outcome == 0) {
                // Not answered, and carried out up to 12 s later.
                late.push_back({command, now,
                    now + milliseconds(*rc::gen::inRange(0, 12'000))});
                granter.on_reply(command.number, grant_reply::unclear, {}, now);
                continue;
            }
            model_server& server = servers[command.server.id];
            if (command.release)
                server.release(command);
            const bool accepted =
                command.release || server.grant(command, now, now);
            granter.on_reply(command.number,
                accepted ? grant_reply::accepted : grant_reply::outdated, {},
                now);
        }
        for (std::size_t part = 0; part < 8; ++part) {
            int holders = 0;
            for (const auto& [id, server] : servers)
                holders += server.held_until[part] > now ? 1 : 0;
            RC_ASSERT(holders <= 1);
        }
    }
}

} // namespace
} // namespace filberthub
