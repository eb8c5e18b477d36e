// Holds the policy document that is in force in an instance.
//
//     revision_register policy;
//     if (policy.offer(root.number, document))
//         apply(*policy.document());

#ifndef FILBERTHUB_POLICY_REVISION_REGISTER_HPP
#define FILBERTHUB_POLICY_REVISION_REGISTER_HPP

#include <filberthub/policy/policy_document.hpp>

#include <memory>
#include <span>

namespace filberthub {

using shared_policy = std::shared_ptr<const policy_document>;

// The answer of a peer about the policy in force, for a start while the store
// is down. `document` is null if the peer has none.
struct peer_policy
{
    instance_id peer;
    revision number;
    shared_policy document;
};

// Guarantees that the revision in force never decreases: only a revision above
// the one in force is adopted.
class revision_register
{
public:
    // Adopts `document` if `number` is above the revision in force. Returns
    // whether it was adopted. Call with documents that passed `check_policy`,
    // in any order and from any source.
    bool offer(revision number, shared_policy document);

    // Offers the document with the highest revision among several answers. Call
    // at the start of the process while the store is down. Does nothing and
    // returns false if fewer than `required` different peers answered with a
    // document, because a single peer may itself be out of date.
    bool offer_highest(
        std::span<const peer_policy> answers, std::size_t required = 3);

    // Returns the revision in force; 0 before the first document.
    revision in_force() const
    {
        return in_force_;
    }
    // Returns the document in force; null before the first one.
    const shared_policy& document() const
    {
        return document_;
    }

private:
    revision in_force_;
    shared_policy document_;
};

} // namespace filberthub

#endif
