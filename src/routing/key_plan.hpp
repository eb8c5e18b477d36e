// The computation of one key plan. Internal to `routing`.

#ifndef FILBERTHUB_ROUTING_KEY_PLAN_HPP
#define FILBERTHUB_ROUTING_KEY_PLAN_HPP

#include <filberthub/routing/key_planner.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace filberthub::detail {

// Limits the disruption of one plan: each move costs a release and a grant, and
// makes its keys unavailable in between. A busy range of keys has to be spread
// over a part of the servers that does not shrink in large services.
inline constexpr int min_moves_per_plan = 16;
inline constexpr int servers_per_move = 4;
// Smaller moves, relative to the target load of the receiver, are not made,
// because they are not worth their cost.
inline constexpr double min_move_fraction = 0.1;
// Base load of all keys together, relative to the total number of requests.
// Positive, so that keys without requests are spread too.
inline constexpr double idle_key_weight = 0.1;
// Lower bound of that base load, in requests per server. It is the weight of a
// prior by which the shares of servers differ by 15%: counts of a few requests
// say less, so that the first plan of a deployment is nearly uniform.
inline constexpr double idle_requests_per_server = 22;

// Divides the keys into segments with one owner each. Works on a copy of the
// table; `result` returns the new table. Segments whose owner is `none` have to
// be placed. Owners are indexes into the list of servers.
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
        for (const key_server& server : servers_)
            capacity_ += server.capacity;
        idle_load_per_key_ = std::max(idle_key_weight * weights.total(),
                                 idle_requests_per_server *
                                     static_cast<double>(servers.size())) /
                             key_count;
        limit_key_weights();
        copy_ranges();
    }

    // Computes the plan. Returns nothing if the table needs no change. Must be
    // called only once.
    std::optional<key_table> result()
    {
        place_unowned();
        fill_empty_servers();
        balance();
        if (options_.may_join)
            join_small_segments();
        merge_neighbors();
        return build();
    }

private:
    // No server, or no segment.
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    // Keys from `first` to `last`, both included, with one owner.
    struct segment
    {
        key_number first;
        key_number last;
        std::size_t owner;
        // The range of the table that contains these keys, if any.
        const key_range* origin;
        double load;

        // Whether the previous owner may still hold the keys.
        bool awaits_release() const
        {
            return origin != nullptr && !origin->previous.empty();
        }
    };

    // Sets the limit of the weight of a key.
    void limit_key_weights();

    double weight_of(key_number key) const
    {
        return std::min(weights_.of(key), key_weight_limit_);
    }

    double load_of(key_number first, key_number last) const
    {
        double sum = idle_load_per_key_ * (last - first + 1);
        for (key_number key = first; key <= last; ++key)
            sum += weight_of(key);
        return sum;
    }

    void append_segment(key_number first, key_number last, std::size_t owner,
        const key_range* origin)
    {
        const double load = load_of(first, last);
        total_ += load;
        if (owner != none)
            load_[owner] += load;
        segments_.push_back({first, last, owner, origin, load});
    }

    void copy_ranges()
    {
        std::map<server_incarnation, std::size_t> server_index;
        for (std::size_t index = 0; index < servers_.size(); ++index)
            server_index.emplace(servers_[index].incarnation, index);
        key_number next = 0;
        for (const key_range& range : table_.ranges) {
            if (range.first > next)
                append_segment(next, range.first - 1, none, nullptr);
            const auto found = server_index.find(range.owner);
            append_segment(range.first, range.last,
                found == server_index.end() ? none : found->second, &range);
            next = range.last + 1;
        }
        if (next < key_count)
            append_segment(next, key_count - 1, none, nullptr);
    }

    // The share of the total load that corresponds to a server's capacity.
    double target(std::size_t server) const
    {
        return total_ * servers_[server].capacity / capacity_;
    }

    // Returns the server whose load per capacity is furthest below its target
    // among those that may receive keys, or `none`.
    std::size_t most_underloaded() const
    {
        return best_receiver([this](std::size_t index) {
            return (target(index) - load_[index]) / servers_[index].capacity;
        });
    }

    // Returns the server with the most room up to its level as a receiver,
    // among those that may receive keys, or `none`. A heavy key needs a server
    // with much room, whatever its capacity.
    std::size_t most_room() const
    {
        return best_receiver([this](std::size_t index) {
            return target(index) * options_.receiver_level - load_[index];
        });
    }

    template <class Room>
    std::size_t best_receiver(const Room& room_of) const
    {
        std::size_t best = none;
        double max_room = 0;
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (!servers_[index].may_receive_keys)
                continue;
            const double room = room_of(index);
            if (best == none || room > max_room) {
                best = index;
                max_room = room;
            }
        }
        return best;
    }

    // Splits a segment in two, so that the first one has at least one key and a
    // load of about `wanted_load`. Returns whether it was split.
    bool split(std::size_t index, double wanted_load)
    {
        segment& front = segments_[index];
        double sum = 0;
        key_number key = front.first;
        for (; key < front.last; ++key) {
            const double weight = weight_of(key) + idle_load_per_key_;
            // A heavy key goes to the side where it fits better.
            if (key > front.first && sum + weight / 2 > wanted_load)
                break;
            sum += weight;
            if (sum >= wanted_load) {
                ++key;
                break;
            }
        }
        if (key > front.last || key == front.first)
            return false;
        if (key == front.last && sum < wanted_load)
            return false;
        segment rest = front;
        rest.first = key;
        rest.load = front.load - sum;
        front.last = key - 1;
        front.load = sum;
        segments_.insert(
            segments_.begin() + static_cast<std::ptrdiff_t>(index) + 1, rest);
        return true;
    }

    void place_unowned()
    {
        for (std::size_t index = 0; index < segments_.size(); ++index) {
            if (segments_[index].owner != none)
                continue;
            const std::size_t server = most_underloaded();
            if (server == none)
                return;
            const double deficit =
                std::max(target(server) - load_[server], target(server) / 4);
            if (segments_[index].load > deficit * 1.2)
                split(index, deficit);
            segments_[index].owner = server;
            load_[server] += segments_[index].load;
            changed_ = true;
        }
    }

    // Moves keys to servers that have none, even if there is no load.
    void fill_empty_servers()
    {
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (!servers_[index].may_receive_keys || load_[index] > 0)
                continue;
            std::size_t from = none;
            for (std::size_t other = 0; other < servers_.size(); ++other) {
                if (from == none ||
                    load_[other] / target(other) > load_[from] / target(from))
                    from = other;
            }
            move_keys(from, index,
                std::min(target(index), load_[from] - target(from) / 2));
        }
    }

    // Bound of the excess of the highest count among servers with equal load,
    // relative to the square root of a server's count. Grows with the number of
    // servers.
    double highest_excess() const
    {
        const double count =
            std::max(static_cast<double>(servers_.size()), 2.0);
        return options_.count_noise_factor *
               (std::sqrt(2 * std::log(count)) + options_.noise_margin);
    }

    int max_moves() const
    {
        return std::max(min_moves_per_plan,
            static_cast<int>(servers_.size()) / servers_per_move);
    }

    // The load above which keys are moved away from a server.
    double max_load(std::size_t server) const
    {
        const double target_load = target(server);
        const double noise =
            highest_excess() * std::sqrt(std::max(target_load, 1.0));
        return std::max(
            target_load * options_.max_relative_load, target_load + noise);
    }

    // Returns the server with the highest load relative to its target among
    // those above `max_load`, without those in `stuck`, or `none`.
    std::size_t most_overloaded(const std::vector<bool>& stuck) const
    {
        std::size_t best = none;
        double max_ratio = 0;
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (stuck[index])
                continue;
            const double ratio = load_[index] / std::max(target(index), 1e-9);
            if (ratio > max_ratio && load_[index] > max_load(index)) {
                best = index;
                max_ratio = ratio;
            }
        }
        return best;
    }

    // Moves keys away from overloaded servers, and to underloaded ones.
    void balance();
    void fill_underloaded();
    // Whether the segment may be moved to relieve `from`.
    bool may_move(const segment& item, std::size_t from, std::size_t to,
        double wanted_load) const;
    // Returns the heaviest segment of `from` of which a part may be moved, or
    // `none`. Moving a small one as a whole would leave the keys that cause the
    // overload where they are.
    std::size_t heaviest_movable_segment(
        std::size_t from, std::size_t to, double wanted_load) const;
    // Moves keys with a load of about `wanted_load` out of the heaviest segment
    // of `from`. Returns whether keys were moved.
    bool move_keys(std::size_t from, std::size_t to, double wanted_load);

    // Assign small segments to the owners of neighbors, and merge neighbors
    // with the same owner, so that the number of grants stays small.
    void join_small_segments();
    std::size_t joined_range_count() const;
    bool has_neighbor_of_same_owner(std::size_t index) const;
    std::size_t neighbor_with_room(std::size_t index) const;
    void merge_neighbors();
    bool keeps_owner(const segment& item) const;

    std::optional<key_table> build() const
    {
        if (!changed_)
            return std::nullopt;
        key_table next;
        next.next_token = table_.next_token;
        for (const segment& item : segments_) {
            if (item.owner == none) {
                // If no server may receive keys, the range of the table is
                // kept, because its owner may still hold the keys.
                if (item.origin != nullptr)
                    append_unowned(next, item);
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

    static void append_unowned(key_table& next, const segment& item)
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
    std::vector<segment> segments_;
    std::vector<double> load_;
    double total_ = 0;
    double capacity_ = 0;
    double idle_load_per_key_ = 0;
    double key_weight_limit_ = 0;
    bool changed_ = false;
};

} // namespace filberthub::detail

#endif
