#ifndef FILBERTHUB_SRC_MEMBERSHIP_TAKEOVER_TRACKER_IMPL_HPP
#define FILBERTHUB_SRC_MEMBERSHIP_TAKEOVER_TRACKER_IMPL_HPP

#include <filberthub/membership/takeover_tracker.hpp>

#include <algorithm>
#include <tuple>

namespace filberthub {

template <class Rules>
bool basic_takeover_tracker<Rules>::place_order::operator()(
    const place_key& left, const place_key& right) const
{
    return std::tie(left.first, left.second.member, left.second.since) <
           std::tie(right.first, right.second.member, right.second.since);
}

template <class Rules>
void basic_takeover_tracker<Rules>::adopt(fleet_table_ptr table, time_point now)
{
    if (newest_table_ && table->version() <= newest_table_->version())
        return;
    newest_table_ = std::move(table);
    evidence_.adopt(newest_table_, now);
    on_acknowledged();
}

template <class Rules>
void basic_takeover_tracker<Rules>::on_acknowledged()
{
    const bool newer =
        newest_table_ &&
        (!active_table_ || newest_table_->version() > active_table_->version());
    if (!newer || newest_table_->version() > lease_->acknowledged_fleet())
        return;
    active_table_ = newest_table_;
    std::erase_if(releases_, [&](const auto& item) {
        return !is_listed(item.first) &&
               item.first.second.since <= newest_table_->version();
    });
    recompute();
}

template <class Rules>
bool basic_takeover_tracker<Rules>::is_listed(const place_key& place) const
{
    for (const fleet_table_ptr& table : {newest_table_, active_table_}) {
        if (!table)
            continue;
        const auto holders = table->holders(place.first);
        if (std::find(holders.begin(), holders.end(), place.second) !=
            holders.end())
            return true;
    }
    return false;
}

// Returns whether `entry` has released `server`, or the lease of its member has
// lapsed, at a fleet version that is not newer than the active one.
template <class Rules>
bool basic_takeover_tracker<Rules>::has_relinquished(
    const backend_server_id& server, const holder_entry& entry) const
{
    const auto release = releases_.find({server, entry});
    if (release != releases_.end() &&
        release->second <= active_table_->version())
        return true;
    const lapse* found = evidence_.find(entry.member);
    return found != nullptr && found->fleet <= active_table_->version();
}

template <class Rules>
void basic_takeover_tracker<Rules>::recompute()
{
    positions_.clear();
    if (!active_table_)
        return;
    for (const auto& [server, list] : active_table_->servers()) {
        std::uint32_t position = 0;
        for (const holder_entry& entry : list.entries) {
            if (entry.member == lease_->self()) {
                if (!releases_.contains({server, entry}))
                    positions_.emplace(server, position);
                break;
            }
            if (!has_relinquished(server, entry))
                break;
            ++position;
        }
    }
}

template <class Rules>
void basic_takeover_tracker<Rules>::on_lease_expired(
    const lease_expired& message, time_point now)
{
    if (evidence_.on_lease_expired(message, now))
        recompute();
}

template <class Rules>
std::vector<outgoing<expiry_query>> basic_takeover_tracker<Rules>::queries_due(
    time_point now)
{
    return evidence_.queries_due(now);
}

template <class Rules>
void basic_takeover_tracker<Rules>::on_released(const released& message)
{
    const place_key place{message.server, {message.from, message.since}};
    // The release of an unknown place is ignored; the sender repeats it.
    if (!is_listed(place))
        return;
    if (releases_.emplace(place, message.fleet).second)
        recompute();
}

template <class Rules>
void basic_takeover_tracker<Rules>::release(const backend_server_id& server)
{
    if (!newest_table_)
        return;
    for (const holder_entry& entry : newest_table_->holders(server)) {
        if (entry.member != lease_->self())
            continue;
        const object_version used_version =
            active_table_ ? active_table_->version() : object_version();
        releases_.emplace(place_key{server, entry}, used_version);
        next_release_.reset();
        recompute();
    }
}

template <class Rules>
std::vector<outgoing<released>> basic_takeover_tracker<Rules>::releases_due(
    time_point now)
{
    std::vector<outgoing<released>> result;
    if (!newest_table_ || (next_release_ && now < *next_release_))
        return result;
    next_release_ = now + heartbeat_interval;
    std::vector<member_key> planners;
    for (const auto& [place, fleet] : releases_) {
        const auto& [server, entry] = place;
        const auto holders = newest_table_->holders(server);
        if (entry.member != lease_->self() ||
            std::find(holders.begin(), holders.end(), entry) == holders.end())
            continue;
        if (planners.empty()) {
            planners = newest_table_->ranking();
            planners.resize(std::min(planners.size(), planner_count));
        }
        std::set<instance_id> to;
        for (const holder_entry& other : holders)
            to.insert(other.member.instance);
        for (const member_key& planner : planners)
            to.insert(planner.instance);
        to.erase(lease_->self().instance);
        result.push_back({{to.begin(), to.end()},
            released{entry.member, server, entry.since, fleet}});
    }
    return result;
}

template <class Rules>
std::optional<std::uint32_t> basic_takeover_tracker<Rules>::token(
    const backend_server_id& server) const
{
    const auto found = positions_.find(server);
    if (found == positions_.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(
        active_table_->version().value() * holder_list_limit + found->second);
}

template <class Rules>
std::vector<backend_server_id>
basic_takeover_tracker<Rules>::held_servers() const
{
    std::vector<backend_server_id> result;
    for (const auto& item : positions_)
        result.push_back(item.first);
    std::sort(result.begin(), result.end());
    return result;
}

template <class Rules>
std::optional<std::set<backend_server_id>>
basic_takeover_tracker<Rules>::retired_by_predecessors(
    const backend_server_id& server) const
{
    std::set<backend_server_id> result;
    if (!active_table_)
        return result;
    for (const holder_entry& entry : active_table_->holders(server)) {
        if (entry.member == lease_->self())
            break;
        const lapse* found = evidence_.find(entry.member);
        if (found == nullptr)
            continue;
        if (!found->retired_complete)
            return std::nullopt;
        result.insert(found->retired.begin(), found->retired.end());
    }
    return result;
}

template <class Rules>
std::vector<released> basic_takeover_tracker<Rules>::known_releases() const
{
    std::vector<released> result;
    for (const auto& [place, fleet] : releases_) {
        result.push_back(
            {place.second.member, place.first, place.second.since, fleet});
    }
    return result;
}

template <class Rules>
bool basic_takeover_tracker<Rules>::is_behind() const
{
    if (!newest_table_ || evidence_.is_behind())
        return true;
    return std::any_of(
        releases_.begin(), releases_.end(), [&](const auto& item) {
            return item.second > newest_table_->version();
        });
}

} // namespace filberthub

#endif
