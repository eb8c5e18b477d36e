// Intervals, counts and rules of the lease protocol.
//
//     if (silence >= witness_expiry) ...

#ifndef FILBERTHUB_MEMBERSHIP_PROTOCOL_HPP
#define FILBERTHUB_MEMBERSHIP_PROTOCOL_HPP

#include <filberthub/base/types.hpp>

#include <cstddef>

namespace filberthub {

inline constexpr duration heartbeat_interval = milliseconds(250);
// A lease lasts this long from the sending time of the newest heartbeat that a
// majority of witnesses acknowledged.
inline constexpr duration lease_interval = milliseconds(1200);
// Maximum difference between the rates of any two clocks, as a fraction. The
// bound applies to a pair: if each clock deviated by 1% from true time, a pair
// would differ by 2.02% and 1,224 ms would be 0.25 ms too short.
inline constexpr double clock_drift = 0.01;
// A witness considers a lease expired after this time without an ack. It covers
// the lease and twice the drift.
inline constexpr duration witness_expiry = milliseconds(1224);
// Grants to backend servers end this long before the lease does.
inline constexpr duration grant_margin = milliseconds(50);
// A process that has not held its lease within this time of its start gives up
// and joins with a new incarnation. Silence of a member that is not ready is
// evidence only after this time, because the member can still get its first
// lease before.
inline constexpr duration join_window = std::chrono::seconds(10);
// Time between two rounds of expiry queries for the same member.
inline constexpr duration query_interval = milliseconds(25);

inline constexpr std::size_t witness_count = 5;
inline constexpr std::size_t witnesses_per_domain = 2;
// The token has three bits for the position in a holder list.
inline constexpr std::size_t holder_list_limit = 8;
// Target length of a holder list: a holder and two successors.
inline constexpr std::size_t holder_list_target = 3;
// Members that plan the fleet and watch the store, counted by rank.
inline constexpr std::size_t planner_count = 3;

// Returns the number of witnesses of a member if there are `other_instances`
// other instances: the largest odd number up to `witness_count`. A single
// instance has none. No witness can renew its lease or report its end, so it
// may hold servers only by commits to the store
// (`member_lease::on_store_commit`), and it holds none while the store is down.
constexpr std::size_t witnesses_for(std::size_t other_instances)
{
    const std::size_t max_witnesses =
        other_instances < witness_count ? other_instances : witness_count;
    return max_witnesses == 0 ? 0 : max_witnesses - (max_witnesses + 1) % 2;
}

// Returns the smallest number that is more than half of `count`; 3 of 5.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

// The rules that the library classes apply. Tests replace one rule at a time to
// show that the check of the safety property detects its absence.
struct lease_rules
{
    // A lapsed lease never resumes with the same incarnation (rule 1).
    static constexpr bool lapse_is_final = true;
    // A witness reports no silence within this time of its start.
    static constexpr duration warm_up = witness_expiry;
    // Silence after which a witness considers a lease expired.
    static constexpr duration expiry = witness_expiry;
    // Majorities of both witness lists are needed, and evidence of a witness
    // that knows a newer fleet version does not count (rule 4).
    static constexpr bool joint_lists = true;
    // Silence counts only in answers to one round of queries, and only the part
    // before the round started.
    static constexpr bool simultaneous_silence = true;
};

} // namespace filberthub

#endif
