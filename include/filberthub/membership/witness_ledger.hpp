// What this instance has recorded as a witness of other members.
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

// How long an edit intent is kept.
inline constexpr duration intent_lifetime = std::chrono::minutes(10);
// Bounds on what one member can record at one witness.
inline constexpr std::size_t intents_per_member = 65536;
inline constexpr std::size_t retired_per_member = 1024;
// Members that left the table, whose intents are kept for their successors.
inline constexpr std::size_t former_member_limit = 64;

// Guarantees that a reply to an expiry query states a silence that is true: no
// ack for the member was sent within it, by this process or an earlier process
// of the same instance. A witness answers only after the fleet table lists its
// own incarnation, which is later than any version its earlier process knew,
// and never after its own lease lapsed. A process also states the end of its
// predecessor, an earlier incarnation of the same instance: the platform runs
// one process of an instance at a time. Without this a fleet could not return
// after most witnesses of a member restarted. Memory is bounded by the members
// that the table assigns to this witness.
template <class Rules = lease_rules>
class basic_witness_ledger
{
public:
    // `own` is the lease of this instance and has to outlive the ledger.
    basic_witness_ledger(
        const basic_member_lease<Rules>& own, time_point started)
        : own_(&own), started_(started)
    {}

    // To be called with each newer fleet table.
    void adopt(fleet_table_ptr table, time_point now);

    // To be called after each read of the fleet table from the store that
    // started after this process did.
    void on_store_read(object_version version)
    {
        confirmed_ = std::max(confirmed_, version);
    }

    // Returns the ack, or nothing if the witness has to be silent. The caller
    // fills in `known` and `evidence`.
    std::optional<heartbeat_ack> on_heartbeat(
        const heartbeat& message, time_point now);

    // Returns the answer if the lease of the member is expired.
    std::optional<lease_expired> on_query(
        const expiry_query& query, time_point now);

    // Returns the notices to be sent now. A notice is repeated every 250 ms
    // while the table lists the member and the silence lasts.
    std::vector<outgoing<lease_expired>> notices_due(time_point now);

    // Records that `member` is about to run a non-idempotent request. Returns
    // false if this is no witness of the member or the record is full; the
    // member then has no ack for the intent.
    bool record_intent(
        const member_key& member, request_hash id, time_point now);

    // Returns the intents that a successor of `member` collects.
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

    struct record
    {
        // Time of the last ack, or the time since when there was none.
        time_point silent_since;
        std::optional<time_point> next_notice;
        std::uint64_t newest = 0;
        std::vector<backend_server_id> retired;
        std::deque<intent> intents;
    };

    bool may_speak(time_point now) const;
    bool may_state_predecessor(time_point now) const;
    lease_expired predecessor_statement(time_point now) const;
    const record* find_record(const member_key& member) const;
    bool expired(const record& entry, time_point now) const
    {
        return now - entry.silent_since >= Rules::expiry;
    }
    lease_expired statement(
        const member_key& member, const record& entry, time_point now) const;
    std::vector<instance_id> recipients(const member_key& member) const;

    const basic_member_lease<Rules>* own_;
    time_point started_;
    fleet_table_ptr table_;
    object_version confirmed_;
    // The earlier incarnation of this instance in the table.
    std::optional<member_key> predecessor_;
    std::optional<time_point> next_predecessor_notice_;
    bool listed_ = false;
    std::unordered_map<member_key, record> records_;
    std::deque<std::pair<member_key, record>> former_;
};

using witness_ledger = basic_witness_ledger<>;
extern template class basic_witness_ledger<lease_rules>;

} // namespace filberthub

#endif
