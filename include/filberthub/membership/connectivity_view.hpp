// Detects that this instance may be partitioned from the rest of the region.
//
//     view.on_ack(ack, *lease.sent_at(ack.number));
//     if (!view.may_send_new_work(now)) refuse(...);

#ifndef FILBERTHUB_MEMBERSHIP_CONNECTIVITY_VIEW_HPP
#define FILBERTHUB_MEMBERSHIP_CONNECTIVITY_VIEW_HPP

#include <filberthub/membership/member_lease.hpp>

#include <optional>
#include <vector>

namespace filberthub {

// Evidence that a member is reachable, and a confirmation by the store, expire
// after this time.
inline constexpr duration evidence_lifetime = std::chrono::seconds(3);
// Resolution of the ages in acks.
inline constexpr duration evidence_step = milliseconds(250);
// Age, in steps, that stands for no evidence.
inline constexpr std::uint8_t no_evidence = 15;

// Guarantees that `may_send_new_work` is false at the latest 3 s after this
// instance lost contact with the store and with the majority of members.
// Evidence is dated by the sending time of the heartbeat that an ack answers,
// so that a network delay cannot make it look younger.
class connectivity_view
{
public:
    explicit connectivity_view(instance_id self) : self_(std::move(self)) {}

    // Takes over a newer fleet table; ignores an older one. Evidence is kept
    // for the members that both tables list.
    void adopt(fleet_table_ptr table);

    // Call for each ack, with the sending time of its heartbeat.
    void on_ack(const heartbeat_ack& ack, time_point sent);

    // Call after a successful read of the store, a delivered watch event or a
    // commit, with the time at which the store call started.
    void on_store_confirmed(time_point started);

    // Returns the ages of the evidence, for acks.
    member_ages ages(time_point now) const;
    // Returns the time since the last confirmation by the store, for acks;
    // empty if there was none.
    std::optional<duration> store_age(time_point now) const;

    // Returns the number of members with evidence, this instance included.
    std::size_t reachable(time_point now) const;

    // Returns whether the store confirmed the revisions within the last 3 s, or
    // there is evidence of more than half of the members.
    bool may_send_new_work(time_point now) const;

private:
    void record_evidence(std::size_t index, time_point observed_at);

    instance_id self_;
    fleet_table_ptr table_;
    // Time of the newest evidence, by index of the member in the table.
    std::vector<std::optional<time_point>> newest_evidence_;
    std::optional<time_point> store_confirmed_at_;
};

} // namespace filberthub

#endif
