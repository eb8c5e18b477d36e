// Applies a change to the policy root.
//
//     policy_root next =
//         detail::apply_change(root, change, digest, "kim", nonce);

#ifndef FILBERTHUB_POLICY_DETAIL_ROOT_CHANGE_HPP
#define FILBERTHUB_POLICY_DETAIL_ROOT_CHANGE_HPP

#include <filberthub/policy/proposal.hpp>

namespace filberthub::detail {

// Combines several function objects into one visitor.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
// Clang needs this deduction guide up to version 16.
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

// Returns the last change of the subject of `change`, or null if the root has
// no entry for it. The result points into `root`.
const change_mark* last_change_of(
    const policy_root& root, const policy_change& change);

// Returns the root of the next revision: `root` with `change` in it. `digest`
// is that of the body of `set_section`.
policy_root apply_change(const policy_root& root, const policy_change& change,
    const std::string& digest, const std::string& author,
    const std::string& nonce);

} // namespace filberthub::detail

#endif
