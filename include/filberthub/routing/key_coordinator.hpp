// Plans, commits and grants the key ownership of one service. Runs on the
// coordinator of the fleet.
//
//     key_coordinator keys(service, {}, {});
//     keys.start(stored, earlier_grants_end, now);
//     if (auto write = keys.plan(servers, now))
//         send(*write);
//     keys.on_written(store_revision, now);

#ifndef FILBERTHUB_ROUTING_KEY_COORDINATOR_HPP
#define FILBERTHUB_ROUTING_KEY_COORDINATOR_HPP

#include <filberthub/routing/key_granter.hpp>
#include <filberthub/routing/key_load.hpp>
#include <filberthub/routing/store_epoch.hpp>

namespace filberthub {

// A conditional write of the key table of a service.
struct table_write
{
    // Required revision of the stored table; 0 if it must not exist.
    std::uint64_t base_revision = 0;
    std::string text;
};

// Guarantees that commands are derived from committed tables only. Must be used
// only while the process holds the coordinator lease.
class key_coordinator
{
public:
    key_coordinator(
        key_granter_options grant_options, key_plan_options plan_options);

    // Starts from the stored table, if there is one. To be called when this
    // process becomes the coordinator. Grants of earlier coordinators may last
    // until `earlier_grants_end`.
    void start(const std::optional<key_table>& stored,
        std::uint64_t store_revision, time_point earlier_grants_end,
        time_point now);

    // To be called when earlier coordinators have confirmed that they stopped:
    // their grants end at this time.
    void shorten_earlier_grants(time_point earlier_grants_end);

    // Sets the epoch of the store. To be called before `start`, and when the
    // epoch has risen. No table is written before `unseen_grants_end`, until
    // which servers may hold keys that no known table shows. If
    // `others_unseen`, earlier coordinators may have written a first table that
    // was lost.
    void on_epoch(
        store_epoch epoch, time_point unseen_grants_end, bool others_unseen);

    // Counts requests for a key. Keys out of range are ignored.
    void on_requests(key_number key, double count);
    // The same with the total duration of their work.
    void on_work(key_number key, double count, double work_ms);

    // Keys that no server can serve alone. Moving them does not help.
    std::vector<key_number> keys_beyond_capacity(
        const std::vector<key_server>& servers) const;

    // Returns the next write, or nothing if the table does not have to change
    // or an earlier write is open. `servers` are those that may own keys. The
    // result of the write is reported with `on_written`, `on_write_failed` or,
    // if it is not known, with one of the two functions below them.
    std::optional<table_write> plan(
        const std::vector<key_server>& servers, time_point now);
    // The open write succeeded, so its table is committed.
    void on_written(std::uint64_t store_revision, time_point now);
    // The open write was not carried out. The next call of `plan` starts over.
    void on_write_failed();
    // The store had no table when it was read after a write without an answer,
    // or after a restore. The write may still be carried out.
    // `absent_revision` is the combined revision of a missing object.
    void on_write_undecided(std::uint64_t absent_revision);
    // The store had this table when it was read after a write that conflicted
    // or had no answer. Returns whether the table was committed by this
    // coordinator. That may be an earlier write, which was carried out late.
    // Before its first commit, the coordinator starts over from a table that an
    // earlier one has written meanwhile. Later it replaces one of an earlier
    // epoch than the store's.
    bool on_read_back(
        const key_table& stored, std::uint64_t store_revision, time_point now);
    bool write_open() const
    {
        return pending_.has_value();
    }

    key_granter& granter()
    {
        return granter_;
    }
    const key_granter& granter() const
    {
        return granter_;
    }
    const key_table& table() const
    {
        return table_;
    }
    // Whether this coordinator has committed a table.
    bool active() const
    {
        return active_;
    }

private:
    // Returns the table that should follow the committed one, if it has to
    // change.
    std::optional<key_table> next_table(
        const std::vector<key_server>& servers, time_point now);
    // Returns the table without the previous owners of finished moves, with new
    // tokens for ranges whose token was refused, and with the present
    // incarnations of servers that have restarted. Sets `changed` if it
    // differs from the committed table.
    key_table refreshed_table(bool& changed) const;
    // Whether the table was written before the last restore of the store.
    bool from_copy(const key_table& table) const;
    // Whether a table may be written. Until then other grants may exist.
    bool may_write(time_point now) const;
    void give_up_write();

    key_granter granter_;
    key_plan_options plan_options_;
    key_load load_;
    key_table table_;
    std::uint64_t revision_ = 0;
    time_point earlier_grants_end_;
    time_point started_at_;
    time_point last_write_at_;
    time_point last_plan_at_;
    time_point last_balance_at_;
    std::optional<key_table> pending_;
    // Tables of writes without an answer that the store may still carry out.
    // None of them can be once another write has succeeded.
    std::vector<key_table> undecided_;
    bool active_ = false;
    store_epoch epoch_;
    time_point unseen_grants_end_;
    bool others_unseen_ = false;
};

} // namespace filberthub

#endif
