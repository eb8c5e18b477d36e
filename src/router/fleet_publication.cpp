// What `fleet_role` sends to the other instances as the coordinator.

#include "router/fleet_role.hpp"

namespace filberthub {

void fleet_role::publish_members(time_point now)
{
    std::vector<live_instance> members = server_.members();
    members.push_back(
        {settings_.instance, settings_.peers, settings_.processor_share});
    const std::string text = deployment_view::encode_members(members);
    if (text == published_members_)
        return;
    published_members_ = text;
    ++publication_count_;
    view_.update(
        {deployment_view::members_key,
            published_version(lease_.record()->term, publication_count_), text},
        now);
}

void fleet_role::on_view_changed()
{
    flush_soon();
}

// Sends changes to the instances after the time for which they are gathered.
void fleet_role::flush_soon()
{
    if (controller_ && !flush_timer_.isActive() &&
        server_.has_changes_to_send())
        flush_timer_.start(fleet_timing::flush_delay(view_.fleet_size()));
}

void fleet_role::flush()
{
    const time_point now = clock_();
    if (lease_.may_resume())
        server_.flush(self_.run_id, view_age(now), now);
}

} // namespace filberthub
