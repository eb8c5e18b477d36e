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
    ++granted_version_;
    states_.clear();
    open_commands_.clear();
    for (const key_range& range : table.ranges) {
        range_state state;
        state.range = range;
        state.granted_until = earlier_grants_end;
        state.unclear_until = earlier_grants_end;
        state.next_send = now;
        // The owner probably holds the keys. If it does not, it refuses
        // requests for them.
        state.held_before = range.previous.empty();
        for (const previous_owner& earlier : range.previous) {
            earlier_holder holder;
            holder.server = earlier.server;
            holder.token = earlier.token;
            holder.first = range.first;
            holder.last = range.last;
            holder.granted_until = earlier_grants_end;
            holder.unclear_until = earlier_grants_end;
            holder.next_try = now;
            state.earlier_holders.push_back(std::move(holder));
        }
        states_.emplace(range.token, std::move(state));
    }
}

// Also shortens the recorded ends of grants that this coordinator sent. Those
// were sent before `earlier_grants_end` was known, so they end before it.
void key_granter::shorten_earlier_grants(time_point earlier_grants_end)
{
    const auto shorten = [earlier_grants_end](time_point& end) {
        end = std::min(end, earlier_grants_end);
    };
    for (auto& [token, state] : states_) {
        shorten(state.granted_until);
        shorten(state.unclear_until);
        for (earlier_holder& holder : state.earlier_holders) {
            shorten(holder.granted_until);
            shorten(holder.unclear_until);
        }
    }
}

void key_granter::inherit_grants(range_state& next, const range_state& earlier)
{
    const key_number first = std::max(next.range.first, earlier.range.first);
    const key_number last = std::min(next.range.last, earlier.range.last);
    for (earlier_holder holder : earlier.earlier_holders) {
        holder.first = std::max(holder.first, first);
        holder.last = std::min(holder.last, last);
        // The release in flight names other keys, so it is sent again.
        holder.release_in_flight = no_command;
        if (holder.first <= holder.last)
            next.earlier_holders.push_back(std::move(holder));
    }
    if (earlier.range.owner == next.range.owner) {
        next.granted_until =
            std::max(next.granted_until, earlier.granted_until);
        next.unclear_until =
            std::max(next.unclear_until, earlier.unclear_until);
        if (!earlier.handover.empty())
            next.handover = earlier.handover;
        return;
    }
    if (earlier.granted_until == time_point{})
        return;
    earlier_holder holder;
    holder.server = earlier.range.owner;
    holder.token = earlier.range.token;
    holder.first = first;
    holder.last = last;
    holder.granted_until = earlier.granted_until;
    holder.unclear_until = earlier.unclear_until;
    holder.grant_in_flight = earlier.grant_in_flight;
    next.earlier_holders.push_back(std::move(holder));
}

key_granter::range_state key_granter::make_state(
    const key_range& range, time_point now) const
{
    range_state state;
    state.range = range;
    state.next_send = now;
    key_number held_keys = 0;
    bool confirmed = true;
    for (const auto& [token, earlier] : states_) {
        if (earlier.range.first > range.last ||
            range.first > earlier.range.last)
            continue;
        inherit_grants(state, earlier);
        if (earlier.range.owner == range.owner &&
            (earlier.accepted || earlier.held_before)) {
            held_keys += std::min(range.last, earlier.range.last) -
                         std::max(range.first, earlier.range.first) + 1;
            confirmed = confirmed && earlier.confirmed_until != time_point{};
            state.confirmed_until =
                state.confirmed_until == time_point{}
                    ? earlier.confirmed_until
                    : std::min(state.confirmed_until, earlier.confirmed_until);
        }
    }
    state.held_before = held_keys == range.last - range.first + 1;
    if (!state.held_before || !confirmed)
        state.confirmed_until = {};
    return state;
}

void key_granter::adopt(const key_table& table, time_point now)
{
    std::map<fencing_token, range_state> next;
    for (const key_range& range : table.ranges) {
        const auto existing = states_.find(range.token);
        if (existing != states_.end() &&
            existing->second.range.first == range.first &&
            existing->second.range.last == range.last) {
            range_state kept = existing->second;
            kept.range = range;
            next.emplace(range.token, std::move(kept));
            continue;
        }
        next.emplace(range.token, make_state(range, now));
    }
    states_ = std::move(next);
    ++granted_version_;
}

void key_granter::on_incarnation_ended(
    const server_incarnation& server, time_point now)
{
    ++granted_version_;
    for (auto& [token, state] : states_) {
        std::erase_if(state.earlier_holders, [&](const earlier_holder& holder) {
            return holder.server == server;
        });
        if (state.range.owner == server) {
            state.granted_until = {};
            state.unclear_until = {};
            state.current_token_unclear_until = {};
            state.accepted = false;
            state.held_before = false;
            // No answer of the ended incarnation is expected.
            open_commands_.erase(state.grant_in_flight);
            state.grant_in_flight = no_command;
        }
    }
    server_silence& silence = unanswered_[server];
    silence.times = std::max(silence.times, options_.silence_limit);
    silence.counted_at = now;
}

void key_granter::on_server_restarted(
    const server_incarnation& earlier, const server_incarnation& present)
{
    for (auto& [token, state] : states_) {
        for (earlier_holder& holder : state.earlier_holders) {
            if (holder.server == earlier)
                holder.server = present;
        }
        if (state.range.owner != earlier)
            continue;
        state.range.owner = present;
        // The restart ended the connection, so what was accepted before that
        // was accepted by the earlier incarnation.
        state.accepted = state.accepted && !state.outdated;
        state.held_before = false;
        state.outdated = true;
        ++granted_version_;
    }
    unanswered_.erase(earlier);
}

bool key_granter::on_connection_lost(const backend_server_id& server)
{
    bool owns_keys = false;
    for (auto& [token, state] : states_) {
        if (state.range.owner.id == server) {
            state.outdated = true;
            owns_keys = true;
        }
    }
    return owns_keys;
}

void key_granter::remove_ended_holders(range_state& state, time_point now) const
{
    std::erase_if(state.earlier_holders, [&](const earlier_holder& holder) {
        return now >= holder.granted_until ||
               (holder.released && holder.grant_in_flight == no_command &&
                   now >= holder.unclear_until);
    });
}

void key_granter::add_release_commands(
    range_state& state, time_point now, std::vector<grant_command>& commands)
{
    for (earlier_holder& holder : state.earlier_holders) {
        if (holder.released || holder.release_in_flight != no_command ||
            holder.grant_in_flight != no_command || now < holder.next_try)
            continue;
        // The receivers of a divided range are neighbors. One release for each
        // would wait for the others, as it needs a connection of its own.
        if (!commands.empty() && commands.back().release &&
            commands.back().server == holder.server &&
            commands.back().token == holder.token &&
            commands.back().last + 1 == holder.first) {
            commands.back().last = holder.last;
            holder.release_in_flight = commands.back().number;
            continue;
        }
        last_command_ = last_command_.next();
        holder.release_in_flight = last_command_;
        open_commands_.emplace(last_command_,
            open_command{true, holder.server, holder.token, {}, now});
        commands.push_back({.number = last_command_,
            .release = true,
            .server = holder.server,
            .first = holder.first,
            .last = holder.last,
            .token = holder.token});
    }
}

void key_granter::add_grant_command(
    range_state& state, time_point now, std::vector<grant_command>& commands)
{
    if (!state.earlier_holders.empty() || state.grant_in_flight != no_command ||
        state.outdated || now < state.next_send || silent(state.range.owner))
        return;
    last_command_ = last_command_.next();
    state.grant_in_flight = last_command_;
    state.next_send = now + options_.renewal;
    open_commands_.emplace(
        last_command_, open_command{false, state.range.owner, state.range.token,
                           state.granted_until, now});
    state.granted_until =
        std::max(state.granted_until, now + options_.max_grant_duration());
    commands.push_back({.number = last_command_,
        .server = state.range.owner,
        .first = state.range.first,
        .last = state.range.last,
        .token = state.range.token,
        .grant_duration = options_.grant_duration,
        .handover = state.accepted ? key_handover() : state.handover});
}

std::vector<grant_command> key_granter::due(time_point now, std::size_t limit)
{
    std::vector<grant_command> commands;
    std::erase_if(unanswered_, [&](const auto& item) {
        return now >= item.second.counted_at + options_.silence_memory;
    });
    auto next = states_.upper_bound(last_due_);
    for (std::size_t count = 0; count < states_.size(); ++count) {
        if (next == states_.end())
            next = states_.begin();
        auto& [token, state] = *next++;
        remove_ended_holders(state, now);
        add_release_commands(state, now, commands);
        add_grant_command(state, now, commands);
        last_due_ = token;
        if (commands.size() >= limit)
            break;
    }
    return commands;
}

void key_granter::on_grant_reply(range_state& state,
    const open_command& command, grant_reply reply, time_point now)
{
    state.grant_in_flight = no_command;
    switch (reply) {
    case grant_reply::accepted:
        // From now on the server refuses delayed grants with a lower token.
        state.unclear_until = state.current_token_unclear_until;
        // The command may have waited for a connection before it was sent. It
        // arrived before its answer, so the grant ends by then at the latest.
        state.granted_until = std::max(now + options_.max_grant_duration(),
            state.current_token_unclear_until);
        if (command.server != state.range.owner)
            return;
        if (!state.accepted && !state.held_before)
            ++granted_version_;
        state.accepted = true;
        state.confirmed_until = command.due_at + options_.grant_duration;
        return;
    case grant_reply::outdated:
        state.outdated = true;
        return;
    case grant_reply::unsent:
        state.granted_until = command.granted_until_before;
        state.next_send = std::min(state.next_send, now + options_.retry);
        return;
    case grant_reply::unclear:
    case grant_reply::delayed:
        // The command may have been sent just before the caller gave up on it.
        state.current_token_unclear_until = now + options_.max_grant_duration();
        state.unclear_until =
            std::max(state.unclear_until, state.current_token_unclear_until);
        state.granted_until =
            std::max(state.granted_until, state.current_token_unclear_until);
        state.next_send = std::min(state.next_send, now + options_.retry);
        // The server may have restarted before it got the command, so that the
        // next one could reach another incarnation than this one.
        state.outdated = true;
        return;
    }
}

void key_granter::on_reply(command_number number, grant_reply reply,
    const key_handover& handover, time_point now)
{
    const auto found = open_commands_.find(number);
    if (found == open_commands_.end())
        return;
    const open_command command = found->second;
    open_commands_.erase(found);
    const bool unclear =
        reply == grant_reply::unclear || reply == grant_reply::delayed;
    const bool answered = !unclear && reply != grant_reply::unsent;
    if (answered)
        unanswered_.erase(command.server);
    else if (reply != grant_reply::delayed)
        count_silence(command, now);
    for (auto& [token, state] : states_) {
        if (state.grant_in_flight == number)
            on_grant_reply(state, command, reply, now);
        for (earlier_holder& holder : state.earlier_holders) {
            if (holder.grant_in_flight == number) {
                holder.grant_in_flight = no_command;
                if (reply == grant_reply::unsent)
                    holder.granted_until = command.granted_until_before;
                if (reply == grant_reply::accepted)
                    holder.granted_until = now + options_.max_grant_duration();
                if (unclear) {
                    holder.unclear_until = std::max(holder.unclear_until,
                        now + options_.max_grant_duration());
                    holder.granted_until =
                        std::max(holder.granted_until, holder.unclear_until);
                }
            }
            if (holder.release_in_flight != number)
                continue;
            holder.release_in_flight = no_command;
            if (!answered) {
                holder.next_try = now + options_.retry;
                continue;
            }
            holder.released = true;
            if (!handover.empty())
                state.handover = handover;
        }
    }
}

} // namespace filberthub
