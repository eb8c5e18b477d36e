// How long a request waits for an owner of its key, and how many requests wait.
//
//     if (owner_wait{}.may_wait({arrived, target, deadline, work}, ahead, now))
//         retry_later(request);
//
// Designed for 30 requests per second and instance, of which up to half are for
// keys that move for a second, and for bursts of 2.4 times.

#ifndef FILBERTHUB_ROUTING_OWNER_WAIT_HPP
#define FILBERTHUB_ROUTING_OWNER_WAIT_HPP

#include <filberthub/base/types.hpp>

#include <cstddef>

namespace filberthub {

// A request whose key has no owner.
struct ownerless_request
{
    time_point arrived;
    // Time within which an answer has its full value; 0 if not known.
    milliseconds latency_target{0};
    time_point answer_deadline;
    // Expected duration of the work.
    milliseconds service_time{0};
};

// Guarantees that a request waits no longer than it can still be answered
// within its target latency, or the minimum time if that is later, and that the
// number of waiting requests is bounded.
class owner_wait
{
public:
    // Returns the time after which the request is rejected.
    time_point end_of(const ownerless_request& request) const;
    // Whether the request may go on waiting. `ahead` is the number of waiting
    // requests that are more urgent, or as urgent and older.
    bool may_wait(const ownerless_request& request, std::size_t ahead,
        time_point now) const;

    // Requests wait for this time whatever their target. A move of a key under
    // normal load takes a fraction of it.
    static constexpr milliseconds min_wait{300};
    // Bounds the memory of waiting requests; all requests of an instance for
    // some seconds are fewer.
    static constexpr std::size_t max_long_waits = 256;
    static constexpr std::size_t max_waits = 1'024;
};

} // namespace filberthub

#endif
