#include <filberthub/routing/coordinator_lease.hpp>

#include <filberthub/base/json_reader.hpp>

#include <algorithm>

namespace filberthub {
namespace {

constexpr std::int64_t max_stored_integer = std::int64_t{1} << 60;
// Far above the time for which a coordinator may grant.
constexpr std::int64_t max_grants_left_ms = 3'600'000;
// Long enough for all takeovers that follow a report, before the last gap, that
// the holder was cut off from the store: each renewal makes them fail.
constexpr milliseconds min_unbroken{2'000};

} // namespace

lease_record lease_record::from_text(const std::string& text)
{
    const json document = parse_json(text, error_kind::bad_policy);
    json_reader reader(document, error_kind::bad_policy);
    lease_record record;
    record.holder = instance_id(reader.string("holder"));
    if (!record.holder.empty())
        record.address = endpoint_from_string(reader.string("address"));
    record.term = static_cast<std::uint64_t>(
        reader.integer("term", 0, max_stored_integer));
    record.run_id = static_cast<std::uint64_t>(
        reader.integer("run", 0, max_stored_integer));
    record.renewal = static_cast<std::uint64_t>(
        reader.integer("renewal", 0, max_stored_integer));
    record.earlier_grants_left = milliseconds(
        reader.integer_or("others_grant_ms", 0, max_grants_left_ms, 0));
    return record;
}

std::string lease_record::text() const
{
    return json{{"holder", holder.value()}, {"address", to_string(address)},
        {"term", term}, {"run", run_id}, {"renewal", renewal},
        {"others_grant_ms", earlier_grants_left.count()}}
        .dump();
}

coordinator_lease::coordinator_lease(lease_record self, lease_options options)
    : self_(std::move(self)), options_(options)
{}

void coordinator_lease::on_read(const std::optional<lease_record>& record,
    std::uint64_t store_revision, time_point now)
{
    if (has_read_ && store_revision < revision_)
        return;
    const store_epoch read_epoch = epoch_of_revision(store_revision);
    if (!has_read_)
        missed_beginning_ = now >= no_grants_before_;
    if (read_epoch > epoch_ && has_read_)
        on_epoch(read_epoch, now);
    epoch_ = std::max(epoch_, read_epoch);
    if (claiming_ && from_copy(record)) {
        revision_ = store_revision;
        needs_read_ = false;
        write_uncertain_ = false;
        return;
    }
    claiming_ = false;
    const bool changed = !has_read_ || store_revision != revision_;
    const bool was_holder = is_holder();
    const bool same_run =
        record && record_ && record->run_id == record_->run_id;
    // A revision seen by the read that was requested after the report may have
    // been written before it, so it does not show that the holder reaches the
    // store now. The report says nothing about another holder.
    if (changed && (!read_due_ || !same_run))
        coordinator_cut_off_ = false;
    read_due_ = false;
    if (changed)
        record_seen_at_ = now;
    record_ = record;
    revision_ = store_revision;
    has_read_ = true;
    needs_read_ = false;
    if (changed && !is_holder()) {
        last_renewed_ = now;
        if (!same_run)
            last_answered_ = now;
    }
    if (was_holder && !is_holder()) {
        confirmed_at_.reset();
        // After a restore, revisions are issued again, so that a late write of
        // this process may still be carried out and name it as the holder.
        ++self_.run_id;
    }
    // The last write of this process was carried out, but its answer was lost.
    if (write_uncertain_ && is_holder() && *record_ == written_record_)
        confirm(now);
    write_uncertain_ = false;
}

void coordinator_lease::on_told(
    const lease_record& record, std::uint64_t store_revision, time_point now)
{
    if (is_holder() || write_open_ || write_uncertain_ ||
        (has_read_ && store_revision <= revision_))
        return;
    const bool needs_read = needs_read_;
    on_read(record, store_revision, now);
    needs_read_ = needs_read;
}

void coordinator_lease::on_coordinator_answered(time_point now)
{
    last_answered_ = now;
    coordinator_cut_off_ = false;
    read_due_ = false;
}

bool coordinator_lease::on_coordinator_cut_off(time_point now)
{
    if (coordinator_cut_off_)
        return false;
    coordinator_cut_off_ = true;
    cut_off_reported_at_ = now;
    read_due_ = true;
    return true;
}

bool coordinator_lease::is_holder() const
{
    return record_ && record_->holder == self_.holder &&
           record_->run_id == self_.run_id;
}

bool coordinator_lease::may_resume() const
{
    return is_holder() && record_->term >= superseded_by_;
}

time_point coordinator_lease::end() const
{
    return confirmed_at_ ? *confirmed_at_ + options_.duration : time_point{};
}

bool coordinator_lease::holds(time_point now) const
{
    return may_resume() && confirmed_at_ && now < end();
}

std::optional<lease_write> coordinator_lease::next_write(time_point now)
{
    if (!has_read_ || needs_read_ || read_due_ || write_open_ ||
        now < retry_at_)
        return std::nullopt;
    lease_record next = self_;
    if (is_holder()) {
        next.term =
            claiming_ ? next_term(record_->term, epoch_) : record_->term;
        if (!claiming_ && confirmed_at_ &&
            now < *confirmed_at_ + options_.renewal)
            return std::nullopt;
        next.renewal = record_->renewal + 1;
    } else {
        // If the record names this process, it was the holder before it
        // restarted, and no other process acts for that holder.
        const bool restarted = record_ && record_->holder == self_.holder;
        const bool unheld = !record_ || record_->holder.empty() || restarted;
        const bool cut_off = coordinator_cut_off_ && !unheld;
        if (!restarted && now < takeover_time(unheld, cut_off))
            return std::nullopt;
        next.term = next_term(record_ ? record_->term : 0, epoch_);
        // A holder that resigned or restarted has stopped granting, but a
        // coordinator that it replaced may not know that it was replaced.
        leases_before_predecessor_end_ =
            record_ ? record_seen_at_ + record_->earlier_grants_left
                    : time_point{};
        const bool stopped = restarted || unheld;
        predecessor_ = stopped ? std::nullopt : record_;
        earlier_leases_end_ = stopped && record_
                                  ? leases_before_predecessor_end_
                                  : now + options_.duration;
        // The copy does not show who held the lease in the lost seconds.
        others_unseen_ = record_ ? from_copy(record_) : may_have_lost_lease();
        // An earlier holder may have found no table after a restore either.
        table_may_be_lost_ =
            record_ ? epoch_ > store_epoch{} : may_have_lost_lease();
        if (others_unseen_) {
            earlier_leases_end_ = now + options_.duration;
            leases_before_predecessor_end_ = earlier_leases_end_;
        }
        unseen_grants_end_ = {};
        pause_from_.reset();
    }
    next.earlier_grants_left = std::max(milliseconds(0),
        std::chrono::ceil<milliseconds>(earlier_leases_end_ - now));
    write_open_ = true;
    written_record_ = next;
    written_at_ = now;
    return lease_write{revision_, next};
}

// Returns when this process may take the lease that another one has held.
time_point coordinator_lease::takeover_time(bool unheld, bool cut_off) const
{
    const time_point last_heard = std::max(last_answered_, last_renewed_);
    if (cut_off)
        return std::max(last_heard, cut_off_reported_at_) +
               options_.takeover_jitter;
    if (unheld)
        return last_heard + options_.takeover_jitter;
    return std::max(last_answered_ + options_.takeover,
               last_renewed_ + options_.renewal_silence) +
           options_.takeover_jitter;
}

void coordinator_lease::on_predecessor_stopped(
    time_point now, const std::optional<time_point>& leases_before_it_end)
{
    // The predecessor does not know of coordinators of the lost seconds either.
    if (leases_before_it_end && !others_unseen_) {
        leases_before_predecessor_end_ =
            std::min(leases_before_predecessor_end_, *leases_before_it_end);
    }
    predecessor_.reset();
    earlier_leases_end_ = std::min(
        earlier_leases_end_, std::max(now, leases_before_predecessor_end_));
}

void coordinator_lease::on_superseded(std::uint64_t term)
{
    superseded_by_ = std::max(superseded_by_, term);
    needs_read_ = true;
}

std::optional<lease_write> coordinator_lease::leave()
{
    if (!is_holder())
        return std::nullopt;
    lease_record next;
    next.term = record_->term + 1;
    // The time left at the last renewal is no less than the time left now.
    next.earlier_grants_left = record_->earlier_grants_left;
    confirmed_at_.reset();
    write_open_ = true;
    written_record_ = next;
    return lease_write{revision_, next};
}

// The lease is valid from the last write on. If it had lapsed meanwhile, what
// this process granted before counts like the grants of an earlier coordinator,
// because they are not known any more.
void coordinator_lease::confirm(time_point now)
{
    if (confirmed_at_ && now >= end())
        earlier_leases_end_ = std::max(earlier_leases_end_, end());
    if (!confirmed_at_ ||
        written_at_ - *confirmed_at_ >= options_.renewal_silence)
        unbroken_since_ = written_at_;
    confirmed_at_ = written_at_;
    claiming_ = false;
}

bool coordinator_lease::from_copy(
    const std::optional<lease_record>& record) const
{
    return !record || epoch_of_term(record->term) < epoch_;
}

// A store without an epoch is never restored. The number of the first epoch is
// not known, so that a high one proves nothing.
bool coordinator_lease::may_have_lost_lease() const
{
    return epoch_ > store_epoch{} && (saw_restore_ || missed_beginning_);
}

bool coordinator_lease::held_alone(time_point now) const
{
    return confirmed_at_ && now - *confirmed_at_ < options_.renewal_silence &&
           *confirmed_at_ - unbroken_since_ >= min_unbroken;
}

void coordinator_lease::on_epoch(store_epoch epoch, time_point now)
{
    if (epoch <= epoch_)
        return;
    epoch_ = epoch;
    saw_restore_ = true;
    needs_read_ = true;
    claiming_ = holds(now);
    if (!claiming_) {
        ++self_.run_id;
        confirmed_at_.reset();
        return;
    }
    if (held_alone(now))
        return;
    // A coordinator of the lost seconds took the lease after the last write of
    // this process. It holds it for `duration` from now at most.
    others_unseen_ = true;
    earlier_leases_end_ =
        std::max(earlier_leases_end_, now + options_.duration);
    leases_before_predecessor_end_ = earlier_leases_end_;
    if (now >= unseen_grants_end_)
        pause_from_.reset();
    unseen_grants_end_ = now + options_.duration + options_.max_grant;
    // It assumes that this process grants nothing after the end of its lease,
    // and gives away the keys of servers that do not answer `max_grant` later.
    if (now - *confirmed_at_ > options_.max_grant)
        pause_from_ = std::min(pause_from_.value_or(end()), end());
}

time_point coordinator_lease::granting_end(time_point now) const
{
    return pause_from_ && now < unseen_grants_end_
               ? std::min(*pause_from_, end())
               : end();
}

void coordinator_lease::on_written(std::uint64_t store_revision, time_point now)
{
    if (!write_open_)
        return;
    write_open_ = false;
    record_ = written_record_;
    revision_ = store_revision;
    if (is_holder())
        confirm(now);
}

void coordinator_lease::on_write_failed(time_point now)
{
    write_open_ = false;
    write_uncertain_ = true;
    needs_read_ = true;
    retry_at_ = now + options_.retry;
    // All processes try to create the first lease at about the same time.
    if (!record_)
        retry_at_ += options_.takeover_jitter;
}

} // namespace filberthub
