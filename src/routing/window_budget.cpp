#include <filberthub/routing/window_budget.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Fraction of the allowance that is used. The rest covers instances whose view
// of the fleet size is out of date.
constexpr double used_allowance = 0.9;
// Fraction of the ratio that each request earns.
constexpr double earned_fraction = 0.85;
// Fraction of the ratio, for the requests of the last window, that can be saved
// for later. Together with the fraction above it leaves room for retries that
// arrive later than they were taken.
constexpr double saved_fraction = 0.1;

} // namespace

window_budget::window_budget(window_budget_options options) : options_(options)
{}

double window_budget::allowance_share(std::size_t fleet_size) const
{
    return options_.allowance * used_allowance /
           static_cast<double>(std::max<std::size_t>(fleet_size, 1));
}

// Half of the allowance is held in reserve and the other half is refilled
// during each window, so that no window sees more than the whole allowance. In
// a large fleet the reserve is at least one token where the share permits it,
// because a part of a token allows no retry.
double window_budget::reserve_limit(std::size_t fleet_size) const
{
    const double share = allowance_share(fleet_size);
    return std::max(share / 2, std::min(share, 1.0));
}

// Earned tokens must not be saved without regard to the rate of requests: what
// the instances save adds up over the fleet, and all may spend it at once.
double window_budget::token_limit(std::size_t fleet_size) const
{
    double recent = 0;
    for (const double count : recent_requests_)
        recent += count;
    return reserve_limit(fleet_size) + options_.ratio * saved_fraction * recent;
}

void window_budget::refill(time_point now, std::size_t fleet_size)
{
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
    forget_old_requests(now);
    const double window =
        std::chrono::duration<double>(options_.window).count();
    const double refilled =
        allowance_share(fleet_size) - reserve_limit(fleet_size);
    tokens_ = std::min(
        tokens_ + refilled * seconds / window, token_limit(fleet_size));
}

void window_budget::forget_old_requests(time_point now)
{
    const duration width =
        std::chrono::duration_cast<duration>(options_.window) / bucket_count;
    if (now - bucket_start_ >= width * bucket_count) {
        recent_requests_.fill(0);
        bucket_start_ = now;
        return;
    }
    while (now - bucket_start_ >= width) {
        bucket_start_ += width;
        bucket_ = (bucket_ + 1) % bucket_count;
        recent_requests_[bucket_] = 0;
    }
}

void window_budget::on_request(time_point now, std::size_t fleet_size)
{
    refill(now, fleet_size);
    recent_requests_[bucket_] += 1;
    tokens_ = std::min(
        tokens_ + options_.ratio * earned_fraction, token_limit(fleet_size));
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
