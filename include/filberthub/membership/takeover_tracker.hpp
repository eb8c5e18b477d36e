// Which backend servers this instance holds now.
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

    // To be called with each newer fleet table, after the lease adopted it.
    // Tokens and positions come from it once a majority of witnesses has
    // acknowledged its version.
    void adopt(fleet_table_ptr table, time_point now);

    // To be called after each ack that the lease took.
    void on_acknowledged();

    void on_lease_expired(const lease_expired& message, time_point now);
    std::vector<outgoing<expiry_query>> queries_due(time_point now);

    void on_released(const released& message);

    // Gives up the place in the holder list of `server` for good. To be called
    // once no request to the server is in progress and its grant has ended.
    void release(const backend_server_id& server);
    // Returns the releases to be sent now, each repeated every 250 ms until
    // the table lacks the place.
    std::vector<outgoing<released>> releases_due(time_point now);

    // Whether this instance may send work to `server`. Called per request.
    bool is_holder(const backend_server_id& server, time_point now) const
    {
        return lease_->held(now) && places_.contains(server);
    }

    // Returns the lower 32 bits of the fencing token: 8 times the fleet
    // version, plus the position in the list. Empty if this instance is not
    // first in line.
    std::optional<std::uint32_t> token(const backend_server_id& server) const;

    // Returns the servers for which this instance is first in line.
    std::vector<backend_server_id> held_servers() const;

    // Returns the servers that the lapsed holders before this instance had
    // retired; empty if the record of one is incomplete. No server that was
    // moved at the present ownership version may then be used again.
    std::optional<std::set<backend_server_id>> retired_by_predecessors(
        const backend_server_id& server) const;

    // Releases that this instance knows of, for the planner.
    std::vector<released> known_releases() const;

    const basic_lapse_evidence<Rules>& evidence() const
    {
        return evidence_;
    }

    // Whether a newer fleet table has to be pulled.
    bool is_behind() const;

private:
    using place_key = std::pair<backend_server_id, holder_entry>;
    struct place_order
    {
        bool operator()(const place_key& left, const place_key& right) const;
    };

    void recompute();
    bool gave_way(
        const backend_server_id& server, const holder_entry& entry) const;
    bool is_listed(const place_key& place) const;

    const basic_member_lease<Rules>* lease_;
    basic_lapse_evidence<Rules> evidence_;
    // The newest table, and the newest one that the witnesses acknowledged.
    fleet_table_ptr known_;
    fleet_table_ptr active_;
    std::map<place_key, object_version, place_order> releases_;
    std::optional<time_point> next_release_;
    std::unordered_map<backend_server_id, std::uint32_t> places_;
};

using takeover_tracker = basic_takeover_tracker<>;
extern template class basic_takeover_tracker<lease_rules>;

} // namespace filberthub

#endif
