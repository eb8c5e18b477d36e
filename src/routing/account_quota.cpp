#include <filberthub/routing/account_quota.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Part of the overage that is kept back for requests that start at a server
// some time after they were counted: 0.3 s of the rate if the burst is 1 s of
// it and the window 5 s.
constexpr double delay_reserve = 0.5;
// Part of the tolerance for instances without a share.
constexpr double fallback_reserve = 0.2;
// Rounding errors of a bucket that holds a whole token.
constexpr double rounding = 1e-6;

double part_of(double total, std::int64_t share)
{
    return total * static_cast<double>(share) /
           static_cast<double>(quota_share::whole);
}

double seconds(milliseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

} // namespace

quota_totals totals_of(const account_limit& limit, const quota_bounds& bounds)
{
    const double base = limit.rate * seconds(bounds.window) + limit.burst;
    return {limit.rate, limit.burst +
                            base * bounds.overage * (1 - delay_reserve) +
                            bounds.tolerance * (1 - fallback_reserve)};
}

// Without a share, the part of the tolerance is the size of the bucket, which
// fills once in a window.
quota_totals account_quota::size_of(const bucket& item) const
{
    if (item.share == quota_share{}) {
        const double part = bounds_.tolerance * fallback_reserve /
                            static_cast<double>(fleet_size_);
        return {part / 2 / std::max(seconds(bounds_.window), 0.001), part / 2};
    }
    const quota_totals totals = totals_of(item.limit, bounds_);
    return {part_of(totals.rate, item.share.rate),
        part_of(totals.burst, item.share.burst)};
}

void account_quota::fill(bucket& item, time_point now) const
{
    const quota_totals size = size_of(item);
    const double time =
        std::chrono::duration<double>(now - item.filled_at).count();
    item.tokens =
        std::min(size.burst, item.tokens + size.rate * std::max(time, 0.0));
    item.filled_at = std::max(item.filled_at, now);
}

void account_quota::fill_all(time_point now)
{
    for (auto& [name, item] : buckets_)
        fill(item, now);
}

// Ends the lease at its time, also if this is called later.
void account_quota::check_lease(time_point now)
{
    if (run_ == 0 || now < lease_end_)
        return;
    fill_all(lease_end_);
    run_ = 0;
    number_ = 0;
    shares_.clear();
    for (auto& [name, item] : buckets_)
        item.share = {};
    fill_all(now);
}

void account_quota::set_accounts(
    const client_accounts& accounts, time_point now)
{
    check_lease(now);
    fill_all(now);
    std::map<std::string, bucket> next;
    for (const client_account& account : accounts.all()) {
        if (!account.limit)
            continue;
        const auto known = buckets_.find(account.name);
        bucket item = known == buckets_.end() ? bucket{} : known->second;
        item.limit = *account.limit;
        const auto share = shares_.find(account.name);
        item.share = share == shares_.end() ? quota_share{} : share->second;
        item.filled_at = now;
        next.emplace(account.name, item);
    }
    buckets_ = std::move(next);
    fill_all(now);
}

bool account_quota::try_take(const std::string& account, time_point now)
{
    check_lease(now);
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return true;
    ++requests_[account];
    fill(found->second, now);
    if (found->second.tokens < 1 - rounding)
        return false;
    found->second.tokens = std::max(found->second.tokens - 1, 0.0);
    return true;
}

void account_quota::credit(const std::string& account, time_point now)
{
    check_lease(now);
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return;
    ++found->second.tokens;
    fill(found->second, now);
}

milliseconds account_quota::wait(
    const std::string& account, time_point now, milliseconds limit) const
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return milliseconds(0);
    bucket item = found->second;
    fill(item, now);
    const quota_totals size = size_of(item);
    const double missing = 1 - item.tokens;
    if (size.burst < 1 - rounding || missing >= size.rate * seconds(limit))
        return limit;
    return std::chrono::ceil<milliseconds>(
        std::chrono::duration<double>(std::max(missing, 0.0) / size.rate));
}

quota_report account_quota::take_report(time_point now)
{
    check_lease(now);
    quota_report report;
    report.sequence = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            now.time_since_epoch())
            .count());
    report.run = run_;
    report.number = number_;
    report.shares = shares_;
    report.requests.swap(requests_);
    return report;
}

void account_quota::apply(
    const quota_reply& reply, time_point sent, time_point now)
{
    check_lease(now);
    const bool known = reply.run == run_ && reply.base == number_;
    if (now >= sent + quota_lease || (reply.base != 0 && !known))
        return;
    fill_all(now);
    if (reply.base == 0)
        shares_.clear();
    for (const auto& [name, share] : reply.changes) {
        if (share == quota_share{})
            shares_.erase(name);
        else
            shares_[name] = share;
    }
    run_ = reply.run;
    number_ = reply.number;
    lease_end_ = sent + quota_lease;
    for (auto& [name, item] : buckets_) {
        const auto share = shares_.find(name);
        item.share = share == shares_.end() ? quota_share{} : share->second;
    }
    fill_all(now);
}

} // namespace filberthub
