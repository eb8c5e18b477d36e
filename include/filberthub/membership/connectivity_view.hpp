// Whether this instance may be cut off from the rest of the region.
//
//     view.on_ack(ack, *lease.sent_at(ack.number));
//     if (!view.may_send_new_work(now)) refuse(...);

#ifndef FILBERTHUB_MEMBERSHIP_CONNECTIVITY_VIEW_HPP
#define FILBERTHUB_MEMBERSHIP_CONNECTIVITY_VIEW_HPP

#include <filberthub/membership/member_lease.hpp>

#include <optional>
#include <vector>

namespace filberthub {

// Evidence of a member and a confirmation by the store count for this long.
inline constexpr duration evidence_lifetime = std::chrono::seconds(3);
// Step of the ages in acks.
inline constexpr duration evidence_step = milliseconds(250);
inline constexpr std::uint8_t no_evidence = 15;

// Guarantees that `may_send_new_work` is false at the latest 3 s after this
// instance lost contact to the store and to the majority of members. Evidence
// is dated by the sending time of the heartbeat that an ack answers, so that a
// delay on the way cannot make it look younger.
class connectivity_view
{
public:
    explicit connectivity_view(instance_id self) : self_(std::move(self)) {}

    // To be called with each newer fleet table. Evidence is kept by member.
    void adopt(fleet_table_ptr table);

    // To be called for each ack, with the sending time of its heartbeat.
    void on_ack(const heartbeat_ack& ack, time_point sent);

    // To be called after a successful read of the store, a delivered watch
    // event or a commit, with the time at which the call started.
    void on_store_confirmed(time_point started);

    // Returns the ages to put into acks.
    member_ages ages(time_point now) const;
    // Returns the store age to put into acks; empty if there is none.
    std::optional<duration> store_age(time_point now) const;

    // Returns the number of members with evidence, this instance included.
    std::size_t reachable(time_point now) const;

    // Whether the store has confirmed the revisions within 3 s or there is
    // evidence of more than half of the members.
    bool may_send_new_work(time_point now) const;

private:
    void note(std::size_t index, time_point seen);

    instance_id self_;
    fleet_table_ptr table_;
    // By index of the member in the table.
    std::vector<std::optional<time_point>> seen_;
    std::optional<time_point> confirmed_;
};

} // namespace filberthub

#endif
