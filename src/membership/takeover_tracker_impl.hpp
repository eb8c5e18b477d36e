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
    if (known_ && table->version() <= known_->version())
        return;
    known_ = std::move(table);
    evidence_.adopt(known_, now);
    on_acknowledged();
}

template <class Rules>
void basic_takeover_tracker<Rules>::on_acknowledged()
{
    const bool newer =
        known_ && (!active_ || known_->version() > active_->version());
    if (!newer || known_->version() > lease_->acknowledged_fleet())
        return;
    active_ = known_;
    std::erase_if(releases_, [&](const auto& item) {
        return !is_listed(item.first) &&
               item.first.second.since <= known_->version();
    });
    recompute();
}

template <class Rules>
bool basic_takeover_tracker<Rules>::is_listed(const place_key& place) const
{
    for (const fleet_table_ptr& table : {known_, active_}) {
        if (!table)
            continue;
        const auto holders = table->holders(place.first);
        if (std::find(holders.begin(), holders.end(), place.second) !=
            holders.end())
            return true;
    }
    return false;
}

// Whether `entry` has released `server`, or its lease has lapsed, at a fleet
// version not newer than the active one.
template <class Rules>
bool basic_takeover_tracker<Rules>::gave_way(
    const backend_server_id& server, const holder_entry& entry) const
{
    const auto release = releases_.find({server, entry});
    if (release != releases_.end() && release->second <= active_->version())
        return true;
    const lapse* found = evidence_.find(entry.member);
    return found != nullptr && found->fleet <= active_->version();
}

template <class Rules>
void basic_takeover_tracker<Rules>::recompute()
{
    places_.clear();
    if (!active_)
        return;
    for (const auto& [server, list] : active_->servers()) {
        std::uint32_t position = 0;
        for (const holder_entry& entry : list.entries) {
            if (entry.member == lease_->self()) {
                if (!releases_.contains({server, entry}))
                    places_.emplace(server, position);
                break;
            }
            if (!gave_way(server, entry))
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
    // An unknown place is dropped; the sender repeats the message.
    if (!is_listed(place))
        return;
    if (releases_.emplace(place, message.fleet).second)
        recompute();
}

template <class Rules>
void basic_takeover_tracker<Rules>::release(const backend_server_id& server)
{
    if (!known_)
        return;
    for (const holder_entry& entry : known_->holders(server)) {
        if (entry.member != lease_->self())
            continue;
        const object_version used =
            active_ ? active_->version() : object_version();
        releases_.emplace(place_key{server, entry}, used);
        next_release_.reset();
        recompute();
    }
}

template <class Rules>
std::vector<outgoing<released>> basic_takeover_tracker<Rules>::releases_due(
    time_point now)
{
    std::vector<outgoing<released>> result;
    if (!known_ || (next_release_ && now < *next_release_))
        return result;
    next_release_ = now + heartbeat_interval;
    std::vector<member_key> planners;
    for (const auto& [place, fleet] : releases_) {
        const auto& [server, entry] = place;
        const auto holders = known_->holders(server);
        if (entry.member != lease_->self() ||
            std::find(holders.begin(), holders.end(), entry) == holders.end())
            continue;
        if (planners.empty()) {
            planners = known_->ranking();
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
    const auto found = places_.find(server);
    if (found == places_.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(
        active_->version().value() * holder_list_limit + found->second);
}

template <class Rules>
std::vector<backend_server_id>
basic_takeover_tracker<Rules>::held_servers() const
{
    std::vector<backend_server_id> result;
    for (const auto& item : places_)
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
    if (!active_)
        return result;
    for (const holder_entry& entry : active_->holders(server)) {
        if (entry.member == lease_->self())
            break;
        const lapse* found = evidence_.find(entry.member);
        if (found == nullptr)
            continue;
        if (!found->retired_known)
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
    if (!known_ || evidence_.is_behind())
        return true;
    return std::any_of(releases_.begin(), releases_.end(),
        [&](const auto& item) { return item.second > known_->version(); });
}

} // namespace filberthub

#endif
