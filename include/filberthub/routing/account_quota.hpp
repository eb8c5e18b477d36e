// Enforces the quotas of client accounts in one instance, which counts the
// requests of each account in a sliding window, up to its share of the
// account's limit. Designed for some hundreds of accounts and some thousand
// requests per second; nothing is sent per request.
//
//     account_quota quota({});
//     quota.set_accounts(config.accounts(), now);
//     quota.apply(reply_of_the_coordinator, poll_sent_at, now);
//     if (!quota.try_take("maps", now)) reject();

#ifndef FILBERTHUB_ROUTING_ACCOUNT_QUOTA_HPP
#define FILBERTHUB_ROUTING_ACCOUNT_QUOTA_HPP

#include <filberthub/base/types.hpp>
#include <filberthub/routing/client_accounts.hpp>

#include <cstdint>
#include <deque>
#include <map>

namespace filberthub {

// The requests of an account that run in any window, over all instances, may
// not exceed (rate x window + burst) x (1 + overage) + tolerance.
struct quota_bounds
{
    milliseconds window{5'000};
    double overage = 0.1;
    double tolerance = 20;
};

// Returns the number of requests of an account in `quota_window` that all
// instances together may count. Part of the bound is kept back for instances
// without a share.
double total_of(const account_limit& limit, const quota_bounds& bounds);

// Time after which a counted request is forgotten: the window and the time from
// the check of most requests to their start at a server.
milliseconds quota_window(const quota_bounds& bounds);

// Part of the total of an account, in millionths. An integer, so that sums are
// exact.
using quota_share = std::int64_t;
inline constexpr quota_share whole_quota = 1'000'000;

using quota_shares = std::map<std::string, quota_share>;

// Time for which a share is used after the last poll whose reply confirmed it.
// Longer than the replacement of a lost coordinator takes.
inline constexpr milliseconds quota_lease{5'000};

// What an instance tells the coordinator with a poll.
struct quota_report
{
    // Increases with each report, also over restarts of the process.
    std::uint64_t sequence = 0;
    // Coordinator process and number of the reply that set the shares in use; 0
    // if there are none.
    std::uint64_t run = 0;
    std::uint64_t number = 0;
    // Accounts that are missing have no share.
    quota_shares shares;
    // Requests of each account since the last report, also rejected ones.
    std::map<std::string, std::uint32_t> requests;
    // Counted requests that are not forgotten. They may exceed the share, if it
    // was lowered.
    std::map<std::string, std::uint32_t> counted;
};

// What the coordinator replies.
struct quota_reply
{
    std::uint64_t run = 0;
    std::uint64_t number = 0;
    // Number of the shares that `changes` apply to; 0 if they replace all.
    std::uint64_t base = 0;
    quota_shares changes;
};

// Guarantees that an account gets at most its share of the total in each
// window, and that shares are not used after their lease. The clock behind
// `now` must advance while the process is suspended.
class account_quota
{
public:
    explicit account_quota(quota_bounds bounds) : bounds_(bounds) {}

    void set_bounds(const quota_bounds& bounds)
    {
        bounds_ = bounds;
    }
    // Whether an account has a limit.
    bool active() const
    {
        return !usages_.empty();
    }
    // Sets the limits. To be called with each new configuration. A lower limit
    // applies at once, as shares are parts of it.
    void set_accounts(const client_accounts& accounts, time_point now);
    // Sets the number of instances, among which the tolerance for instances
    // without a share is divided.
    void set_fleet_size(std::size_t size)
    {
        fleet_size_ = size;
    }

    // Returns whether a request is within the quota, and counts it if so.
    bool try_take(const std::string& account, time_point now);
    // To be called for a request that was counted at this time and has not run.
    void credit(const std::string& account, time_point counted_at);
    // Returns the time until the next request is within the quota, or `limit`
    // if that is shorter.
    milliseconds wait(
        const std::string& account, time_point now, milliseconds limit) const;

    // Returns the report for a poll that is sent now.
    quota_report take_report(time_point now);
    // Applies the reply to a poll that was sent at `sent`. No reply to an
    // earlier poll may be applied afterwards.
    void apply(const quota_reply& reply, time_point sent, time_point now);

private:
    struct usage
    {
        account_limit limit;
        quota_share share = 0;
        // When the requests were counted, in order.
        std::deque<time_point> counted;
    };

    std::size_t allowance(const usage& item) const;
    void forget(usage& item, time_point now) const;
    void set_shares();
    void check_lease(time_point now);

    quota_bounds bounds_;
    std::size_t fleet_size_ = 1;
    std::map<std::string, usage> usages_;
    quota_shares shares_;
    std::map<std::string, std::uint32_t> requests_;
    std::uint64_t run_ = 0;
    std::uint64_t number_ = 0;
    time_point lease_end_;
};

} // namespace filberthub

#endif
