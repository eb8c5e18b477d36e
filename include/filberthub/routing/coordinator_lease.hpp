// Elects the coordinator of the fleet by conditional writes of one lease object
// in the platform's store.
//
//     coordinator_lease lease(self, {});
//     lease.on_read(record, store_revision, now);
//     if (auto write = lease.next_write(now)) send(*write);
//     if (lease.holds(now)) coordinate();

#ifndef FILBERTHUB_ROUTING_COORDINATOR_LEASE_HPP
#define FILBERTHUB_ROUTING_COORDINATOR_LEASE_HPP

#include <filberthub/routing/store_epoch.hpp>

#include <optional>
#include <string>

namespace filberthub {

// The content of the lease object.
struct lease_record
{
    // Empty if the last coordinator resigned.
    instance_id holder;
    // Address at which other instances reach the holder.
    endpoint address;
    // Increases with each change of the holder.
    std::uint64_t term = 0;
    // Unique per process, so that a writer recognizes its own write.
    std::uint64_t run_id = 0;
    // Number of renewals; an increase shows that the holder is alive.
    std::uint64_t renewal = 0;
    // Time after this write during which coordinators before the holder may
    // still send grants.
    milliseconds earlier_grants_left{0};

    bool operator==(const lease_record&) const = default;

    // Throws `error` of kind `bad_policy` if the text is malformed.
    static lease_record from_text(const std::string& text);
    std::string text() const;
};

struct lease_options
{
    // A coordinator whose last confirmed write is older than this stops
    // granting. Long enough to survive most outages of the store.
    milliseconds duration{8'000};
    // Time between renewals.
    milliseconds renewal{600};
    // Delay after a write that failed or was not answered.
    milliseconds retry{300};
    // Time without an answer from the coordinator after which another process
    // takes over, if there was no renewal for `renewal_silence` either.
    milliseconds takeover{1'200};
    // Must exceed the time between renewals. Counts from the first read of the
    // lease at the earliest, as a process that follows the coordinator does not
    // see renewals before.
    milliseconds renewal_silence{1'000};
    // Added to `takeover`; differs per process, so that not all processes try
    // to take over at once.
    milliseconds takeover_jitter{0};
    // Longest time for which a grant may be valid after it was sent:
    // `key_granter_options::max_grant_duration`.
    milliseconds max_grant{3'210};
    // No process of a new deployment has granted keys when another one has run
    // for this time. A coordinator plans its first table 1.2 s after its start,
    // and all processes start within 0.3 s; the rest is a margin.
    milliseconds before_first_grants{600};
};

// A conditional write of the lease object.
struct lease_write
{
    // Required revision of the stored object; 0 if it must not exist.
    std::uint64_t base_revision = 0;
    lease_record record;
};

// The state of the lease as one process sees it. The caller does the reads and
// writes and reports their results. A process never holds the lease for longer
// than `lease_options::duration` after it sent its last confirmed write. The
// clock behind `now` must advance while the process is suspended, because the
// lease may expire in the meantime.
class coordinator_lease
{
public:
    coordinator_lease(lease_record self, lease_options options);

    // Sets `lease_options::takeover`, which depends on the size of the fleet.
    void set_takeover(milliseconds time)
    {
        options_.takeover = time;
    }
    // Sets `lease_options::takeover_jitter`.
    void set_takeover_jitter(milliseconds time)
    {
        options_.takeover_jitter = time;
    }

    // To be called once, when the process starts together with all others of a
    // new deployment. Otherwise, a store that was restored and has no lease may
    // have lost one.
    void on_first_start(time_point now)
    {
        no_grants_before_ = now + options_.before_first_grants;
    }

    // To be called with each read of the lease object; `record` is empty if the
    // object does not exist. Reads of an older revision are ignored.
    void on_read(const std::optional<lease_record>& record,
        std::uint64_t store_revision, time_point now);
    // To be called with a record that another process has read at this revision
    // of the store. It is used if it is newer than the known one, unless this
    // process holds the lease or may have written it.
    void on_told(const lease_record& record, std::uint64_t store_revision,
        time_point now);
    // To be called when the coordinator answered this process and reported that
    // it reaches the store.
    void on_coordinator_answered(time_point now);
    // To be called when the coordinator answered this process and reported that
    // the store has not answered it for longer than a renewal takes. Returns
    // whether the lease has to be read now. Unless that read shows a renewal or
    // another holder, the lease is taken over after `takeover_jitter`.
    bool on_coordinator_cut_off(time_point now);

    // Returns the write to make now: a renewal, or a takeover if the
    // coordinator is silent or cut off from the store. Returns nothing while an
    // earlier write is open. The result of the write is reported with
    // `on_written` or `on_write_failed`.
    std::optional<lease_write> next_write(time_point now);
    // Returns the write that resigns the lease, or nothing if this process is
    // not the holder.
    std::optional<lease_write> leave();

    // To be called when the store was restored from an older copy. A process
    // that holds the lease now claims it in the new epoch and keeps what it has
    // granted. Any other one is no holder from now on, whatever the copy says.
    void on_epoch(store_epoch epoch, time_point now);
    // Time until which another coordinator, whose lease was lost in a restore,
    // may have granted keys that this one does not know. Until then no tokens
    // may be issued. Only meaningful while this process is the holder.
    time_point unseen_grants_end() const
    {
        return unseen_grants_end_;
    }
    // Whether another process may have held the lease in the seconds that a
    // restore of the store has lost.
    bool others_unseen() const
    {
        return others_unseen_;
    }
    // Whether earlier coordinators may have granted keys although the store has
    // no table, as a restore has lost it.
    bool table_may_be_lost() const
    {
        return table_may_be_lost_;
    }
    // Until when this process may send grants. Earlier than `end` if a
    // coordinator of the lost seconds may rely on it.
    time_point granting_end(time_point now) const;
    // Identifies this process in the lease. Changes when it loses the lease in
    // a restore.
    std::uint64_t run_id() const
    {
        return self_.run_id;
    }

    // The open write succeeded.
    void on_written(std::uint64_t store_revision, time_point now);
    // Another process wrote first, or the outcome of the open write is unknown.
    // The object has to be read before the next write.
    void on_write_failed(time_point now);
    bool needs_read() const
    {
        return needs_read_;
    }
    // Whether the object was read at least once, though it may not exist.
    bool has_read() const
    {
        return has_read_;
    }

    // Whether the retry delay after the last failed write has passed.
    bool may_retry(time_point now) const
    {
        return now >= retry_at_;
    }

    // Whether this process holds a valid lease and may send grants.
    bool holds(time_point now) const;
    // Whether the last known record names this process, even if its lease has
    // expired.
    bool is_holder() const;
    // Whether this process may hold the lease again by a renewal. The renewal
    // then proves that no other process has held it in between.
    bool may_resume() const;
    // When the lease ends unless it is renewed. Only meaningful while this
    // process holds it.
    time_point end() const;
    const std::optional<lease_record>& record() const
    {
        return record_;
    }
    std::uint64_t store_revision() const
    {
        return revision_;
    }
    // The previous holder, if this process took the lease without knowing that
    // the previous holder had stopped granting.
    const std::optional<lease_record>& predecessor() const
    {
        return predecessor_;
    }
    // The predecessor confirmed that it has stopped granting. Coordinators
    // before it may grant until `leases_before_it_end`, if it knows that time;
    // the lease object may tell a later one.
    void on_predecessor_stopped(time_point now,
        const std::optional<time_point>& leases_before_it_end = std::nullopt);
    // The holder of a later term asked this process to stop granting.
    void on_superseded(std::uint64_t term);

    // Time after which no earlier coordinator sends grants, nor this process
    // from before its lease lapsed. Only meaningful while this process is the
    // holder.
    time_point earlier_leases_end() const
    {
        return earlier_leases_end_;
    }

private:
    void confirm(time_point now);
    time_point takeover_time(bool unheld, bool cut_off) const;
    // Whether a stored record was written before the last restore.
    bool from_copy(const std::optional<lease_record>& record) const;
    // Whether a restore that this process has not seen may have lost a lease.
    bool may_have_lost_lease() const;
    // Whether no other process can have taken the lease before this one learned
    // of a restore at `now`.
    bool held_alone(time_point now) const;

    lease_record self_;
    lease_options options_;
    std::optional<lease_record> record_;
    std::uint64_t revision_ = 0;
    bool has_read_ = false;
    bool needs_read_ = true;
    bool write_open_ = false;
    // Whether the coordinator has reported, since its last observed renewal,
    // that it does not reach the store.
    bool coordinator_cut_off_ = false;
    // When it was first reported.
    time_point cut_off_reported_at_;
    // Whether the lease has not been read since that report.
    bool read_due_ = false;
    // Whether the last write may have succeeded although no success was
    // reported.
    bool write_uncertain_ = false;
    lease_record written_record_;
    time_point written_at_;
    // When the record was first read, which is later than it was written.
    time_point record_seen_at_;
    time_point earlier_leases_end_;
    // The same for the coordinators before the predecessor only.
    time_point leases_before_predecessor_end_;
    std::optional<lease_record> predecessor_;
    // Leases of earlier terms than this one are void.
    std::uint64_t superseded_by_ = 0;
    time_point retry_at_;
    // Last answer of the coordinator, or when it was first read that this one
    // holds the lease.
    time_point last_answered_;
    // When a change of the lease by another process was last read.
    time_point last_renewed_;
    // When the last confirmed write of this process was sent.
    std::optional<time_point> confirmed_at_;
    // Since when no two confirmed writes were further apart than
    // `lease_options::renewal_silence`.
    time_point unbroken_since_;
    store_epoch epoch_;
    // Whether this process has seen an earlier epoch.
    bool saw_restore_ = false;
    // In a new deployment, no keys are granted before this time.
    time_point no_grants_before_;
    // Whether keys may have been granted before this process read the lease for
    // the first time.
    bool missed_beginning_ = true;
    // Whether this process held the lease at the last restore and has not
    // written it in the new epoch.
    bool claiming_ = false;
    // Whether a copy of the store hides coordinators that were before this one.
    bool others_unseen_ = false;
    bool table_may_be_lost_ = false;
    time_point unseen_grants_end_;
    // Until `unseen_grants_end_`, no grants are sent from this time on.
    std::optional<time_point> pause_from_;
};

} // namespace filberthub

#endif
