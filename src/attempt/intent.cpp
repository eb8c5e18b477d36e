#include <filberthub/attempt/intent.hpp>

#include <xxhash.h>

namespace filberthub {

request_key request_key_of(const service_id& service, const request_id& id)
{
    // The service is hashed into the seed, so that no delimiter between service
    // and id is needed.
    const auto seed =
        XXH3_64bits(service.value().data(), service.value().size());
    const auto digest =
        XXH3_128bits_withSeed(id.value().data(), id.value().size(), seed);
    return {digest.high64, digest.low64};
}

} // namespace filberthub
