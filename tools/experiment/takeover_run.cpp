#include "tools/experiment/takeover_run.hpp"

namespace filberthub::experiment {

namespace {

using namespace std::chrono_literals;

// Interval of the node's timer.
constexpr duration timer_interval = 10ms;

} // namespace

takeover_run::simulated_instance::simulated_instance(
    const fleet_table_ptr& table, const fleet_member& member,
    time_point started)
    : lease(member.key, started), ledger(lease, started), tracker(lease)
{
    lease.adopt(*table, started);
    ledger.adopt(table, started);
    tracker.adopt(table, started);
}

takeover_run::takeover_run(const fleet_table_ptr& joining,
    fleet_table_ptr table, duration hop, std::uint64_t seed)
    : table_(std::move(table)), delay_(hop / 2), random_(seed), now_(1s)
{
    std::uniform_int_distribution<std::int64_t> phase(0, 249);
    for (const fleet_member& member : table_->members()) {
        const time_point start = now_ + milliseconds(phase(random_));
        start_times_[member.key.instance] = start;
        instances_[member.key.instance] =
            std::make_unique<simulated_instance>(joining, member, start);
    }
    // Witnesses do not acknowledge heartbeats for the first 1,224 ms after
    // their start. If the table marked members as ready before they held a
    // lease, the missing acknowledgements would count as a lapse.
    advance(now_ + 3s);
    for (const auto& [id, instance] : instances_) {
        instance->lease.adopt(*table_, now_);
        instance->ledger.adopt(table_, now_);
        instance->tracker.adopt(table_, now_);
    }
    advance(now_ + 1s);
}

std::map<backend_server_id, duration> takeover_run::stop_instances(
    const std::set<instance_id>& stopped_ids)
{
    std::uniform_int_distribution<std::int64_t> phase(0, 249);
    advance(now_ + milliseconds(phase(random_)));
    std::set<backend_server_id> without_holder;
    for (const instance_id& id : stopped_ids) {
        simulated_instance& stopped = *instances_.at(id);
        stopped.running = false;
        for (const backend_server_id& server : stopped.tracker.held_servers())
            without_holder.insert(server);
    }
    std::map<backend_server_id, duration> gaps;
    const time_point stop_time = now_;
    while (!without_holder.empty() && now_ < stop_time + 10s) {
        advance(now_ + 1ms);
        for (const auto& [id, instance] : instances_) {
            if (!instance->running)
                continue;
            for (const backend_server_id& server :
                instance->tracker.held_servers())
                if (instance->tracker.is_holder(server, now_) &&
                    without_holder.erase(server) > 0)
                    gaps[server] = now_ - stop_time;
        }
    }
    for (const backend_server_id& server : without_holder)
        gaps[server] = now_ - stop_time;
    return gaps;
}

void takeover_run::advance(time_point until)
{
    for (; now_ < until; now_ += 1ms) {
        while (!deliveries_.empty() && deliveries_.top().at <= now_) {
            const delivery next = deliveries_.top();
            deliveries_.pop();
            deliver(next);
        }
        for (const auto& [id, instance] : instances_) {
            const time_point start = start_times_.at(id);
            if (instance->running && now_ >= start &&
                (now_ - start) % timer_interval == duration::zero())
                run_timers(*instance);
        }
    }
}

void takeover_run::run_timers(simulated_instance& instance)
{
    if (const auto heartbeat_message = instance.lease.heartbeat_due(now_)) {
        for (const instance_id& to : instance.lease.targets())
            send(to, *heartbeat_message);
    }
    for (const auto& notice : instance.ledger.notices_due(now_)) {
        for (const instance_id& to : notice.to)
            send(to, notice.message);
    }
    for (const auto& query : instance.tracker.queries_due(now_)) {
        for (const instance_id& to : query.to)
            send(to, query.message);
    }
}

void takeover_run::deliver(const delivery& next)
{
    simulated_instance& to = *instances_.at(next.to);
    if (!to.running || now_ < start_times_.at(next.to))
        return;
    if (const auto* heartbeat_message = std::get_if<heartbeat>(&next.payload)) {
        if (const auto ack = to.ledger.on_heartbeat(*heartbeat_message, now_))
            send(heartbeat_message->from.instance, *ack);
    } else if (const auto* ack = std::get_if<heartbeat_ack>(&next.payload)) {
        to.lease.on_ack(*ack, now_);
        to.tracker.on_acknowledged();
    } else if (const auto* query = std::get_if<expiry_query>(&next.payload)) {
        if (const auto reply = to.ledger.on_query(*query, now_))
            send(query->from.instance, *reply);
    } else if (const auto* notice = std::get_if<lease_expired>(&next.payload)) {
        to.tracker.on_lease_expired(*notice, now_);
    }
}

void takeover_run::send(const instance_id& to, message payload)
{
    deliveries_.push({now_ + delay_, ++sequence_, to, std::move(payload)});
}

} // namespace filberthub::experiment
