// A token bucket that limits extra requests, such as retries and hedges, to a
// percentage of the regular requests.
//
//     retry_budget budget;             // 10% of requests
//     budget.on_request();             // for each regular request
//     if (budget.try_take()) retry();

#ifndef FILBERTHUB_ADMISSION_RETRY_BUDGET_HPP
#define FILBERTHUB_ADMISSION_RETRY_BUDGET_HPP

#include <cstdint>

namespace filberthub {

// Guarantees that, over any sequence of calls, the number of successful
// `try_take` calls is at most `percent` of the number of `on_request` calls
// plus `burst`.
class retry_budget
{
public:
    // `burst` allows an instance with few requests to retry some of them after
    // the loss of a server. The default covers the connections of one small
    // backend server.
    explicit retry_budget(std::uint32_t percent = 10, std::uint32_t burst = 4);

    // Call once for each regular request, but not for retries.
    void on_request();

    // Takes one token if available. Returns whether an extra request may be
    // sent.
    bool try_take();

    // Whether `try_take` would succeed.
    bool available() const;

private:
    // One token is 100 units, so that a percentage needs no fractions.
    static constexpr std::uint64_t units_per_token = 100;

    std::uint64_t percent_;
    std::uint64_t capacity_;
    std::uint64_t units_;
};

} // namespace filberthub

#endif
