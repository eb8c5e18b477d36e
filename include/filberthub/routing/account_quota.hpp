// Enforces the quotas of client accounts in one instance, with a token bucket
// for each account that is filled by this instance's share of the account's
// limit. Designed for some hundreds of accounts and some thousand requests per
// second; nothing is sent per request.
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

// What the buckets of all instances may have together.
struct quota_totals
{
    // Tokens per second.
    double rate = 0;
    double burst = 0;
};

// Returns the totals with which no window exceeds the bound. Part of the bound
// is kept back for the time from the check of a request to its start at a
// server, and for instances without a share.
quota_totals totals_of(const account_limit& limit, const quota_bounds& bounds);

// Part of the totals of an account, in millionths. Integers, so that sums are
// exact.
struct quota_share
{
    static constexpr std::int64_t whole = 1'000'000;

    std::int64_t rate = 0;
    std::int64_t burst = 0;

    bool operator==(const quota_share&) const = default;
};

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

// Guarantees that an account gets at most (share of the rate x time + share of
// the burst) requests in any period, and that shares are not used after their
// lease. The clock behind `now` must advance while the process is suspended.
class account_quota
{
public:
    explicit account_quota(quota_bounds bounds) : bounds_(bounds) {}

    // Sets the limits. To be called with each new configuration. A lower limit
    // applies at once, as shares are parts of it.
    void set_accounts(const client_accounts& accounts, time_point now);
    // Sets the number of instances, among which the tolerance for instances
    // without a share is divided.
    void set_fleet_size(std::size_t size)
    {
        fleet_size_ = size;
    }

    // Counts a request and returns whether it is within the quota.
    bool try_take(const std::string& account, time_point now);
    // To be called for a request that was counted and has not run.
    void credit(const std::string& account, time_point now);
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
    struct bucket
    {
        account_limit limit;
        quota_share share;
        double tokens = 0;
        time_point filled_at;
    };

    quota_totals size_of(const bucket& item) const;
    void fill(bucket& item, time_point now) const;
    void fill_all(time_point now);
    void check_lease(time_point now);

    quota_bounds bounds_;
    std::size_t fleet_size_ = 1;
    std::map<std::string, bucket> buckets_;
    quota_shares shares_;
    std::map<std::string, std::uint32_t> requests_;
    std::uint64_t run_ = 0;
    std::uint64_t number_ = 0;
    time_point lease_end_;
};

} // namespace filberthub

#endif
