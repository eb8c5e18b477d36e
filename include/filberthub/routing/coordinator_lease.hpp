// Which process coordinates the fleet, by conditional updates of one object in
// the platform's store.
//
//     coordinator_lease lease(self, {});
//     lease.on_read(record, store_revision, now);
//     if (auto write = lease.due(now)) send(*write);
//     if (lease.holds(now)) coordinate();

#ifndef FILBERTHUB_ROUTING_COORDINATOR_LEASE_HPP
#define FILBERTHUB_ROUTING_COORDINATOR_LEASE_HPP

#include <filberthub/base/types.hpp>

#include <optional>
#include <string>

namespace filberthub {

// The content of the lease object.
struct lease_record
{
    // Empty if the last coordinator left on purpose.
    instance_id holder;
    // Where the holder answers other instances.
    endpoint address;
    // Grows with each change of the holder.
    std::uint64_t term = 0;
    // Differs for each process, so that a writer recognises its own write.
    std::uint64_t run_id = 0;
    // Counts the renewals, so that others see that the holder lives.
    std::uint64_t renewal = 0;
    // How long after this write coordinators before the holder may go on
    // granting.
    milliseconds earlier_grants_left{0};

    bool operator==(const lease_record&) const = default;

    // Both report malformed texts as `error` of kind `bad_policy`.
    static lease_record from_text(const std::string& text);
    std::string text() const;
};

struct lease_options
{
    // A coordinator without a confirmed write for this time grants no more. It
    // covers most outages of the store.
    milliseconds duration{8'000};
    milliseconds renewal{600};
    // After a write without an answer or one that failed.
    milliseconds retry{300};
    // Time without a renewal or an answer of the coordinator after which
    // another process takes over; longer than a renewal takes.
    milliseconds takeover{1'200};
    // Added to `takeover`, so that not all take over at once.
    milliseconds spread{0};
};

struct lease_write
{
    // Revision that the object must have; 0 if it must not exist.
    std::uint64_t base_revision = 0;
    lease_record record;
};

// The time must count while the process is suspended: a lease that ended in the
// meantime must not be used.
class coordinator_lease
{
public:
    coordinator_lease(lease_record self, lease_options options);

    // The stored object at a revision, or its absence.
    void on_read(const std::optional<lease_record>& record,
        std::uint64_t store_revision, time_point now);
    // The coordinator answered this process and reaches the store.
    void on_coordinator_heard(time_point now);
    // The coordinator answered this process, and the store has not answered it
    // for longer than a renewal takes. Returns whether the lease has to be read
    // now; unless a renewal is seen after that, it is taken over.
    bool on_coordinator_cut_off();

    // Returns the write to make now: a renewal, or a takeover if the
    // coordinator is silent. None while an earlier one is open.
    std::optional<lease_write> due(time_point now);
    // Returns the write that gives the lease up.
    std::optional<lease_write> leave();

    void on_written(std::uint64_t store_revision, time_point now);
    // Another process wrote, or the outcome is unknown: the object has to be
    // read before the next write.
    void on_write_failed(time_point now);
    bool needs_read() const
    {
        return needs_read_;
    }

    // Whether enough time has passed since the last failed call.
    bool may_retry(time_point now) const
    {
        return now >= next_write_;
    }

    bool holds(time_point now) const;
    // Whether this process is the newest known holder, with a valid lease or
    // not.
    bool is_holder() const;
    const std::optional<lease_record>& record() const
    {
        return record_;
    }
    std::uint64_t store_revision() const
    {
        return revision_;
    }
    // The holder that this process took the lease from without knowing that it
    // grants no more.
    const std::optional<lease_record>& predecessor() const
    {
        return predecessor_;
    }
    // The predecessor said that it grants no more.
    void on_predecessor_stopped(time_point now);
    // A holder of a later term asked this process to grant no more.
    void on_superseded(std::uint64_t term);

    // Time at which every grant of earlier coordinators has been sent. Valid
    // for the holder.
    time_point old_lease_end() const
    {
        return old_lease_end_;
    }

private:
    lease_record self_;
    lease_options options_;
    std::optional<lease_record> record_;
    std::uint64_t revision_ = 0;
    bool known_ = false;
    bool needs_read_ = true;
    bool write_open_ = false;
    // What the coordinator said of itself since the last sign of a renewal.
    bool cut_off_ = false;
    // The lease has to be read since then.
    bool read_due_ = false;
    // Whether the last write may have happened without an answer.
    bool uncertain_ = false;
    lease_record written_;
    time_point written_at_;
    // When the record was seen first, which is after it was written.
    time_point record_seen_;
    time_point old_lease_end_;
    // The same for the coordinators before the predecessor.
    time_point older_lease_end_;
    std::optional<lease_record> predecessor_;
    // Terms below this one are over.
    std::uint64_t superseded_by_ = 0;
    time_point next_write_;
    // Last sign of life of the coordinator, or when its absence was noticed.
    time_point heard_;
    std::optional<time_point> confirmed_;
};

} // namespace filberthub

#endif
