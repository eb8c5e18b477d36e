// Controls admission to one backend server. Runs at the holder of the server.
//
//     auto gate = server_gate_builder().slots(2).baseline(8ms).build(now);
//     switch (gate.offer(request, now).decision) { ... }
//     auto changes = gate.finish(number, answer_result::complete, now);
//     for (request_number next : changes.admitted) send(next);

#ifndef FILBERTHUB_ADMISSION_SERVER_GATE_HPP
#define FILBERTHUB_ADMISSION_SERVER_GATE_HPP

#include <filberthub/admission/gate_types.hpp>
#include <filberthub/admission/limit.hpp>
#include <filberthub/admission/ramp.hpp>
#include <filberthub/admission/service_time.hpp>
#include <filberthub/admission/waiting_queue.hpp>
#include <filberthub/base/error.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace filberthub {

// Settings of a gate. Use `basic_server_gate_builder` to build a gate with
// validated settings.
struct gate_settings
{
    // Requests that a warm server handles at a time.
    unsigned slots = 1;
    // Latency of a warm server without a queue.
    duration baseline = std::chrono::milliseconds(10);
    // Capacity of the waiting queue, in requests per slot.
    unsigned queue_capacity_per_slot = 32;
    // Slots that only rescue requests may use while such requests arrive.
    unsigned rescue_reserve = 0;
};

template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate_builder;

// Decides which requests are sent to a server, and when.
//
// Guarantees that no more than `limit()` requests are admitted and unfinished,
// except that a falling limit does not recall requests that are already
// admitted. A refused request was never admitted, so it is safe to answer it as
// not run. Each admitted request must be finished exactly once.
template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate
{
public:
    using builder = basic_server_gate_builder<Ramp, Limit>;

    // The state of the server is unknown to a new gate, so it starts with the
    // limit of the ramp after a reset.
    basic_server_gate(
        const gate_settings& settings, Ramp ramp, Limit limit, time_point now)
        : settings_(settings),
          ramp_(std::move(ramp)),
          adaptive_limit_(std::move(limit)),
          service_time_(settings.baseline),
          queue_(std::size_t{settings.queue_capacity_per_slot} * settings.slots)
    {
        adaptive_limit_.start(settings.slots);
        reset_server_state(now, false);
    }

    // Call for each request to the server.
    offer_result offer(const gate_request& request, time_point now)
    {
        if (draining_)
            return refused(error_kind::shutting_down);
        if (out_of_service_)
            return refused(error_kind::domain_out_of_service);
        if (request.deadline <= now)
            return refused(error_kind::deadline_exceeded_not_run);
        if (request.level == priority::rescue)
            last_rescue_ = now;
        const std::size_t ahead = queue_.ahead_of(request);
        if (ahead == 0 && may_start(request.level, now)) {
            start(request, now);
            return {admission_decision::admit, {}, {}};
        }
        if (now + expected_wait(ahead, now) + service_time_.required_time() >
            request.deadline)
            return refused(error_kind::deadline_exceeded_not_run);
        const auto pushed = queue_.push(request);
        if (!pushed.accepted)
            return refused(error_kind::overloaded);
        offer_result result{admission_decision::wait, {}, {}};
        if (pushed.displaced) {
            result.displaced =
                refusal{pushed.displaced->number, error_kind::overloaded};
        }
        return result;
    }

    // Call once for each admitted request, when it no longer uses a connection.
    // Throws `error` of kind `internal` for an unknown request.
    gate_changes finish(
        request_number number, answer_result result, time_point now)
    {
        const auto found = std::find_if(running_.begin(), running_.end(),
            [&](const auto& entry) { return entry.number == number; });
        if (found == running_.end()) {
            throw error(error_kind::internal,
                "cannot finish request " + std::to_string(number.value()) +
                    ": not among the " + std::to_string(running_.size()) +
                    " admitted requests of the gate");
        }
        const running_request done = *found;
        const auto in_flight = static_cast<unsigned>(running_.size());
        *found = running_.back();
        running_.pop_back();
        record_result(done, result, in_flight, now);
        const bool aborted = result == answer_result::cancelled ||
                             result == answer_result::timed_out;
        // A new gate has no measured latency, so it assumes that the aborted
        // work may take as long again as it has taken so far.
        if (aborted && ramping(now)) {
            aborted_work_ends_.push_back(
                std::max(done.start + service_time_.required_time(),
                    now + (now - done.start)));
        }
        gate_changes changes;
        admit_waiting(changes, now);
        return changes;
    }

    // Call at least every 100 ms. Refuses the waiting requests that cannot
    // finish before their deadline, and admits those that the ramp now allows.
    gate_changes expire(time_point now)
    {
        gate_changes changes;
        std::erase_if(
            aborted_work_ends_, [now](time_point end) { return end <= now; });
        for (const auto& request :
            queue_.remove_expired(now + service_time_.required_time()))
            changes.refused.push_back(
                {request.number, error_kind::deadline_exceeded_not_run});
        admit_waiting(changes, now);
        return changes;
    }

    // Call when the caller has disconnected. An admitted request must still be
    // finished.
    cancel_result cancel(request_number number, time_point)
    {
        if (queue_.remove(number))
            return cancel_result::was_waiting;
        const bool admitted = std::any_of(running_.begin(), running_.end(),
            [&](const auto& entry) { return entry.number == number; });
        return admitted ? cancel_result::admitted : cancel_result::not_found;
    }

    // Call when the server or this instance leaves. Waiting requests are
    // refused, admitted ones continue; `idle()` is true when all have finished.
    gate_changes drain()
    {
        draining_ = true;
        return refuse_waiting(error_kind::shutting_down);
    }

    // Call when operators take the failure domain of the server out of service
    // or return it to service. The state of a returned server is unknown.
    gate_changes set_out_of_service(bool out, time_point now)
    {
        if (out_of_service_ && !out)
            reset_server_state(now, false);
        out_of_service_ = out;
        if (!out)
            return {};
        return refuse_waiting(error_kind::domain_out_of_service);
    }

    // Call with each report of the server. A report can only lower the limit:
    // reports arrive late, and one from before a restart must not raise a limit
    // that has just been reset.
    void on_report(const load_report& report, time_point now)
    {
        if (report.cold)
            reset_server_state(now, false);
        else if (report.utilization > 1.0)
            adaptive_limit_.lower_to(static_cast<unsigned>(
                static_cast<double>(limit(now)) / report.utilization));
    }

    // Call when the server closes a connection unexpectedly or refuses one.
    void on_connection_reset(time_point now)
    {
        reset_server_state(now, true);
    }

    // Returns the number of requests that may be at the server at a time.
    unsigned limit(time_point now) const
    {
        return std::max(
            1U, std::min({settings_.slots, ramp_.limit(settings_.slots, now),
                    adaptive_limit_.value()}));
    }

    // Whether no request is admitted or waiting.
    bool idle() const
    {
        return running_.empty() && queue_.size() == 0;
    }

    gate_summary summary(time_point now) const
    {
        return {limit(now), static_cast<unsigned>(running_.size()),
            static_cast<unsigned>(queue_.size()), service_time_.mean(),
            draining_ || out_of_service_, ramping(now)};
    }

private:
    struct running_request
    {
        request_number number;
        time_point start;
    };

    // `rescue_reserve` slots stay reserved for this time after each rescue
    // request.
    static constexpr duration rescue_reserve_period = std::chrono::seconds(10);

    static offer_result refused(error_kind reason)
    {
        return {admission_decision::refuse, reason, {}};
    }

    // Restarts the ramp because the state of the server is unknown. `failed` is
    // passed to the ramp.
    void reset_server_state(time_point now, bool failed)
    {
        ramp_.reset(now, failed);
        service_time_.reset_recent();
        state_reset_at_ = now;
    }

    bool ramping(time_point now) const
    {
        return ramp_.limit(settings_.slots, now) < settings_.slots;
    }

    unsigned limit_for(priority level, time_point now) const
    {
        const unsigned total = limit(now);
        if (level == priority::rescue || !last_rescue_ ||
            now - *last_rescue_ > rescue_reserve_period)
            return total;
        // One slot remains for the other priority classes.
        return std::max(1U, total - std::min(total, settings_.rescue_reserve));
    }

    bool may_start(priority level, time_point now) const
    {
        const auto aborted =
            std::count_if(aborted_work_ends_.begin(), aborted_work_ends_.end(),
                [now](time_point end) { return end > now; });
        return running_.size() + static_cast<std::size_t>(aborted) <
               limit_for(level, now);
    }

    void start(const gate_request& request, time_point now)
    {
        running_.push_back({request.number, now});
    }

    // Returns the mean time until one of `limit` slots becomes free, multiplied
    // by the number of requests ahead plus one for this request.
    duration expected_wait(std::size_t ahead, time_point now) const
    {
        return service_time_.mean() * static_cast<std::int64_t>(ahead + 1) /
               limit(now);
    }

    // Updates the ramp, the limit and the latency estimate.
    void record_result(const running_request& done, answer_result result,
        unsigned in_flight, time_point now)
    {
        const duration latency = now - done.start;
        // The answer to a request that was sent before the last reset is no
        // evidence about the current state of the server.
        const bool current = done.start >= state_reset_at_;
        switch (result) {
        case answer_result::complete:
        case answer_result::timed_out:
            service_time_.add(latency, current, !ramping(now));
            if (current && service_time_.far_above_baseline())
                reset_server_state(now, false);
            else if (current)
                ramp_.on_answer(result == answer_result::complete &&
                                    service_time_.near_baseline(),
                    now);
            adaptive_limit_.on_answer(
                {latency, service_time_.baseline(), in_flight});
            break;
        case answer_result::refused_cold:
        case answer_result::failed:
            reset_server_state(now, true);
            adaptive_limit_.on_overload();
            break;
        case answer_result::refused_busy:
            ramp_.on_answer(false, now);
            adaptive_limit_.on_overload();
            break;
        case answer_result::cancelled:
            break;
        }
    }

    void admit_waiting(gate_changes& changes, time_point now)
    {
        while (queue_.size() > 0 && may_start(priority::rescue, now)) {
            const bool rescue_only = !may_start(priority::bulk, now);
            const auto next = queue_.pop(rescue_only);
            if (!next)
                return;
            if (next->deadline <= now + service_time_.required_time()) {
                changes.refused.push_back(
                    {next->number, error_kind::deadline_exceeded_not_run});
                continue;
            }
            start(*next, now);
            changes.admitted.push_back(next->number);
        }
    }

    gate_changes refuse_waiting(error_kind reason)
    {
        gate_changes changes;
        for (const auto& request : queue_.remove_all())
            changes.refused.push_back({request.number, reason});
        return changes;
    }

    gate_settings settings_;
    Ramp ramp_;
    Limit adaptive_limit_;
    service_time service_time_;
    waiting_queue queue_;
    std::vector<running_request> running_;
    // Times until which a server that is not known to be warm may still work on
    // aborted requests. Not every server notices at once that a request was
    // aborted.
    std::vector<time_point> aborted_work_ends_;
    time_point state_reset_at_;
    std::optional<time_point> last_rescue_;
    bool draining_ = false;
    bool out_of_service_ = false;
};

// Builds a gate and validates its settings.
template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate_builder
{
public:
    // Number of requests that a warm server handles at a time, from 1 to 1024.
    basic_server_gate_builder& slots(unsigned count)
    {
        settings_.slots = count;
        return *this;
    }

    // Latency of a warm server without a queue, greater than zero.
    basic_server_gate_builder& baseline(duration value)
    {
        settings_.baseline = value;
        return *this;
    }

    // Number of slots that only rescue requests may use while such requests
    // arrive. One slot always remains for the other priority classes.
    basic_server_gate_builder& rescue_reserve(unsigned count)
    {
        settings_.rescue_reserve = count;
        return *this;
    }

    basic_server_gate_builder& ramp(Ramp value)
    {
        ramp_ = std::move(value);
        return *this;
    }

    basic_server_gate_builder& limit(Limit value)
    {
        limit_ = std::move(value);
        return *this;
    }

    // Throws `error` of kind `bad_settings` if a setting is out of range.
    basic_server_gate<Ramp, Limit> build(time_point now) const
    {
        check_gate_settings(settings_.slots, settings_.baseline);
        return {settings_, ramp_, limit_, now};
    }

private:
    gate_settings settings_;
    Ramp ramp_{};
    Limit limit_{};
};

using server_gate = basic_server_gate<evidence_ramp, gradient_limit>;
using server_gate_builder =
    basic_server_gate_builder<evidence_ramp, gradient_limit>;

} // namespace filberthub

#endif
