#include "routing/key_plan.hpp"

namespace filberthub::detail {
namespace {

// A key that is heavier than the free capacity of the receiver is moved only if
// this share of the giver's relative load is not exceeded at the receiver. It
// cannot be divided, so that it may make the receiver the next busiest server.
constexpr double max_received_load = 0.75;
// A key counts with at most this multiple of the average load of a server. The
// rest of it no server can serve, so that it must not raise the load that the
// other servers are expected to take.
constexpr double max_key_load = 2;
constexpr int max_key_load_rounds = 4;
// A server with less than this part of its share gets keys, one server with
// each plan, although no other is overloaded: it has recovered, or is no longer
// cold.
constexpr double min_relative_load = 0.65;
// Givers keep at least this part of their share.
constexpr double min_giver_load = 0.9;
} // namespace

// The limit depends on the sum of the limited weights.
void key_plan::limit_key_weights()
{
    double total = weights_.total();
    for (int round = 0; round < max_key_load_rounds; ++round) {
        key_weight_limit_ =
            max_key_load * total / static_cast<double>(servers_.size());
        double sum = 0;
        for (key_number key = 0; key < key_count; ++key)
            sum += weight_of(key);
        if (sum == total)
            return;
        total = sum;
    }
}

void key_plan::balance()
{
    if (weights_.total() < options_.min_requests || !options_.may_balance)
        return;
    // A server whose load is one key cannot be relieved of it. It must not
    // keep the plan from relieving the others.
    std::vector<bool> stuck(servers_.size(), false);
    const int limit = options_.moves_for_balance > 0
                          ? static_cast<int>(options_.moves_for_balance)
                          : max_moves();
    for (int moves = 0; moves < limit; ++moves) {
        const std::size_t from = most_overloaded(stuck);
        const std::size_t to =
            options_.receiver_level > 1 ? most_room() : most_underloaded();
        if (from == none || to == none || from == to)
            break;
        const double wanted_load = std::min(load_[from] - target(from),
            target(to) * options_.receiver_level - load_[to]);
        if (wanted_load < min_move_fraction * target(to))
            break;
        if (!move_keys(from, to, wanted_load))
            stuck[from] = true;
    }
    if (options_.receiver_level <= 1)
        fill_underloaded();
}

void key_plan::fill_underloaded()
{
    std::vector<bool> stuck(servers_.size(), false);
    const std::size_t to = most_underloaded();
    if (to == none)
        return;
    const double noise =
        highest_excess() * std::sqrt(std::max(target(to), 1.0));
    if (load_[to] >
        std::min(target(to) * min_relative_load, target(to) - noise))
        return;
    for (int moves = 0; moves < max_moves(); ++moves) {
        std::size_t from = none;
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (!stuck[index] && index != to &&
                (from == none ||
                    load_[index] / target(index) > load_[from] / target(from)))
                from = index;
        }
        if (from == none)
            return;
        const double wanted_load =
            std::min(load_[from] - target(from) * min_giver_load,
                target(to) - load_[to]);
        if (wanted_load < min_move_fraction * target(to))
            return;
        if (!move_keys(from, to, wanted_load))
            stuck[from] = true;
    }
}

bool key_plan::may_move(const segment& item, std::size_t from, std::size_t to,
    double wanted_load) const
{
    // Moving more than the excess would only overload the other server.
    if (item.load <= wanted_load * 1.5)
        return true;
    return item.first == item.last &&
           (load_[to] + item.load) / target(to) <
               max_received_load * load_[from] / target(from);
}

std::size_t key_plan::heaviest_movable_segment(
    std::size_t from, std::size_t to, double wanted_load) const
{
    std::size_t best = none;
    for (std::size_t index = 0; index < segments_.size(); ++index) {
        const segment& item = segments_[index];
        if (item.owner != from || item.awaits_release() ||
            (item.first == item.last && !may_move(item, from, to, wanted_load)))
            continue;
        if (best == none || item.load > segments_[best].load)
            best = index;
    }
    return best;
}

bool key_plan::move_keys(std::size_t from, std::size_t to, double wanted_load)
{
    std::size_t best = heaviest_movable_segment(from, to, wanted_load);
    if (best == none)
        return false;
    const auto is_too_heavy = [&](std::size_t index) {
        return segments_[index].load > wanted_load * 1.2;
    };
    const bool divided = is_too_heavy(best) && split(best, wanted_load);
    if (divided && !may_move(segments_[best], from, to, wanted_load)) {
        // The first key is too heavy; the keys behind it may fit.
        ++best;
        if (is_too_heavy(best))
            split(best, wanted_load);
    }
    segment& moved = segments_[best];
    if (!may_move(moved, from, to, wanted_load))
        return false;
    load_[from] -= moved.load;
    load_[to] += moved.load;
    moved.owner = to;
    changed_ = true;
    return true;
}

} // namespace filberthub::detail
