#include "tools/experiment/takeover_run.hpp"

namespace filberthub::experiment {

namespace {

using namespace std::chrono_literals;

// The timer of the node.
constexpr duration step_interval = 10ms;

} // namespace

takeover_run::process::process(const fleet_table_ptr& table,
    const fleet_member& member, time_point started)
    : lease(member.key, started), ledger(lease, started), tracker(lease)
{
    lease.adopt(*table, started);
    ledger.adopt(table, started);
    tracker.adopt(table, started);
}

takeover_run::takeover_run(const fleet_table_ptr& joining,
    fleet_table_ptr table, duration hop, std::uint64_t seed)
    : table_(std::move(table)), delay_(hop / 2), engine_(seed), now_(1s)
{
    std::uniform_int_distribution<std::int64_t> phase(0, 249);
    for (const fleet_member& member : table_->members()) {
        const time_point start = now_ + milliseconds(phase(engine_));
        starts_[member.key.instance] = start;
        processes_[member.key.instance] =
            std::make_unique<process>(joining, member, start);
    }
    // Witnesses are silent for 1,224 ms after their start. A table that called
    // members ready before they held a lease would let that silence prove a
    // lapse.
    advance(now_ + 3s);
    for (const auto& [id, each] : processes_) {
        each->lease.adopt(*table_, now_);
        each->ledger.adopt(table_, now_);
        each->tracker.adopt(table_, now_);
    }
    advance(now_ + 1s);
}

std::map<backend_server_id, duration> takeover_run::lose(
    const std::set<instance_id>& lost)
{
    std::uniform_int_distribution<std::int64_t> moment(0, 249);
    advance(now_ + milliseconds(moment(engine_)));
    std::set<backend_server_id> waiting;
    for (const instance_id& id : lost) {
        process& stopped = *processes_.at(id);
        stopped.running = false;
        for (const backend_server_id& server : stopped.tracker.held_servers())
            waiting.insert(server);
    }
    std::map<backend_server_id, duration> gaps;
    const time_point loss = now_;
    while (!waiting.empty() && now_ < loss + 10s) {
        advance(now_ + 1ms);
        for (const auto& [id, each] : processes_) {
            if (!each->running)
                continue;
            for (const backend_server_id& server : each->tracker.held_servers())
                if (each->tracker.is_holder(server, now_) &&
                    waiting.erase(server) > 0)
                    gaps[server] = now_ - loss;
        }
    }
    for (const backend_server_id& server : waiting)
        gaps[server] = now_ - loss;
    return gaps;
}

void takeover_run::advance(time_point until)
{
    for (; now_ < until; now_ += 1ms) {
        while (!deliveries_.empty() && deliveries_.top().at <= now_) {
            const delivery item = deliveries_.top();
            deliveries_.pop();
            deliver(item);
        }
        for (const auto& [id, each] : processes_) {
            const time_point start = starts_.at(id);
            if (each->running && now_ >= start &&
                (now_ - start) % step_interval == duration::zero())
                step(*each);
        }
    }
}

void takeover_run::step(process& each)
{
    if (const auto beat = each.lease.heartbeat_due(now_)) {
        for (const instance_id& to : each.lease.targets())
            send(to, *beat);
    }
    for (const auto& notice : each.ledger.notices_due(now_)) {
        for (const instance_id& to : notice.to)
            send(to, notice.message);
    }
    for (const auto& query : each.tracker.queries_due(now_)) {
        for (const instance_id& to : query.to)
            send(to, query.message);
    }
}

void takeover_run::deliver(const delivery& item)
{
    process& to = *processes_.at(item.to);
    if (!to.running || now_ < starts_.at(item.to))
        return;
    if (const auto* beat = std::get_if<heartbeat>(&item.what)) {
        if (const auto ack = to.ledger.on_heartbeat(*beat, now_))
            send(beat->from.instance, *ack);
    } else if (const auto* ack = std::get_if<heartbeat_ack>(&item.what)) {
        to.lease.on_ack(*ack, now_);
        to.tracker.on_acknowledged();
    } else if (const auto* query = std::get_if<expiry_query>(&item.what)) {
        if (const auto reply = to.ledger.on_query(*query, now_))
            send(query->from.instance, *reply);
    } else if (const auto* notice = std::get_if<lease_expired>(&item.what)) {
        to.tracker.on_lease_expired(*notice, now_);
    }
}

void takeover_run::send(const instance_id& to, message what)
{
    deliveries_.push({now_ + delay_, ++sequence_, to, std::move(what)});
}

} // namespace filberthub::experiment
