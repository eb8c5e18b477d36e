// Hands groups from one backend server to another without two owners at once.
//
//     group_release_tracker tracker(self);
//     for (const release_step& step : tracker.adopt(table, now, grants_end))
//         perform(step);
//     if (tracker.may_send(group))
//         tracker.begin(group);
//
// The holder of each backend server has one tracker. After a move the old
// holder stops sending, waits for its work in progress, revokes the grant and
// sends `released`. The new holder serves once each earlier owner has released
// the group, or the lease of that owner's holder has expired.

#ifndef FILBERTHUB_OWNERSHIP_GROUP_RELEASE_TRACKER_HPP
#define FILBERTHUB_OWNERSHIP_GROUP_RELEASE_TRACKER_HPP

#include <filberthub/ownership/ownership_table.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace filberthub {

enum class group_state : std::uint8_t
{
    not_owned,
    awaiting_release,
    serving,
    draining,
    released
};

std::string_view to_string(group_state value);

// What the holder has to do next for a group.
struct release_step
{
    enum class action : std::uint8_t
    {
        // Admit work under `token`.
        start_serving,
        // Revoke the grant at the own server, then call `revoked`.
        revoke_grant,
        // Send `released` with `token` to the holder of `server`.
        send_released
    };

    action what = action::start_serving;
    key_group group;
    server_index server = no_server;
    group_token token;

    bool operator==(const release_step&) const = default;
};

using release_steps = std::vector<release_step>;

// Guarantees that a group is `serving` only if it is assigned to the own server
// and all earlier owners have ended their work, and that `send_released` comes
// after the last work and the grant have ended. Messages that are late,
// repeated or for an older move change nothing.
class group_release_tracker
{
public:
    // A new holder starts without groups. It may act for `self` only after the
    // lease of the holder before it has expired or was released.
    explicit group_release_tracker(server_index self) : self_(self) {}

    // Follows a new table. `grants_end` is when the last grant or keyed request
    // that was issued so far ends at the latest. A table that is not newer than
    // the last one changes nothing.
    release_steps adopt(
        const ownership_table& table, time_point now, time_point grants_end);

    // Follows the retirement of a server while the store is down: its groups
    // move to their backups under the backup tokens, in the same way as by a
    // table. To be called by the holder of `retired` and by those of the
    // backups, once most witnesses of the former have acknowledged it. The
    // planner has to know of it before it commits the next table.
    release_steps retire(const ownership_table& table, server_index retired,
        time_point grants_end);

    group_state state(key_group group) const;
    // Whether work for the group may be sent. To be called for each request.
    bool may_send(key_group group) const
    {
        return state(group) == group_state::serving;
    }

    // Counts a request that is sent, which requires `may_send`; otherwise it
    // throws `error` of kind `not_owner`.
    void begin(key_group group);
    // Counts a request that ended.
    release_steps finish(key_group group);
    // To be called when the own server confirmed that the grant is revoked.
    release_steps revoked(key_group group, time_point now);
    // To be called when the holder of `from` sent `released`.
    release_steps released(
        key_group group, server_index from, group_token token);
    // To be called when the lease of the holder of `from` has expired and its
    // grants have ended; and after `adopt`, for a server without a holder.
    release_steps lease_expired(server_index from);
    // Releases draining groups whose grants have ended by themselves, which is
    // how a frozen server is left behind. To be called at `next_deadline`.
    release_steps expire_grants(time_point now);
    // Returns the messages for all moves that are not known as settled. To be
    // sent again from time to time, because links lose messages.
    release_steps repeat_released() const;
    std::optional<time_point> next_deadline() const;

private:
    struct entry
    {
        group_state state = group_state::not_owned;
        // The group's token in the newest table.
        group_token token;
        // The primary in the newest table.
        server_index owner = no_server;
        std::uint32_t in_flight = 0;
        // The own server may hold a grant for the group.
        bool granted = false;
        bool revoking = false;
        // Work and grants of the draining group end by then.
        time_point grants_end;
        // Not released before, because work may be in progress under the number
        // of another group.
        std::optional<time_point> hold_until;
        std::vector<pending_release> received;
        std::vector<pending_release> awaited;
    };

    void follow_own(
        key_group group, const ownership_table& table, release_steps& steps);
    void follow_other(key_group group, const ownership_table& table,
        time_point grants_end, release_steps& steps);
    void drop_rejoined(const ownership_table& table, time_point grants_end);
    void drain(key_group group, entry& known, time_point grants_end,
        release_steps& steps) const;
    static void receive(entry& known, const pending_release& release);
    void serve_if_released(
        key_group group, entry& known, release_steps& steps) const;
    static void revoke_if_idle(
        key_group group, entry& known, release_steps& steps);
    void release(key_group group, entry& known, release_steps& steps) const;

    server_index self_;
    table_version version_;
    // Messages about groups from this number on are dropped.
    std::uint32_t group_limit_ = 0;
    std::unordered_map<key_group, entry> entries_;
};

} // namespace filberthub

#endif
