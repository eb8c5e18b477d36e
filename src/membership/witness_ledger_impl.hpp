#ifndef FILBERTHUB_SRC_MEMBERSHIP_WITNESS_LEDGER_IMPL_HPP
#define FILBERTHUB_SRC_MEMBERSHIP_WITNESS_LEDGER_IMPL_HPP

#include <filberthub/membership/witness_ledger.hpp>

#include <algorithm>
#include <set>

namespace filberthub {

template <class Rules>
void basic_witness_ledger<Rules>::adopt(fleet_table_ptr table, time_point now)
{
    if (table_ && table->version() <= table_->version())
        return;
    table_ = std::move(table);
    const instance_id& self = own_lease_->self().instance;
    listed_ = table_->find(own_lease_->self()) != nullptr;
    predecessor_.reset();
    const fleet_member* earlier = table_->find(self);
    if (earlier != nullptr && earlier->key.run < own_lease_->self().run)
        predecessor_ = earlier->key;

    std::unordered_map<member_key, record> kept;
    for (const fleet_member& member : table_->members()) {
        const auto names_self = [&](const std::vector<instance_id>& list) {
            return std::find(list.begin(), list.end(), self) != list.end();
        };
        if (!names_self(member.witnesses) && !names_self(member.previous))
            continue;
        const auto found = records_.find(member.key);
        if (found != records_.end()) {
            kept.emplace(member.key, std::move(found->second));
            records_.erase(found);
            continue;
        }
        // An earlier process may have sent an ack until just before this one
        // was listed, so the silence starts now.
        record created;
        created.silent_since = now - (witness_expiry - Rules::warm_up);
        kept.emplace(member.key, std::move(created));
    }
    for (auto& [member, entry] : records_) {
        if (!entry.intents.empty() || !entry.retired.empty())
            former_members_.emplace_back(member, std::move(entry));
    }
    while (former_members_.size() > former_member_limit)
        former_members_.pop_front();
    records_ = std::move(kept);
}

template <class Rules>
auto basic_witness_ledger<Rules>::find_record(const member_key& member) const
    -> const record*
{
    const auto found = records_.find(member);
    if (found != records_.end())
        return &found->second;
    for (const auto& [key, entry] : former_members_) {
        if (key == member)
            return &entry;
    }
    return nullptr;
}

template <class Rules>
bool basic_witness_ledger<Rules>::may_report_silence(time_point now) const
{
    return listed_ && !own_lease_->lapsed(now) &&
           now >= started_ + Rules::warm_up;
}

// Grants of the predecessor can last until its lease ends, so its end is
// reported only after that time. The version has to come from the store,
// because the predecessor may have used any version that was committed before
// this process started.
template <class Rules>
bool basic_witness_ledger<Rules>::may_report_predecessor_end(
    time_point now) const
{
    return predecessor_ && store_version_ != object_version() &&
           now - started_ >= Rules::expiry;
}

template <class Rules>
lease_expired basic_witness_ledger<Rules>::predecessor_end_report(
    time_point now) const
{
    lease_expired result;
    result.from = own_lease_->self();
    result.member = *predecessor_;
    result.silence = now - started_;
    result.fleet = store_version_;
    return result;
}

template <class Rules>
std::optional<heartbeat_ack> basic_witness_ledger<Rules>::on_heartbeat(
    const heartbeat& message, time_point now)
{
    // An ack needs no warm-up, unlike a report of silence. If witnesses sent no
    // acks after a restart, the leases of other members would lapse, and the
    // restarts of those members would stop the acks of further witnesses.
    if (!listed_ || own_lease_->lapsed(now))
        return std::nullopt;
    const auto found = records_.find(message.from);
    if (found == records_.end())
        return std::nullopt;
    if (message.retired.size() > retired_per_member)
        return std::nullopt;
    record& entry = found->second;
    entry.silent_since = now;
    entry.next_notice.reset();
    if (message.number > entry.newest_heartbeat) {
        entry.newest_heartbeat = message.number;
        entry.retired = message.retired;
    }

    heartbeat_ack ack;
    ack.from = own_lease_->self();
    ack.to = message.from;
    ack.number = message.number;
    ack.fleet = table_->version();
    return ack;
}

template <class Rules>
lease_expired basic_witness_ledger<Rules>::silence_report(
    const member_key& member, const record& entry, time_point now) const
{
    lease_expired result;
    result.from = own_lease_->self();
    result.member = member;
    result.silence = now - entry.silent_since;
    result.fleet = table_->version();
    result.retired = entry.retired;
    return result;
}

template <class Rules>
std::optional<lease_expired> basic_witness_ledger<Rules>::on_query(
    const expiry_query& query, time_point now)
{
    if (predecessor_ == query.member && may_report_predecessor_end(now)) {
        lease_expired result = predecessor_end_report(now);
        result.to = query.from;
        result.round = query.round;
        return result;
    }
    if (!may_report_silence(now))
        return std::nullopt;
    const auto found = records_.find(query.member);
    if (found == records_.end() || !expired(found->second, now))
        return std::nullopt;
    lease_expired result = silence_report(query.member, found->second, now);
    result.to = query.from;
    result.round = query.round;
    return result;
}

template <class Rules>
std::vector<outgoing<lease_expired>> basic_witness_ledger<Rules>::notices_due(
    time_point now)
{
    std::vector<outgoing<lease_expired>> result;
    if (may_report_predecessor_end(now) &&
        (!next_predecessor_notice_ || now >= *next_predecessor_notice_)) {
        next_predecessor_notice_ = now + heartbeat_interval;
        result.push_back(
            {recipients(*predecessor_), predecessor_end_report(now)});
    }
    if (!may_report_silence(now))
        return result;
    for (auto& [member, entry] : records_) {
        if (!expired(entry, now) ||
            (entry.next_notice && now < *entry.next_notice))
            continue;
        entry.next_notice = now + heartbeat_interval;
        result.push_back(
            {recipients(member), silence_report(member, entry, now)});
    }
    return result;
}

// Returns the instances that share a holder list with `member`, and the
// planners, which remove it from the table.
template <class Rules>
std::vector<instance_id> basic_witness_ledger<Rules>::recipients(
    const member_key& member) const
{
    std::set<instance_id> found;
    for (const auto& [server, list] : table_->servers()) {
        const bool affected = std::any_of(list.entries.begin(),
            list.entries.end(),
            [&](const holder_entry& entry) { return entry.member == member; });
        if (!affected)
            continue;
        for (const holder_entry& entry : list.entries)
            found.insert(entry.member.instance);
    }
    std::size_t planners = 0;
    for (const member_key& planner : table_->ranking()) {
        found.insert(planner.instance);
        if (++planners == planner_count)
            break;
    }
    if (member.instance != own_lease_->self().instance)
        found.erase(member.instance);
    return {found.begin(), found.end()};
}

template <class Rules>
bool basic_witness_ledger<Rules>::record_intent(
    const member_key& member, request_hash id, time_point now)
{
    const auto found = records_.find(member);
    if (found == records_.end() || !may_report_silence(now))
        return false;
    std::deque<intent>& intents = found->second.intents;
    while (!intents.empty() && now - intents.front().at >= intent_lifetime)
        intents.pop_front();
    if (intents.size() >= intents_per_member)
        return false;
    intents.push_back({now, id});
    return true;
}

template <class Rules>
std::vector<request_hash> basic_witness_ledger<Rules>::intents_of(
    const member_key& member, time_point now) const
{
    std::vector<request_hash> result;
    const record* found = find_record(member);
    if (found == nullptr)
        return result;
    for (const intent& item : found->intents) {
        if (now - item.at < intent_lifetime)
            result.push_back(item.id);
    }
    return result;
}

template <class Rules>
std::vector<backend_server_id> basic_witness_ledger<Rules>::retired_of(
    const member_key& member) const
{
    const record* found = find_record(member);
    return found == nullptr ? std::vector<backend_server_id>() : found->retired;
}

} // namespace filberthub

#endif
