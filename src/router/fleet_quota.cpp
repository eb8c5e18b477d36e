// Quotas of client accounts in `fleet_role`.

#include "router/fleet_role.hpp"

namespace filberthub {

void fleet_role::on_quota(
    std::function<void(const quota_reply&, time_point)> callback)
{
    on_quota_ = callback;
    client_.on_quota(std::move(callback));
}

void fleet_role::allocate_quotas(time_point now)
{
    if (!quotas_ || !view_.routes())
        return;
    // The last write of the lease that succeeded was sent at this time.
    const time_point confirmed = lease_.end() - lease_options{}.duration;
    quotas_->advance(
        view_.routes()->accounts(), settings_.bounds.quota, confirmed, now);
}

// This process needs shares too, and exchanges them without a poll.
void fleet_role::report_local_quota(const quota_report& report, time_point now)
{
    if (!quotas_ || report.sequence == 0)
        return;
    quotas_->on_report(settings_.instance, report, now);
    allocate_quotas(now);
    const auto reply = quota_for(settings_.instance);
    if (reply && on_quota_)
        on_quota_(*reply, now);
}

std::optional<quota_reply> fleet_role::quota_for(const instance_id& instance)
{
    const time_point now = clock_();
    if (!quotas_ || !lease_.holds(now))
        return std::nullopt;
    return quotas_->reply_for(instance, now);
}

} // namespace filberthub
