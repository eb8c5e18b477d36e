// What a `key_granter` tells about the keys of its table.

#include <filberthub/routing/key_granter.hpp>

#include <algorithm>

namespace filberthub {

std::vector<key_range> key_granter::granted() const
{
    std::vector<key_range> result;
    for (const auto& [token, state] : states_) {
        if (state.accepted || state.held_before)
            result.push_back(state.range);
    }
    std::sort(result.begin(), result.end(),
        [](const key_range& left, const key_range& right) {
            return left.first < right.first;
        });
    return result;
}

key_coverage key_granter::coverage(time_point now) const
{
    key_coverage result;
    for (const auto& [token, state] : states_) {
        const std::size_t keys = state.range.last - state.range.first + 1;
        const bool published = state.accepted || state.held_before;
        if (published && state.confirmed_until == time_point{})
            result.unconfirmed += keys;
        else if (published && now >= state.confirmed_until)
            result.lapsed += keys;
        else if (published)
            result.served += keys;
        else if (!state.earlier_holders.empty())
            result.awaiting_release += keys;
        else if (state.outdated)
            result.awaiting_token += keys;
        else
            result.awaiting_grant += keys;
    }
    result.open_commands = open_commands_.size();
    return result;
}

bool key_granter::is_granted(fencing_token token) const
{
    const auto found = states_.find(token);
    return found != states_.end() && found->second.accepted;
}

std::map<fencing_token, server_incarnation> key_granter::outdated() const
{
    std::map<fencing_token, server_incarnation> result;
    for (const auto& [token, state] : states_) {
        if (state.outdated && !silent(state.range.owner))
            result.emplace(token, state.range.owner);
    }
    return result;
}

unsigned key_granter::unanswered(const server_incarnation& server) const
{
    const auto found = unanswered_.find(server);
    return found == unanswered_.end() ? 0 : found->second.times;
}

} // namespace filberthub
