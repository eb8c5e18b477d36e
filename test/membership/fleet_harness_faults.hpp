#ifndef FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_FAULTS_HPP
#define FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_FAULTS_HPP

#include "fleet_harness_impl.hpp"

namespace filberthub {

template <class Rules>
void fleet_harness<Rules>::restart_after(std::size_t index, duration pause)
{
    machines_[index].current.reset();
    schedule_at(now_ + pause, [this, index] {
        if (!machines_[index].current)
            start(index);
    });
}

template <class Rules>
void fleet_harness<Rules>::stop_gracefully(std::size_t index)
{
    machine& item = machines_[index];
    if (!item.current || now_ < item.paused_until)
        return;
    process& self = *item.current;
    for (const backend_server_id& server : servers_)
        self.tracker.release(server);
    send_due_messages(index, self);
    self.lease.depart();
    send_status(index, self);
}

template <class Rules>
void fleet_harness<Rules>::partition(
    unsigned mask, duration until, bool with_store)
{
    const std::size_t count = machines_.size();
    for (std::size_t left = 0; left < count; ++left) {
        const bool inside = (mask >> left & 1U) != 0;
        for (std::size_t right = 0; right < count; ++right) {
            if (inside != ((mask >> right & 1U) != 0))
                cut_until_[left][right] = until;
        }
        if (inside && with_store)
            cut_until_[left][count] = until;
    }
}

template <class Rules>
void fleet_harness<Rules>::apply(const fault& item)
{
    const std::size_t count = machines_.size();
    const std::size_t first = item.first % count;
    const std::size_t second = item.second % count;
    const duration length = milliseconds(item.length_ms);
    const duration until = now_ + length;
    const unsigned mask = item.first % (1U << count);
    switch (item.kind) {
    case fault_kind::pause:
        machines_[first].paused_until = until;
        break;
    case fault_kind::crash_two:
        restart_after(second, length / 2);
        [[fallthrough]];
    case fault_kind::crash:
        restart_after(first, length);
        break;
    case fault_kind::leave_two:
        stop_gracefully(second);
        restart_after(second, milliseconds(1));
        [[fallthrough]];
    case fault_kind::leave:
        stop_gracefully(first);
        restart_after(first, milliseconds(1));
        break;
    case fault_kind::partition:
        partition(mask, until, item.second % 2 == 0);
        break;
    case fault_kind::cut_one_way:
        cut_until_[first][second] = until;
        break;
    case fault_kind::cut_from_store:
        cut_until_[first][count] = until;
        break;
    case fault_kind::drain_and_partition:
        schedule_at(now_ + milliseconds(item.second % 400),
            [this, mask, length] { partition(mask, now_ + length, true); });
        [[fallthrough]];
    case fault_kind::drain:
        for (std::size_t index = 0; index < count; ++index) {
            if ((mask >> index & 1U) != 0)
                machines_[index].leaving = true;
        }
        schedule_at(until, [this] {
            for (machine& other : machines_)
                other.leaving = false;
        });
        break;
    case fault_kind::store_down:
        store_down_until_ = until;
        break;
    case fault_kind::store_replies_lost:
        replies_lost_until_ = until;
        break;
    case fault_kind::loss:
        loss_until_ = until;
        break;
    case fault_kind::delay:
        delay_until_ = until;
        break;
    case fault_kind::toggle_server: {
        const backend_server_id id("server-" + std::to_string(first % 5));
        if (servers_.erase(id) == 0)
            servers_.insert(id);
        break;
    }
    case fault_kind::count:
        break;
    }
}

template <class Rules>
std::size_t fleet_harness<Rules>::holder(const backend_server_id& server) const
{
    for (std::size_t index = 0; index < machines_.size(); ++index) {
        const auto& current = machines_[index].current;
        if (current && current->tracker.is_holder(server, local(index)))
            return index;
    }
    return no_holder;
}

template <class Rules>
std::vector<std::size_t> fleet_harness<Rules>::witnesses(
    std::size_t index) const
{
    std::vector<std::size_t> result;
    for (const auto& id : store_->find(instance_id(name(index)))->witnesses)
        result.push_back(index_of(id));
    return result;
}

// Records a violation if a server has two holders or a token does not increase.
// A paused process counts as well, because it can resume at any moment.
template <class Rules>
void fleet_harness<Rules>::check_holders()
{
    for (int number = 0; number < 5; ++number) {
        const backend_server_id server("server-" + std::to_string(number));
        const std::size_t first = holder(server);
        if (first == no_holder)
            continue;
        const std::string when = " of " + server.value() + " at " +
                                 std::to_string(now_ / microseconds(1)) + " us";
        for (std::size_t index = first + 1; index < machines_.size(); ++index) {
            const auto& current = machines_[index].current;
            if (current && current->tracker.is_holder(server, local(index)))
                violation_ = name(first) + " and " + name(index) +
                             " are both holders" + when;
        }
        const auto token = machines_[first].current->tracker.token(server);
        auto& [holder_before, token_before] = last_holders_[server];
        const bool moved = holder_before != first && token_before != 0;
        if (!violation_.empty())
            return;
        if (*token < token_before || (moved && *token == token_before))
            violation_ = "token " + std::to_string(*token) + " follows " +
                         std::to_string(token_before) + when;
        takeovers_ += moved ? 1 : 0;
        holder_before = first;
        token_before = *token;
    }
}

} // namespace filberthub

#endif
