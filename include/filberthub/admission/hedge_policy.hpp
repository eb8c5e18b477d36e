// Decides when a second copy (a hedge) of a slow read is sent to another
// server.
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

// The properties of a request that decide whether it may be hedged. A keyed
// request has only one server, and a request that is not idempotent must not
// run twice.
struct hedge_candidate
{
    bool idempotent = false;
    bool keyed = true;
};

// Guarantees that, over any sequence of calls, there are no more hedges than 5%
// of the requests plus one, and that only idempotent requests without a key are
// hedged.
class hedge_policy
{
public:
    hedge_policy();

    // Call once for each request.
    void on_request();

    // Call with the latency of the first answer to each request.
    void on_answer(duration latency);

    // Returns the time after which a hedge may be sent, which is the p95 of the
    // latency, or nothing if the request must not be hedged or there are too
    // few answers for an estimate.
    std::optional<duration> delay(const hedge_candidate& request) const;

    // Call when the delay has passed without an answer. Returns whether to send
    // a hedge; if so, it is counted against the budget.
    bool try_hedge(const hedge_candidate& request);

private:
    latency_quantile latency_;
    retry_budget budget_;
};

} // namespace filberthub

#endif
