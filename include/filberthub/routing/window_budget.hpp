// The part that one instance has of a retry budget that the whole fleet shares.
//
//     window_budget budget({.ratio = 0.2, .allowance = 135,
//         .window = milliseconds(10'000)});
//     budget.on_request(now, fleet_size);
//     if (budget.try_take(now, fleet_size)) retry();

#ifndef FILBERTHUB_ROUTING_WINDOW_BUDGET_HPP
#define FILBERTHUB_ROUTING_WINDOW_BUDGET_HPP

#include <filberthub/base/types.hpp>

#include <cstddef>

namespace filberthub {

struct window_budget_options
{
    // Repeats that are allowed for each first request.
    double ratio = 0.1;
    // Further repeats that the whole fleet may make in each window.
    double allowance = 0;
    milliseconds window{10'000};
};

// Guarantees that the instances together make at most `ratio` times their
// requests plus `allowance` repeats in any window, while each knows the size of
// the fleet or a larger number. No messages are exchanged.
class window_budget
{
public:
    explicit window_budget(window_budget_options options);

    // To be called once for each first request of a caller.
    void on_request(time_point now, std::size_t fleet_size);

    // Takes one repeat if the budget has one.
    bool try_take(time_point now, std::size_t fleet_size);

    // Repeats that are left now.
    double left(time_point now, std::size_t fleet_size);

private:
    void refill(time_point now, std::size_t fleet_size);
    double capacity(std::size_t fleet_size) const;

    window_budget_options options_;
    double tokens_ = 0;
    time_point refilled_;
    bool started_ = false;
};

} // namespace filberthub

#endif
