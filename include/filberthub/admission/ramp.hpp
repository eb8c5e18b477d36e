// Ramps: how many slots a backend server in cold start may use.
//
//     evidence_ramp ramp;
//     ramp.reset(now);                       // limit 1
//     ramp.on_answer(true, now);             // one good answer
//     unsigned limit = ramp.limit(slots, now);

#ifndef FILBERTHUB_ADMISSION_RAMP_HPP
#define FILBERTHUB_ADMISSION_RAMP_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace filberthub {

// `reset` is called when the state of the server becomes unknown, `on_answer`
// for each answer to a request that was sent after the last reset, and `limit`
// returns at least 1 and at most `slots`.
template <class Ramp>
concept ramp_policy = std::copyable<Ramp> && requires(
    Ramp ramp, const Ramp constant, bool good, unsigned slots, time_point now)
{
    ramp.reset(now);
    ramp.on_answer(good, now);
    {
        constant.limit(slots, now)
        } -> std::same_as<unsigned>;
};

// Offers all slots at once. For comparisons and for services without a cold
// start.
class no_ramp
{
public:
    void reset(time_point) {}
    void on_answer(bool, time_point) {}

    unsigned limit(unsigned slots, time_point) const
    {
        return slots;
    }
};

// Adds one slot per `step` of time, whatever the answers are.
class linear_ramp
{
public:
    explicit linear_ramp(duration step = std::chrono::seconds(1)) : step_(step)
    {}

    void reset(time_point now)
    {
        start_ = now;
    }
    void on_answer(bool, time_point) {}

    unsigned limit(unsigned slots, time_point now) const
    {
        const auto steps = std::max<std::int64_t>(0, (now - start_) / step_);
        return static_cast<unsigned>(std::min<std::int64_t>(slots, 1 + steps));
    }

private:
    duration step_;
    time_point start_;
};

// Adds one slot after `answers_per_slot` times the present limit consecutive
// good answers. A bad answer starts the count again but keeps the limit.
class evidence_ramp
{
public:
    explicit evidence_ramp(unsigned answers_per_slot = 1)
        : answers_per_slot_(answers_per_slot)
    {}

    void reset(time_point)
    {
        limit_ = 1;
        good_ = 0;
    }

    void on_answer(bool good, time_point)
    {
        good_ = good ? good_ + 1 : 0;
        if (good_ < limit_ * answers_per_slot_)
            return;
        // The limit may exceed the slots; it is bounded so that it cannot
        // overflow.
        limit_ = std::min(limit_ + 1, 1U << 16U);
        good_ = 0;
    }

    unsigned limit(unsigned slots, time_point) const
    {
        return std::min(slots, limit_);
    }

private:
    unsigned answers_per_slot_;
    unsigned limit_ = 1;
    unsigned good_ = 0;
};

} // namespace filberthub

#endif
