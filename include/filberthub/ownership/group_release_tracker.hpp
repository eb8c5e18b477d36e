// Hands key groups over from one backend server to another, so that no group
// has two owners at a time.
//
//     group_release_tracker tracker(self);
//     for (const release_step& step : tracker.adopt(table, now, grants_end))
//         perform(step);
//     if (tracker.may_send(group))
//         tracker.begin(group);
//
// The holder of each backend server has one tracker; that server is called the
// local server below. After a move the old holder stops sending, waits for its
// requests in progress, revokes the grant and sends `released`. The new holder
// serves the group once each earlier owner has released it, or the lease of
// that owner's holder has expired.

#ifndef FILBERTHUB_OWNERSHIP_GROUP_RELEASE_TRACKER_HPP
#define FILBERTHUB_OWNERSHIP_GROUP_RELEASE_TRACKER_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace filberthub {

// State of a group at the local server.
enum class group_state : std::uint8_t
{
    not_owned,
    // Assigned to the local server; earlier owners have not all released it.
    awaiting_release,
    // Requests may be sent.
    serving,
    // Moved away; requests are in progress or the grant is not revoked yet.
    draining,
    // Moved away; the local server has no requests and no grant left.
    released
};

std::string_view to_string(group_state value);

// An action that the holder has to perform for a group.
struct release_step
{
    enum class action_kind : std::uint8_t
    {
        // Admit requests under `token`.
        start_serving,
        // Revoke the grant at the local server, then call `revoked`.
        revoke_grant,
        // Send `released` with `token` to the holder of `server`.
        send_released
    };

    action_kind action = action_kind::start_serving;
    key_group group;
    server_index server = no_server;
    group_token token;

    bool operator==(const release_step&) const = default;
};

using release_steps = std::vector<release_step>;

// Guarantees that a group is `serving` only if it is assigned to the local
// server and the requests of all earlier owners have ended, and that
// `send_released` is returned only after the last request and the grant have
// ended. Messages that are late, repeated or for an older move have no effect.
class group_release_tracker
{
public:
    // A new holder starts without groups. It may act for `self`, the local
    // server, only after the lease of the previous holder has expired or was
    // released.
    explicit group_release_tracker(server_index self) : self_(self) {}

    // Applies a new table. All grants and keyed requests issued so far end by
    // `grants_end`. A table that is not newer than the last one has no effect.
    release_steps adopt(
        const ownership_table& table, time_point now, time_point grants_end);

    // Applies the retirement of a server while the store is unavailable: its
    // groups move to their backups under the backup tokens, as they would by a
    // new table. The holder of `retired` and the holders of the backups call
    // this once a majority of the witnesses of `retired` has acknowledged the
    // retirement. The planner has to be informed before it commits the next
    // table.
    release_steps retire(const ownership_table& table, server_index retired,
        time_point grants_end);

    group_state state(key_group group) const;
    // Returns whether requests for the group may be sent. Call this for each
    // request.
    bool may_send(key_group group) const
    {
        return state(group) == group_state::serving;
    }

    // Counts a request that is about to be sent. Throws `error` of kind
    // `not_owner` unless `may_send` is true.
    void begin(key_group group);
    // Call this when a request counted by `begin` has ended.
    release_steps finish(key_group group);
    // Call this when the local server has confirmed that the grant is revoked.
    release_steps revoked(key_group group, time_point now);
    // Call this when the message `released` of the holder of `from` arrives.
    release_steps released(
        key_group group, server_index from, group_token token);
    // Call this when the lease of the holder of `from` has expired and its
    // grants have ended, and after `adopt` for each server without a holder.
    release_steps lease_expired(server_index from);
    // Releases draining groups whose grants have expired. This is how groups
    // are moved away from a server that is frozen and cannot confirm that a
    // grant is revoked. Call this at `next_deadline`.
    release_steps expire_grants(time_point now);
    // Returns the `released` messages of all moves that are not known to be
    // settled. Send them periodically, because messages can be lost.
    release_steps repeat_released() const;
    // Returns when `expire_grants` has to be called next, or nothing if no
    // group is draining.
    std::optional<time_point> next_deadline() const;

private:
    struct group_entry
    {
        group_state state = group_state::not_owned;
        // The group's token in the newest table.
        group_token token;
        // The primary in the newest table.
        server_index owner = no_server;
        std::uint32_t in_flight = 0;
        // The local server may hold a grant for the group.
        bool granted = false;
        bool revoking = false;
        // Requests and grants of a draining group end by this time.
        time_point grants_end;
        // The group is not released before this time, because its requests may
        // be in progress under the number of another group.
        std::optional<time_point> earliest_release;
        // Releases that have arrived, the newest of each server.
        std::vector<pending_release> received;
        // Releases that are missing before the group may be served.
        std::vector<pending_release> awaited;
    };

    void update_own_group(
        key_group group, const ownership_table& table, release_steps& steps);
    void update_other_group(key_group group, const ownership_table& table,
        time_point grants_end, release_steps& steps);
    void drop_rejoined(const ownership_table& table, time_point grants_end);
    void drain(key_group group, group_entry& entry, time_point grants_end,
        release_steps& steps) const;
    static void receive(group_entry& entry, const pending_release& release);
    void serve_if_released(
        key_group group, group_entry& entry, release_steps& steps) const;
    static void revoke_if_idle(
        key_group group, group_entry& entry, release_steps& steps);
    void release(
        key_group group, group_entry& entry, release_steps& steps) const;

    server_index self_;
    table_version version_;
    // Messages for groups with this number or a higher one are dropped.
    std::uint32_t group_limit_ = 0;
    std::unordered_map<key_group, group_entry> entries_;
};

} // namespace filberthub

#endif
