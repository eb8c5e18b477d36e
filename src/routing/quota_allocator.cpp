#include <filberthub/routing/quota_allocator.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

constexpr milliseconds plan_interval{250};
// Short enough to follow a burst of some seconds, and long enough to remember
// an instance with one request in a few seconds.
constexpr double demand_half_life_s = 4;
// Weight of an idle instance for the division of the spare part, in requests in
// a window.
constexpr double idle_weight = 1;
// A smaller change of a share is not sent. Single requests are, as a small
// account has only a few for each instance.
constexpr double min_change = 0.15;

bool differs(quota_share from, quota_share to)
{
    return std::abs(static_cast<double>(to - from)) >
           min_change * static_cast<double>(from);
}

// Returns the smallest share that allows this number of requests.
quota_share share_of(double requests, double total)
{
    return static_cast<quota_share>(
        std::ceil(requests / total * static_cast<double>(whole_quota) - 1e-9));
}

// Rounds the numbers down, and adds the rest to those with the largest
// fractions.
void round_numbers(std::vector<double>& numbers, double total)
{
    std::vector<std::pair<double, std::size_t>> fractions;
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const double number = std::floor(numbers[index]);
        fractions.emplace_back(numbers[index] - number, index);
        numbers[index] = number;
        total -= number;
    }
    std::stable_sort(fractions.begin(), fractions.end(),
        [](const auto& left, const auto& right) {
            return left.first > right.first;
        });
    for (const auto& [fraction, index] : fractions) {
        if (total < 1)
            return;
        numbers[index] += 1;
        total -= 1;
    }
}

// Divides the requests of an account. Each instance gets what it has counted or
// needs, and a part of the rest by the deviation of its need, which is the root
// of it. If the account needs more than it may have, all get the same part of
// their need.
std::vector<double> divide(const std::vector<double>& needs,
    const std::vector<double>& counted, double total)
{
    double need = 0;
    double least = 0;
    double weights = 0;
    for (std::size_t index = 0; index < needs.size(); ++index) {
        need += needs[index];
        least += std::max(needs[index], counted[index]);
        weights += std::sqrt(needs[index] + idle_weight);
    }
    std::vector<double> result;
    for (std::size_t index = 0; index < needs.size(); ++index) {
        if (least > total) {
            result.push_back(total * needs[index] / std::max(need, 1e-9));
            continue;
        }
        result.push_back(
            std::max(needs[index], counted[index]) +
            (total - least) * std::sqrt(needs[index] + idle_weight) / weights);
    }
    round_numbers(result, total);
    return result;
}

} // namespace

quota_allocator::quota_allocator(
    std::uint64_t run, time_point earlier_leases_end)
    : run_(run),
      // `window_` is declared, and thus initialized, after this member.
      allocates_from_(earlier_leases_end + quota_lease + quota_window({}))
{}

void quota_allocator::shorten_earlier_leases(time_point end)
{
    allocates_from_ = std::min(allocates_from_, end + quota_lease + window_);
}

quota_share quota_allocator::used_share(const member& owner, const entry& item)
{
    const quota_share share = std::max(item.confirmed, item.counted_share);
    return owner.offer_open ? std::max(share, item.offered) : share;
}

void quota_allocator::add_used(
    const std::string& account, quota_share share, int sign)
{
    used_[account] += sign * share;
}

void quota_allocator::add_used(const member& owner, int sign)
{
    for (const auto& [account, item] : owner.entries)
        add_used(account, used_share(owner, item), sign);
}

// Counts the shares of an instance as used until all requests in them are out
// of the window.
void quota_allocator::retire(const member& owner, time_point now)
{
    for (const auto& [account, item] : owner.entries) {
        const quota_share share = used_share(owner, item);
        if (share == 0)
            continue;
        add_used(account, share, 1);
        retired_.push_back({account, share, now + window_});
    }
}

// Finds out which shares the instance uses.
void quota_allocator::settle(
    member& owner, const quota_report& report, time_point now)
{
    owner.unknown_state = false;
    if (report.run == run_ && report.number == owner.offered_number) {
        for (auto& [account, item] : owner.entries)
            item.confirmed = item.offered;
        owner.confirmed_number = owner.offered_number;
    } else if (report.run == run_ && report.number == owner.confirmed_number) {
        // The last reply was lost.
    } else if (report.run == run_) {
        // Its shares are not known, and end with their lease.
        owner.unknown_state = true;
        return;
    } else {
        // The process may be another one, which does not know what the earlier
        // one has counted.
        retire(owner, now);
        for (auto& [account, item] : owner.entries)
            item.confirmed = 0;
        for (const auto& [account, share] : report.shares)
            owner.entries[account].confirmed = share;
        owner.confirmed_number = 0;
        owner.offered_number = 0;
    }
    owner.offer_open = false;
}

void quota_allocator::count_demand(
    member& owner, const quota_report& report, time_point now) const
{
    for (const auto& [account, count] : report.requests)
        owner.entries.try_emplace(account);
    for (const auto& [account, count] : report.counted)
        owner.entries.try_emplace(account);
    const double time = std::max(
        std::chrono::duration<double>(now - owner.last_report).count(), 0.05);
    const double weight = 1 - std::exp2(-time / demand_half_life_s);
    for (auto& [account, item] : owner.entries) {
        const auto found = report.requests.find(account);
        const double rate =
            found == report.requests.end() ? 0 : found->second / time;
        item.demand += weight * (rate - item.demand);
        const auto counted = report.counted.find(account);
        const auto total = totals_.find(account);
        item.counted = counted == report.counted.end() ? 0 : counted->second;
        item.counted_share =
            total == totals_.end() ? 0 : share_of(item.counted, total->second);
    }
}

void quota_allocator::on_report(
    const instance_id& instance, const quota_report& report, time_point now)
{
    const auto [found, added] = members_.try_emplace(instance);
    member& owner = found->second;
    if (added) {
        owner.last_report = now - milliseconds(1'000);
        next_plan_ = now;
    } else if (report.sequence <= owner.sequence)
        return;
    add_used(owner, -1);
    settle(owner, report, now);
    count_demand(owner, report, now);
    add_used(owner, 1);
    owner.sequence = report.sequence;
    // An unknown share must end, so that its lease is not extended.
    if (!owner.unknown_state)
        owner.last_report = now;
}

void quota_allocator::advance(const client_accounts& accounts,
    const quota_bounds& bounds, time_point confirmed, time_point now)
{
    for (auto it = members_.begin(); it != members_.end();) {
        if (std::min(confirmed, now) < it->second.last_report + quota_lease) {
            ++it;
            continue;
        }
        // The requests that were counted up to the end of the lease.
        add_used(it->second, -1);
        retire(it->second, it->second.last_report + quota_lease);
        it = members_.erase(it);
    }
    std::erase_if(retired_, [&](const retired_share& item) {
        if (std::min(confirmed, now) < item.until)
            return false;
        add_used(item.account, item.share, -1);
        return true;
    });
    if (now < next_plan_)
        return;
    next_plan_ = now + plan_interval;
    for (auto& [instance, owner] : members_) {
        for (auto& [account, item] : owner.entries)
            item.target = 0;
        owner.planned = true;
    }
    window_ = quota_window(bounds);
    totals_.clear();
    for (const client_account& account : accounts.all()) {
        if (account.limit)
            plan_account(account, bounds);
    }
}

void quota_allocator::plan_account(
    const client_account& account, const quota_bounds& bounds)
{
    const double total = total_of(*account.limit, bounds);
    totals_[account.name] = total;
    std::vector<entry*> items;
    std::vector<double> needs;
    std::vector<double> counted;
    for (auto& [instance, owner] : members_) {
        entry& item = owner.entries[account.name];
        items.push_back(&item);
        needs.push_back(
            item.demand * std::chrono::duration<double>(window_).count());
        counted.push_back(item.counted);
    }
    const std::vector<double> numbers = divide(needs, counted, total);
    quota_share left = whole_quota;
    for (std::size_t index = 0; index < items.size(); ++index) {
        items[index]->target = std::min(share_of(numbers[index], total), left);
        left -= items[index]->target;
    }
}

// Returns the share that the instance is offered, which is at most its own plus
// what no instance may use.
quota_share quota_allocator::offer(
    const std::string& account, const entry& item) const
{
    if (item.target != 0 && !differs(item.confirmed, item.target))
        return item.confirmed;
    const auto found = used_.find(account);
    const quota_share used = found == used_.end() ? 0 : found->second;
    return std::min(item.target,
        item.confirmed + std::max<quota_share>(whole_quota - used, 0));
}

std::optional<quota_reply> quota_allocator::reply_for(
    const instance_id& instance, time_point now)
{
    const auto found = members_.find(instance);
    // The reply to an earlier poll may still be applied while its offer is
    // open.
    if (found == members_.end() || !found->second.planned ||
        found->second.unknown_state || found->second.offer_open)
        return std::nullopt;
    member& owner = found->second;
    quota_reply reply;
    reply.run = run_;
    reply.number = ++last_number_;
    reply.base = owner.confirmed_number;
    for (auto& [account, item] : owner.entries) {
        item.offered =
            now >= allocates_from_ ? offer(account, item) : item.confirmed;
        if (reply.base == 0 ? item.offered != 0
                            : item.offered != item.confirmed)
            reply.changes[account] = item.offered;
    }
    add_used(owner, -1);
    owner.offered_number = reply.number;
    owner.offer_open = true;
    add_used(owner, 1);
    return reply;
}

} // namespace filberthub
