// The records of this instance as a witness of other members.
//
//     if (auto ack = ledger.on_heartbeat(message, now)) send(*ack);
//     for (auto& notice : ledger.notices_due(now)) send(notice);

#ifndef FILBERTHUB_MEMBERSHIP_WITNESS_LEDGER_HPP
#define FILBERTHUB_MEMBERSHIP_WITNESS_LEDGER_HPP

#include <filberthub/membership/member_lease.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace filberthub {

// Hash of a request id that a holder is about to run.
using request_hash = strong_number<struct request_hash_tag, std::uint64_t>;

// Time for which an edit intent is kept.
inline constexpr duration intent_lifetime = std::chrono::minutes(10);
// Maximum numbers of intents and of retired servers that one member can record
// at one witness.
inline constexpr std::size_t intents_per_member = 65536;
inline constexpr std::size_t retired_per_member = 1024;
// Maximum number of members that left the table and whose intents are kept for
// their successors.
inline constexpr std::size_t former_member_limit = 64;

// Guarantees that the silence in a reply to an expiry query is true: within it,
// neither this process nor an earlier process of the same instance sent an ack
// for the member. A witness replies only after the fleet table lists its own
// incarnation, at a version later than any that its earlier process knew, and
// never after its own lease has lapsed. A process also reports the end of its
// predecessor, an earlier incarnation of the same instance, because the
// platform runs one process of an instance at a time. Without this report, a
// fleet could not recover after most witnesses of a member restarted. Memory is
// bounded by the number of members that the table assigns to this witness.
template <class Rules = lease_rules>
class basic_witness_ledger
{
public:
    // `own_lease` is the lease of this instance and has to outlive the ledger.
    basic_witness_ledger(
        const basic_member_lease<Rules>& own_lease, time_point started)
        : own_lease_(&own_lease), started_(started)
    {}

    // Takes over a newer fleet table; ignores an older one.
    void adopt(fleet_table_ptr table, time_point now);

    // Call after each read of the fleet table from the store that started after
    // the start of this process.
    void on_store_read(object_version version)
    {
        store_version_ = std::max(store_version_, version);
    }

    // Returns the ack, or nothing if this witness must not acknowledge. The
    // caller sets `known` and `evidence`.
    std::optional<heartbeat_ack> on_heartbeat(
        const heartbeat& message, time_point now);

    // Returns the answer if the lease of the member has expired; otherwise
    // nothing.
    std::optional<lease_expired> on_query(
        const expiry_query& query, time_point now);

    // Returns the notices to be sent now. A notice is repeated every 250 ms
    // while the table lists the member and the silence lasts.
    std::vector<outgoing<lease_expired>> notices_due(time_point now);

    // Records that `member` is about to run a non-idempotent request. Returns
    // false if this instance is not a witness of the member or the record is
    // full. The member then gets no ack for the intent.
    bool record_intent(
        const member_key& member, request_hash id, time_point now);

    // Returns the intents of `member`, for its successor.
    std::vector<request_hash> intents_of(
        const member_key& member, time_point now) const;
    // Returns the servers that `member` reported as retired.
    std::vector<backend_server_id> retired_of(const member_key& member) const;

    std::size_t member_count() const
    {
        return records_.size();
    }

private:
    struct intent
    {
        time_point at;
        request_hash id;
    };

    // The record of one member.
    struct record
    {
        // Time of the last ack, or the start of the record if there was none.
        time_point silent_since;
        std::optional<time_point> next_notice;
        // Number of the newest heartbeat; `retired` is from it.
        std::uint64_t newest_heartbeat = 0;
        std::vector<backend_server_id> retired;
        std::deque<intent> intents;
    };

    bool may_report_silence(time_point now) const;
    bool may_report_predecessor_end(time_point now) const;
    lease_expired predecessor_end_report(time_point now) const;
    const record* find_record(const member_key& member) const;
    bool expired(const record& entry, time_point now) const
    {
        return now - entry.silent_since >= Rules::expiry;
    }
    lease_expired silence_report(
        const member_key& member, const record& entry, time_point now) const;
    std::vector<instance_id> recipients(const member_key& member) const;

    const basic_member_lease<Rules>* own_lease_;
    time_point started_;
    fleet_table_ptr table_;
    // Newest version that was read from the store by this process.
    object_version store_version_;
    // The earlier incarnation of this instance in the table.
    std::optional<member_key> predecessor_;
    std::optional<time_point> next_predecessor_notice_;
    // Whether the table lists this incarnation.
    bool listed_ = false;
    std::unordered_map<member_key, record> records_;
    std::deque<std::pair<member_key, record>> former_members_;
};

using witness_ledger = basic_witness_ledger<>;
extern template class basic_witness_ledger<lease_rules>;

} // namespace filberthub

#endif
