#include <filberthub/membership/connectivity_view.hpp>

#include <algorithm>

namespace filberthub {

void connectivity_view::adopt(fleet_table_ptr table)
{
    if (table_ && table->version() <= table_->version())
        return;
    std::vector<std::optional<time_point>> remapped(table->members().size());
    for (std::size_t index = 0; index < newest_evidence_.size(); ++index) {
        const member_key& key = table_->members()[index].key;
        if (const fleet_member* member = table->find(key)) {
            remapped[static_cast<std::size_t>(
                member - table->members().data())] = newest_evidence_[index];
        }
    }
    newest_evidence_ = std::move(remapped);
    table_ = std::move(table);
}

void connectivity_view::record_evidence(
    std::size_t index, time_point observed_at)
{
    std::optional<time_point>& newest = newest_evidence_.at(index);
    newest = newest ? std::max(*newest, observed_at) : observed_at;
}

void connectivity_view::on_ack(const heartbeat_ack& ack, time_point sent)
{
    if (!table_)
        return;
    if (ack.known.store_age)
        on_store_confirmed(sent - *ack.known.store_age);
    const auto& members = table_->members();
    if (const fleet_member* member = table_->find(ack.from))
        record_evidence(
            static_cast<std::size_t>(member - members.data()), sent);
    // The entries are indexes into the fleet table of that version.
    if (ack.evidence.fleet != table_->version() ||
        ack.evidence.nibbles.size() != (members.size() + 1) / 2)
        return;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const std::uint8_t pair = ack.evidence.nibbles[index / 2];
        const std::uint8_t steps = index % 2 == 0 ? pair & 15U : pair >> 4U;
        if (steps != no_evidence)
            record_evidence(index, sent - steps * evidence_step);
    }
}

void connectivity_view::on_store_confirmed(time_point started)
{
    store_confirmed_at_ =
        store_confirmed_at_ ? std::max(*store_confirmed_at_, started) : started;
}

member_ages connectivity_view::ages(time_point now) const
{
    member_ages result;
    if (!table_)
        return result;
    result.fleet = table_->version();
    result.nibbles.resize((newest_evidence_.size() + 1) / 2, 0xff);
    for (std::size_t index = 0; index < newest_evidence_.size(); ++index) {
        const bool self = table_->members()[index].key.instance == self_;
        if (!self && !newest_evidence_[index])
            continue;
        const duration age = self ? duration() : now - *newest_evidence_[index];
        if (age > evidence_lifetime)
            continue;
        const auto steps = static_cast<std::uint8_t>(
            (age + evidence_step - duration(1)) / evidence_step);
        std::uint8_t& pair = result.nibbles[index / 2];
        pair = static_cast<std::uint8_t>(index % 2 == 0
                                             ? (pair & 0xf0U) | steps
                                             : (pair & 0x0fU) | (steps << 4U));
    }
    return result;
}

std::optional<duration> connectivity_view::store_age(time_point now) const
{
    if (!store_confirmed_at_)
        return std::nullopt;
    return now - *store_confirmed_at_;
}

std::size_t connectivity_view::reachable(time_point now) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < newest_evidence_.size(); ++index) {
        const bool self = table_->members()[index].key.instance == self_;
        if (self || (newest_evidence_[index] &&
                        now - *newest_evidence_[index] <= evidence_lifetime))
            ++count;
    }
    return count;
}

bool connectivity_view::may_send_new_work(time_point now) const
{
    const std::optional<duration> age = store_age(now);
    if (age && *age <= evidence_lifetime)
        return true;
    return reachable(now) * 2 > newest_evidence_.size();
}

} // namespace filberthub
