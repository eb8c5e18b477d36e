#include <filberthub/routing/window_budget.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// The rest covers instances whose view of the fleet's size is out of date.
constexpr double used_part = 0.9;
// Tokens from requests are kept for at most this number of requests.
constexpr double remembered_requests = 50;

} // namespace

window_budget::window_budget(window_budget_options options) : options_(options)
{}

// Half of the allowance is a stock and the other half flows in during a window:
// any window then sees at most the whole of it.
double window_budget::capacity(std::size_t fleet_size) const
{
    const double share =
        options_.allowance * used_part /
        static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    return share / 2;
}

void window_budget::refill(time_point now, std::size_t fleet_size)
{
    const double stock = capacity(fleet_size);
    if (!started_) {
        // A process that starts again and again must not get a stock each
        // time.
        started_ = true;
        refilled_ = now;
        return;
    }
    const double seconds =
        std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    const double window =
        std::chrono::duration<double>(options_.window).count();
    tokens_ = std::min(tokens_ + stock * seconds / window,
        stock + options_.ratio * used_part * remembered_requests);
}

void window_budget::on_request(time_point now, std::size_t fleet_size)
{
    refill(now, fleet_size);
    tokens_ = std::min(tokens_ + options_.ratio * used_part,
        capacity(fleet_size) +
            options_.ratio * used_part * remembered_requests);
}

bool window_budget::try_take(time_point now, std::size_t fleet_size)
{
    refill(now, fleet_size);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

double window_budget::left(time_point now, std::size_t fleet_size)
{
    refill(now, fleet_size);
    return tokens_;
}

} // namespace filberthub
