#include <filberthub/membership/fleet_planner.hpp>
#include <filberthub/membership/rendezvous.hpp>

#include "membership/holder_planner.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace filberthub {
namespace {

using member_map = std::map<instance_id, fleet_member>;

// The members of the plan, and the instances among them that are leaving.
struct fleet_state
{
    member_map members;
    std::set<instance_id> leaving;

    // Returns whether an instance may be a witness and a holder.
    bool eligible(const instance_id& id) const
    {
        return members.contains(id) && !leaving.contains(id);
    }
};

// Applies lapses and reported statuses to the members, and returns the members
// that lapsed or departed in `ended`.
void apply_statuses(
    fleet_state& state, const fleet_input& input, std::set<member_key>& ended)
{
    ended = input.lapsed;
    for (const member_status& status : input.statuses) {
        if (status.departed)
            ended.insert(status.from);
        const auto found = state.members.find(status.from.instance);
        if (found == state.members.end() || found->second.key != status.from)
            continue;
        fleet_member& member = found->second;
        member.ready = member.ready || status.ready;
        if (!member.previous.empty() && status.settled >= member.changed)
            member.previous.clear();
    }
    std::erase_if(state.members,
        [&](const auto& item) { return ended.contains(item.second.key); });
}

void add_joining(fleet_state& state, const fleet_input& input,
    const std::set<member_key>& ended)
{
    for (const listed_instance& listed : input.instances) {
        if (listed.leaving) {
            state.leaving.insert(listed.key.instance);
            continue;
        }
        // The instance list can be out of date: an incarnation that has ended
        // never returns.
        if (ended.contains(listed.key))
            continue;
        fleet_member member;
        member.key = listed.key;
        member.address = listed.address;
        member.domain = listed.domain;
        state.members.emplace(listed.key.instance, std::move(member));
    }
}

// Returns up to `wanted` witnesses: current ones first, then by readiness and
// rendezvous weight, with at most `witnesses_per_domain` in a domain if there
// are enough domains.
std::vector<instance_id> choose_witnesses(
    const fleet_state& state, const fleet_member& member, std::size_t wanted)
{
    std::vector<const fleet_member*> order;
    for (const instance_id& witness : member.witnesses) {
        if (state.eligible(witness))
            order.push_back(&state.members.at(witness));
    }
    using ranked_member = std::tuple<bool, std::uint64_t, const fleet_member*>;
    std::vector<ranked_member> other_candidates;
    for (const auto& [id, other] : state.members) {
        const auto& present = member.witnesses;
        if (id == member.key.instance || !state.eligible(id) ||
            std::find(present.begin(), present.end(), id) != present.end())
            continue;
        other_candidates.emplace_back(!other.ready,
            rendezvous_weight(member.key.instance.value(), id.value()), &other);
    }
    std::sort(other_candidates.begin(), other_candidates.end());
    for (const ranked_member& item : other_candidates)
        order.push_back(std::get<const fleet_member*>(item));

    std::vector<instance_id> result;
    std::vector<const fleet_member*> over_domain_limit;
    std::map<failure_domain_id, std::size_t> per_domain;
    for (const fleet_member* other : order) {
        if (result.size() == wanted)
            break;
        if (per_domain[other->domain] == witnesses_per_domain) {
            over_domain_limit.push_back(other);
            continue;
        }
        ++per_domain[other->domain];
        result.push_back(other->key.instance);
    }
    for (const fleet_member* other : over_domain_limit) {
        if (result.size() < wanted)
            result.push_back(other->key.instance);
    }
    return result;
}

// Returns whether the current witnesses need no change.
bool witnesses_suffice(
    const fleet_state& state, const fleet_member& member, std::size_t wanted)
{
    std::map<failure_domain_id, std::size_t> per_domain;
    for (const instance_id& witness : member.witnesses) {
        if (!state.eligible(witness) ||
            ++per_domain[state.members.at(witness).domain] >
                witnesses_per_domain)
            return false;
    }
    return member.witnesses.size() == wanted;
}

void assign_witnesses(fleet_state& state, object_version next)
{
    std::size_t eligible = 0;
    for (const auto& item : state.members)
        eligible += state.eligible(item.first) ? 1 : 0;
    std::map<instance_id, std::vector<instance_id>> chosen;
    for (const auto& [id, member] : state.members) {
        const std::size_t other_count = eligible - (state.eligible(id) ? 1 : 0);
        const std::size_t wanted = witnesses_for(other_count);
        if (member.previous.empty() &&
            !witnesses_suffice(state, member, wanted))
            chosen.emplace(id, choose_witnesses(state, member, wanted));
    }
    for (auto& [id, witnesses] : chosen) {
        fleet_member& member = state.members.at(id);
        if (std::set(witnesses.begin(), witnesses.end()) ==
            std::set(member.witnesses.begin(), member.witnesses.end()))
            continue;
        member.previous = std::move(member.witnesses);
        member.witnesses = std::move(witnesses);
        member.changed = next;
    }
}

// Returns the holder lists of `base` without the places that were released or
// whose members have ended, and with an empty list for each new server.
detail::holder_lists retained_holder_lists(const fleet_table& base,
    const fleet_input& input, const std::set<member_key>& ended)
{
    std::set<std::tuple<backend_server_id, member_key, object_version>>
        released_places;
    for (const released& release : input.releases)
        released_places.emplace(release.server, release.from, release.since);
    detail::holder_lists lists = base.servers();
    const std::set<backend_server_id> wanted(
        input.servers.begin(), input.servers.end());
    for (auto& item : lists) {
        const backend_server_id& server = item.first;
        holder_list& list = item.second;
        list.removed = !wanted.contains(server);
        const std::size_t places = list.entries.size();
        std::erase_if(list.entries, [&](const holder_entry& entry) {
            return ended.contains(entry.member) ||
                   released_places.contains(
                       {server, entry.member, entry.since});
        });
        list.replaced = list.replaced || list.entries.size() < places;
    }
    std::erase_if(lists, [](const auto& item) {
        return item.second.removed && item.second.entries.empty();
    });
    for (const backend_server_id& server : input.servers)
        lists.try_emplace(server);
    return lists;
}

} // namespace

std::optional<fleet_table> plan_fleet(
    const fleet_table& base, const fleet_input& input)
{
    const object_version next = base.version().next();
    fleet_state state;
    for (const fleet_member& member : base.members())
        state.members.emplace(member.key.instance, member);
    std::set<member_key> ended;
    apply_statuses(state, input, ended);
    add_joining(state, input, ended);
    assign_witnesses(state, next);

    std::vector<detail::candidate> candidates;
    for (const auto& [id, member] : state.members) {
        if (member.ready && state.eligible(id))
            candidates.push_back({member.key, member.domain, 0, 0});
    }
    detail::holder_lists lists = retained_holder_lists(base, input, ended);
    detail::holder_planner holders(std::move(candidates), next);
    holders.fill(lists);
    holders.append_rebalance_targets(lists);

    fleet_table_builder builder;
    builder.version(base.version());
    for (const auto& item : state.members)
        builder.member(item.second);
    for (auto& [server, list] : lists)
        builder.server(server, std::move(list));
    fleet_table result = builder.build();
    if (result == base)
        return std::nullopt;
    return fleet_table_builder(result).version(next).build();
}

} // namespace filberthub
