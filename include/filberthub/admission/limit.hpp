// Concurrency limits that follow the latency of a backend server.
//
//     gradient_limit limit;
//     limit.start(slots);
//     limit.on_answer({latency, baseline, in_flight});
//     unsigned value = limit.value();

#ifndef FILBERTHUB_ADMISSION_LIMIT_HPP
#define FILBERTHUB_ADMISSION_LIMIT_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <cmath>
#include <concepts>

namespace filberthub {

// One answer as a limit sees it.
struct limit_sample
{
    duration latency;
    duration baseline;
    // Requests at the server, including the answered one.
    unsigned in_flight;
};

// `start` sets the limit to all slots, `on_answer` takes a complete answer,
// `on_overload` a refusal or a failure, and `lower_to` a report of the server.
// `lower_to` never raises the limit. `value` is at least 1.
template <class Limit>
concept limit_policy = std::copyable<Limit> && requires(
    Limit limit, const Limit constant, unsigned count, limit_sample sample)
{
    limit.start(count);
    limit.on_answer(sample);
    limit.on_overload();
    limit.lower_to(count);
    {
        constant.value()
        } -> std::same_as<unsigned>;
};

// Always all slots. For comparisons.
class static_limit
{
public:
    void start(unsigned slots)
    {
        value_ = slots;
    }
    void on_answer(const limit_sample&) {}
    void on_overload() {}
    void lower_to(unsigned) {}

    unsigned value() const
    {
        return value_;
    }

private:
    unsigned value_ = 1;
};

namespace detail {

// The part that the adaptive limits share: a fractional limit between 1 and
// the number of slots.
class bounded_limit
{
public:
    void start(unsigned slots)
    {
        slots_ = slots;
        value_ = slots;
    }

    void lower_to(unsigned count)
    {
        set(std::min(value_, static_cast<double>(count)));
    }

    unsigned value() const
    {
        return static_cast<unsigned>(value_);
    }

protected:
    double exact() const
    {
        return value_;
    }

    void set(double value)
    {
        value_ = std::clamp(value, 1.0, static_cast<double>(slots_));
    }

private:
    unsigned slots_ = 1;
    double value_ = 1;
};

} // namespace detail

// Additive increase, multiplicative decrease: grows by one slot per `limit`
// answers while the limit is in use, and shrinks to 70% on each answer slower
// than 2 times the baseline, refusal or failure.
class aimd_limit : public detail::bounded_limit
{
public:
    void on_answer(const limit_sample& sample)
    {
        if (sample.latency > 2 * sample.baseline)
            on_overload();
        else if (sample.in_flight >= value())
            set(exact() + 1 / exact());
    }

    void on_overload()
    {
        set(exact() * 0.7);
    }
};

// Follows the ratio of the baseline to the present latency. An answer at up to
// 2 times the baseline leaves room to grow by the square root of the limit, so
// that ordinary variance does not shrink it.
class gradient_limit : public detail::bounded_limit
{
public:
    void on_answer(const limit_sample& sample)
    {
        const double ratio =
            2.0 * static_cast<double>(sample.baseline.count()) /
            std::max<double>(1, static_cast<double>(sample.latency.count()));
        const double gradient = std::clamp(ratio, 0.5, 1.0);
        const double target = exact() * gradient + std::sqrt(exact());
        // An unused limit carries no evidence that more would be good.
        if (target > exact() && sample.in_flight < value())
            return;
        set(exact() + smoothing * (target - exact()));
    }

    void on_overload()
    {
        set(exact() * 0.7);
    }

private:
    static constexpr double smoothing = 0.2;
};

static_assert(limit_policy<static_limit>);
static_assert(limit_policy<aimd_limit>);
static_assert(limit_policy<gradient_limit>);

} // namespace filberthub

#endif
