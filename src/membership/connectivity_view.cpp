#include <filberthub/membership/connectivity_view.hpp>

#include <algorithm>

namespace filberthub {

void connectivity_view::adopt(fleet_table_ptr table)
{
    if (table_ && table->version() <= table_->version())
        return;
    std::vector<std::optional<time_point>> moved(table->members().size());
    for (std::size_t index = 0; index < seen_.size(); ++index) {
        const member_key& key = table_->members()[index].key;
        if (const fleet_member* member = table->find(key)) {
            moved[static_cast<std::size_t>(member - table->members().data())] =
                seen_[index];
        }
    }
    seen_ = std::move(moved);
    table_ = std::move(table);
}

void connectivity_view::note(std::size_t index, time_point seen)
{
    std::optional<time_point>& newest = seen_.at(index);
    newest = newest ? std::max(*newest, seen) : seen;
}

void connectivity_view::on_ack(const heartbeat_ack& ack, time_point sent)
{
    if (!table_)
        return;
    if (ack.known.store_age)
        on_store_confirmed(sent - *ack.known.store_age);
    const auto& members = table_->members();
    if (const fleet_member* member = table_->find(ack.from))
        note(static_cast<std::size_t>(member - members.data()), sent);
    // Entries of another version stand for other members.
    if (ack.evidence.fleet != table_->version() ||
        ack.evidence.nibbles.size() != (members.size() + 1) / 2)
        return;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const std::uint8_t pair = ack.evidence.nibbles[index / 2];
        const std::uint8_t steps = index % 2 == 0 ? pair & 15U : pair >> 4U;
        if (steps != no_evidence)
            note(index, sent - steps * evidence_step);
    }
}

void connectivity_view::on_store_confirmed(time_point started)
{
    confirmed_ = confirmed_ ? std::max(*confirmed_, started) : started;
}

member_ages connectivity_view::ages(time_point now) const
{
    member_ages result;
    if (!table_)
        return result;
    result.fleet = table_->version();
    result.nibbles.resize((seen_.size() + 1) / 2, 0xff);
    for (std::size_t index = 0; index < seen_.size(); ++index) {
        const bool self = table_->members()[index].key.instance == self_;
        if (!self && !seen_[index])
            continue;
        const duration age = self ? duration() : now - *seen_[index];
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
    if (!confirmed_)
        return std::nullopt;
    return now - *confirmed_;
}

std::size_t connectivity_view::reachable(time_point now) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < seen_.size(); ++index) {
        const bool self = table_->members()[index].key.instance == self_;
        if (self || (seen_[index] && now - *seen_[index] <= evidence_lifetime))
            ++count;
    }
    return count;
}

bool connectivity_view::may_send_new_work(time_point now) const
{
    const std::optional<duration> age = store_age(now);
    if (age && *age <= evidence_lifetime)
        return true;
    return reachable(now) * 2 > seen_.size();
}

} // namespace filberthub
