// Plans, commits and grants the key ownership of one service, as the
// coordinator of the fleet does it.
//
//     key_coordinator keys(service, {}, {});
//     keys.start(stored, earlier_grants_end, now);
//     if (auto write = keys.plan(servers, now))
//         send(*write);
//     keys.on_written(store_revision, now);

#ifndef FILBERTHUB_ROUTING_KEY_COORDINATOR_HPP
#define FILBERTHUB_ROUTING_KEY_COORDINATOR_HPP

#include <filberthub/routing/key_granter.hpp>
#include <filberthub/routing/key_planner.hpp>

namespace filberthub {

// A conditional write of the table of a service.
struct table_write
{
    // Revision that the stored table must have; 0 if it must not exist.
    std::uint64_t base_revision = 0;
    std::string text;
};

// Guarantees that no command follows from a table that is not committed. To be
// used only while the process holds the coordinator lease.
class key_coordinator
{
public:
    key_coordinator(key_granter_options grants, key_plan_options plans);

    // Begins with the stored table, if there is one. Grants of earlier
    // coordinators may last until `earlier_grants_end`.
    void start(const std::optional<key_table>& stored,
        std::uint64_t store_revision, time_point earlier_grants_end,
        time_point now);

    // Earlier coordinators have stopped: their grants end at this time.
    void shorten_earlier_grants(time_point earlier_grants_end);

    void on_requests(key_number key, double count);

    // Returns the next write, if the table has to change. None while an
    // earlier one is open.
    std::optional<table_write> plan(
        const std::vector<key_server>& servers, time_point now);
    void on_written(std::uint64_t store_revision, time_point now);
    // The write did not happen; the table is planned anew.
    void on_write_failed();
    bool write_open() const
    {
        return pending_.has_value();
    }
    const std::string& pending_text() const
    {
        return pending_text_;
    }

    key_granter& grants()
    {
        return granter_;
    }
    const key_table& table() const
    {
        return table_;
    }
    // Whether a table was committed under this coordinator.
    bool active() const
    {
        return active_;
    }

private:
    key_table cleaned(bool& changed) const;

    key_granter granter_;
    key_plan_options plans_;
    key_weights weights_;
    key_table table_;
    std::uint64_t revision_ = 0;
    time_point earlier_grants_end_;
    time_point begun_;
    time_point last_write_;
    time_point last_decay_;
    std::optional<key_table> pending_;
    std::string pending_text_;
    // Whether a table was committed under this coordinator.
    bool active_ = false;
};

} // namespace filberthub

#endif
