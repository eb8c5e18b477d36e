#include <filberthub/routing/key_granter.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr command_number no_command{};

} // namespace

key_granter::key_granter(key_granter_options options) : options_(options) {}

duration key_granter_options::max_grant_duration() const
{
    const auto time = std::chrono::duration_cast<duration>(grant_duration);
    return time + std::chrono::duration_cast<duration>(time * clock_drift) +
           max_delivery_time;
}

void key_granter::take_over(
    const key_table& table, time_point earlier_grants_end, time_point now)
{
    states_.clear();
    open_.clear();
    for (const key_range& range : table.ranges) {
        state item;
        item.range = range;
        item.granted_until = earlier_grants_end;
        item.unclear_until = earlier_grants_end;
        item.next_send = now;
        for (const previous_owner& old : range.previous) {
            blocker block;
            block.server = old.server;
            block.token = old.token;
            block.first = range.first;
            block.last = range.last;
            block.granted_until = earlier_grants_end;
            block.unclear_until = earlier_grants_end;
            block.next_try = now;
            item.blockers.push_back(std::move(block));
        }
        states_.emplace(range.token, std::move(item));
    }
}

// Own grants were sent before `earlier_grants_end` was known, so they end
// before it.
void key_granter::shorten_earlier_grants(time_point earlier_grants_end)
{
    const auto shorten = [earlier_grants_end](time_point& end) {
        end = std::min(end, earlier_grants_end);
    };
    for (auto& [token, item] : states_) {
        shorten(item.granted_until);
        shorten(item.unclear_until);
        for (blocker& block : item.blockers) {
            shorten(block.granted_until);
            shorten(block.unclear_until);
        }
    }
}

void key_granter::inherit(state& next, const state& old)
{
    const key_number first = std::max(next.range.first, old.range.first);
    const key_number last = std::min(next.range.last, old.range.last);
    for (blocker block : old.blockers) {
        block.first = std::max(block.first, first);
        block.last = std::min(block.last, last);
        // A release in flight is for other keys now, so it is sent again.
        block.release_in_flight = no_command;
        if (block.first <= block.last)
            next.blockers.push_back(std::move(block));
    }
    if (old.range.owner == next.range.owner) {
        next.granted_until = std::max(next.granted_until, old.granted_until);
        next.unclear_until = std::max(next.unclear_until, old.unclear_until);
        if (!old.handover.empty())
            next.handover = old.handover;
        return;
    }
    if (old.granted_until == time_point{})
        return;
    blocker block;
    block.server = old.range.owner;
    block.token = old.range.token;
    block.first = first;
    block.last = last;
    block.granted_until = old.granted_until;
    block.unclear_until = old.unclear_until;
    block.grant_in_flight = old.in_flight;
    next.blockers.push_back(std::move(block));
}

key_granter::state key_granter::make_state(
    const key_range& range, time_point now) const
{
    state item;
    item.range = range;
    item.next_send = now;
    key_number held = 0;
    for (const auto& [token, old] : states_) {
        if (old.range.first > range.last || range.first > old.range.last)
            continue;
        inherit(item, old);
        if (old.range.owner == range.owner &&
            (old.accepted || old.held_before)) {
            held += std::min(range.last, old.range.last) -
                    std::max(range.first, old.range.first) + 1;
        }
    }
    item.held_before = held == range.last - range.first + 1;
    return item;
}

void key_granter::adopt(const key_table& table, time_point now)
{
    std::map<fencing_token, state> next;
    for (const key_range& range : table.ranges) {
        const auto known = states_.find(range.token);
        if (known != states_.end() &&
            known->second.range.first == range.first &&
            known->second.range.last == range.last) {
            state kept = known->second;
            kept.range = range;
            next.emplace(range.token, std::move(kept));
            continue;
        }
        next.emplace(range.token, make_state(range, now));
    }
    states_ = std::move(next);
}

void key_granter::on_incarnation_ended(const server_incarnation& server)
{
    for (auto& [token, item] : states_) {
        std::erase_if(item.blockers,
            [&](const blocker& block) { return block.server == server; });
        if (item.range.owner == server) {
            item.granted_until = {};
            item.unclear_until = {};
            item.own_unclear_until = {};
            item.accepted = false;
            item.held_before = false;
            // Its answers are not waited for.
            open_.erase(item.in_flight);
            item.in_flight = no_command;
        }
    }
    unanswered_.erase(server);
}

void key_granter::resolve(state& item, time_point now) const
{
    std::erase_if(item.blockers, [&](const blocker& block) {
        return now >= block.granted_until ||
               (block.released && block.grant_in_flight == no_command &&
                   now >= block.unclear_until);
    });
}

void key_granter::add_release_commands(
    state& item, time_point now, std::vector<grant_command>& commands)
{
    for (blocker& block : item.blockers) {
        if (block.released || block.release_in_flight != no_command ||
            block.grant_in_flight != no_command || now < block.next_try)
            continue;
        last_command_ = last_command_.next();
        block.release_in_flight = last_command_;
        open_.emplace(
            last_command_, open_command{true, block.server, block.token, {}});
        commands.push_back({last_command_, true, block.server, block.first,
            block.last, block.token, milliseconds(0), {}});
    }
}

void key_granter::add_grant_command(
    state& item, time_point now, std::vector<grant_command>& commands)
{
    if (!item.blockers.empty() || item.in_flight != no_command ||
        item.outdated || now < item.next_send)
        return;
    last_command_ = last_command_.next();
    item.in_flight = last_command_;
    item.next_send = now + options_.renewal;
    open_.emplace(last_command_, open_command{false, item.range.owner,
                                     item.range.token, item.granted_until});
    item.granted_until =
        std::max(item.granted_until, now + options_.max_grant_duration());
    commands.push_back(
        {last_command_, false, item.range.owner, item.range.first,
            item.range.last, item.range.token, options_.grant_duration,
            item.accepted ? std::string() : item.handover});
}

std::vector<grant_command> key_granter::due(time_point now)
{
    std::vector<grant_command> commands;
    for (auto& [token, item] : states_) {
        resolve(item, now);
        add_release_commands(item, now, commands);
        add_grant_command(item, now, commands);
    }
    return commands;
}

void key_granter::on_grant_reply(
    state& item, const open_command& command, grant_reply reply, time_point now)
{
    item.in_flight = no_command;
    switch (reply) {
    case grant_reply::accepted:
        // The server refuses late grants with a lower token from now on.
        item.unclear_until = item.own_unclear_until;
        // A command may wait for a connection before it is sent, and arrived
        // before its answer.
        item.granted_until = std::max(
            now + options_.max_grant_duration(), item.own_unclear_until);
        item.accepted = true;
        return;
    case grant_reply::outdated:
        item.outdated = true;
        return;
    case grant_reply::unsent:
        item.granted_until = command.granted_until_before;
        item.next_send = std::min(item.next_send, now + options_.retry);
        return;
    case grant_reply::unclear:
        // It may have been sent just before it was given up.
        item.own_unclear_until = now + options_.max_grant_duration();
        item.unclear_until =
            std::max(item.unclear_until, item.own_unclear_until);
        item.granted_until =
            std::max(item.granted_until, item.own_unclear_until);
        item.next_send = std::min(item.next_send, now + options_.retry);
        return;
    }
}

void key_granter::on_reply(command_number number, grant_reply reply,
    const std::string& handover, time_point now)
{
    const auto found = open_.find(number);
    if (found == open_.end())
        return;
    const open_command command = found->second;
    open_.erase(found);
    const bool answered =
        reply != grant_reply::unclear && reply != grant_reply::unsent;
    if (!answered)
        ++unanswered_[command.server];
    else
        unanswered_.erase(command.server);
    for (auto& [token, item] : states_) {
        if (item.in_flight == number)
            on_grant_reply(item, command, reply, now);
        for (blocker& block : item.blockers) {
            if (block.grant_in_flight == number) {
                block.grant_in_flight = no_command;
                if (reply == grant_reply::unsent)
                    block.granted_until = command.granted_until_before;
                if (reply == grant_reply::accepted)
                    block.granted_until = now + options_.max_grant_duration();
                if (reply == grant_reply::unclear) {
                    block.unclear_until = std::max(block.unclear_until,
                        now + options_.max_grant_duration());
                    block.granted_until =
                        std::max(block.granted_until, block.unclear_until);
                }
            }
            if (block.release_in_flight != number)
                continue;
            block.release_in_flight = no_command;
            if (!answered) {
                block.next_try = now + options_.retry;
                continue;
            }
            block.released = true;
            if (!handover.empty())
                item.handover = handover;
        }
    }
}

std::vector<key_range> key_granter::granted() const
{
    std::vector<key_range> result;
    for (const auto& [token, item] : states_) {
        if (item.accepted || item.held_before)
            result.push_back(item.range);
    }
    std::sort(result.begin(), result.end(),
        [](const key_range& left, const key_range& right) {
            return left.first < right.first;
        });
    return result;
}

bool key_granter::is_granted(fencing_token token) const
{
    const auto found = states_.find(token);
    return found != states_.end() && found->second.accepted;
}

std::set<fencing_token> key_granter::outdated() const
{
    std::set<fencing_token> result;
    for (const auto& [token, item] : states_) {
        if (item.outdated)
            result.insert(token);
    }
    return result;
}

unsigned key_granter::unanswered(const server_incarnation& server) const
{
    const auto found = unanswered_.find(server);
    return found == unanswered_.end() ? 0 : found->second;
}

} // namespace filberthub
