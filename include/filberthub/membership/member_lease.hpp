// The member lease of this instance.
//
//     lease.adopt(table, now);
//     if (auto message = lease.heartbeat_due(now)) send(lease.targets(), ...);
//     lease.on_ack(ack, now);
//     if (lease.held(now)) ...

#ifndef FILBERTHUB_MEMBERSHIP_MEMBER_LEASE_HPP
#define FILBERTHUB_MEMBERSHIP_MEMBER_LEASE_HPP

#include <filberthub/membership/fleet_table.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace filberthub {

using fleet_table_ptr = std::shared_ptr<const fleet_table>;

// Guarantees that `held` is true only if a majority of the witnesses has
// acknowledged a heartbeat that was sent less than 1,200 ms ago, and that it
// never becomes true again after the lease has lapsed. While the witness list
// changes, a majority of both lists is needed. A process whose lease lapsed has
// to join again with a new incarnation.
template <class Rules = lease_rules>
class basic_member_lease
{
public:
    basic_member_lease(member_key self, time_point started)
        : self_(std::move(self)), started_(started)
    {}

    const member_key& self() const
    {
        return self_;
    }

    // Takes over a newer fleet table; ignores an older one. Call before the
    // version appears in a heartbeat. The lease ends if an earlier table listed
    // this incarnation and the new one does not.
    void adopt(const fleet_table& table, time_point now);

    // Returns the next heartbeat if it is due. The caller sets `known` and
    // sends the heartbeat to `targets()` at once.
    std::optional<heartbeat> heartbeat_due(time_point now);

    // Returns the witnesses of both lists.
    const std::vector<instance_id>& targets() const
    {
        return targets_;
    }

    // Extends the lease once a majority of witnesses has acknowledged a recent
    // heartbeat. Call for each ack.
    void on_ack(const heartbeat_ack& ack, time_point now);

    // Extends the lease of an instance without witnesses. Call when a
    // conditional update of the fleet table that started at `sent` has
    // succeeded. Does nothing if the instance has witnesses.
    void on_store_commit(time_point sent, time_point now);

    // Returns whether this instance holds its lease.
    bool held(time_point now) const
    {
        return valid_until_ && !ended_ && now < *valid_until_;
    }

    // Returns whether the lease has ended permanently: it was held and has
    // expired, or it was not held within `join_window` of the start. This
    // instance then sends no work and no acks, and answers no queries.
    bool lapsed(time_point now) const
    {
        if (ended_ || !Rules::lapse_is_final)
            return ended_;
        return now >= valid_until_.value_or(started_ + join_window);
    }

    // Returns the end of the lease; empty if it was never held.
    std::optional<time_point> valid_until() const
    {
        return valid_until_;
    }

    // Returns the latest end of a grant to a backend server; empty if the
    // lease was never held.
    std::optional<time_point> grants_until() const;

    // Returns the sending time of one of the last `sent_history_size`
    // heartbeats, which bounds the age of the content of its ack; empty for
    // other numbers.
    std::optional<time_point> sent_at(std::uint64_t number) const;

    // Returns the newest fleet version that a majority of witnesses has
    // acknowledged. Tokens use no newer one, so that a successor learns from
    // the witnesses about every version that was used.
    object_version acknowledged_fleet() const
    {
        return acknowledged_fleet_;
    }

    // Adds a server to the retired set that heartbeats report, or removes it
    // once a newer ownership table has replaced the server.
    void retire(const backend_server_id& server);
    void restore(const backend_server_id& server);
    // Returns whether a majority of witnesses has recorded that `server` is
    // retired. Its groups may be served by other servers from then on.
    bool acknowledged(const backend_server_id& server) const;

    // Ends the lease permanently. Call as the last step of leaving the fleet.
    void depart();

    // Returns the status for the planners; empty if the fleet table already
    // contains it.
    std::optional<member_status> status() const;

private:
    // The highest values that a witness has acknowledged.
    struct witness_state
    {
        std::uint64_t number = 0;
        object_version fleet;
    };

    template <class Field>
    auto majority_value(Field field) const;
    void extend(time_point until);

    // Heartbeats whose sending times are kept.
    static constexpr std::size_t sent_history_size = 16;

    member_key self_;
    time_point started_;
    object_version fleet_;
    bool joined_ = false;
    bool ended_ = false;
    bool departed_ = false;
    fleet_member record_;
    std::vector<std::vector<instance_id>> witness_lists_;
    std::vector<instance_id> targets_;
    std::map<instance_id, witness_state> witnesses_;
    std::uint64_t next_number_ = 1;
    std::array<time_point, sent_history_size> sent_times_{};
    std::optional<time_point> next_heartbeat_;
    std::optional<time_point> valid_until_;
    object_version acknowledged_fleet_;
    // Retired servers with the number of the first heartbeat that carried each,
    // or 0 before.
    std::map<backend_server_id, std::uint64_t> retired_;
    std::uint64_t acknowledged_number_ = 0;
};

using member_lease = basic_member_lease<>;
extern template class basic_member_lease<lease_rules>;

} // namespace filberthub

#endif
