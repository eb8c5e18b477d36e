// One instance's share of a retry budget for the whole fleet.
//
//     window_budget budget({.ratio = 0.2, .allowance = 135,
//         .window = milliseconds(10'000)});
//     budget.on_request(now, fleet_size);
//     if (budget.try_take(now, fleet_size)) retry();

#ifndef FILBERTHUB_ROUTING_WINDOW_BUDGET_HPP
#define FILBERTHUB_ROUTING_WINDOW_BUDGET_HPP

#include <filberthub/base/types.hpp>

#include <array>
#include <cstddef>

namespace filberthub {

struct window_budget_options
{
    // Retries allowed per first request.
    double ratio = 0.1;
    // Additional retries that the whole fleet may make in each window.
    double allowance = 0;
    milliseconds window{10'000};
};

// Guarantees that all instances together make at most `ratio` times their
// requests plus `allowance` retries in any window, provided that no instance
// underestimates the size of the fleet. The requests are those of that window
// or of the one before it, whichever has more. Instances exchange no messages
// for this.
class window_budget
{
public:
    explicit window_budget(window_budget_options options);

    // To be called once for each request of a caller.
    void on_request(time_point now, std::size_t fleet_size);

    // Takes one retry from the budget and returns whether there was one.
    bool try_take(time_point now, std::size_t fleet_size);

    // Number of retries that are left.
    double left(time_point now, std::size_t fleet_size);

private:
    // The requests of the last window are counted in parts of it.
    static constexpr std::size_t bucket_count = 10;

    void refill(time_point now, std::size_t fleet_size);
    void forget_old_requests(time_point now);
    // This instance's part of the allowance, in retries per window.
    double allowance_share(std::size_t fleet_size) const;
    // Largest number of tokens that the allowance provides at once.
    double reserve_limit(std::size_t fleet_size) const;
    // Largest number of tokens that can be saved.
    double token_limit(std::size_t fleet_size) const;

    window_budget_options options_;
    double tokens_ = 0;
    std::array<double, bucket_count> recent_requests_{};
    std::size_t bucket_ = 0;
    time_point bucket_start_;
    time_point refilled_at_;
    bool started_ = false;
};

} // namespace filberthub

#endif
