// The member functions of `fleet_service` that read, plan and write the fleet
// table.

#include "node/clock.hpp"
#include "node/fleet_service.hpp"
#include "node/while_alive.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds announce_interval{1000};
constexpr milliseconds planner_refresh_interval{1000};
// Members that are not planners refresh rarely, and less often the lower they
// rank, so that the load of the platform does not grow in proportion to the
// fleet: 480 instances make about 17 calls per second.
constexpr milliseconds member_refresh_interval{5000};
constexpr milliseconds member_refresh_step{100};
// A planner of rank n waits n times this delay before it commits, so that
// planners seldom compete for the conditional update.
constexpr milliseconds rank_delay{700};
// The planner runs at this interval even if no input is known to have changed:
// the servers and what is out of service come from the policy, which does not
// notify the planner of changes.
constexpr milliseconds full_plan_interval{1000};
// Interval of the commits by which an instance without witnesses renews its
// lease.
constexpr milliseconds self_renewal_interval{300};
// Refresh interval of an instance that is not a member yet.
constexpr milliseconds joining_refresh_interval{300};

} // namespace

void fleet_service::announce(time_point now)
{
    if (now < next_announce_)
        return;
    next_announce_ = now + announce_interval;
    environment_.store->announce(environment_.self, [](const store_reply&) {});
}

duration fleet_service::refresh_interval() const
{
    const auto position = rank();
    if (!position)
        return joining_refresh_interval;
    if (*position < planner_count)
        return planner_refresh_interval;
    return member_refresh_interval + member_refresh_step * *position;
}

void fleet_service::refresh_instances(time_point now)
{
    if (now < next_refresh_)
        return;
    next_refresh_ = now + refresh_interval();
    environment_.store->list_instances(while_alive(
        this, [this](bool available, std::vector<listed_process> listed) {
            if (!available)
                return;
            inputs_changed_ = true;
            instances_ = std::move(listed);
            instances_known_ = true;
            for (const listed_process& process : instances_) {
                if (process.id != environment_.self.id &&
                    !environment_.hub->knows(process.id))
                    environment_.hub->set_address(process.id, process.peer);
            }
        }));
    read_table();
}

void fleet_service::read_table()
{
    if (reading_)
        return;
    reading_ = true;
    // A watch without a wait is a read that returns the value only if it has
    // changed. A table of 160 members and 1,334 servers has 79 KB, more than
    // five times the control traffic that an instance may receive per second.
    environment_.store->watch(environment_.table_path, store_version_,
        milliseconds(0), while_alive(this, [this](const store_reply& reply) {
            reading_ = false;
            if (reply.status == store_status::unavailable ||
                reply.status == store_status::unchanged)
                return;
            if (reply.status == store_status::not_found) {
                store_version_ = object_version();
                store_table_version_ = object_version();
                return;
            }
            try {
                const fleet_table table = fleet_table_from_json(reply.value);
                store_version_ = reply.version;
                store_table_version_ = table.version();
                adopt(table, clock_now());
            } catch (const error& failure) {
                log_event(log_level::error, "the fleet table is not valid",
                    {{log_key::error, std::string_view(failure.what())}});
            }
        }));
}

// Returns the members whose instance id is announced with a higher incarnation
// at the same address. Two processes cannot listen on one port, so the earlier
// process has ended.
std::set<member_key> fleet_service::replaced_members() const
{
    std::set<member_key> replaced;
    if (!table_)
        return replaced;
    for (const listed_process& process : instances_) {
        const fleet_member* member = table_->find(process.id);
        if (member != nullptr && member->key.run < process.run &&
            member->address == process.peer)
            replaced.insert(member->key);
    }
    return replaced;
}

fleet_input fleet_service::planning_input() const
{
    fleet_input input;
    for (const listed_process& process : instances_) {
        const bool is_out =
            environment_.is_out_of_service(process.id, process.domain);
        input.instances.push_back({.key = {process.id, process.run},
            .address = process.peer,
            .domain = process.domain,
            .leaving = process.leaving || is_out});
    }
    input.servers = environment_.servers();
    input.lapsed = tracker_.evidence().lapsed();
    input.lapsed.merge(replaced_members());
    input.releases = tracker_.known_releases();
    for (const auto& item : statuses_)
        input.statuses.push_back(item.second);
    return input;
}

// Returns whether this instance may commit a plan now. Its delay grows with its
// rank among the members that are still announced. An instance that is not a
// member comes after these members, ordered by id.
bool fleet_service::may_plan(time_point now)
{
    std::size_t position = 0;
    bool found = false;
    const fleet_table empty;
    for (const member_key& member : (table_ ? *table_ : empty).ranking()) {
        if (member == lease_.self()) {
            found = true;
            break;
        }
        const bool listed = std::any_of(instances_.begin(), instances_.end(),
            [&](const listed_process& process) {
                return process.id == member.instance &&
                       process.run == member.run;
            });
        position += listed ? 1 : 0;
    }
    if (!found) {
        for (const listed_process& process : instances_)
            position += process.id < environment_.self.id ? 1 : 0;
    }
    if (!change_needed_since_)
        change_needed_since_ = now;
    return now - *change_needed_since_ >=
           rank_delay * static_cast<std::int64_t>(position);
}

void fleet_service::plan(time_point now)
{
    const fleet_table base = table_ ? *table_ : fleet_table();
    if (planning_ || reading_ || !instances_known_ ||
        store_table_version_ != base.version() || environment_.self.leaving)
        return;
    const auto position = rank();
    if (position && *position >= planner_count &&
        now - table_changed_ < member_refresh_interval)
        return;
    if (!inputs_changed_ && now < next_full_plan_)
        return;
    next_full_plan_ = now + full_plan_interval;
    const auto next = plan_fleet(base, planning_input());
    if (!next) {
        change_needed_since_.reset();
        inputs_changed_ = false;
        return;
    }
    if (may_plan(now))
        commit(*next);
}

// Renews the lease by committing the table again if this instance has no
// witnesses. No other instance can renew the lease then, and the calls of a
// single instance are few.
void fleet_service::renew_without_witnesses(time_point now)
{
    const fleet_member* self = table_ ? table_->find(lease_.self()) : nullptr;
    if (self == nullptr || !self->witnesses.empty() ||
        !self->previous.empty() || planning_ || reading_ ||
        store_table_version_ != table_->version() || now < next_self_renewal_)
        return;
    next_self_renewal_ = now + self_renewal_interval;
    commit(
        fleet_table_builder(*table_).version(table_->version().next()).build());
}

void fleet_service::commit(const fleet_table& next)
{
    planning_ = true;
    const time_point sent = clock_now();
    environment_.store->put(environment_.table_path, store_version_,
        to_json(next),
        while_alive(this, [this, next, sent](const store_reply& reply) {
            planning_ = false;
            change_needed_since_.reset();
            if (reply.status == store_status::ok) {
                store_version_ = reply.version;
                store_table_version_ = next.version();
                adopt(next, clock_now());
                lease_.on_store_commit(sent, clock_now());
                log_event(log_level::info, "committed the fleet table",
                    {{log_key::fleet_version, next.version().value()},
                        {"members", next.members().size()}});
                return;
            }
            // After a conflict or a lost reply, the stored table is
            // authoritative.
            read_table();
        }));
}

} // namespace filberthub
