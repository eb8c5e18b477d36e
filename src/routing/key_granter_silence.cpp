// Silent servers and their probes, by `key_granter`.

#include <filberthub/routing/key_granter.hpp>

#include <algorithm>

namespace filberthub {

void key_granter::count_silence(const open_command& command, time_point now)
{
    server_silence& silence = unanswered_[command.server];
    silence.token = command.token;
    if (silence.times > 0 && now < silence.counted_at + options_.retry)
        return;
    ++silence.times;
    silence.counted_at = now;
}

bool key_granter::is_earlier_holder(const server_incarnation& server) const
{
    return std::any_of(states_.begin(), states_.end(), [&](const auto& item) {
        const auto& holders = item.second.earlier_holders;
        return std::any_of(
            holders.begin(), holders.end(), [&](const earlier_holder& holder) {
                return holder.server == server;
            });
    });
}

bool key_granter::owns_keys(const server_incarnation& server) const
{
    return std::any_of(states_.begin(), states_.end(),
        [&](const auto& item) { return item.second.range.owner == server; });
}

key_number key_granter::key_for_probe(const server_incarnation& server) const
{
    for (const auto& [token, state] : states_) {
        if (state.range.owner != server)
            return state.range.first;
    }
    return 0;
}

// The token is below any that the server may get with keys later, and a release
// takes away one key at most should it be carried out late.
std::optional<grant_command> key_granter::probe(
    const server_incarnation& server, time_point now)
{
    const auto found = unanswered_.find(server);
    if (found == unanswered_.end() || !silent(server))
        return std::nullopt;
    server_silence& silence = found->second;
    if (open_commands_.contains(silence.probe_in_flight) ||
        now < silence.next_probe || is_earlier_holder(server))
        return std::nullopt;
    // Keys of a silent owner wait for its answer.
    silence.probe_delay = owns_keys(server)
                              ? options_.retry
                              : std::clamp(silence.probe_delay * 2,
                                    options_.retry, options_.max_probe_delay);
    silence.next_probe = now + silence.probe_delay;
    last_command_ = last_command_.next();
    silence.probe_in_flight = last_command_;
    open_commands_.emplace(
        last_command_, open_command{true, server, silence.token, {}, now});
    const key_number key = key_for_probe(server);
    return grant_command{.number = last_command_,
        .release = true,
        .probe = true,
        .server = server,
        .first = key,
        .last = key,
        .token = silence.token};
}

} // namespace filberthub
