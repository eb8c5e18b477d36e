// Infers from the deadline of a request how long ago its caller sent its first
// attempt.
//
//     attempt_age ages;
//     milliseconds age = ages.on_request(deadline, now);
//
// Designed for routes whose callers send the same deadline with each first
// attempt and what is left of it with a retry; one object for each route.

#ifndef FILBERTHUB_ROUTING_ATTEMPT_AGE_HPP
#define FILBERTHUB_ROUTING_ATTEMPT_AGE_HPP

#include <filberthub/base/types.hpp>

#include <array>

namespace filberthub {

// The age is 0 unless the deadline of first attempts is known: several recent
// requests had exactly the longest deadline. Different deadlines of first
// attempts are therefore not taken for retries as long as no value is common.
// A caller that sends a short deadline is taken for a retry; this must affect
// no more than its place within its urgency.
class attempt_age
{
public:
    milliseconds on_request(milliseconds deadline, time_point now);

private:
    struct window
    {
        milliseconds longest{0};
        unsigned count = 0;
        unsigned total = 0;
    };

    // The present period and the one before.
    std::array<window, 2> windows_;
    time_point period_start_;
};

} // namespace filberthub

#endif
