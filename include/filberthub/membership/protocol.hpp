// Intervals and counts of the lease protocol.
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
// The rates of any two clocks differ by at most 1%. The bound is for a pair: if
// each clock may deviate by 1% from true time, a pair differs by 2.02% and
// 1,224 ms are 0.25 ms too short.
inline constexpr double clock_drift = 0.01;
// A witness considers a lease expired after this much silence. It covers the
// lease and twice the drift.
inline constexpr duration witness_expiry = milliseconds(1224);
// Grants to backend servers end this long before the lease does.
inline constexpr duration grant_margin = milliseconds(50);
// A process that has not held its lease this long after its start gives up and
// joins with a new incarnation. Silence about a member that is not ready proves
// something only after this time, as it could still get its first lease.
inline constexpr duration join_window = std::chrono::seconds(10);
// Time between two rounds of expiry queries for the same member.
inline constexpr duration query_interval = milliseconds(25);

inline constexpr std::size_t witness_count = 5;
inline constexpr std::size_t witnesses_per_domain = 2;
// The token has three bits for the position in a holder list.
inline constexpr std::size_t holder_list_limit = 8;
// A holder and two successors.
inline constexpr std::size_t holder_list_target = 3;
// Members that plan the fleet and watch the store, counted by rank.
inline constexpr std::size_t planner_count = 3;

// Returns how many witnesses a member has if there are `others` other
// instances: the largest odd number up to `witness_count`. An instance that is
// alone has none. Nobody can then renew its lease or attest its end, so it may
// hold servers only by a commit to the store (`member_lease::on_store_commit`),
// and it holds none while the store is down.
constexpr std::size_t witnesses_for(std::size_t others)
{
    const std::size_t most = others < witness_count ? others : witness_count;
    return most == 0 ? 0 : most - (most + 1) % 2;
}

// Returns the smallest number that is more than half of `count`; 3 of 5.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

// The rules that the library classes apply. Tests replace one at a time to show
// that the safety property detects its absence.
struct lease_rules
{
    // Rule 1: a lapsed lease never resumes with the same incarnation.
    static constexpr bool lapse_is_final = true;
    // A witness that just started attests no silence for this long.
    static constexpr duration warm_up = witness_expiry;
    // Silence after which a lease is expired.
    static constexpr duration expiry = witness_expiry;
    // Rule 4: majorities of both witness lists, and no evidence from a witness
    // that knows a newer fleet version.
    static constexpr bool joint_lists = true;
    // Silence counts only in answers to one round of queries, and only as far
    // as it reaches back before the round.
    static constexpr bool simultaneous_silence = true;
};

} // namespace filberthub

#endif
