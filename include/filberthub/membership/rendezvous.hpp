// Rendezvous hashing of instances.
//
//     auto order = rank_members(table.members());

#ifndef FILBERTHUB_MEMBERSHIP_RENDEZVOUS_HPP
#define FILBERTHUB_MEMBERSHIP_RENDEZVOUS_HPP

#include <filberthub/base/types.hpp>

#include <cstdint>
#include <string_view>

namespace filberthub {

// Returns the weight of `candidate` for `key`. The candidate of the lowest
// weight is chosen; one that joins or leaves changes only its own choices.
std::uint64_t rendezvous_weight(
    std::string_view key, std::string_view candidate);

} // namespace filberthub

#endif
