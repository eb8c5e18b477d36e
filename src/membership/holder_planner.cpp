#include "membership/holder_planner.hpp"

#include <xxhash.h>

#include <algorithm>

namespace filberthub::detail {
namespace {

constexpr std::size_t none = SIZE_MAX;

std::size_t mean_rounded_up(std::size_t total, std::size_t count)
{
    return count == 0 ? 0 : (total + count - 1) / count;
}

} // namespace

holder_planner::holder_planner(
    std::vector<candidate> candidates, object_version next_version)
    : candidates_(std::move(candidates)), next_version_(next_version)
{
    std::map<failure_domain_id, std::size_t> numbers;
    for (std::size_t index = 0; index < candidates_.size(); ++index) {
        indexes_.emplace(candidates_[index].key, index);
        domains_.push_back(
            numbers.emplace(candidates_[index].domain, numbers.size())
                .first->second);
    }
}

std::size_t holder_planner::index_of(const member_key& key) const
{
    const auto found = indexes_.find(key);
    return found == indexes_.end() ? none : found->second;
}

// Returns the index of the least loaded candidate that is not taken, or `none`.
// Load is counted by first places if `as_head` is set, else by all places. Ties
// go to the first candidate from a start position that depends on the server.
std::size_t holder_planner::choose(const backend_server_id& server,
    const std::vector<std::size_t>& taken, bool as_head,
    bool other_domains) const
{
    const std::size_t count = candidates_.size();
    const std::size_t start =
        count == 0
            ? 0
            : XXH3_64bits(server.value().data(), server.value().size()) % count;
    std::size_t best = none;
    std::pair<std::size_t, std::size_t> best_load;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (start + step) % count;
        const bool excluded =
            std::any_of(taken.begin(), taken.end(), [&](std::size_t other) {
                return other == index ||
                       (other_domains && domains_[other] == domains_[index]);
            });
        if (excluded)
            continue;
        const candidate& item = candidates_[index];
        const std::pair load{as_head ? item.heads : item.places, item.places};
        if (best == none || load < best_load) {
            best = index;
            best_load = load;
        }
    }
    return best;
}

void holder_planner::append(holder_list& list, std::size_t index)
{
    list.entries.push_back({candidates_[index].key, next_version_});
    ++candidates_[index].places;
}

void holder_planner::fill(holder_lists& lists)
{
    for (const auto& [server, list] : lists) {
        bool first = true;
        for (const holder_entry& entry : list.entries) {
            const std::size_t index = index_of(entry.member);
            if (index != none) {
                ++candidates_[index].places;
                candidates_[index].heads += first ? 1 : 0;
            }
            first = false;
        }
    }
    for (auto& [server, list] : lists) {
        if (list.removed)
            continue;
        std::vector<std::size_t> taken;
        for (const holder_entry& entry : list.entries) {
            const std::size_t index = index_of(entry.member);
            if (index != none)
                taken.push_back(index);
        }
        while (taken.size() < holder_list_target &&
               list.entries.size() < holder_list_limit) {
            const bool head = list.entries.empty();
            std::size_t index = choose(server, taken, head, true);
            if (index == none)
                index = choose(server, taken, head, false);
            if (index == none)
                break;
            candidates_[index].heads += head ? 1 : 0;
            append(list, index);
            taken.push_back(index);
        }
    }
}

void holder_planner::append_rebalance_targets(holder_lists& lists)
{
    const std::size_t limit = mean_rounded_up(lists.size(), candidates_.size());
    for (auto& [server, list] : lists) {
        if (list.removed || list.entries.empty() ||
            list.entries.size() >= holder_list_limit)
            continue;
        const std::size_t head = index_of(list.entries.front().member);
        if (head == none || candidates_[head].heads <= limit)
            continue;
        std::size_t lowest = choose(server, {head}, true, false);
        if (lowest == none ||
            candidates_[lowest].heads + 2 > candidates_[head].heads)
            continue;
        // No new place is needed if a successor in the list can relieve the
        // holder.
        bool already_listed = false;
        for (const holder_entry& entry : list.entries) {
            const std::size_t index = index_of(entry.member);
            if (index != none && index != head &&
                candidates_[index].heads + 2 <= candidates_[head].heads) {
                lowest = index;
                already_listed = true;
                break;
            }
        }
        --candidates_[head].heads;
        ++candidates_[lowest].heads;
        if (!already_listed)
            append(list, lowest);
    }
}

} // namespace filberthub::detail

namespace filberthub {

std::vector<backend_server_id> places_to_release(
    const fleet_table& table, const member_key& self)
{
    std::map<member_key, std::size_t> heads;
    std::size_t members = 0;
    for (const fleet_member& member : table.members())
        members += member.ready ? 1 : 0;
    std::size_t total = 0;
    for (const auto& [server, list] : table.servers()) {
        if (list.removed || list.entries.empty())
            continue;
        ++heads[list.entries.front().member];
        ++total;
    }
    const std::size_t limit = detail::mean_rounded_up(total, members);

    std::vector<backend_server_id> result;
    for (const auto& [server, list] : table.servers()) {
        const auto& entries = list.entries;
        const auto own_entry = std::find_if(entries.begin(), entries.end(),
            [&](const holder_entry& entry) { return entry.member == self; });
        if (list.removed) {
            if (own_entry != entries.end())
                result.push_back(server);
            continue;
        }
        if (entries.empty())
            continue;
        std::size_t& load = heads[entries.front().member];
        if (load <= limit)
            continue;
        const auto target = std::find_if(
            entries.begin() + 1, entries.end(), [&](const holder_entry& entry) {
                return heads[entry.member] + 2 <= load;
            });
        if (target == entries.end())
            continue;
        --load;
        ++heads[target->member];
        if (own_entry < target)
            result.push_back(server);
    }
    return result;
}

} // namespace filberthub
