// The part of `fleet_service` that reads and writes the fleet table.

#include "node/clock.hpp"
#include "node/fleet_service.hpp"
#include "node/while_alive.hpp"

#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr milliseconds announce_interval{1000};
constexpr milliseconds planner_refresh{1000};
// The others look rarely, so that the platform's calls do not grow with the
// fleet as a whole: 480 instances make about 17 calls a second.
constexpr milliseconds member_refresh{5000};
constexpr milliseconds member_refresh_step{100};
// A planner of rank n waits n times as long as the first one, so that planners
// seldom compete for the conditional update.
constexpr milliseconds rank_delay{700};
// Servers and what is out of service come from the policy, which does not tell
// the planner of its changes.
constexpr milliseconds full_plan_interval{1000};
// An instance without witnesses renews its lease by commits.
constexpr milliseconds solo_commit_interval{300};
constexpr milliseconds joining_refresh{300};

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
        return joining_refresh;
    if (*position < planner_count)
        return planner_refresh;
    return member_refresh + member_refresh_step * *position;
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
    // changed: the table of 160 members and 1,334 servers has 79 KB, more than
    // five times what an instance may receive for control in a second.
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

// Members that are gone because the same instance id is listed with a higher
// incarnation at the same address: two processes cannot listen on one port, so
// the earlier one has ended.
std::set<member_key> fleet_service::replaced_members() const
{
    std::set<member_key> gone;
    if (!table_)
        return gone;
    for (const listed_process& process : instances_) {
        const fleet_member* member = table_->find(process.id);
        if (member != nullptr && member->key.run < process.run &&
            member->address == process.peer)
            gone.insert(member->key);
    }
    return gone;
}

fleet_input fleet_service::planning_input() const
{
    fleet_input input;
    for (const listed_process& process : instances_) {
        const bool out = environment_.out(process.id, process.domain);
        input.instances.push_back({.key = {process.id, process.run},
            .address = process.peer,
            .domain = process.domain,
            .leaving = process.leaving || out});
    }
    input.servers = environment_.servers();
    input.lapsed = tracker_.evidence().lapsed();
    input.lapsed.merge(replaced_members());
    input.releases = tracker_.known_releases();
    for (const auto& item : statuses_)
        input.statuses.push_back(item.second);
    return input;
}

// Whether this instance is the one to plan: by rank among the members that are
// still listed, or by id if no member is left.
bool fleet_service::plans_now(time_point now)
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
    if (!change_wanted_)
        change_wanted_ = now;
    return now - *change_wanted_ >=
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
        now - table_changed_ < member_refresh)
        return;
    if (!inputs_changed_ && now < next_full_plan_)
        return;
    next_full_plan_ = now + full_plan_interval;
    const auto next = plan_fleet(base, planning_input());
    if (!next) {
        change_wanted_.reset();
        inputs_changed_ = false;
        return;
    }
    if (plans_now(now))
        commit(*next);
}

// Commits the table again if this instance is alone: nobody else can renew its
// lease, and a lone instance makes few calls.
void fleet_service::renew_alone(time_point now)
{
    const fleet_member* self = table_ ? table_->find(lease_.self()) : nullptr;
    if (self == nullptr || !self->witnesses.empty() ||
        !self->previous.empty() || planning_ || reading_ ||
        store_table_version_ != table_->version() || now < next_solo_commit_)
        return;
    next_solo_commit_ = now + solo_commit_interval;
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
            change_wanted_.reset();
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
            // After a conflict or a lost reply, what is in the store decides.
            read_table();
        }));
}

} // namespace filberthub
