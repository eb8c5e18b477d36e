// Decides when a second copy of a slow read is sent to another server.
//
//     hedge_policy hedges;
//     hedges.on_answer(latency);
//     if (auto delay = hedges.delay(read)) start_timer(*delay);
//     // in the timer:
//     if (hedges.try_hedge(read)) send_to_another_server();

#ifndef FILBERTHUB_ADMISSION_HEDGE_POLICY_HPP
#define FILBERTHUB_ADMISSION_HEDGE_POLICY_HPP

#include <filberthub/admission/latency_quantile.hpp>
#include <filberthub/admission/retry_budget.hpp>

#include <optional>

namespace filberthub {

// What a hedge depends on. A keyed request has one server only, and a request
// that is not idempotent must not run twice.
struct hedge_candidate
{
    bool idempotent = false;
    bool keyed = true;
};

// Guarantees: over any sequence of calls, hedges are at most 5% of the
// requests plus one, and only for idempotent requests without a key.
class hedge_policy
{
public:
    hedge_policy();

    // To be called once for each request.
    void on_request();

    // To be called with the latency of each first answer.
    void on_answer(duration latency);

    // Returns the p95, after which a hedge is due, or nothing if the request
    // must not be hedged or too few answers are known.
    std::optional<duration> delay(const hedge_candidate& request) const;

    // To be called when the delay has passed without an answer. Takes a token.
    bool try_hedge(const hedge_candidate& request);

private:
    latency_quantile latency_;
    retry_budget budget_;
};

} // namespace filberthub

#endif
