// Tracks which backend servers this instance holds, and takes over those of
// lapsed holders.
//
//     tracker.adopt(table, now);
//     if (tracker.is_holder(server, now)) send(tracker.token(server));

#ifndef FILBERTHUB_MEMBERSHIP_TAKEOVER_TRACKER_HPP
#define FILBERTHUB_MEMBERSHIP_TAKEOVER_TRACKER_HPP

#include <filberthub/membership/lapse_evidence.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Guarantees that at most one instance is the holder of a server at any moment,
// and that the token of a later holder is higher than all of an earlier one.
template <class Rules = lease_rules>
class basic_takeover_tracker
{
public:
    // `lease` is the lease of this instance and has to outlive the tracker.
    explicit basic_takeover_tracker(const basic_member_lease<Rules>& lease)
        : lease_(&lease), evidence_(lease.self())
    {}

    // Takes over a newer fleet table; ignores an older one. Call after the
    // lease has adopted the table. Tokens and positions are based on the table
    // once a majority of witnesses has acknowledged its version.
    void adopt(fleet_table_ptr table, time_point now);

    // Call after each ack that was passed to the lease.
    void on_acknowledged();

    // Handles a notice or an answer about another member.
    void on_lease_expired(const lease_expired& message, time_point now);
    // Returns the queries to be sent now.
    std::vector<outgoing<expiry_query>> queries_due(time_point now);

    // Handles the release of a place by another instance.
    void on_released(const released& message);

    // Releases the place in the holder list of `server` permanently. Call when
    // no request to the server is in progress and its grant has ended.
    void release(const backend_server_id& server);
    // Returns the releases to be sent now. Each is repeated every 250 ms until
    // the table no longer has the place.
    std::vector<outgoing<released>> releases_due(time_point now);

    // Returns whether this instance may send work to `server`. Call for each
    // request.
    bool is_holder(const backend_server_id& server, time_point now) const
    {
        return lease_->held(now) && positions_.contains(server);
    }

    // Returns the lower 32 bits of the fencing token: 8 times the fleet
    // version, plus the position in the list. Empty if the place of another
    // instance precedes that of this one.
    std::optional<std::uint32_t> token(const backend_server_id& server) const;

    // Returns the servers of which this instance is the holder while its lease
    // is held.
    std::vector<backend_server_id> held_servers() const;

    // Returns the servers that the lapsed holders before this instance had
    // retired; empty if the record of one of them is incomplete. In that case
    // no server that was moved at the current ownership version may be used
    // again.
    std::optional<std::set<backend_server_id>> retired_by_predecessors(
        const backend_server_id& server) const;

    // Returns the releases that this instance knows of, for the planner.
    std::vector<released> known_releases() const;

    const basic_lapse_evidence<Rules>& evidence() const
    {
        return evidence_;
    }

    // Returns whether a newer fleet table has to be pulled.
    bool is_behind() const;

private:
    using place_key = std::pair<backend_server_id, holder_entry>;
    struct place_order
    {
        bool operator()(const place_key& left, const place_key& right) const;
    };

    void recompute();
    bool has_relinquished(
        const backend_server_id& server, const holder_entry& entry) const;
    bool is_listed(const place_key& place) const;

    const basic_member_lease<Rules>* lease_;
    basic_lapse_evidence<Rules> evidence_;
    // The newest table, and the newest one that a majority of witnesses has
    // acknowledged.
    fleet_table_ptr newest_table_;
    fleet_table_ptr active_table_;
    // Released places with the fleet version of the token that was used last.
    std::map<place_key, object_version, place_order> releases_;
    std::optional<time_point> next_release_;
    // Servers of which this instance is the holder while its lease is held,
    // with its position in the list.
    std::unordered_map<backend_server_id, std::uint32_t> positions_;
};

using takeover_tracker = basic_takeover_tracker<>;
extern template class basic_takeover_tracker<lease_rules>;

} // namespace filberthub

#endif
