#include <filberthub/routing/quota_allocator.hpp>

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

constexpr milliseconds plan_interval{250};
// Short enough to follow a burst of some seconds, and long enough to remember
// an instance with one request in a few seconds.
constexpr double demand_half_life_s = 2;
// Below this demand, in requests per second, an instance is regarded as idle.
constexpr double min_demand = 0.01;
// Parts of the rate that are divided evenly: much while the account has rate to
// spare, so that an instance that gets its first requests can serve them.
constexpr double max_even_part = 0.3;
constexpr double min_even_part = 0.02;
// Part of the burst beyond one token for each active instance that idle
// instances get.
constexpr double idle_burst_part = 0.5;
// A smaller change of a share is not sent.
constexpr double min_change = 0.08;

bool differs(std::int64_t from, std::int64_t to)
{
    return std::abs(static_cast<double>(to - from)) >
           min_change * static_cast<double>(from);
}

std::int64_t to_share(double part)
{
    return static_cast<std::int64_t>(
        std::clamp(part, 0.0, 1.0) * static_cast<double>(quota_share::whole));
}

} // namespace

// The instances of one account while it is planned.
struct quota_allocator::account_plan
{
    std::vector<entry*> items;
    double demand = 0;

    void set_rates(double limit) const
    {
        const double even =
            demand < min_demand
                ? 1
                : std::clamp(max_even_part * (1 - demand / limit),
                      min_even_part, max_even_part);
        for (entry* item : items) {
            const double by_demand =
                demand < min_demand ? 0 : item->demand / demand;
            item->target.rate =
                to_share(even / static_cast<double>(items.size()) +
                         (1 - even) * by_demand);
        }
    }

    // Whole tokens first, because less than one admits nothing.
    void set_bursts(double total)
    {
        std::stable_sort(items.begin(), items.end(),
            [](const entry* left, const entry* right) {
                return left->demand > right->demand;
            });
        const auto token = static_cast<std::int64_t>(
            std::ceil(quota_share::whole / std::max(total, 1.0)));
        const auto active = static_cast<std::size_t>(
            std::find_if(items.begin(), items.end(),
                [](const entry* item) { return item->demand < min_demand; }) -
            items.begin());
        std::int64_t left = quota_share::whole;
        const auto give_tokens = [&](std::size_t from, std::size_t to,
                                     std::int64_t limit) {
            for (std::size_t index = from; index < to; ++index) {
                const std::int64_t given = limit >= token ? token : 0;
                items[index]->target.burst = given;
                limit -= given;
                left -= given;
            }
        };
        give_tokens(0, active, left);
        give_tokens(active, items.size(),
            active == 0 ? left
                        : static_cast<std::int64_t>(
                              static_cast<double>(left) * idle_burst_part));
        // The deviation of a number of requests is the root of its mean.
        const std::size_t receivers = active > 0 ? active : items.size();
        double weights = 0;
        for (std::size_t index = 0; index < receivers; ++index)
            weights += std::sqrt(items[index]->demand + min_demand);
        const auto rest = static_cast<double>(left);
        for (std::size_t index = 0; index < receivers; ++index) {
            items[index]->target.burst += static_cast<std::int64_t>(
                rest * std::sqrt(items[index]->demand + min_demand) / weights);
        }
    }
};

quota_allocator::quota_allocator(
    std::uint64_t run, time_point earlier_leases_end)
    : run_(run), allocates_from_(earlier_leases_end + quota_lease)
{}

void quota_allocator::shorten_earlier_leases(time_point end)
{
    allocates_from_ = std::min(allocates_from_, end + quota_lease);
}

quota_share quota_allocator::used_share(const member& owner, const entry& item)
{
    if (!owner.offer_open)
        return item.confirmed;
    return {std::max(item.confirmed.rate, item.offered.rate),
        std::max(item.confirmed.burst, item.offered.burst)};
}

void quota_allocator::add_used(
    const std::string& account, quota_share share, int sign)
{
    quota_share& sum = used_[account];
    sum.rate += sign * share.rate;
    sum.burst += sign * share.burst;
}

void quota_allocator::add_used(const member& owner, int sign)
{
    for (const auto& [account, item] : owner.entries)
        add_used(account, used_share(owner, item), sign);
}

// Finds out which shares the instance uses.
void quota_allocator::settle(member& owner, const quota_report& report)
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
        for (auto& [account, item] : owner.entries)
            item.confirmed = {};
        for (const auto& [account, share] : report.shares)
            owner.entries[account].confirmed = share;
        owner.confirmed_number = 0;
        owner.offered_number = 0;
    }
    owner.offer_open = false;
}

void quota_allocator::count_demand(
    member& owner, const quota_report& report, time_point now)
{
    for (const auto& [account, count] : report.requests)
        owner.entries.try_emplace(account);
    const double time = std::max(
        std::chrono::duration<double>(now - owner.last_report).count(), 0.05);
    const double weight = 1 - std::exp2(-time / demand_half_life_s);
    for (auto& [account, item] : owner.entries) {
        const auto found = report.requests.find(account);
        const double rate =
            found == report.requests.end() ? 0 : found->second / time;
        item.demand += weight * (rate - item.demand);
    }
}

void quota_allocator::on_report(
    const instance_id& instance, const quota_report& report, time_point now)
{
    const auto [found, added] = members_.try_emplace(instance);
    member& owner = found->second;
    if (added)
        owner.last_report = now - milliseconds(1'000);
    else if (report.sequence <= owner.sequence)
        return;
    add_used(owner, -1);
    settle(owner, report);
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
        add_used(it->second, -1);
        it = members_.erase(it);
    }
    if (now < next_plan_)
        return;
    next_plan_ = now + plan_interval;
    for (auto& [instance, owner] : members_) {
        for (auto& [account, item] : owner.entries)
            item.target = {};
    }
    for (const client_account& account : accounts.all()) {
        if (account.limit)
            plan_account(account, bounds);
    }
}

void quota_allocator::plan_account(
    const client_account& account, const quota_bounds& bounds)
{
    account_plan plan;
    for (auto& [instance, owner] : members_) {
        entry& item = owner.entries[account.name];
        plan.items.push_back(&item);
        plan.demand += item.demand;
    }
    if (plan.items.empty())
        return;
    plan.set_rates(account.limit->rate);
    plan.set_bursts(totals_of(*account.limit, bounds).burst);
}

// Returns the share that the instance is offered, which is at most its own plus
// what no instance may use.
quota_share quota_allocator::offer(
    const std::string& account, const entry& item) const
{
    const auto found = used_.find(account);
    const quota_share used =
        found == used_.end() ? quota_share{} : found->second;
    const auto limited = [](std::int64_t from, std::int64_t to,
                             std::int64_t sum) {
        if (to != 0 && !differs(from, to))
            return from;
        const std::int64_t left =
            std::max<std::int64_t>(quota_share::whole - sum, 0);
        return std::min(to, from + left);
    };
    return {limited(item.confirmed.rate, item.target.rate, used.rate),
        limited(item.confirmed.burst, item.target.burst, used.burst)};
}

std::optional<quota_reply> quota_allocator::reply_for(
    const instance_id& instance, time_point now)
{
    const auto found = members_.find(instance);
    // The reply to an earlier poll may still be applied while its offer is
    // open.
    if (found == members_.end() || found->second.unknown_state ||
        found->second.offer_open)
        return std::nullopt;
    member& owner = found->second;
    quota_reply reply;
    reply.run = run_;
    reply.number = ++last_number_;
    reply.base = owner.confirmed_number;
    for (auto& [account, item] : owner.entries) {
        item.offered =
            now >= allocates_from_ ? offer(account, item) : item.confirmed;
        if (reply.base == 0 ? item.offered != quota_share{}
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
