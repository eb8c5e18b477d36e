#ifndef FILBERTHUB_SRC_MEMBERSHIP_MEMBER_LEASE_IMPL_HPP
#define FILBERTHUB_SRC_MEMBERSHIP_MEMBER_LEASE_IMPL_HPP

#include <filberthub/membership/member_lease.hpp>

#include <algorithm>

namespace filberthub {

template <class Rules>
void basic_member_lease<Rules>::adopt(const fleet_table& table, time_point now)
{
    if (table.version() <= fleet_)
        return;
    fleet_ = table.version();
    if (lapsed(now))
        ended_ = true;
    const fleet_member* record = table.find(self_);
    if (record == nullptr) {
        ended_ = ended_ || joined_;
        return;
    }
    joined_ = true;
    record_ = *record;
    witness_lists_.clear();
    if (!record->witnesses.empty())
        witness_lists_.push_back(record->witnesses);
    if (Rules::joint_lists && !record->previous.empty())
        witness_lists_.push_back(record->previous);

    std::map<instance_id, witness_state> kept;
    targets_.clear();
    for (const auto& list : witness_lists_) {
        for (const instance_id& witness : list) {
            const bool added =
                kept.emplace(witness, witnesses_[witness]).second;
            if (added)
                targets_.push_back(witness);
        }
    }
    witnesses_ = std::move(kept);
}

template <class Rules>
std::optional<heartbeat> basic_member_lease<Rules>::heartbeat_due(
    time_point now)
{
    if (!joined_ || lapsed(now) || targets_.empty())
        return std::nullopt;
    if (next_heartbeat_ && now < *next_heartbeat_)
        return std::nullopt;
    // The schedule keeps its phase unless it is late by an interval or more.
    const bool behind =
        !next_heartbeat_ || now >= *next_heartbeat_ + heartbeat_interval;
    next_heartbeat_ = (behind ? now : *next_heartbeat_) + heartbeat_interval;

    heartbeat message;
    message.from = self_;
    message.number = next_number_++;
    message.fleet = fleet_;
    message.retired.reserve(retired_.size());
    for (auto& [server, number] : retired_) {
        number = number == 0 ? message.number : number;
        message.retired.push_back(server);
    }
    sent_times_.at(message.number % sent_history_size) = now;
    return message;
}

template <class Rules>
std::optional<time_point> basic_member_lease<Rules>::sent_at(
    std::uint64_t number) const
{
    if (number == 0 || number >= next_number_ ||
        number + sent_history_size < next_number_)
        return std::nullopt;
    return sent_times_.at(number % sent_history_size);
}

// Returns the largest value that a majority of each list has reached.
template <class Rules>
template <class Field>
auto basic_member_lease<Rules>::majority_value(Field field) const
{
    using value_type = decltype(field(witness_state{}));
    std::optional<value_type> lowest;
    for (const auto& list : witness_lists_) {
        value_type reached{};
        for (const instance_id& candidate : list) {
            const value_type value = field(witnesses_.at(candidate));
            const auto count = static_cast<std::size_t>(std::count_if(
                list.begin(), list.end(), [&](const instance_id& other) {
                    return field(witnesses_.at(other)) >= value;
                }));
            if (count >= majority_of(list.size()))
                reached = std::max(reached, value);
        }
        lowest = lowest ? std::min(*lowest, reached) : reached;
    }
    return lowest.value_or(value_type{});
}

template <class Rules>
void basic_member_lease<Rules>::on_ack(const heartbeat_ack& ack, time_point now)
{
    if (ack.to != self_ || lapsed(now) || !sent_at(ack.number))
        return;
    const auto witness = witnesses_.find(ack.from.instance);
    if (witness == witnesses_.end())
        return;
    witness->second.number = std::max(witness->second.number, ack.number);
    witness->second.fleet = std::max(witness->second.fleet, ack.fleet);

    const std::uint64_t number =
        majority_value([](const witness_state& state) { return state.number; });
    const object_version fleet =
        majority_value([](const witness_state& state) { return state.fleet; });
    if (const auto sent = sent_at(number);
        sent && now < *sent + lease_interval) {
        extend(*sent + lease_interval);
        acknowledged_number_ = std::max(acknowledged_number_, number);
        acknowledged_fleet_ =
            std::max(acknowledged_fleet_, std::min(fleet, fleet_));
    }
}

template <class Rules>
void basic_member_lease<Rules>::on_store_commit(time_point sent, time_point now)
{
    const bool has_no_witnesses = joined_ && targets_.empty();
    if (!has_no_witnesses || lapsed(now) || now >= sent + lease_interval)
        return;
    extend(sent + lease_interval);
    acknowledged_fleet_ = fleet_;
}

template <class Rules>
void basic_member_lease<Rules>::extend(time_point until)
{
    valid_until_ = valid_until_ ? std::max(*valid_until_, until) : until;
}

template <class Rules>
std::optional<time_point> basic_member_lease<Rules>::grants_until() const
{
    if (!valid_until_)
        return std::nullopt;
    return *valid_until_ - grant_margin;
}

template <class Rules>
void basic_member_lease<Rules>::retire(const backend_server_id& server)
{
    retired_.emplace(server, 0);
}

template <class Rules>
void basic_member_lease<Rules>::restore(const backend_server_id& server)
{
    retired_.erase(server);
}

template <class Rules>
bool basic_member_lease<Rules>::acknowledged(
    const backend_server_id& server) const
{
    const auto found = retired_.find(server);
    return found != retired_.end() && found->second != 0 &&
           found->second <= acknowledged_number_;
}

template <class Rules>
void basic_member_lease<Rules>::depart()
{
    ended_ = true;
    departed_ = true;
}

template <class Rules>
std::optional<member_status> basic_member_lease<Rules>::status() const
{
    if (!joined_)
        return std::nullopt;
    member_status result;
    result.from = self_;
    result.departed = departed_;
    result.ready = valid_until_.has_value();
    if (!record_.previous.empty() && acknowledged_fleet_ >= record_.changed)
        result.settled = record_.changed;
    const bool has_update = departed_ || (result.ready && !record_.ready) ||
                            result.settled != object_version();
    if (!has_update)
        return std::nullopt;
    return result;
}

} // namespace filberthub

#endif
