#include <filberthub/routing/account_quota.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// Requests that wait longer for their server may start in a later window. Costs
// a twentieth of the rate, which is half of the usual overage.
constexpr milliseconds start_delay{250};
// Part of the tolerance for instances without a share.
constexpr double fallback_reserve = 0.2;
// A share that was rounded up may exceed a whole number of requests by less.
constexpr double rounding = 1e-6;

} // namespace

milliseconds quota_window(const quota_bounds& bounds)
{
    return bounds.window + start_delay;
}

double total_of(const account_limit& limit, const quota_bounds& bounds)
{
    const double seconds = std::chrono::duration<double>(bounds.window).count();
    return (limit.rate * seconds + limit.burst) * (1 + bounds.overage) +
           bounds.tolerance * (1 - fallback_reserve);
}

std::size_t account_quota::allowance(const usage& item) const
{
    const double part = item.share == 0 ? bounds_.tolerance * fallback_reserve /
                                              static_cast<double>(fleet_size_)
                                        : total_of(item.limit, bounds_) *
                                              static_cast<double>(item.share) /
                                              static_cast<double>(whole_quota);
    return static_cast<std::size_t>(part + rounding);
}

void account_quota::forget(usage& item, time_point now) const
{
    const milliseconds window = quota_window(bounds_);
    while (!item.counted.empty() && now >= item.counted.front() + window)
        item.counted.pop_front();
}

void account_quota::set_shares()
{
    for (auto& [name, item] : usages_) {
        const auto share = shares_.find(name);
        item.share = share == shares_.end() ? 0 : share->second;
    }
}

void account_quota::check_lease(time_point now)
{
    if (run_ == 0 || now < lease_end_)
        return;
    run_ = 0;
    number_ = 0;
    shares_.clear();
    set_shares();
}

void account_quota::set_accounts(
    const client_accounts& accounts, time_point now)
{
    check_lease(now);
    std::map<std::string, usage> next;
    for (const client_account& account : accounts.all()) {
        if (!account.limit)
            continue;
        usage& item = next[account.name];
        const auto known = usages_.find(account.name);
        if (known != usages_.end())
            item = std::move(known->second);
        item.limit = *account.limit;
    }
    usages_ = std::move(next);
    set_shares();
}

bool account_quota::try_take(const std::string& account, time_point now)
{
    check_lease(now);
    const auto found = usages_.find(account);
    if (found == usages_.end())
        return true;
    ++requests_[account];
    usage& item = found->second;
    forget(item, now);
    if (item.counted.size() >= allowance(item))
        return false;
    item.counted.push_back(now);
    return true;
}

void account_quota::credit(const std::string& account, time_point counted_at)
{
    const auto found = usages_.find(account);
    if (found == usages_.end())
        return;
    std::deque<time_point>& counted = found->second.counted;
    const auto position =
        std::lower_bound(counted.begin(), counted.end(), counted_at);
    if (position != counted.end() && *position == counted_at)
        counted.erase(position);
}

milliseconds account_quota::wait(
    const std::string& account, time_point now, milliseconds limit) const
{
    const auto found = usages_.find(account);
    if (found == usages_.end())
        return milliseconds(0);
    const std::deque<time_point>& counted = found->second.counted;
    const std::size_t allowed = allowance(found->second);
    if (counted.size() < allowed)
        return milliseconds(0);
    if (allowed == 0)
        return limit;
    const auto time = std::chrono::ceil<milliseconds>(
        counted[counted.size() - allowed] + quota_window(bounds_) - now);
    return std::clamp(time, milliseconds(1), limit);
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
    for (auto& [name, item] : usages_) {
        forget(item, now);
        if (!item.counted.empty())
            report.counted[name] =
                static_cast<std::uint32_t>(item.counted.size());
    }
    return report;
}

void account_quota::apply(
    const quota_reply& reply, time_point sent, time_point now)
{
    check_lease(now);
    const bool known = reply.run == run_ && reply.base == number_;
    if (now >= sent + quota_lease || (reply.base != 0 && !known))
        return;
    if (reply.base == 0)
        shares_.clear();
    for (const auto& [name, share] : reply.changes) {
        if (share == 0)
            shares_.erase(name);
        else
            shares_[name] = share;
    }
    run_ = reply.run;
    number_ = reply.number;
    lease_end_ = sent + quota_lease;
    set_shares();
}

} // namespace filberthub
