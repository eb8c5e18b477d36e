// One plan of the owners of keys while it is made. Internal to `routing`.

#ifndef FILBERTHUB_ROUTING_KEY_PLAN_HPP
#define FILBERTHUB_ROUTING_KEY_PLAN_HPP

#include <filberthub/routing/key_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace filberthub::detail {

// Moves per plan. Each costs a release and a grant, and pauses its keys.
inline constexpr int most_moves = 16;
// A move that brings less than this part of a server's load is not worth it.
inline constexpr double least_part = 0.1;
// Keys without requests count a little, so that they are spread as well.
inline constexpr double idle_key_weight = 0.1;

// The plan while it is made. Ranges with an owner index of `unowned` have to
// move.
class key_plan
{
public:
    key_plan(const key_table& table, const key_weights& weights,
        const std::vector<key_server>& servers, const key_plan_options& options)
        : table_(table),
          weights_(weights),
          servers_(servers),
          options_(options),
          load_(servers.size(), 0)
    {
        base_ = idle_key_weight * std::max(weights.total(), 1.0) / key_count;
        for (const key_server& server : servers_)
            capacity_ += server.capacity;
        copy_ranges();
    }

    std::optional<key_table> result()
    {
        place_unowned();
        fill_empty_servers();
        balance();
        join_small_parts();
        merge_neighbours();
        return build();
    }

private:
    static constexpr std::size_t unowned = static_cast<std::size_t>(-1);

    struct part
    {
        key_number first;
        key_number last;
        std::size_t owner;
        // The range of the table that these keys came from, if any.
        const key_range* origin;
        double load;

        // Whether the previous owner may still hold the keys.
        bool waits() const
        {
            return origin != nullptr && !origin->previous.empty();
        }
    };

    double load_of(key_number first, key_number last) const
    {
        double sum = base_ * (last - first + 1);
        for (key_number key = first; key <= last; ++key)
            sum += weights_.of(key);
        return sum;
    }

    void append(key_number first, key_number last, std::size_t owner,
        const key_range* origin)
    {
        const double load = load_of(first, last);
        total_ += load;
        if (owner != unowned)
            load_[owner] += load;
        parts_.push_back({first, last, owner, origin, load});
    }

    void copy_ranges()
    {
        std::map<server_incarnation, std::size_t> index;
        for (std::size_t at = 0; at < servers_.size(); ++at)
            index.emplace(servers_[at].incarnation, at);
        key_number next = 0;
        for (const key_range& range : table_.ranges) {
            if (range.first > next)
                append(next, range.first - 1, unowned, nullptr);
            const auto found = index.find(range.owner);
            append(range.first, range.last,
                found == index.end() ? unowned : found->second, &range);
            next = range.last + 1;
        }
        if (next < key_count)
            append(next, key_count - 1, unowned, nullptr);
    }

    double target(std::size_t server) const
    {
        return total_ * servers_[server].capacity / capacity_;
    }

    // Returns the server that lacks most load, or `unowned`.
    std::size_t neediest() const
    {
        std::size_t best = unowned;
        double most = 0;
        for (std::size_t at = 0; at < servers_.size(); ++at) {
            if (!servers_[at].may_gain)
                continue;
            const double lack =
                (target(at) - load_[at]) / servers_[at].capacity;
            if (best == unowned || lack > most) {
                best = at;
                most = lack;
            }
        }
        return best;
    }

    // Splits a part so that its beginning has a load of about `wanted`, at
    // least one key. Returns whether something is left after it.
    bool split(std::size_t at, double wanted)
    {
        part& whole = parts_[at];
        double sum = 0;
        key_number key = whole.first;
        for (; key < whole.last; ++key) {
            const double weight = weights_.of(key) + base_;
            // A heavy key goes to the side that it fits better.
            if (key > whole.first && sum + weight / 2 > wanted)
                break;
            sum += weight;
            if (sum >= wanted) {
                ++key;
                break;
            }
        }
        if (key > whole.last || key == whole.first)
            return false;
        if (key == whole.last && sum < wanted)
            return false;
        part rest = whole;
        rest.first = key;
        rest.load = whole.load - sum;
        whole.last = key - 1;
        whole.load = sum;
        parts_.insert(
            parts_.begin() + static_cast<std::ptrdiff_t>(at) + 1, rest);
        return true;
    }

    void place_unowned()
    {
        for (std::size_t at = 0; at < parts_.size(); ++at) {
            if (parts_[at].owner != unowned)
                continue;
            const std::size_t server = neediest();
            if (server == unowned)
                return;
            const double lack =
                std::max(target(server) - load_[server], target(server) / 4);
            if (parts_[at].load > lack * 1.2)
                split(at, lack);
            parts_[at].owner = server;
            load_[server] += parts_[at].load;
            changed_ = true;
        }
    }

    // Gives keys to servers that have none, also without any load.
    void fill_empty_servers()
    {
        for (std::size_t at = 0; at < servers_.size(); ++at) {
            if (!servers_[at].may_gain || load_[at] > 0)
                continue;
            std::size_t from = unowned;
            for (std::size_t other = 0; other < servers_.size(); ++other) {
                if (from == unowned ||
                    load_[other] / target(other) > load_[from] / target(from))
                    from = other;
            }
            move_load(
                from, at, std::min(target(at), load_[from] - target(from) / 2));
        }
    }

    // The excess of the busiest of equally loaded servers, by the square root
    // of a server's count: it grows with their number.
    double expected_excess() const
    {
        const double count =
            std::max(static_cast<double>(servers_.size()), 2.0);
        return options_.count_noise * std::sqrt(2 * std::log(count));
    }

    // The load above which a server gives keys away.
    double most_load(std::size_t server) const
    {
        const double fair = target(server);
        const double noise = expected_excess() * std::sqrt(std::max(fair, 1.0));
        return std::max(fair * options_.tolerated_load, fair + noise);
    }

    // Returns the server with most load over its part, or `unowned`.
    std::size_t busiest() const
    {
        std::size_t best = unowned;
        double most = 0;
        for (std::size_t at = 0; at < servers_.size(); ++at) {
            const double ratio = load_[at] / std::max(target(at), 1e-9);
            if (ratio > most && load_[at] > most_load(at)) {
                best = at;
                most = ratio;
            }
        }
        return best;
    }

    void balance()
    {
        if (weights_.total() < options_.least_requests)
            return;
        for (int move = 0; move < most_moves; ++move) {
            const std::size_t from = busiest();
            const std::size_t to = neediest();
            if (from == unowned || to == unowned || from == to)
                return;
            const double wanted =
                std::min(load_[from] - target(from), target(to) - load_[to]);
            if (wanted < least_part * target(to) ||
                !move_load(from, to, wanted))
                return;
        }
    }

    // Moves keys of about the wanted load out of the fitting part of `from`.
    bool move_load(std::size_t from, std::size_t to, double wanted)
    {
        std::size_t best = unowned;
        for (std::size_t at = 0; at < parts_.size(); ++at) {
            const part& item = parts_[at];
            if (item.owner != from || item.waits())
                continue;
            // The heaviest part loses a piece; a small one would move whole
            // and leave the cause where it is.
            if (best == unowned || item.load > parts_[best].load)
                best = at;
        }
        if (best == unowned)
            return false;
        if (parts_[best].load > wanted * 1.2)
            split(best, wanted);
        part& moved = parts_[best];
        // Moving more than the surplus only exchanges the busiest server.
        if (moved.load > wanted * 1.5)
            return false;
        load_[from] -= moved.load;
        load_[to] += moved.load;
        moved.owner = to;
        changed_ = true;
        return true;
    }

    // Give small parts to the owners of neighbours, and join neighbours of one
    // owner, so that the number of grants stays small.
    void join_small_parts();
    std::size_t joined_count() const;
    bool joins_neighbour(std::size_t at) const;
    std::size_t neighbour_with_room(std::size_t at) const;
    void merge_neighbours();
    bool settled(const part& item) const;

    std::optional<key_table> build() const
    {
        if (!changed_)
            return std::nullopt;
        key_table next;
        next.next_token = table_.next_token;
        for (const part& item : parts_) {
            if (item.owner == unowned) {
                // Without a server the old row stays, because its owner may
                // still hold the keys.
                if (item.origin != nullptr)
                    keep(next, item);
                continue;
            }
            const server_incarnation& owner = servers_[item.owner].incarnation;
            if (item.origin != nullptr && item.origin->owner == owner &&
                item.origin->first == item.first &&
                item.origin->last == item.last) {
                next.ranges.push_back(*item.origin);
                continue;
            }
            key_range range{item.first, item.last, owner, next.next_token, {}};
            next.next_token = next.next_token.next();
            if (item.origin != nullptr) {
                range.previous = item.origin->previous;
                if (item.origin->owner != owner) {
                    range.previous.push_back(
                        {item.origin->owner, item.origin->token});
                }
            }
            next.ranges.push_back(std::move(range));
        }
        return next;
    }

    static void keep(key_table& next, const part& item)
    {
        key_range range = *item.origin;
        range.first = item.first;
        range.last = item.last;
        next.ranges.push_back(std::move(range));
    }

    const key_table& table_;
    const key_weights& weights_;
    const std::vector<key_server>& servers_;
    const key_plan_options& options_;
    std::vector<part> parts_;
    std::vector<double> load_;
    double total_ = 0;
    double capacity_ = 0;
    double base_ = 0;
    bool changed_ = false;
};

} // namespace filberthub::detail

#endif
