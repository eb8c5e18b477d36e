// Adaptive concurrency limits, which follow the latency of a backend server.
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

// The measurements of one complete answer.
struct limit_sample
{
    duration latency;
    // Latency of a warm server without a queue.
    duration baseline;
    // Requests at the server, including the answered one.
    unsigned in_flight;
};

// Requirements on a concurrency limit. `start` sets the limit to all slots.
// `on_answer` is called for each complete answer, `on_overload` for each
// refusal or failure, and `lower_to` when the server reports that it is
// overloaded; `lower_to` never raises the limit. `value` returns at least 1.
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

// A fixed limit of all slots, as a baseline for comparisons.
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

// Common base of the adaptive limits: a fractional limit between 1 and the
// number of slots.
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
    double fractional_value() const
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

// Additive increase, multiplicative decrease (AIMD). The limit grows by one
// slot per `value()` answers while it is fully used. It shrinks to 70% on each
// refusal, each failure, and each answer that takes more than 2 times the
// baseline.
class aimd_limit : public detail::bounded_limit
{
public:
    void on_answer(const limit_sample& sample)
    {
        if (sample.latency > 2 * sample.baseline)
            on_overload();
        else if (sample.in_flight >= value())
            set(fractional_value() + 1 / fractional_value());
    }

    void on_overload()
    {
        set(fractional_value() * 0.7);
    }
};

// A limit that follows the ratio of the baseline to the latency of each answer.
// Up to 2 times the baseline, the target is the limit plus its square root, so
// that ordinary variance of the latency does not shrink the limit.
class gradient_limit : public detail::bounded_limit
{
public:
    void on_answer(const limit_sample& sample)
    {
        const double ratio =
            2.0 * static_cast<double>(sample.baseline.count()) /
            std::max<double>(1, static_cast<double>(sample.latency.count()));
        const double gradient = std::clamp(ratio, 0.5, 1.0);
        const double target =
            fractional_value() * gradient + std::sqrt(fractional_value());
        // Answers at a limit that is not fully used are no evidence that the
        // server can handle more.
        if (target > fractional_value() && sample.in_flight < value())
            return;
        set(fractional_value() + smoothing * (target - fractional_value()));
    }

    void on_overload()
    {
        set(fractional_value() * 0.7);
    }

private:
    // Weight of a new target in the moving limit.
    static constexpr double smoothing = 0.2;
};

static_assert(limit_policy<static_limit>);
static_assert(limit_policy<aimd_limit>);
static_assert(limit_policy<gradient_limit>);

} // namespace filberthub

#endif
