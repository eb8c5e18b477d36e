// Ramps: how many slots a backend server in cold start may use.
//
//     evidence_ramp ramp;
//     ramp.reset(now, false);                // limit 1
//     ramp.on_answer(true, now);             // one good answer
//     unsigned limit = ramp.limit(slots, now);

#ifndef FILBERTHUB_ADMISSION_RAMP_HPP
#define FILBERTHUB_ADMISSION_RAMP_HPP

#include <filberthub/base/types.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace filberthub {

// `reset` is called when the state of the server becomes unknown, with whether
// the server failed or refused (rather than became slow), `on_answer`
// for each answer to a request that was sent after the last reset, and `limit`
// returns at least 1 and at most `slots`.
template <class Ramp>
concept ramp_policy = std::copyable<Ramp> && requires(
    Ramp ramp, const Ramp constant, bool flag, unsigned slots, time_point now)
{
    ramp.reset(now, flag);
    ramp.on_answer(flag, now);
    {
        constant.limit(slots, now)
        } -> std::same_as<unsigned>;
};

// Offers all slots at once. For comparisons and for services without a cold
// start.
class no_ramp
{
public:
    void reset(time_point, bool) {}
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

    void reset(time_point now, bool)
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

// Adds one slot after `evidence` times the present limit consecutive good
// answers. A bad answer starts the count again but keeps the limit.
//
// A cold start can last longer than the evidence shows. If the server fails
// after a step, but within 4096 answers of the reset, the next ramp needs twice
// the evidence.
class evidence_ramp
{
public:
    explicit evidence_ramp(unsigned evidence = 32)
        : evidence_(evidence), needed_(evidence)
    {}

    void reset(time_point, bool failed)
    {
        if (answers_ >= trusted_after)
            needed_ = evidence_;
        else if (failed && limit_ > 1)
            needed_ = std::min(2 * needed_, max_needed);
        answers_ = 0;
        limit_ = 1;
        good_ = 0;
    }

    void on_answer(bool good, time_point)
    {
        answers_ = std::min(answers_ + 1, trusted_after);
        good_ = good ? good_ + 1 : 0;
        if (good_ < limit_ * needed_)
            return;
        good_ = 0;
        // The limit may exceed the slots; it is bounded so that it cannot
        // overflow.
        if (limit_ == max_limit)
            return;
        ++limit_;
    }

    unsigned limit(unsigned slots, time_point) const
    {
        return std::min(slots, limit_);
    }

private:
    static constexpr unsigned trusted_after = 4096;
    static constexpr unsigned max_needed = 1024;
    static constexpr unsigned max_limit = 1024;

    unsigned evidence_;
    unsigned needed_;
    unsigned limit_ = 1;
    unsigned good_ = 0;
    // Since the last reset.
    unsigned answers_ = 0;
};

} // namespace filberthub

#endif
