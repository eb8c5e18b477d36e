// Divides the limits of client accounts among the instances. Runs on the
// coordinator of the fleet. Designed for 100 instances that poll every 0.3 to
// 1.5 s and 100 accounts; a plan visits each pair of them four times a second.
//
//     quota_allocator quotas(run, earlier_leases_end);
//     quotas.on_report(instance, report, now);
//     quotas.advance(config.accounts(), {}, lease_confirmed_at, now);
//     if (auto reply = quotas.reply_for(instance)) send(*reply);

#ifndef FILBERTHUB_ROUTING_QUOTA_ALLOCATOR_HPP
#define FILBERTHUB_ROUTING_QUOTA_ALLOCATOR_HPP

#include <filberthub/routing/account_quota.hpp>

#include <optional>
#include <vector>

namespace filberthub {

// Guarantees that the shares of an account that instances may use at any time
// are at most the whole: a share is raised only by what no instance may use. An
// instance may use a lowered share until its poll reports the new number, and
// each share until `quota_lease` after its last poll. What it has counted uses
// its share for a further window. Must be used only while
// the process holds the coordinator lease.
class quota_allocator
{
public:
    // `run` identifies this term of a coordinator and is not 0. Earlier
    // coordinators reply to no poll from `earlier_leases_end` on. Until their
    // shares have ended, only the shares that instances report are confirmed.
    quota_allocator(std::uint64_t run, time_point earlier_leases_end);

    // Earlier coordinators have confirmed that they stopped.
    void shorten_earlier_leases(time_point end);

    // To be called with each poll. Reports older than the known one are
    // ignored.
    void on_report(const instance_id& instance, const quota_report& report,
        time_point now);
    // Plans the shares. To be called at each tick. `confirmed` is when the last
    // successful renewal of the coordinator lease was sent. Shares that lapsed
    // later are not divided again, as a successor may have adopted them.
    void advance(const client_accounts& accounts, const quota_bounds& bounds,
        time_point confirmed, time_point now);
    // Returns the reply to the last poll of the instance, or nothing if none of
    // its reports was planned yet. To be called once for each poll.
    std::optional<quota_reply> reply_for(
        const instance_id& instance, time_point now);

private:
    struct entry
    {
        quota_share confirmed = 0;
        quota_share offered = 0;
        quota_share target = 0;
        // Requests that the instance has counted in the window.
        double counted = 0;
        // The same as a share of the total.
        quota_share counted_share = 0;
        // Requests per second.
        double demand = 0;
    };

    struct member
    {
        std::uint64_t sequence = 0;
        time_point last_report;
        std::uint64_t confirmed_number = 0;
        std::uint64_t offered_number = 0;
        // Whether the last reply is neither confirmed nor known to be lost.
        bool offer_open = false;
        // Whether the instance uses shares that this process has not set.
        bool unknown_state = false;
        // Whether a plan has included the instance.
        bool planned = false;
        std::map<std::string, entry> entries;
    };

    // A share that its instance does not use any more. The requests that were
    // counted in it are in the window until this time.
    struct retired_share
    {
        std::string account;
        quota_share share = 0;
        time_point until;
    };

    static quota_share used_share(const member& owner, const entry& item);
    quota_share offer(const std::string& account, const entry& item) const;
    void retire(const member& owner, time_point now);
    void add_used(const std::string& account, quota_share share, int sign);
    void add_used(const member& owner, int sign);
    void settle(member& owner, const quota_report& report, time_point now);
    void count_demand(
        member& owner, const quota_report& report, time_point now) const;
    void plan_account(
        const client_account& account, const quota_bounds& bounds);

    std::uint64_t run_;
    time_point allocates_from_;
    std::uint64_t last_number_ = 0;
    time_point next_plan_;
    std::map<instance_id, member> members_;
    std::vector<retired_share> retired_;
    // Sums of `used_share` and of the retired shares.
    quota_shares used_;
    // Totals of the accounts that have a limit.
    std::map<std::string, double> totals_;
    milliseconds window_ = quota_window({});
};

} // namespace filberthub

#endif
