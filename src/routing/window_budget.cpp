#include <filberthub/routing/window_budget.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Fraction of the budget that is used. The rest covers instances whose view of
// the fleet size is out of date.
constexpr double used_fraction = 0.9;
// Tokens earned by requests accumulate for at most this number of requests.
constexpr double max_accrual_requests = 50;

} // namespace

window_budget::window_budget(window_budget_options options) : options_(options)
{}

// Half of the allowance is held in reserve and the other half is refilled
// during each window, so that no window sees more than the whole allowance.
double window_budget::reserve_limit(std::size_t fleet_size) const
{
    const double share =
        options_.allowance * used_fraction /
        static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    return share / 2;
}

void window_budget::refill(time_point now, std::size_t fleet_size)
{
    const double reserve = reserve_limit(fleet_size);
    if (!started_) {
        // A process that restarts repeatedly must not get a full reserve each
        // time.
        started_ = true;
        refilled_at_ = now;
        return;
    }
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    const double window =
        std::chrono::duration<double>(options_.window).count();
    tokens_ = std::min(tokens_ + reserve * seconds / window,
        reserve + options_.ratio * used_fraction * max_accrual_requests);
}

void window_budget::on_request(time_point now, std::size_t fleet_size)
{
    refill(now, fleet_size);
    tokens_ = std::min(tokens_ + options_.ratio * used_fraction,
        reserve_limit(fleet_size) +
            options_.ratio * used_fraction * max_accrual_requests);
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
