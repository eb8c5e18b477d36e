#include <filberthub/admission/hedge_policy.hpp>

namespace filberthub {

hedge_policy::hedge_policy() : latency_(0.95), budget_(5, 1) {}

void hedge_policy::on_request()
{
    budget_.on_request();
}

void hedge_policy::on_answer(duration latency)
{
    latency_.add(latency);
}

std::optional<duration> hedge_policy::delay(
    const hedge_candidate& request) const
{
    if (!request.idempotent || request.keyed)
        return std::nullopt;
    return latency_.value();
}

bool hedge_policy::try_hedge(const hedge_candidate& request)
{
    return delay(request) && budget_.try_take();
}

} // namespace filberthub
