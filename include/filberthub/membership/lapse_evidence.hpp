// Collects evidence that the leases of other members have lapsed.
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

// Bound on the remembered lapses of members that left the table.
inline constexpr std::size_t lapse_limit = 4096;

// A member whose lease has lapsed for good.
struct lapse
{
    // The newest fleet version that the witnesses knew. The member used no
    // token of a newer version.
    object_version fleet;
    // Servers that the member had retired.
    std::set<backend_server_id> retired;
    // Whether `retired` is complete: a majority of witnesses answered. It is
    // not if only a later process of the instance stated the end.
    bool retired_known = false;
};

// Guarantees that a member with a lapse holds no lease now or later.
//
// Notices alone prove nothing: three witnesses can have sent one at different
// times, each before it heard from the member again. After notices from a
// majority, a round of queries is sent. Each answer states a silence that, less
// the time since the query was sent, reaches back by at least the expiry from
// the moment of the query. A majority of such answers proves that the lease was
// not held at that moment, and a lease that was held before never resumes. Of a
// member that is not ready it is unknown whether it held its lease before, so
// it is asked for only after `join_window`, when it has given up otherwise. The
// answer of a later process of the same instance suffices alone.
template <class Rules = lease_rules>
class basic_lapse_evidence
{
public:
    explicit basic_lapse_evidence(member_key self) : self_(std::move(self)) {}

    // To be called with each newer fleet table.
    void adopt(fleet_table_ptr table, time_point now);

    // Takes a notice or an answer. Returns whether a lapse was found.
    bool on_lease_expired(const lease_expired& message, time_point now);

    // Returns the queries to be sent at `now`.
    std::vector<outgoing<expiry_query>> queries_due(time_point now);

    // Returns the lapse of `member`, or null.
    const lapse* find(const member_key& member) const;

    // Returns all known members that lapsed, for the planner. A member that
    // left the table stays in it, as the platform may still list it.
    std::set<member_key> lapsed() const;

    // Whether a witness knew a newer fleet table, which has to be pulled
    // before its answers count.
    bool is_behind() const
    {
        return table_ && newest_seen_ > table_->version();
    }

private:
    struct answer
    {
        object_version fleet;
        std::vector<backend_server_id> retired;
    };

    struct suspicion
    {
        std::uint64_t round = 0;
        time_point asked;
        std::map<instance_id, time_point> notices;
        std::map<instance_id, answer> answers;
    };

    bool counts_silence(const member_key& member, time_point now) const;
    template <class Contains>
    bool has_majorities(const fleet_member& member, Contains contains) const;

    member_key self_;
    fleet_table_ptr table_;
    std::uint64_t last_round_ = 0;
    object_version newest_seen_;
    // Members that are not ready, with the time at which they were first seen.
    std::map<member_key, time_point> joining_;
    std::map<member_key, suspicion> suspicions_;
    std::map<member_key, lapse> lapses_;
};

using lapse_evidence = basic_lapse_evidence<>;
extern template class basic_lapse_evidence<lease_rules>;

} // namespace filberthub

#endif
