#include <filberthub/base/error.hpp>
#include <filberthub/ownership/group_release_tracker.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace filberthub {

namespace {

// Bound for the numbers of isolated keys that a message may name before the
// table that isolates them has arrived.
constexpr std::uint32_t most_isolated_groups = 4096;

constexpr std::array<std::string_view, 5> state_names = {
    "not_owned", "awaiting_release", "serving", "draining", "released"};

bool covers(
    const std::vector<pending_release>& received, const pending_release& wanted)
{
    return std::ranges::any_of(received, [&](const pending_release& release) {
        return release.server == wanted.server && release.token >= wanted.token;
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
    const auto follow = [&](key_group group) {
        // The backup took over after this table was made, and the planner did
        // not know.
        const auto known = entries_.find(group);
        if (known != entries_.end() &&
            table.at(group).token < known->second.token)
            return;
        if (table.at(group).primary == self_)
            follow_own(group, table, steps);
        else
            follow_other(group, table, grants_end, steps);
    };
    for (std::uint32_t number = 0; number < table.groups().value(); ++number)
        follow(key_group(number));
    for (const hot_key& hot : table.hot_keys())
        follow(hot.group);
    version_ = table.version();
    group_limit_ = table.groups().value() + most_isolated_groups;
    const release_steps expired = expire_grants(now);
    steps.insert(steps.end(), expired.begin(), expired.end());
    return steps;
}

void group_release_tracker::follow_own(
    key_group group, const ownership_table& table, release_steps& steps)
{
    const assignment& owner = table.at(group);
    entry& known = entries_[group];
    std::vector<pending_release> pending = table.releases_before(group);
    const bool moved = known.token != owner.token;
    known.owner = self_;
    known.token = owner.token;
    if (known.state == group_state::serving && (!moved || pending.empty()))
        return;
    // It may have moved away and back between two tables seen here.
    std::erase_if(pending, [&](const pending_release& wanted) {
        return covers(known.received, wanted);
    });
    known.awaited = std::move(pending);
    known.state = group_state::awaiting_release;
    known.revoking = false;
    serve_if_released(group, known, steps);
}

void group_release_tracker::follow_other(key_group group,
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
    entry& known = entries_[group];
    const bool moved = known.token != owner.token;
    known.owner = owner.primary;
    known.token = owner.token;
    if (known.state == group_state::not_owned && version_ != table_version(0) &&
        group.value() >= table.groups().value()) {
        // The key was isolated and moved between two tables seen here, so that
        // its work in progress counts for the common group.
        known.granted = true;
        known.hold_until = grants_end;
    }
    if (known.state == group_state::draining)
        return;
    if (known.granted) {
        drain(group, known, grants_end, steps);
    } else if (!listed) {
        entries_.erase(group);
    } else if (known.state != group_state::released || moved) {
        release(group, known, steps);
    }
}

void group_release_tracker::drain(key_group group, entry& known,
    time_point grants_end, release_steps& steps) const
{
    if (!known.granted) {
        release(group, known, steps);
        return;
    }
    known.state = group_state::draining;
    known.grants_end = grants_end;
    revoke_if_idle(group, known, steps);
}

void group_release_tracker::drop_rejoined(
    const ownership_table& table, time_point grants_end)
{
    std::vector<key_group> dropped;
    for (const auto& [group, known] : entries_) {
        if (table.has_group(group))
            continue;
        dropped.push_back(group);
    }
    if (dropped.empty())
        return;
    for (const key_group group : dropped)
        entries_.erase(group);
    // The common group of a dropped key is not known any more, so that each
    // group is held until the work of that key has ended.
    for (auto& [group, known] : entries_)
        known.hold_until = grants_end;
}

release_steps group_release_tracker::retire(
    const ownership_table& table, server_index retired, time_point grants_end)
{
    release_steps steps;
    const auto follow = [&](key_group group) {
        const assignment& owner = table.at(group);
        if (owner.primary != retired || owner.backup == no_server ||
            (retired != self_ && owner.backup != self_))
            return;
        entry& known = entries_[group];
        if (known.token >= owner.backup_token())
            return;
        known.owner = owner.backup;
        known.token = owner.backup_token();
        if (retired == self_) {
            drain(group, known, grants_end, steps);
            return;
        }
        known.awaited = table.releases_before(group);
        known.awaited.push_back({retired, owner.backup_token()});
        std::erase_if(known.awaited, [&](const pending_release& wanted) {
            return wanted.server == self_;
        });
        known.state = group_state::awaiting_release;
        known.revoking = false;
        serve_if_released(group, known, steps);
    };
    for (std::uint32_t number = 0; number < table.groups().value(); ++number)
        follow(key_group(number));
    for (const hot_key& hot : table.hot_keys())
        follow(hot.group);
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
    entry& known = found->second;
    if (known.hold_until && now < *known.hold_until)
        return steps;
    release(group, known, steps);
    return steps;
}

release_steps group_release_tracker::released(
    key_group group, server_index from, group_token token)
{
    release_steps steps;
    if (group.value() >= group_limit_)
        return steps;
    // A message may arrive before the table with the move, so it is kept for
    // groups that are not assigned to the own server yet.
    entry& known = entries_[group];
    receive(known, {from, token});
    if (known.state == group_state::awaiting_release)
        serve_if_released(group, known, steps);
    return steps;
}

release_steps group_release_tracker::lease_expired(server_index from)
{
    release_steps steps;
    for (auto& [group, known] : entries_) {
        if (known.state != group_state::awaiting_release)
            continue;
        for (const pending_release& wanted : known.awaited) {
            if (wanted.server == from)
                receive(known, wanted);
        }
        serve_if_released(group, known, steps);
    }
    return steps;
}

release_steps group_release_tracker::expire_grants(time_point now)
{
    release_steps steps;
    for (auto& [group, known] : entries_) {
        if (known.hold_until && now >= *known.hold_until)
            known.hold_until.reset();
        if (known.state == group_state::draining && now >= known.grants_end &&
            !known.hold_until)
            release(group, known, steps);
    }
    return steps;
}

release_steps group_release_tracker::repeat_released() const
{
    release_steps steps;
    for (const auto& [group, known] : entries_) {
        if (known.state == group_state::released)
            steps.push_back({release_step::action::send_released, group,
                known.owner, known.token});
    }
    return steps;
}

std::optional<time_point> group_release_tracker::next_deadline() const
{
    std::optional<time_point> earliest;
    for (const auto& [group, known] : entries_) {
        if (known.state != group_state::draining)
            continue;
        const time_point deadline =
            std::max(known.grants_end, known.hold_until.value_or(time_point()));
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    return earliest;
}

void group_release_tracker::receive(
    entry& known, const pending_release& release)
{
    for (pending_release& earlier : known.received) {
        if (earlier.server == release.server) {
            earlier.token = std::max(earlier.token, release.token);
            return;
        }
    }
    known.received.push_back(release);
}

void group_release_tracker::serve_if_released(
    key_group group, entry& known, release_steps& steps) const
{
    std::erase_if(known.awaited, [&](const pending_release& wanted) {
        return covers(known.received, wanted);
    });
    if (!known.awaited.empty())
        return;
    known.state = group_state::serving;
    known.granted = true;
    known.received.clear();
    steps.push_back(
        {release_step::action::start_serving, group, self_, known.token});
}

void group_release_tracker::revoke_if_idle(
    key_group group, entry& known, release_steps& steps)
{
    if (known.in_flight > 0 || known.revoking)
        return;
    known.revoking = true;
    steps.push_back(
        {release_step::action::revoke_grant, group, no_server, known.token});
}

void group_release_tracker::release(
    key_group group, entry& known, release_steps& steps) const
{
    known.state = group_state::released;
    known.granted = false;
    known.revoking = false;
    known.in_flight = 0;
    known.hold_until.reset();
    steps.push_back(
        {release_step::action::send_released, group, known.owner, known.token});
}

} // namespace filberthub
