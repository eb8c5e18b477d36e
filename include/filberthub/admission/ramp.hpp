// Ramps, which limit the slots of a backend server during its cold start.
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

// Requirements on a ramp. `reset` is called when the state of the server
// becomes unknown; its flag tells whether the server failed or refused a
// request, rather than became slow. `on_answer` is called for each answer to a
// request that was sent after the last reset; its flag tells whether the answer
// was good. `limit` returns from 1 to `slots`.
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

// Allows all slots at once, for services without a cold start and as a baseline
// for comparisons.
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

// Adds one slot per `step` of time, regardless of the answers.
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

// Adds one slot after `evidence` consecutive good answers per slot of the
// current limit. A bad answer restarts the count but keeps the limit.
//
// A cold start can last longer than the good answers suggest. If the server
// fails after the limit was raised, but within 4096 answers of the reset, the
// next ramp needs twice the evidence.
class evidence_ramp
{
public:
    explicit evidence_ramp(unsigned evidence = 32)
        : evidence_(evidence), needed_evidence_(evidence)
    {}

    void reset(time_point, bool failed)
    {
        if (answers_since_reset_ >= confirmed_after_answers)
            needed_evidence_ = evidence_;
        else if (failed && limit_ > 1)
            needed_evidence_ =
                std::min(2 * needed_evidence_, max_needed_evidence);
        answers_since_reset_ = 0;
        limit_ = 1;
        consecutive_good_ = 0;
    }

    void on_answer(bool good, time_point)
    {
        answers_since_reset_ =
            std::min(answers_since_reset_ + 1, confirmed_after_answers);
        consecutive_good_ = good ? consecutive_good_ + 1 : 0;
        if (consecutive_good_ < limit_ * needed_evidence_)
            return;
        consecutive_good_ = 0;
        // The limit may exceed the number of slots. It is bounded to prevent an
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
    // Answers after which a ramp counts as successful.
    static constexpr unsigned confirmed_after_answers = 4096;
    // Upper bound of `needed_evidence_`, in good answers per slot.
    static constexpr unsigned max_needed_evidence = 1024;
    // Upper bound of `limit_`, in slots.
    static constexpr unsigned max_limit = 1024;

    // Good answers per slot, as configured and as needed by the current ramp.
    unsigned evidence_;
    unsigned needed_evidence_;
    unsigned limit_ = 1;
    unsigned consecutive_good_ = 0;
    unsigned answers_since_reset_ = 0;
};

} // namespace filberthub

#endif
