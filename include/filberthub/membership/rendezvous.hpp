// Rendezvous hashing of instances.
//
//     if (rendezvous_weight(key, left) < rendezvous_weight(key, right))
//         chosen = left;

#ifndef FILBERTHUB_MEMBERSHIP_RENDEZVOUS_HPP
#define FILBERTHUB_MEMBERSHIP_RENDEZVOUS_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <string_view>

namespace filberthub {

// Returns the weight of `candidate` for `key`. The candidate with the lowest
// weight is chosen. A candidate that joins or leaves affects only the keys for
// which it has the lowest weight.
std::uint64_t rendezvous_weight(
    std::string_view key, std::string_view candidate);

} // namespace filberthub

#endif
