#include "routing/key_plan.hpp"

namespace filberthub::detail {
namespace {

// A server keeps this part of its load when small ranges are joined, so that it
// does not need others at once.
constexpr double least_kept = 0.7;

} // namespace

// Gives the lightest parts to the owner of a neighbour while there are
// many, so that the number of grants stays small however often keys move.
void key_plan::join_small_parts()
{
    const std::size_t most = options_.ranges_per_server * servers_.size();
    std::size_t count = joined_count();
    for (int move = 0; move < most_moves && count > most; ++move) {
        std::size_t best = unowned;
        std::size_t taker = unowned;
        for (std::size_t at = 0; at < parts_.size(); ++at) {
            if (parts_[at].waits() ||
                (best != unowned && parts_[at].load >= parts_[best].load))
                continue;
            const std::size_t owner = neighbour_with_room(at);
            if (owner == unowned)
                continue;
            best = at;
            taker = owner;
        }
        if (best == unowned)
            return;
        load_[parts_[best].owner] -= parts_[best].load;
        load_[taker] += parts_[best].load;
        parts_[best].owner = taker;
        changed_ = true;
        count = joined_count();
    }
}

// Number of ranges if neighbours of one owner are joined.
std::size_t key_plan::joined_count() const
{
    std::size_t count = 0;
    for (std::size_t at = 0; at < parts_.size(); ++at)
        count += at == 0 || parts_[at].owner != parts_[at - 1].owner ? 1 : 0;
    return count;
}

bool key_plan::joins_neighbour(std::size_t at) const
{
    const std::size_t owner = parts_[at].owner;
    return (at > 0 && parts_[at - 1].owner == owner) ||
           (at + 1 < parts_.size() && parts_[at + 1].owner == owner);
}

// Returns the owner of a neighbour of a part that can take it, or
// `unowned`.
std::size_t key_plan::neighbour_with_room(std::size_t at) const
{
    const std::size_t giver = parts_[at].owner;
    if (giver == unowned || joins_neighbour(at) ||
        load_[giver] - parts_[at].load < target(giver) * least_kept)
        return unowned;
    std::size_t best = unowned;
    const auto consider = [&](std::size_t other) {
        const std::size_t owner = parts_[other].owner;
        if (owner == unowned || owner == parts_[at].owner ||
            !servers_[owner].may_gain ||
            load_[owner] + parts_[at].load > most_load(owner))
            return;
        if (best == unowned ||
            load_[owner] / target(owner) < load_[best] / target(best))
            best = owner;
    };
    if (at > 0)
        consider(at - 1);
    if (at + 1 < parts_.size())
        consider(at + 1);
    return best;
}

// Joins neighbours of one owner, so that the number of grants stays small.
// Only ranges that change anyway are joined while nothing else changes.
void key_plan::merge_neighbours()
{
    if (!changed_)
        return;
    std::vector<part> joined;
    for (const part& item : parts_) {
        if (!joined.empty() && joined.back().owner == item.owner &&
            settled(joined.back()) && settled(item)) {
            joined.back().last = item.last;
            joined.back().load += item.load;
            continue;
        }
        joined.push_back(item);
    }
    parts_ = std::move(joined);
}

// Whether the owner of the part is already its owner in the table.
bool key_plan::settled(const part& item) const
{
    return item.owner != unowned && item.origin != nullptr && !item.waits() &&
           servers_[item.owner].incarnation == item.origin->owner;
}

} // namespace filberthub::detail
