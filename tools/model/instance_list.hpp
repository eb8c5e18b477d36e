// The platform's list of live and leaving instances, with a configurable lag.
//
//     instance_list list;
//     list.renew(instance_id("se-1"), entry, now);
//     json entries = list.view(now);

#ifndef FILBERTHUB_TOOLS_MODEL_INSTANCE_LIST_HPP
#define FILBERTHUB_TOOLS_MODEL_INSTANCE_LIST_HPP

#include <filberthub/base/json_reader.hpp>
#include <filberthub/base/types.hpp>

#include <deque>
#include <map>

namespace filberthub::tools {

// Guarantees that a view is the complete list as it was one lag earlier.
class instance_list
{
public:
    // An entry is removed if it was not renewed for this long.
    static constexpr duration expiry = std::chrono::seconds(5);
    static constexpr duration max_lag = std::chrono::seconds(60);

    // Registers an instance or renews its entry. Throws `error` of kind
    // `bad_request` if a field is missing or has the wrong type.
    void renew(const instance_id& id, const json& entry, time_point now);

    // Removes an instance; no effect if it is not in the list.
    void remove(const instance_id& id, time_point now);

    // Sets the lag of `view`, limited to `max_lag`.
    void set_lag(duration lag);

    // Returns the array of entries, in the order of their ids.
    json view(time_point now);

private:
    struct entry_state
    {
        json entry;
        time_point renewed;
    };
    struct snapshot
    {
        time_point time;
        json entries;
    };

    void drop_expired(time_point now);
    void record_snapshot(time_point now);

    std::map<instance_id, entry_state> entries_;
    // States of the list, in the order of the changes that led to them.
    std::deque<snapshot> snapshots_;
    duration lag_{0};
};

} // namespace filberthub::tools

#endif
