#include <filberthub/routing/owner_wait.hpp>

#include <filberthub/routing/request_rules.hpp>

#include <algorithm>

namespace filberthub {

time_point owner_wait::end_of(const ownerless_request& request) const
{
    const milliseconds wait =
        std::max(min_wait, request.latency_target - request.service_time);
    return std::min(
        request.arrived + wait, request.answer_deadline - min_attempt_time);
}

bool owner_wait::may_wait(
    const ownerless_request& request, std::size_t ahead, time_point now) const
{
    if (now >= end_of(request) || ahead >= max_waits)
        return false;
    return now < request.arrived + min_wait || ahead < max_long_waits;
}

} // namespace filberthub
