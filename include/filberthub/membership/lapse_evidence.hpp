// Collects evidence from witnesses that the leases of other members have
// lapsed.
//
//     evidence.on_lease_expired(notice, now);
//     for (auto& query : evidence.queries_due(now)) send(query);
//     if (evidence.find(member) != nullptr) ...

#ifndef FILBERTHUB_MEMBERSHIP_LAPSE_EVIDENCE_HPP
#define FILBERTHUB_MEMBERSHIP_LAPSE_EVIDENCE_HPP

#include <filberthub/membership/member_lease.hpp>

#include <map>
#include <set>
#include <vector>

namespace filberthub {

// Maximum number of lapses that are kept for members that left the table.
inline constexpr std::size_t lapse_limit = 4096;

// The final lapse of a member's lease.
struct lapse
{
    // The newest fleet version that the witnesses knew. The member used no
    // token of a newer version.
    object_version fleet;
    // Servers that the member had retired.
    std::set<backend_server_id> retired;
    // Whether `retired` is complete, because a majority of witnesses answered.
    // It is not if only a later process of the instance reported the end.
    bool retired_complete = false;
};

// Guarantees that a member with a lapse holds no lease now or later.
//
// Notices alone prove nothing: three witnesses can have sent one at different
// times, each before it heard from the member again. After notices from a
// majority, a round of queries is sent. An answer counts if its silence, less
// the time since the query was sent, covers at least the expiry before the
// query. A majority of such answers proves that the lease was not held when the
// query was sent, and a lease that was held before never resumes. Whether a
// member that is not ready held its lease before is unknown, so it is queried
// only after `join_window`, by which time it has held its lease or given up.
// The answer of a later process of the same instance suffices alone.
template <class Rules = lease_rules>
class basic_lapse_evidence
{
public:
    explicit basic_lapse_evidence(member_key self) : self_(std::move(self)) {}

    // Takes over a newer fleet table; ignores an older one.
    void adopt(fleet_table_ptr table, time_point now);

    // Handles a notice or an answer. Returns whether it proves a new lapse.
    bool on_lease_expired(const lease_expired& message, time_point now);

    // Returns the queries to be sent at `now`. Call on each tick.
    std::vector<outgoing<expiry_query>> queries_due(time_point now);

    // Returns the lapse of `member`, or null.
    const lapse* find(const member_key& member) const;

    // Returns all members that are known to have lapsed, for the planner. They
    // include members that left the table, as the platform may still list them.
    std::set<member_key> lapsed() const;

    // Returns whether a witness knew a newer fleet table, which has to be
    // pulled before its answers count.
    bool is_behind() const
    {
        return table_ && newest_version_seen_ > table_->version();
    }

private:
    // The content of an answer to a query.
    struct answer
    {
        object_version fleet;
        std::vector<backend_server_id> retired;
    };

    // A member that witnesses reported, with the current round of queries.
    struct suspicion
    {
        std::uint64_t round = 0;
        time_point queried_at;
        std::map<instance_id, time_point> notices;
        std::map<instance_id, answer> answers;
    };

    bool silence_is_conclusive(const member_key& member, time_point now) const;
    template <class Contains>
    bool has_majorities(const fleet_member& member, Contains contains) const;

    member_key self_;
    fleet_table_ptr table_;
    std::uint64_t last_round_ = 0;
    object_version newest_version_seen_;
    // Members that are not ready, with the time at which they were first seen.
    std::map<member_key, time_point> joining_;
    std::map<member_key, suspicion> suspicions_;
    std::map<member_key, lapse> lapses_;
};

using lapse_evidence = basic_lapse_evidence<>;
extern template class basic_lapse_evidence<lease_rules>;

} // namespace filberthub

#endif
