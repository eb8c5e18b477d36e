// Applies one change to the policy in the store.
//
// The state machine performs no I/O. It returns the next store call and takes
// its outcome, until it returns a result:
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

// The changes that can be proposed follow.

// Adds or replaces a section.
struct set_section
{
    section_id section;
    json body;
};
// Removes a section.
struct remove_section
{
    section_id section;
};
// Takes a failure domain out of service or returns it to service.
struct set_domain
{
    failure_domain_id domain;
    bool out_of_service = true;
};
// Takes an instance out of service or returns it to service.
struct set_instance
{
    instance_id instance;
    bool out_of_service = true;
};
using policy_change =
    std::variant<set_section, remove_section, set_domain, set_instance>;

// Returns the subject of a change, for example `section "kartlas"`.
std::string subject_of(const policy_change& change);

// A change with its author and base revision.
struct proposal_request
{
    policy_change change;
    // The author, who is named to the authors of conflicting proposals; 1 to
    // 100 bytes.
    std::string author;
    // Random text that is unique to the proposal: at least 64 random bits in at
    // most 64 bytes.
    std::string nonce;
    // The revision that the author saw. A later change of the same subject is a
    // conflict. If empty, the first revision that is read is the base.
    std::optional<revision> base = std::nullopt;
    // For a retry after `unknown`: `in_doubt` of that result. The change, nonce
    // and base have to be those of the earlier proposal.
    std::optional<revision> in_doubt = std::nullopt;
};

// The store calls of a proposal follow.

// Reads `policy/root`.
struct read_root
{};
// Reads the object `section_path(section, digest)`.
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

// The outcomes of store calls follow.

// The root as it was read.
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
// The root does not have the expected version.
struct update_was_refused
{};
// The store replied that the call failed and had no effect.
struct call_failed
{};
// The reply was lost or late. The call may have had an effect, or may still
// have one.
struct reply_was_lost
{};
using proposal_event =
    std::variant<root_was_read, body_was_read, body_was_written,
        update_was_accepted, update_was_refused, call_failed, reply_was_lost>;

enum class proposal_outcome : std::uint8_t
{
    // The change is in the policy since revision `accepted`. A change without
    // effect is written too, because only a conditional update proves that the
    // root that was read is not out of date.
    accepted,
    // Another change of the same subject came first. Nothing was written.
    conflict,
    // The change violates a rule of the policy. Nothing was written.
    invalid,
    // The store did not reply. Nothing was written.
    store_unavailable,
    // The store did not reply, and the change may have been written or may
    // still be written. Proposing it again with the same nonce is safe.
    unknown,
};
std::string_view to_string(proposal_outcome value);

// The result of a proposal.
struct proposal_result
{
    proposal_outcome outcome = proposal_outcome::unknown;
    // For `accepted`: the revision that contains the change.
    revision accepted;
    // The base of the proposal, if a revision was read.
    std::optional<revision> base;
    // For `unknown`: the revision that the change may have created.
    std::optional<revision> in_doubt;
    // For `conflict`: the other change; empty if the base is too old to tell.
    std::optional<change_mark> winner;
    // One sentence for the author.
    std::string message;
};

using proposal_step = std::variant<read_root, read_body, write_body,
    update_root, proposal_result>;

// Reads the policy, merges one change into it, checks the result and performs
// the conditional update. Guarantees that
// - the change is applied at most once, because each update carries the nonce
//   and expects the version that was read, and the root is searched for the
//   nonce before an update is retried;
// - no other accepted change is lost, because an update is always based on the
//   root with the expected version;
// - the whole policy was checked with the change in it.
class proposal
{
public:
    // Number of store calls that may fail or be retried before the proposal
    // ends without success.
    static constexpr int maximum_retries = 20;

    explicit proposal(proposal_request request);

    // Provides a body that is already known, which saves a read. An instance
    // knows the bodies of the revision in force.
    void add_known_body(const std::string& digest, const json& body);

    // Returns the first store call, or the result if the request is invalid.
    // Call once.
    proposal_step start();

    // Returns the next step after the last one had the outcome `event`. Throws
    // `error` of kind `internal` if the event does not belong to the last step.
    proposal_step next(const proposal_event& event);

private:
    proposal_step retry();
    proposal_step give_up() const;
    proposal_step on_root(const root_was_read& event);
    proposal_step on_body(const read_body& call, const std::string& text);
    proposal_step continue_with_root();
    std::optional<proposal_result> find_own_write(const policy_root& root);
    std::optional<proposal_result> check_conflict() const;
    std::optional<proposal_step> missing_body() const;
    std::optional<proposal_result> check_changed_policy() const;
    policy_root changed_root() const;
    proposal_step step(proposal_step next_step);
    proposal_result result(proposal_outcome outcome, revision accepted,
        const std::string& message) const;

    proposal_request request_;
    // Canonical text and digest of the proposed body.
    std::string body_text_;
    std::string body_digest_;
    policy_bodies bodies_;
    bool is_body_written_ = false;
    // The root on which the current attempt is based.
    root_was_read current_root_;
    std::optional<revision> highest_revision_seen_;
    // Versions of the root for which the store refused an update. A read that
    // returns one of them is out of date.
    std::set<object_version> outdated_versions_;
    // Revision of an update whose reply was lost.
    std::optional<revision> in_doubt_;
    int retries_ = 0;
    proposal_step last_step_;
};

} // namespace filberthub

#endif
