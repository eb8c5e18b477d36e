#include "routing/routing_builders.hpp"

#include <filberthub/routing/key_coordinator.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace filberthub {
namespace {

constexpr std::size_t server_count = 4;
constexpr milliseconds step_time{100};
// Time without an answer after which a command counts as unanswered.
constexpr milliseconds answer_limit{400};
// A grant without an answer (3.2 s), a probe (2 s) and a plan with its write
// and release for each server follow each other.
constexpr milliseconds calm_time{15'000};

int random_below(int end)
{
    return *rc::gen::inRange(0, end);
}

struct model_server
{
    std::uint64_t started = 1;
    // Whether commands reach it and its answers come back.
    bool reachable = true;
    bool registered = true;
    bool draining = false;
};

struct pending_reply
{
    time_point due;
    command_number number;
    grant_reply reply;
};

// One coordinator, its servers and the store, under random trouble.
class deployment
{
public:
    deployment()
    {
        keys_.start(std::nullopt, 0, now_, now_);
    }

    void add_trouble()
    {
        model_server& server = any_server();
        switch (random_below(8)) {
        case 0:
        case 1:
            server.reachable = !server.reachable;
            return;
        case 2:
            server.registered = !server.registered;
            return;
        case 3:
            server.draining = !server.draining;
            return;
        case 4:
            restart(server);
            return;
        case 5:
            store_works_ = !store_works_;
            return;
        case 6:
            coordinator_is_late_ = !coordinator_is_late_;
            return;
        default:
            // Another process has the address of the server.
            keys_.granter().on_incarnation_ended(incarnation(server), now_);
            return;
        }
    }

    void end_trouble()
    {
        for (model_server& server : servers_) {
            server.reachable = true;
            server.registered = true;
            server.draining = false;
        }
        store_works_ = true;
        coordinator_is_late_ = false;
    }

    void step()
    {
        now_ += step_time;
        deliver_replies();
        for (const model_server& server : servers_) {
            if (!server.registered || server.draining)
                continue;
            if (const auto probe =
                    keys_.granter().probe(incarnation(server), now_))
                send(*probe);
        }
        if (keys_.active()) {
            for (const grant_command& command : keys_.granter().due(now_))
                send(command);
        }
        if (!keys_.plan(candidates(), now_))
            return;
        if (store_works_)
            keys_.on_written(++revision_, now_);
        else
            keys_.on_write_failed();
    }

    time_point now() const
    {
        return now_;
    }

    // Checks that each server has keys that it has accepted, and that nothing
    // is left of the trouble.
    void check_recovered() const
    {
        std::size_t owned = 0;
        for (const model_server& server : servers_) {
            RC_ASSERT(!keys_.granter().silent(incarnation(server)));
            RC_ASSERT(keys_.granter().unanswered(incarnation(server)) == 0U);
            const auto ranges = keys_.granter().granted();
            for (const key_range& range : ranges)
                owned += range.owner == incarnation(server) ? 1 : 0;
            RC_ASSERT(std::any_of(
                ranges.begin(), ranges.end(), [&](const key_range& range) {
                    return range.owner == incarnation(server);
                }));
        }
        const key_coverage coverage = keys_.granter().coverage(now_);
        RC_ASSERT(coverage.served == std::size_t{key_count});
        RC_ASSERT(owned == keys_.table().ranges.size());
    }

private:
    model_server& any_server()
    {
        return servers_.at(static_cast<std::size_t>(
            random_below(static_cast<int>(server_count))));
    }

    server_incarnation incarnation(const model_server& server) const
    {
        return {backend_server_id("s" + std::to_string(&server - &servers_[0])),
            server.started};
    }

    void restart(model_server& server)
    {
        const server_incarnation earlier = incarnation(server);
        ++server.started;
        keys_.granter().on_server_restarted(earlier, incarnation(server));
    }

    std::vector<key_server> candidates() const
    {
        std::vector<key_server> result;
        for (const model_server& server : servers_) {
            if (server.registered && !server.draining &&
                !keys_.granter().silent(incarnation(server)))
                result.push_back({incarnation(server)});
        }
        return result;
    }

    const model_server& server_of(const backend_server_id& id) const
    {
        return servers_.at(
            static_cast<std::size_t>(std::stoi(id.value().substr(1))));
    }

    void send(const grant_command& command)
    {
        const bool answers = server_of(command.server.id).reachable;
        const grant_reply no_answer =
            coordinator_is_late_ ? grant_reply::delayed : grant_reply::unclear;
        replies_.push_back({now_ + (answers ? step_time : answer_limit),
            command.number, answers ? grant_reply::accepted : no_answer});
    }

    void deliver_replies()
    {
        std::erase_if(replies_, [&](const pending_reply& item) {
            if (item.due > now_)
                return false;
            keys_.granter().on_reply(item.number, item.reply, {}, now_);
            return true;
        });
    }

    time_point now_ = at_ms(0);
    key_coordinator keys_{{}, {}};
    std::vector<model_server> servers_ =
        std::vector<model_server>(server_count);
    std::vector<pending_reply> replies_;
    std::uint64_t revision_ = 0;
    bool store_works_ = true;
    bool coordinator_is_late_ = false;
};

// Guards against a state that trouble has caused and that nothing ends once the
// trouble is over, such as a server that is left out because it was silent.
RC_GTEST_PROP(KeyRecoveryProperty, GivesEachServerKeysAfterTheTrouble, ())
{
    deployment model;
    const time_point end_of_trouble =
        model.now() + milliseconds(1'000 * *rc::gen::inRange(5, 30));
    // Events are rare enough for a silence to last longer than a grant.
    while (model.now() < end_of_trouble) {
        if (random_below(10) == 0)
            model.add_trouble();
        model.step();
    }
    model.end_trouble();
    const time_point end_of_calm = model.now() + calm_time;
    while (model.now() < end_of_calm)
        model.step();
    model.check_recovered();
}

} // namespace
} // namespace filberthub
