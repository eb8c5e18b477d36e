#ifndef FILBERTHUB_SRC_MEMBERSHIP_LAPSE_EVIDENCE_IMPL_HPP
#define FILBERTHUB_SRC_MEMBERSHIP_LAPSE_EVIDENCE_IMPL_HPP

#include <filberthub/membership/lapse_evidence.hpp>

#include <algorithm>

namespace filberthub {

template <class Rules>
void basic_lapse_evidence<Rules>::adopt(fleet_table_ptr table, time_point now)
{
    if (table_ && table->version() <= table_->version())
        return;
    table_ = std::move(table);
    const auto is_gone = [&](const auto& item) {
        return table_->find(item.first) == nullptr;
    };
    if (lapses_.size() > lapse_limit)
        std::erase_if(lapses_, is_gone);
    std::erase_if(suspicions_, is_gone);
    std::map<member_key, time_point> joining;
    for (const fleet_member& member : table_->members()) {
        if (member.ready)
            continue;
        const auto seen = joining_.find(member.key);
        joining.emplace(
            member.key, seen == joining_.end() ? now : seen->second);
    }
    joining_ = std::move(joining);
    // Answers to an earlier round may come from witnesses that were replaced.
    for (auto& [member, state] : suspicions_) {
        state.round = 0;
        state.answers.clear();
    }
}

// Returns whether the sender is a later process of the member's instance.
inline bool is_successor_process(const lease_expired& message)
{
    return message.from.instance == message.member.instance &&
           message.from.run > message.member.run;
}

// Returns whether silence of `member` proves a lapse. A member that is not
// ready can still get its first lease within `join_window`. The window is
// extended by 2%, which covers the difference between the clocks.
template <class Rules>
bool basic_lapse_evidence<Rules>::silence_is_conclusive(
    const member_key& member, time_point now) const
{
    const auto joining = joining_.find(member);
    return joining == joining_.end() ||
           now - joining->second >= join_window + join_window / 50;
}

// Returns whether a majority of each witness list of `member` satisfies
// `contains`.
template <class Rules>
template <class Contains>
bool basic_lapse_evidence<Rules>::has_majorities(
    const fleet_member& member, Contains contains) const
{
    const auto has_majority = [&](const std::vector<instance_id>& list) {
        const auto count = static_cast<std::size_t>(
            std::count_if(list.begin(), list.end(), contains));
        return count >= majority_of(list.size());
    };
    const bool old_list_agrees = !Rules::joint_lists ||
                                 member.previous.empty() ||
                                 has_majority(member.previous);
    return old_list_agrees && has_majority(member.witnesses);
}

template <class Rules>
bool basic_lapse_evidence<Rules>::on_lease_expired(
    const lease_expired& message, time_point now)
{
    const fleet_member* member =
        table_ ? table_->find(message.member) : nullptr;
    if (member == nullptr || lapses_.contains(message.member))
        return false;
    newest_version_seen_ = std::max(newest_version_seen_, message.fleet);
    suspicion& state = suspicions_[message.member];
    if (Rules::simultaneous_silence && message.round == 0) {
        state.notices[message.from.instance] = now;
        return false;
    }
    if (Rules::simultaneous_silence &&
        (message.to != self_ || message.round != state.round))
        return false;
    if (Rules::joint_lists && message.fleet > table_->version())
        return false;
    const duration elapsed = now - state.queried_at;
    // The clock drift also applies to the time since the query.
    const duration needed = Rules::expiry + elapsed + elapsed / 50;
    if (Rules::simultaneous_silence && message.silence < needed)
        return false;
    state.answers[message.from.instance] = {message.fleet, message.retired};
    const bool answered =
        has_majorities(*member, [&](const instance_id& witness) {
            return state.answers.contains(witness);
        });
    if (!is_successor_process(message) &&
        !(answered && silence_is_conclusive(message.member, now)))
        return false;

    lapse result;
    result.retired_complete = answered;
    for (const auto& [witness, item] : state.answers) {
        result.fleet = std::max(result.fleet, item.fleet);
        result.retired.insert(item.retired.begin(), item.retired.end());
    }
    lapses_.emplace(message.member, std::move(result));
    suspicions_.erase(message.member);
    return true;
}

template <class Rules>
std::vector<outgoing<expiry_query>> basic_lapse_evidence<Rules>::queries_due(
    time_point now)
{
    std::vector<outgoing<expiry_query>> result;
    for (auto& item : suspicions_) {
        const member_key& key = item.first;
        suspicion& state = item.second;
        // A notice expires when its next two repetitions are missing.
        std::erase_if(state.notices, [&](const auto& notice) {
            return now - notice.second > 2 * heartbeat_interval;
        });
        if (state.round != 0 && now - state.queried_at < query_interval)
            continue;
        const fleet_member* member = table_->find(key);
        const bool noticed =
            has_majorities(*member, [&](const instance_id& witness) {
                return state.notices.contains(witness);
            });
        if (!state.notices.contains(key.instance) &&
            !(noticed && silence_is_conclusive(key, now)))
            continue;
        state.round = ++last_round_;
        state.queried_at = now;
        state.answers.clear();
        std::set<instance_id> to(
            member->witnesses.begin(), member->witnesses.end());
        to.insert(member->previous.begin(), member->previous.end());
        to.insert(key.instance);
        result.push_back(
            {{to.begin(), to.end()}, expiry_query{self_, key, state.round}});
    }
    std::erase_if(suspicions_, [](const auto& item) {
        return Rules::simultaneous_silence && item.second.notices.empty();
    });
    return result;
}

template <class Rules>
const lapse* basic_lapse_evidence<Rules>::find(const member_key& member) const
{
    const auto found = lapses_.find(member);
    return found == lapses_.end() ? nullptr : &found->second;
}

template <class Rules>
std::set<member_key> basic_lapse_evidence<Rules>::lapsed() const
{
    std::set<member_key> result;
    for (const auto& item : lapses_)
        result.insert(item.first);
    return result;
}

} // namespace filberthub

#endif
