#include <filberthub/base/error.hpp>
#include <filberthub/ownership/group_release_tracker.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace filberthub {

namespace {

// Number of isolated keys for which a `released` message is kept. It may arrive
// before the table that isolates the key, so this bounds the memory.
constexpr std::uint32_t max_isolated_groups = 4096;

constexpr std::array<std::string_view, 5> state_names = {
    "not_owned", "awaiting_release", "serving", "draining", "released"};

bool covers(const std::vector<pending_release>& received,
    const pending_release& required)
{
    return std::ranges::any_of(received, [&](const pending_release& release) {
        return release.server == required.server &&
               release.token >= required.token;
    });
}

} // namespace

std::string_view to_string(group_state value)
{
    return state_names.at(static_cast<std::size_t>(value));
}

release_steps group_release_tracker::adopt(
    const ownership_table& table, time_point now, time_point grants_end)
{
    release_steps steps;
    if (table.version() <= version_)
        return steps;
    drop_rejoined(table, grants_end);
    const auto update_group = [&](key_group group) {
        // The backup took over after this table was planned, and the planner
        // did not know of it yet.
        const auto found = entries_.find(group);
        if (found != entries_.end() &&
            table.at(group).token < found->second.token)
            return;
        if (table.at(group).primary == self_)
            update_own_group(group, table, steps);
        else
            update_other_group(group, table, grants_end, steps);
    };
    for (std::uint32_t number = 0; number < table.groups().value(); ++number)
        update_group(key_group(number));
    for (const hot_key& hot : table.hot_keys())
        update_group(hot.group);
    version_ = table.version();
    group_limit_ = table.groups().value() + max_isolated_groups;
    const release_steps expired = expire_grants(now);
    steps.insert(steps.end(), expired.begin(), expired.end());
    return steps;
}

void group_release_tracker::update_own_group(
    key_group group, const ownership_table& table, release_steps& steps)
{
    const assignment& owner = table.at(group);
    group_entry& entry = entries_[group];
    std::vector<pending_release> pending = table.releases_before(group);
    const bool moved = entry.token != owner.token;
    entry.owner = self_;
    entry.token = owner.token;
    if (entry.state == group_state::serving && (!moved || pending.empty()))
        return;
    // The group may have moved away and back between two tables seen here, so
    // that its releases have already arrived.
    std::erase_if(pending, [&](const pending_release& required) {
        return covers(entry.received, required);
    });
    entry.awaited = std::move(pending);
    entry.state = group_state::awaiting_release;
    entry.revoking = false;
    serve_if_released(group, entry, steps);
}

void group_release_tracker::update_other_group(key_group group,
    const ownership_table& table, time_point grants_end, release_steps& steps)
{
    const auto found = entries_.find(group);
    const assignment& owner = table.at(group);
    if (found == entries_.end() && owner.previous == no_server)
        return;
    const auto pending = table.releases_before(group);
    const bool listed = std::ranges::find(pending, self_,
                            &pending_release::server) != pending.end();
    if (found == entries_.end() && !listed)
        return;
    group_entry& entry = entries_[group];
    const bool moved = entry.token != owner.token;
    entry.owner = owner.primary;
    entry.token = owner.token;
    if (entry.state == group_state::not_owned && version_ != table_version(0) &&
        group.value() >= table.groups().value()) {
        // The key was isolated and moved between two tables seen here, so that
        // its requests in progress are counted for the common group.
        entry.granted = true;
        entry.earliest_release = grants_end;
    }
    if (entry.state == group_state::draining)
        return;
    if (entry.granted) {
        drain(group, entry, grants_end, steps);
    } else if (!listed) {
        entries_.erase(group);
    } else if (entry.state != group_state::released || moved) {
        release(group, entry, steps);
    }
}

void group_release_tracker::drain(key_group group, group_entry& entry,
    time_point grants_end, release_steps& steps) const
{
    if (!entry.granted) {
        release(group, entry, steps);
        return;
    }
    entry.state = group_state::draining;
    entry.grants_end = grants_end;
    revoke_if_idle(group, entry, steps);
}

void group_release_tracker::drop_rejoined(
    const ownership_table& table, time_point grants_end)
{
    std::vector<key_group> dropped;
    for (const auto& [group, entry] : entries_) {
        if (table.has_group(group))
            continue;
        dropped.push_back(group);
    }
    if (dropped.empty())
        return;
    for (const key_group group : dropped)
        entries_.erase(group);
    // The common group of a dropped key is no longer known, so no group is
    // released until the requests of that key have ended.
    for (auto& [group, entry] : entries_)
        entry.earliest_release = grants_end;
}

release_steps group_release_tracker::retire(
    const ownership_table& table, server_index retired, time_point grants_end)
{
    release_steps steps;
    const auto update_group = [&](key_group group) {
        const assignment& owner = table.at(group);
        if (owner.primary != retired || owner.backup == no_server ||
            (retired != self_ && owner.backup != self_))
            return;
        group_entry& entry = entries_[group];
        if (entry.token >= owner.backup_token())
            return;
        entry.owner = owner.backup;
        entry.token = owner.backup_token();
        if (retired == self_) {
            drain(group, entry, grants_end, steps);
            return;
        }
        entry.awaited = table.releases_before(group);
        entry.awaited.push_back({retired, owner.backup_token()});
        std::erase_if(entry.awaited, [&](const pending_release& required) {
            return required.server == self_;
        });
        entry.state = group_state::awaiting_release;
        entry.revoking = false;
        serve_if_released(group, entry, steps);
    };
    for (std::uint32_t number = 0; number < table.groups().value(); ++number)
        update_group(key_group(number));
    for (const hot_key& hot : table.hot_keys())
        update_group(hot.group);
    return steps;
}

group_state group_release_tracker::state(key_group group) const
{
    const auto found = entries_.find(group);
    return found == entries_.end() ? group_state::not_owned
                                   : found->second.state;
}

void group_release_tracker::begin(key_group group)
{
    if (!may_send(group)) {
        throw error(error_kind::not_owner,
            "key group " + std::to_string(group.value()) + " is " +
                std::string(to_string(state(group))) + ", expected serving");
    }
    ++entries_[group].in_flight;
}

release_steps group_release_tracker::finish(key_group group)
{
    release_steps steps;
    const auto found = entries_.find(group);
    if (found == entries_.end() || found->second.in_flight == 0)
        return steps;
    --found->second.in_flight;
    if (found->second.state == group_state::draining)
        revoke_if_idle(group, found->second, steps);
    return steps;
}

release_steps group_release_tracker::revoked(key_group group, time_point now)
{
    release_steps steps;
    const auto found = entries_.find(group);
    if (found == entries_.end() || !found->second.revoking)
        return steps;
    group_entry& entry = found->second;
    if (entry.earliest_release && now < *entry.earliest_release)
        return steps;
    release(group, entry, steps);
    return steps;
}

release_steps group_release_tracker::released(
    key_group group, server_index from, group_token token)
{
    release_steps steps;
    if (group.value() >= group_limit_)
        return steps;
    // A message may arrive before the table with the move, so it is kept also
    // for groups that are not assigned to the local server yet.
    group_entry& entry = entries_[group];
    receive(entry, {from, token});
    if (entry.state == group_state::awaiting_release)
        serve_if_released(group, entry, steps);
    return steps;
}

release_steps group_release_tracker::lease_expired(server_index from)
{
    release_steps steps;
    for (auto& [group, entry] : entries_) {
        if (entry.state != group_state::awaiting_release)
            continue;
        for (const pending_release& required : entry.awaited) {
            if (required.server == from)
                receive(entry, required);
        }
        serve_if_released(group, entry, steps);
    }
    return steps;
}

release_steps group_release_tracker::expire_grants(time_point now)
{
    release_steps steps;
    for (auto& [group, entry] : entries_) {
        if (entry.earliest_release && now >= *entry.earliest_release)
            entry.earliest_release.reset();
        if (entry.state == group_state::draining && now >= entry.grants_end &&
            !entry.earliest_release)
            release(group, entry, steps);
    }
    return steps;
}

release_steps group_release_tracker::repeat_released() const
{
    release_steps steps;
    for (const auto& [group, entry] : entries_) {
        if (entry.state == group_state::released)
            steps.push_back({release_step::action_kind::send_released, group,
                entry.owner, entry.token});
    }
    return steps;
}

std::optional<time_point> group_release_tracker::next_deadline() const
{
    std::optional<time_point> earliest;
    for (const auto& [group, entry] : entries_) {
        if (entry.state != group_state::draining)
            continue;
        const time_point deadline = std::max(
            entry.grants_end, entry.earliest_release.value_or(time_point()));
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    return earliest;
}

void group_release_tracker::receive(
    group_entry& entry, const pending_release& release)
{
    for (pending_release& earlier : entry.received) {
        if (earlier.server == release.server) {
            earlier.token = std::max(earlier.token, release.token);
            return;
        }
    }
    entry.received.push_back(release);
}

void group_release_tracker::serve_if_released(
    key_group group, group_entry& entry, release_steps& steps) const
{
    std::erase_if(entry.awaited, [&](const pending_release& required) {
        return covers(entry.received, required);
    });
    if (!entry.awaited.empty())
        return;
    entry.state = group_state::serving;
    entry.granted = true;
    entry.received.clear();
    steps.push_back(
        {release_step::action_kind::start_serving, group, self_, entry.token});
}

void group_release_tracker::revoke_if_idle(
    key_group group, group_entry& entry, release_steps& steps)
{
    if (entry.in_flight > 0 || entry.revoking)
        return;
    entry.revoking = true;
    steps.push_back({release_step::action_kind::revoke_grant, group, no_server,
        entry.token});
}

void group_release_tracker::release(
    key_group group, group_entry& entry, release_steps& steps) const
{
    entry.state = group_state::released;
    entry.granted = false;
    entry.revoking = false;
    entry.in_flight = 0;
    entry.earliest_release.reset();
    steps.push_back({release_step::action_kind::send_released, group,
        entry.owner, entry.token});
}

} // namespace filberthub
