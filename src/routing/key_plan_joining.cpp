#include "routing/key_plan.hpp"

namespace filberthub::detail {
namespace {

// Fraction of its target load that a server keeps when small segments are
// joined, so that it does not need other keys right away.
constexpr double min_kept_load_fraction = 0.7;

} // namespace

// Assigns the lightest segments to the owner of a neighbor while there are too
// many ranges, so that the number of grants stays small however often keys
// move.
void key_plan::join_small_segments()
{
    const std::size_t max_ranges = options_.ranges_per_server * servers_.size();
    std::size_t count = joined_range_count();
    for (int moves = 0; moves < max_moves() && count > max_ranges; ++moves) {
        std::size_t best = none;
        std::size_t receiver = none;
        for (std::size_t index = 0; index < segments_.size(); ++index) {
            if (segments_[index].awaits_release() ||
                (best != none && segments_[index].load >= segments_[best].load))
                continue;
            const std::size_t owner = neighbor_with_room(index);
            if (owner == none)
                continue;
            best = index;
            receiver = owner;
        }
        if (best == none)
            return;
        load_[segments_[best].owner] -= segments_[best].load;
        load_[receiver] += segments_[best].load;
        segments_[best].owner = receiver;
        changed_ = true;
        count = joined_range_count();
    }
}

// Returns the number of ranges after joining neighbors with the same owner.
std::size_t key_plan::joined_range_count() const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < segments_.size(); ++index)
        count +=
            index == 0 || segments_[index].owner != segments_[index - 1].owner
                ? 1
                : 0;
    return count;
}

bool key_plan::has_neighbor_of_same_owner(std::size_t index) const
{
    const std::size_t owner = segments_[index].owner;
    return (index > 0 && segments_[index - 1].owner == owner) ||
           (index + 1 < segments_.size() &&
               segments_[index + 1].owner == owner);
}

// Returns the less loaded owner of a neighbor that can take the segment, or
// `none`.
std::size_t key_plan::neighbor_with_room(std::size_t index) const
{
    const std::size_t current_owner = segments_[index].owner;
    if (current_owner == none || has_neighbor_of_same_owner(index) ||
        load_[current_owner] - segments_[index].load <
            target(current_owner) * min_kept_load_fraction)
        return none;
    std::size_t best = none;
    const auto consider = [&](std::size_t other) {
        const std::size_t owner = segments_[other].owner;
        if (owner == none || owner == segments_[index].owner ||
            !servers_[owner].may_receive_keys ||
            load_[owner] + segments_[index].load > max_load(owner))
            return;
        if (best == none ||
            load_[owner] / target(owner) < load_[best] / target(best))
            best = owner;
    };
    if (index > 0)
        consider(index - 1);
    if (index + 1 < segments_.size())
        consider(index + 1);
    return best;
}

// Merges neighbors with the same owner, so that the number of grants stays
// small. Does nothing if the plan has no other change.
void key_plan::merge_neighbors()
{
    if (!changed_)
        return;
    std::vector<segment> joined;
    for (const segment& item : segments_) {
        if (!joined.empty() && joined.back().owner == item.owner &&
            keeps_owner(joined.back()) && keeps_owner(item)) {
            joined.back().last = item.last;
            joined.back().load += item.load;
            continue;
        }
        joined.push_back(item);
    }
    segments_ = std::move(joined);
}

// Returns whether the segment's owner already owns its keys in the table and no
// previous owner may still hold them.
bool key_plan::keeps_owner(const segment& item) const
{
    return item.owner != none && item.origin != nullptr &&
           !item.awaits_release() &&
           servers_[item.owner].incarnation == item.origin->owner;
}

} // namespace filberthub::detail
