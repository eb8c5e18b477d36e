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

// What a peer says is in force, for the start while the store is down. A peer
// that has no document answers with null.
struct peer_policy
{
    instance_id peer;
    revision number;
    shared_policy document;
};

// Adopts only a revision above the one in force, so that an instance never goes
// back to an earlier document.
class revision_register
{
public:
    // Adopts `document` if `number` is above the revision in force. Returns
    // whether it was adopted. To be called with documents that passed
    // `check_policy`, in any order and from any source.
    bool offer(revision number, shared_policy document);

    // Offers the highest of several answers. To be called at the start while
    // the store is down. Does nothing and returns false while fewer than
    // `required` different peers answered with a document: a single peer may
    // itself be out of date.
    bool offer_highest(
        std::span<const peer_policy> answers, std::size_t required = 3);

    // The revision in force; 0 before the first document.
    revision in_force() const
    {
        return in_force_;
    }
    // Null before the first document.
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
