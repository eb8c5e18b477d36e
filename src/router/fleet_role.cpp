#include "router/fleet_role.hpp"

#include <filberthub/telemetry/callback_guard.hpp>
#include <filberthub/telemetry/log.hpp>

#include <algorithm>

namespace filberthub {
namespace {

using platform_api::object_kind;
using platform_api::store_outcome;

constexpr milliseconds local_report_interval{300};
constexpr milliseconds progress_report_interval{1'000};
// An instance without changes from a coordinator reads the store itself after
// this time.
constexpr milliseconds isolation_grace{250};
// The same if it has just started. The coordinator, which may have just started
// too, reads the store for all; each instance that reads all servers costs
// dozens of calls.
constexpr milliseconds start_grace{1'500};
// A working watch of the lease is answered at least this often.
constexpr milliseconds max_reachable_store_age{3'800};
// Reported as the age of information that was never received.
constexpr milliseconds unknown_age{60'000};
// A coordinator that reaches the store renews its lease more often than this,
// even while the store is slow.
constexpr milliseconds coordinator_cut_off_age{1'500};
// Servers register again within 2 s if their entries lapsed during an outage of
// the store.
constexpr milliseconds deferral_after_outage{2'100};
// Upper bound of the random delay before a takeover.
constexpr double takeover_jitter_ms = 400;
// The work of the coordinator grows with the fleet, so that instances with a
// larger share of a processor take over first. An instance delays its takeover
// if some member had this multiple of its share, or, while it knows no members,
// if its share is small.
constexpr double larger_share_factor = 2;
constexpr double small_processor_share = 0.25;
constexpr milliseconds small_processor_delay{500};

// The coordinator sends changes on at once. While all instances watch the store
// themselves, each change would cost each instance a billed call, so they wait
// for further changes; and because all of them retry during an outage of the
// store, they retry less often.
constexpr watch_timing coordinator_timing{milliseconds(0), milliseconds(1'000)};
constexpr watch_timing isolated_timing{milliseconds(250), milliseconds(2'000)};

milliseconds make_takeover_jitter(double uniform_random)
{
    return milliseconds(
        static_cast<std::int64_t>(uniform_random * takeover_jitter_ms));
}

// Whether another instance should rather coordinate. `largest_share` is 0 while
// no members are known.
bool is_small(double share, double largest_share)
{
    return largest_share > 0 ? largest_share >= share * larger_share_factor
                             : share < small_processor_share;
}

lease_record make_self_record(
    const route_settings& settings, double uniform_random)
{
    lease_record self;
    self.holder = settings.instance;
    self.address = settings.peers;
    self.run_id = static_cast<std::uint64_t>(uniform_random * 1e15);
    return self;
}

} // namespace

fleet_role::fleet_role(const route_settings& settings, deployment_view& view,
    metric_registry& metrics, std::function<load_counts()> take_load_counts,
    std::function<time_point()> clock)
    : settings_(settings),
      view_(view),
      metrics_(metrics),
      take_load_counts_(std::move(take_load_counts)),
      clock_(std::move(clock)),
      self_(make_self_record(settings, view.uniform_random())),
      takeover_jitter_(make_takeover_jitter(view.uniform_random())),
      lease_(self_, lease_options{}),
      store_(
          settings.store, metrics,
          [this](const watch_update& update) { on_watch_update(update); },
          clock_),
      server_(view,
          [this](const instance_id& sender, const load_counts& counts) {
              for (const auto& [server, started] : counts.leaving)
                  view_.servers().set_leaving(server, started, clock_());
              if (controller_)
                  controller_->on_report(counts);
              if (quotas_ && counts.quota.sequence > 0)
                  quotas_->on_report(sender, counts.quota, clock_());
          }),
      client_({settings.instance, settings.peers, settings.processor_share},
          view, take_load_counts_, clock_),
      inquiry_([this](const lease_news& news) { on_lease_news(news); })
{
    flush_timer_.setSingleShot(true);
    QObject::connect(&flush_timer_, &QTimer::timeout, [this] {
        guard_callback(
            "changes for other instances", [this] { flush(); },
            [this] { resign(); });
    });
    client_.on_answered([this](milliseconds age) {
        if (age < coordinator_cut_off_age)
            lease_.on_coordinator_answered(clock_());
        else if (lease_.on_coordinator_cut_off(clock_()))
            read_lease();
    });
    // The tick starts the watch of the lease, which reads the lease.
    client_.on_refused([this](const std::string& answer) {
        if (const auto news = read_lease_news(answer))
            on_lease_news(*news);
        tick_soon();
    });
    server_.on_quota_needed(
        [this](const instance_id& instance) { return quota_for(instance); });
    store_.on_epoch([this](store_epoch epoch) { on_store_epoch(epoch); });
    if (settings_.first_start)
        lease_.on_first_start(clock_());
    store_.watch_lease(true);
}

void fleet_role::on_store_epoch(store_epoch epoch)
{
    const time_point now = clock_();
    const bool was_holder = lease_.is_holder();
    lease_.on_epoch(epoch, now);
    if (was_holder) {
        const auto wait =
            std::chrono::ceil<milliseconds>(lease_.unseen_grants_end() - now);
        log_event(log_level::info,
            "coordinator has seen a restore of the store",
            {{"lease_kept", lease_.is_holder()},
                {log_key::duration_ms,
                    std::max(milliseconds(0), wait).count()}});
    }
    if (controller_)
        controller_->on_epoch(lease_.unseen_grants_end());
    tick_soon();
}

milliseconds fleet_role::store_age(time_point now) const
{
    if (!store_.last_contact())
        return unknown_age;
    return std::chrono::duration_cast<milliseconds>(
        now - *store_.last_contact());
}

// Includes what the previous coordinator delivered to this process, so that the
// age is right for a coordinator that has just started.
feed_age fleet_role::view_age(time_point now) const
{
    const time_point complete =
        std::max(store_.complete_until(now), client_.complete_until());
    const milliseconds view =
        complete == time_point{}
            ? unknown_age
            : std::chrono::duration_cast<milliseconds>(now - complete);
    return {store_age(now), std::min(view, unknown_age)};
}

void fleet_role::on_watch_update(const watch_update& update)
{
    const time_point now = clock_();
    if (update.kind == object_kind::coordinator_lease) {
        on_lease_objects(update);
        return;
    }
    if (update.after_outage)
        view_.defer_removals_until(now + deferral_after_outage);
    if (update.changes_missed_since) {
        view_.set_changes_missed_since(
            std::max(*update.changes_missed_since, client_.complete_until()));
    }
    apply_update(update, now);
    view_.set_changes_missed_since(std::nullopt);
}

void fleet_role::apply_update(const watch_update& update, time_point now)
{
    const object_version version =
        platform_api::removal_version(update.store_revision);
    if (update.complete) {
        view_.update_list(update.kind, update.objects, version, now);
    } else {
        view_.update_together([&] {
            for (const versioned_object& object : update.objects)
                view_.update(object, now);
        });
    }
    view_.set_complete(platform_api::kind_name(update.kind), version);
}

// Runs a tick soon, because the next regular one may be too late for a change
// of the lease to take effect in time.
void fleet_role::tick_soon()
{
    if (tick_pending_)
        return;
    tick_pending_ = true;
    QTimer::singleShot(0, &flush_timer_, [this] {
        tick_pending_ = false;
        tick(clock_());
    });
}

void fleet_role::tick(time_point now)
{
    const bool failed = std::exchange(coordinating_failed_, false);
    guard_callback(
        "role of this instance", [&] { failed ? resign() : advance(now); },
        [this] { resign(); });
}

void fleet_role::advance(time_point now)
{
    set_takeover_times();
    renew(now);
    if (lease_.is_holder() && !leaving_)
        coordinate(now);
    else
        follow(now);
    view_.apply_deferred_removals(now);
}

void fleet_role::set_takeover_times()
{
    if (const auto rank = client_.standby_rank()) {
        lease_.set_takeover(fleet_timing::standby().takeover());
        lease_.set_takeover_jitter(fleet_timing::standby_delay(*rank));
        return;
    }
    lease_.set_takeover(client_.timing().takeover());
    lease_.set_takeover_jitter(
        takeover_jitter_ +
        (is_small(settings_.processor_share, view_.largest_processor_share())
                ? small_processor_delay
                : milliseconds(0)));
}

void fleet_role::coordinate(time_point now)
{
    client_.follow(std::nullopt);
    view_.log_all_updates(true);
    store_.set_timing(coordinator_timing);
    store_.watch_deployment(view_.objects().complete());
    store_.watch_lease(false);
    isolated_since_.reset();
    if (!lease_.holds(now)) {
        pause_coordinating(now);
        return;
    }
    if (granting_paused_) {
        granting_paused_ = false;
        log_event(log_level::info, "lease renewed; granting goes on", {});
    }
    if (!controller_) {
        const std::uint64_t term = lease_.record()->term;
        log_event(log_level::info, "coordinating the fleet", {{"term", term}});
        controller_ = std::make_unique<ownership_controller>(settings_, view_,
            store_, term, lease_.earlier_leases_end(), clock_);
        controller_->on_failure([this] {
            coordinating_failed_ = true;
            tick_soon();
        });
        if (lease_.table_may_be_lost())
            controller_->assume_unseen_coordinators();
        // The lease of the first term is created, so that no process has
        // coordinated before.
        const bool is_first = !lease_.others_unseen() &&
                              term == next_term(0, epoch_of_term(term));
        quotas_.emplace(
            term, is_first ? time_point{} : lease_.earlier_leases_end());
        // Until all instances poll this one, the members of the coordinator
        // before remain, so that gates do not move for nothing.
        server_.assume_members(view_.members(), settings_.instance, now);
        next_stop_request_ = now;
    }
    controller_->set_lease_end(lease_.granting_end(now));
    stop_predecessor(now);
    if (now >= next_report_) {
        next_report_ = now + local_report_interval;
        const load_counts counts = take_load_counts_();
        controller_->on_report(counts);
        report_local_quota(counts.quota, now);
        view_.set_fleet_size(server_.fleet_size(now), now);
        publish_members(now);
    }
    controller_->advance(now);
    allocate_quotas(now);
    if (now >= next_progress_report_) {
        next_progress_report_ = now + progress_report_interval;
        report_grant_progress(now);
    }
    server_.answer_due(self_.run_id, view_age(now), now);
    flush_soon();
}

// Keeps what this process knows while its lease has ended but no other process
// is known to hold it. Polls are answered with the age of the view.
void fleet_role::pause_coordinating(time_point now)
{
    if (!lease_.may_resume()) {
        stop_coordinating();
        return;
    }
    if (controller_ && !granting_paused_) {
        granting_paused_ = true;
        log_event(log_level::warn, "lease lapsed; granting pauses", {});
    }
    server_.answer_due(self_.run_id, view_age(now), now);
}

void fleet_role::stop_coordinating()
{
    if (controller_)
        log_event(log_level::info, "stopped coordinating the fleet", {});
    granting_paused_ = false;
    controller_.reset();
    quotas_.reset();
    server_.refuse_all(refusal_text());
}

void fleet_role::follow(time_point now)
{
    if (controller_)
        stop_coordinating();
    view_.log_all_updates(false);
    const auto& record = lease_.record();
    const bool follows_other =
        record && !record->holder.empty() && record->run_id != lease_.run_id();
    client_.follow(follows_other ? record : std::nullopt);
    if (client_.fresh(now) && !client_.answering()) {
        // The view is recent enough, but there may be another coordinator.
        store_.watch_lease(true);
        return;
    }
    if (client_.fresh(now)) {
        if (isolated_since_)
            log_event(
                log_level::info, "receiving changes from the coordinator", {});
        isolated_since_.reset();
        store_.stop_deployment_watches();
        store_.watch_lease(false);
        return;
    }
    if (!isolated_since_) {
        isolated_since_ = now;
        log_event(
            log_level::info, "not receiving changes from a coordinator", {});
    }
    store_.set_timing(isolated_timing);
    store_.watch_lease(true);
    if (store_.lease_watch_failing() && !client_.answering())
        inquiry_.ask(peers_to_ask(), now);
    // While the store does not answer the watch of the lease, calls for all
    // other objects would be refused as well, and each call is billed.
    const auto last_answer = store_.last_answer();
    const bool reachable =
        last_answer && now < *last_answer + max_reachable_store_age;
    if (!reachable)
        store_.stop_deployment_watches();
    else if (now >=
             *isolated_since_ + (view_.ready() ? isolation_grace : start_grace))
        store_.watch_deployment(view_.objects().complete());
}

void fleet_role::leave()
{
    leaving_ = true;
    client_.announce_leaving();
    const auto write = lease_.leave();
    if (write)
        write_lease(*write);
}

} // namespace filberthub
