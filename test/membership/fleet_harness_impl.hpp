#ifndef FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_IMPL_HPP
#define FILBERTHUB_TEST_MEMBERSHIP_FLEET_HARNESS_IMPL_HPP

#include "fleet_harness.hpp"

namespace filberthub {

using std::chrono::microseconds;
using std::chrono::seconds;

template <class Rules>
fleet_harness<Rules>::fleet_harness(std::size_t instances, std::uint64_t seed)
    : random_(seed),
      machines_(instances),
      cut_until_(instances + 1, std::vector<duration>(instances + 1)),
      store_(std::make_shared<fleet_table>())
{
    for (int number = 0; number < 4; ++number)
        servers_.emplace("server-" + std::to_string(number));
    for (std::size_t index = 0; index < instances; ++index) {
        machine& item = machines_[index];
        // Extreme rates are frequent, because only they reveal a margin that is
        // too small.
        item.rate = chance(0.5) ? 1.0 + (chance(0.5) ? 0.01 : 0.0)
                                : 1.0 + 0.01 * chance(0.5) * 0.5;
        item.offset = random_between(seconds(0), seconds(1000));
        start(index);
        schedule_at(random_between(microseconds(0), milliseconds(3)),
            [this, index] { tick(index); });
    }
}

template <class Rules>
time_point fleet_harness<Rules>::local(std::size_t index) const
{
    const machine& item = machines_[index];
    return time_point(
        item.offset + duration(static_cast<std::int64_t>(
                          static_cast<double>(now_.count()) * item.rate)));
}

template <class Rules>
duration fleet_harness<Rules>::random_between(duration low, duration high)
{
    return low + duration(static_cast<std::int64_t>(
                     random_() %
                     static_cast<std::uint64_t>((high - low).count() + 1)));
}

template <class Rules>
bool fleet_harness<Rules>::chance(double probability)
{
    return static_cast<double>(random_() >> 11) * 0x1p-53 < probability;
}

template <class Rules>
void fleet_harness<Rules>::schedule_at(
    duration when, std::function<void()> action)
{
    events_.push({when, ++sequence_, std::move(action)});
}

template <class Rules>
void fleet_harness<Rules>::run_for(duration length)
{
    const duration end = now_ + length;
    while (!events_.empty() && events_.top().at <= end && violation_.empty()) {
        event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = std::max(now_, end);
}

template <class Rules>
void fleet_harness<Rules>::run_until_steady()
{
    for (int step = 0; step < 40; ++step) {
        run_for(milliseconds(250));
        bool steady = true;
        for (const backend_server_id& server : servers_)
            steady = steady && holder(server) != no_holder &&
                     store_->holders(server).size() >= 3;
        if (steady)
            return;
    }
}

template <class Rules>
void fleet_harness<Rules>::run(const std::vector<fault>& faults)
{
    run_until_steady();
    for (const fault& item : faults) {
        run_for(milliseconds(item.gap_ms));
        apply(item);
    }
    run_for(seconds(2));
    for (int step = 0; step < 100 && violation_.empty(); ++step) {
        if (server_without_holder().empty())
            return;
        run_for(milliseconds(250));
    }
    if (violation_.empty())
        violation_ = "no holder of " + server_without_holder() +
                     " 27 s after the faults";
}

// Returns a server without a holder; empty if there is none.
template <class Rules>
std::string fleet_harness<Rules>::server_without_holder() const
{
    for (const backend_server_id& server : servers_) {
        if (holder(server) == no_holder)
            return server.value();
    }
    return "";
}

template <class Rules>
void fleet_harness<Rules>::send(
    std::size_t from, const instance_id& to, const payload& message)
{
    const std::size_t target = index_of(to);
    if (target == from) {
        schedule_at(now_ + microseconds(1),
            [this, target, message] { deliver(target, message); });
        return;
    }
    if (now_ < cut_until_[from][target])
        return;
    if (chance(now_ < loss_until_ ? 0.4 : 0.0))
        return;
    const int copies = chance(now_ < loss_until_ ? 0.2 : 0.01) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        duration delay = random_between(microseconds(100), microseconds(1500));
        if (now_ < delay_until_ && chance(0.3))
            delay = random_between(milliseconds(1), milliseconds(2500));
        schedule_at(now_ + delay,
            [this, target, message] { deliver(target, message); });
    }
}

template <class Rules>
void fleet_harness<Rules>::deliver(std::size_t to, const payload& message)
{
    machine& item = machines_[to];
    if (!item.current)
        return;
    if (now_ < item.paused_until) {
        schedule_at(item.paused_until + microseconds(1),
            [this, to, message] { deliver(to, message); });
        return;
    }
    handle(to, message);
    check_holders();
}

template <class Rules>
void fleet_harness<Rules>::compare_versions(
    std::size_t index, const instance_id& peer, object_version theirs)
{
    const table_ptr& known = machines_[index].current->known;
    const object_version own_version =
        known ? known->version() : object_version();
    if (theirs > own_version)
        send(index, peer, pull{instance_id(name(index))});
    else if (theirs < own_version)
        send(index, peer, known);
}

template <class Rules>
void fleet_harness<Rules>::handle(std::size_t index, const payload& message)
{
    process& self = *machines_[index].current;
    const time_point now = local(index);
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        if (const auto ack = self.ledger.on_heartbeat(*beat, now))
            send(index, beat->from.instance, *ack);
        compare_versions(index, beat->from.instance, beat->fleet);
    } else if (const auto* ack = std::get_if<heartbeat_ack>(&message)) {
        self.lease.on_ack(*ack, now);
        self.tracker.on_acknowledged();
        compare_versions(index, ack->from.instance, ack->fleet);
    } else if (const auto* query = std::get_if<expiry_query>(&message)) {
        if (const auto answer = self.ledger.on_query(*query, now))
            send(index, query->from.instance, *answer);
    } else if (const auto* expired = std::get_if<lease_expired>(&message)) {
        self.tracker.on_lease_expired(*expired, now);
        compare_versions(index, expired->from.instance, expired->fleet);
        send_due_messages(index, self);
    } else if (const auto* release = std::get_if<released>(&message)) {
        self.tracker.on_released(*release);
    } else if (const auto* status = std::get_if<member_status>(&message)) {
        self.statuses[status->from] = *status;
    } else if (const auto* request = std::get_if<pull>(&message)) {
        if (self.known)
            send(index, request->from, self.known);
    } else if (const auto* table = std::get_if<table_ptr>(&message)) {
        adopt_table(index, *table);
    }
}

template <class Rules>
void fleet_harness<Rules>::adopt_table(
    std::size_t index, const table_ptr& table)
{
    machine& item = machines_[index];
    process& self = *item.current;
    if (self.known && table->version() <= self.known->version())
        return;
    self.known = table;
    item.table_since = now_;
    self.lease.adopt(*table, local(index));
    self.ledger.adopt(table, local(index));
    self.tracker.adopt(table, local(index));
}

template <class Rules>
void fleet_harness<Rules>::send_due_messages(std::size_t index, process& self)
{
    const time_point now = local(index);
    if (const auto beat = self.lease.heartbeat_due(now)) {
        for (const instance_id& target : self.lease.targets())
            send(index, target, *beat);
    }
    for (const auto& item : self.ledger.notices_due(now)) {
        for (const instance_id& to : item.to)
            send(index, to, item.message);
    }
    for (const auto& item : self.tracker.queries_due(now)) {
        for (const instance_id& to : item.to)
            send(index, to, item.message);
    }
    for (const auto& item : self.tracker.releases_due(now)) {
        for (const instance_id& to : item.to)
            send(index, to, item.message);
    }
}

template <class Rules>
void fleet_harness<Rules>::tick(std::size_t index)
{
    schedule_at(now_ + milliseconds(3), [this, index] { tick(index); });
    machine& item = machines_[index];
    if (!item.current || now_ < item.paused_until)
        return;
    process& self = *item.current;
    if (self.lease.lapsed(local(index))) {
        // After 100 ms, a lapsed process is replaced by a new one, which joins
        // again.
        if (item.lapsed_at == duration())
            item.lapsed_at = now_;
        if (now_ > item.lapsed_at + milliseconds(100))
            start(index);
        return;
    }
    send_due_messages(index, self);
    if (now_ >= item.next_status) {
        item.next_status = now_ + milliseconds(250);
        send_status(index, self);
        if (!self.known || !self.known->find(self.lease.self()))
            read_store(index);
    }
    if (now_ >= item.next_plan) {
        item.next_plan = now_ + milliseconds(100);
        plan(index, self);
    }
    if (self.known && now_ > item.table_since + seconds(2) &&
        now_ >= item.next_balance) {
        item.next_balance = now_ + seconds(1);
        for (const auto& server :
            places_to_release(*self.known, self.lease.self()))
            self.tracker.release(server);
    }
}

template <class Rules>
void fleet_harness<Rules>::send_status(std::size_t index, process& self)
{
    const auto status = self.lease.status();
    if (!status || !self.known)
        return;
    auto planners = self.known->ranking();
    planners.resize(std::min(planners.size(), planner_count));
    for (const member_key& planner : planners)
        send(index, planner.instance, *status);
}

template <class Rules>
void fleet_harness<Rules>::plan(std::size_t index, process& self)
{
    if (!self.known)
        return;
    const auto ranking = self.known->ranking();
    // The two instances of the lowest ranks plan concurrently; any instance
    // plans if the fleet is empty. A process whose incarnation is not listed
    // yet plans as well, because after a restart of the whole fleet there is no
    // other.
    const auto own_rank = std::find_if(
        ranking.begin(), ranking.end(), [&](const member_key& key) {
            return key.instance == self.lease.self().instance;
        });
    if (!ranking.empty() && own_rank - ranking.begin() >= 2)
        return;
    fleet_input input;
    for (std::size_t other = 0; other < machines_.size(); ++other) {
        const machine& item = machines_[other];
        if (!item.current)
            continue;
        input.instances.push_back({item.current->lease.self(), {"127.0.0.1", 1},
            failure_domain_id("d" + std::to_string(other % 3)), item.leaving});
    }
    input.servers.assign(servers_.begin(), servers_.end());
    input.lapsed = self.tracker.evidence().lapsed();
    input.releases = self.tracker.known_releases();
    for (const auto& item : self.statuses)
        input.statuses.push_back(item.second);
    if (auto next = plan_fleet(*self.known, input))
        commit(index, std::make_shared<fleet_table>(std::move(*next)));
}

template <class Rules>
void fleet_harness<Rules>::commit(std::size_t index, table_ptr next)
{
    const std::size_t store = machines_.size();
    if (now_ < cut_until_[index][store])
        return;
    schedule_at(now_ + random_between(milliseconds(1), milliseconds(20)),
        [this, index, next] {
            if (now_ < store_down_until_)
                return;
            if (next->version() == store_->version().next())
                store_ = next;
            auto watchers = store_->ranking();
            watchers.resize(std::min(watchers.size(), planner_count));
            for (const member_key& watcher : watchers)
                read_store(index_of(watcher.instance));
            read_store(index);
        });
}

template <class Rules>
void fleet_harness<Rules>::read_store(std::size_t index)
{
    const std::size_t store = machines_.size();
    if (now_ < cut_until_[index][store] || now_ < store_down_until_ ||
        (now_ < replies_lost_until_ && chance(0.5)))
        return;
    schedule_at(now_ + random_between(milliseconds(1), milliseconds(20)),
        [this, index, run = machines_[index].run, table = store_] {
            machine& item = machines_[index];
            if (item.current && item.run == run)
                item.current->ledger.on_store_read(table->version());
            deliver(index, table);
        });
}

template <class Rules>
void fleet_harness<Rules>::start(std::size_t index)
{
    machine& item = machines_[index];
    const member_key key{instance_id(name(index)), incarnation(++item.run)};
    item.current = std::make_unique<process>(key, local(index));
    item.lapsed_at = duration();
    item.paused_until = duration();
    read_store(index);
}

} // namespace filberthub

#endif
