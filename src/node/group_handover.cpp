#include "node/group_handover.hpp"

#include <algorithm>

namespace filberthub {

void group_handover::adopt(const ownership_table& table)
{
    const std::map<key_group, group_token> earlier_ready =
        std::move(ready_tokens_);
    const std::map<key_group, awaited_releases> earlier_waiting =
        std::move(waiting_);
    ready_.clear();
    ready_tokens_.clear();
    waiting_.clear();
    departed_.clear();

    std::vector<key_group> groups;
    for (std::uint32_t index = 0; index < table.groups().value(); ++index)
        groups.emplace_back(index);
    for (const hot_key& hot : table.hot_keys())
        groups.push_back(hot.group);

    const auto own_index = table.index_of(server_);
    for (const key_group group : groups) {
        const assignment& owner = table.at(group);
        const auto former = table.releases_before(group);
        if (!own_index || owner.primary != *own_index) {
            const bool owned =
                own_index && std::any_of(former.begin(), former.end(),
                                 [&](const pending_release& release) {
                                     return release.server == *own_index;
                                 });
            if (owned && owner.primary != no_server)
                departed_.push_back(
                    {group, owner.token, table.server(owner.primary)});
            continue;
        }
        const auto served = earlier_ready.find(group);
        if (served != earlier_ready.end() && served->second == owner.token) {
            make_ready(group, owner.token);
            continue;
        }
        awaited_releases awaited{owner.token, {}};
        const auto earlier = earlier_waiting.find(group);
        for (const pending_release& release : former) {
            const backend_server_id& id = table.server(release.server);
            const bool released = earlier != earlier_waiting.end() &&
                                  earlier->second.token == owner.token &&
                                  !earlier->second.servers.contains(id);
            if (!released && id != server_)
                awaited.servers.insert(id);
        }
        if (awaited.servers.empty())
            make_ready(group, owner.token);
        else
            waiting_.emplace(group, std::move(awaited));
    }
}

void group_handover::on_released(
    key_group group, group_token token, const backend_server_id& from)
{
    const auto found = waiting_.find(group);
    if (found == waiting_.end() || token < found->second.token)
        return;
    found->second.servers.erase(from);
    if (!found->second.servers.empty())
        return;
    const group_token ready = found->second.token;
    waiting_.erase(found);
    make_ready(group, ready);
}

bool group_handover::serves(key_group group, group_token token) const
{
    const auto found = ready_tokens_.find(group);
    return found != ready_tokens_.end() && found->second == token;
}

void group_handover::make_ready(key_group group, group_token token)
{
    ready_tokens_[group] = token;
    std::vector<key_group>& list = ready_[token.value()];
    list.insert(std::upper_bound(list.begin(), list.end(), group), group);
}

} // namespace filberthub
