// Applies one change to the policy in the store.
//
// The machine performs no I/O. It says which call to make next, and is told
// what came of it, until it gives a result:
//
//     proposal change({set_section{section_id("kartlas"), body}, "kim",
//         random_text()});
//     proposal_step step = change.start();
//     while (!std::holds_alternative<proposal_result>(step))
//         step = change.next(perform(step));

#ifndef FILBERTHUB_POLICY_PROPOSAL_HPP
#define FILBERTHUB_POLICY_PROPOSAL_HPP

#include <filberthub/policy/policy_root.hpp>

#include <optional>
#include <set>
#include <variant>

namespace filberthub {

// The changes that can be proposed.
struct set_section
{
    section_id section;
    json body;
};
struct remove_section
{
    section_id section;
};
struct set_domain
{
    failure_domain_id domain;
    bool out_of_service = true;
};
struct set_instance
{
    instance_id instance;
    bool out_of_service = true;
};
using policy_change =
    std::variant<set_section, remove_section, set_domain, set_instance>;

// Returns what a change is about, for example `section "kartlas"`.
std::string subject_of(const policy_change& change);

struct proposal_request
{
    policy_change change;
    // Who proposes, for the message to those who lose against this change; 1 to
    // 100 bytes.
    std::string author;
    // Random text, different in each proposal. At least 64 random bits in at
    // most 64 bytes.
    std::string nonce;
    // The revision that the author saw. A later change of the same subject
    // wins. Without it, the first revision that is read counts.
    std::optional<revision> base = std::nullopt;
    // For a repeat after `unknown`: the same field of that result. The change,
    // nonce and base have to be those of the earlier proposal.
    std::optional<revision> in_doubt = std::nullopt;
};

// Store calls.
struct read_root
{};
struct read_body
{
    section_id section;
    std::string digest;
};
// Writes the immutable object `section_path(section, digest)`.
struct write_body
{
    section_id section;
    std::string digest;
    std::string text;
};
// Writes `policy/root` only if its version is still `expected`.
struct update_root
{
    object_version expected;
    policy_root root;
};

// Results of store calls.
struct root_was_read
{
    // 0 and an empty root if the object does not exist.
    object_version version;
    policy_root root;
};
struct body_was_read
{
    std::string text;
};
struct body_was_written
{};
struct update_was_accepted
{};
// The version of the root is not the expected one.
struct update_was_refused
{};
// The store answered that the call failed and had no effect.
struct call_failed
{};
// The reply was lost or came too late; the call may have had an effect, or may
// still have one.
struct reply_was_lost
{};
using proposal_event =
    std::variant<root_was_read, body_was_read, body_was_written,
        update_was_accepted, update_was_refused, call_failed, reply_was_lost>;

enum class proposal_outcome : std::uint8_t
{
    // The change is in the policy since `accepted`. A change that alters
    // nothing is written too: only a conditional update proves that what was
    // read is not out of date.
    accepted,
    // Another change of the same subject won. Nothing was written.
    conflict,
    // The change breaks a rule of the policy. Nothing was written.
    invalid,
    // The store did not answer. Nothing was written.
    store_unavailable,
    // The store did not answer, and the change may have been written, or may
    // still be. Proposing it again with the same nonce is safe.
    unknown,
};
std::string_view to_string(proposal_outcome value);

struct proposal_result
{
    proposal_outcome outcome = proposal_outcome::unknown;
    // For `accepted`.
    revision accepted;
    // The base of the proposal, if a revision was read.
    std::optional<revision> base;
    // For `unknown`: the revision that the change may have made.
    std::optional<revision> in_doubt;
    // For `conflict`: the change that won, unless it is too old to be known.
    std::optional<change_mark> winner;
    // One sentence for the author.
    std::string message;
};

using proposal_step = std::variant<read_root, read_body, write_body,
    update_root, proposal_result>;

// Carries one change through reading, checking, merging and the conditional
// update. It guarantees that
// - the change is applied at most once, because each update carries the nonce
//   and expects the version that was read, and the nonce is looked for before
//   an update is repeated;
// - no other accepted change is lost, because an update is always made from the
//   root with the expected version;
// - the whole policy was checked with the change in it.
class proposal
{
public:
    // Store calls that may fail or be repeated before the machine gives up.
    static constexpr int maximum_retries = 20;

    explicit proposal(proposal_request request);

    // Tells the machine about a body, by which it saves a read. An instance
    // knows those of the revision that is in force.
    void add_known_body(const std::string& digest, const json& body);

    // Returns the first store call. To be called once.
    proposal_step start();

    // Returns the next step after the last one had the result `event`. An event
    // that does not belong to the last step is an `error` of kind `internal`.
    proposal_step next(const proposal_event& event);

private:
    proposal_step repeat();
    proposal_step give_up() const;
    proposal_step on_root(const root_was_read& event);
    proposal_step on_body(const read_body& call, const std::string& text);
    proposal_step continue_with_root();
    std::optional<proposal_result> own_write(const policy_root& root);
    std::optional<proposal_result> check_subject() const;
    std::optional<proposal_step> missing_body() const;
    std::optional<proposal_result> check_merged() const;
    policy_root changed_root() const;
    proposal_step step(proposal_step next_step);
    proposal_result result(proposal_outcome outcome, revision accepted,
        const std::string& message) const;

    proposal_request request_;
    // Canonical text and digest of the proposed body.
    std::string text_;
    std::string digest_;
    policy_bodies bodies_;
    bool is_body_written_ = false;
    // The root that the present attempt starts from.
    root_was_read seen_;
    std::optional<revision> highest_seen_;
    // Versions of the root for which the store refused an update. A read that
    // gives one of them is out of date.
    std::set<object_version> outdated_;
    // Revision that an update would have made whose reply was lost.
    std::optional<revision> in_doubt_;
    int retries_ = 0;
    proposal_step last_;
};

} // namespace filberthub

#endif
