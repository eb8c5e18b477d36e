// The times of an orderly stop: until when a process takes requests, and when
// it ends.
//
//     const shutdown_plan plan(now, bounds.stop_grace);
//     if (!plan.takes_request(now, answer_deadline))
//         refuse();

#ifndef FILBERTHUB_ROUTING_SHUTDOWN_PLAN_HPP
#define FILBERTHUB_ROUTING_SHUTDOWN_PLAN_HPP

#include <filberthub/base/types.hpp>

namespace filberthub {

// Guarantees that a request taken after `rotation_removal` has its answer
// before the process ends, as the request fails at its answer deadline.
class shutdown_plan
{
public:
    // `grace` is the time from `started` until the process would be killed.
    shutdown_plan(time_point started, milliseconds grace)
        : started_(started), end_(started + grace - kill_margin)
    {}

    // From this time on, the platform sends no new callers, and no connections
    // are accepted.
    time_point rotation_removal() const
    {
        return started_ + rotation_removal_time;
    }
    // Until this time the process waits for callers on open connections, even
    // if none has a request.
    time_point earliest_end() const
    {
        return started_ + min_leave_time;
    }
    // When the process ends at the latest.
    time_point end() const
    {
        return end_;
    }
    // Whether a request that arrives now is taken, which gets its answer by
    // `answer_deadline`.
    bool takes_request(time_point now, time_point answer_deadline) const
    {
        return now < rotation_removal() || answer_deadline <= end_;
    }
    // Whether requests that were not sent to a server are refused, because they
    // could be cut off.
    bool refuses_unsent(time_point now) const
    {
        return now >= end_ - unsent_refusal_margin;
    }

private:
    // The platform checks readiness once a second and sends no new callers
    // after two answers that are not 200.
    static constexpr milliseconds rotation_removal_time{2'600};
    // Idle connections are closed during this time, and callers that still send
    // requests get "Connection: close".
    static constexpr milliseconds min_leave_time{3'400};
    // Time between the exit of the process and the end of the grace period, at
    // which the platform would kill it.
    static constexpr milliseconds kill_margin{600};
    // Most requests take less time.
    static constexpr milliseconds unsent_refusal_margin{1'000};

    time_point started_;
    time_point end_;
};

} // namespace filberthub

#endif
