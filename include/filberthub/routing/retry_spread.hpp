// Spreads the return of rejected callers.
//
//     milliseconds retry_after =
//         spread_retry(wait, time_left, uniform_random);
//
// Designed for hundreds of callers that are rejected at the same moment by many
// instances, each of which honors a value of up to a third of its time left.

#ifndef FILBERTHUB_ROUTING_RETRY_SPREAD_HPP
#define FILBERTHUB_ROUTING_RETRY_SPREAD_HPP

#include <filberthub/base/types.hpp>

namespace filberthub {

// Returns a time for Retry-After, uniform in the period in which room is
// expected: from half of `wait` to one and a half times it, at most a third of
// `time_left`. `uniform_random` is in [0, 1). Needs no state, so that instances
// spread their callers without messages.
milliseconds spread_retry(
    milliseconds wait, milliseconds time_left, double uniform_random);

} // namespace filberthub

#endif
