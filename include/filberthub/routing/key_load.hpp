// The load of each key: a mean over seconds, and what exceeds it at present.
//
//     key_load load;
//     load.add(4711, 1);
//     load.update(now);
//     plan_keys(table, load.expected(), servers, options);
//
// Designed for 2,000 requests per second on 183 servers, reported up to 0.5 s
// late, of which 16% to 45% go to 60 or 200 neighboring keys for 4 to 5 s.

#ifndef FILBERTHUB_ROUTING_KEY_LOAD_HPP
#define FILBERTHUB_ROUTING_KEY_LOAD_HPP

#include <filberthub/routing/key_planner.hpp>

namespace filberthub {

// Guarantees that the expected load of a key differs from its mean only if the
// latest counts of the keys around it exceed what chance explains.
class key_load
{
public:
    void start(time_point now);
    void add(key_number key, double requests);
    // Adds requests with the total duration of their work. They count by their
    // work relative to the mean of all requests.
    void add_work(key_number key, double requests, double work_ms);
    // Computes the expected load. To be called several times per second.
    void update(time_point now);

    // Load of each key in requests per `mean_time_ms`.
    const key_weights& expected() const
    {
        return hot_since_ ? expected_ : mean_;
    }
    // How long some keys have been hot; nothing if none are.
    std::optional<milliseconds> hot_for(time_point now) const;
    // Whether a server has much more than its share because of hot keys. Moves
    // for such a server should not wait.
    bool is_in_surge(
        const key_table& table, const std::vector<key_server>& servers) const;

    // Keys with more work than a server of this capacity can do, if the work is
    // known. Capacity is the number of requests that run at once at slowdown 1.
    std::vector<key_number> keys_beyond(double capacity) const;

    // Time constant of the mean load.
    static constexpr double mean_time_ms = 7'200;

private:
    // Whether any keys can be hot. Takes a small part of the time that it takes
    // to find them.
    bool may_have_hot_keys() const;
    // Raises the expected load of hot keys above their mean load. Returns
    // whether there are any.
    bool add_hot_keys(double onset_factor);

    key_weights mean_;
    key_weights latest_;
    // Set while there are hot keys.
    key_weights expected_;
    // Requests and work of the last seconds that were reported with their work.
    double work_requests_ = 0;
    double work_ms_ = 0;
    std::vector<bool> hot_;
    std::optional<time_point> hot_since_;
    time_point updated_at_;
};

} // namespace filberthub

#endif
