#include <filberthub/membership/rendezvous.hpp>

#include <xxhash.h>

namespace filberthub {

std::uint64_t rendezvous_weight(
    std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(),
        XXH3_64bits(key.data(), key.size()));
}

} // namespace filberthub
