// Admission to one backend server at its holder.
//
//     auto gate = server_gate_builder().slots(2).baseline(8ms).build(now);
//     switch (gate.offer(request, now).decision) { ... }
//     auto changes = gate.finish(number, answer_result::good, now);
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

// What a gate is built from.
struct gate_settings
{
    unsigned slots = 1;
    // Latency of a warm server without a queue.
    duration baseline = std::chrono::milliseconds(10);
    unsigned places_per_slot = 32;
    // Slots which only rescue requests may use while there are any.
    unsigned rescue_reserve = 0;
};

template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate_builder;

// Guarantees: never more than `limit()` requests are admitted and unfinished,
// except that a limit which falls does not recall admitted requests. A refused
// request was never admitted, so each refusal may be answered as not run.
// Every admitted request has to be finished once.
template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate
{
public:
    using builder = basic_server_gate_builder<Ramp, Limit>;

    // A new gate knows nothing about its server, so that its limit is that of
    // the ramp after a reset.
    basic_server_gate(
        const gate_settings& settings, Ramp ramp, Limit limit, time_point now)
        : settings_(settings),
          ramp_(std::move(ramp)),
          adaptive_(std::move(limit)),
          times_(settings.baseline),
          queue_(std::size_t{settings.places_per_slot} * settings.slots)
    {
        adaptive_.start(settings.slots);
        forget(now, false);
    }

    // To be called for each request that wants to go to the server.
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
            return {verdict::admit, {}, {}};
        }
        if (now + expected_wait(ahead, now) + times_.needed() >
            request.deadline)
            return refused(error_kind::deadline_exceeded_not_run);
        const auto pushed = queue_.push(request);
        if (!pushed.accepted)
            return refused(error_kind::overloaded);
        offer_result result{verdict::wait, {}, {}};
        if (pushed.displaced) {
            result.displaced =
                refusal{pushed.displaced->number, error_kind::overloaded};
        }
        return result;
    }

    // To be called once for each admitted request, when its connection carries
    // it no longer. Throws `error` of kind `internal` for an unknown request.
    gate_changes finish(
        request_number number, answer_result result, time_point now)
    {
        const auto found = std::find_if(running_.begin(), running_.end(),
            [&](const auto& entry) { return entry.number == number; });
        if (found == running_.end()) {
            throw error(error_kind::internal,
                "request " + std::to_string(number.value()) +
                    " finished at a gate with " +
                    std::to_string(running_.size()) +
                    " admitted requests, none of which is this one");
        }
        const running_request done = *found;
        const auto in_flight = static_cast<unsigned>(running_.size());
        *found = running_.back();
        running_.pop_back();
        learn(done, result, in_flight, now);
        const bool broken_off = result == answer_result::cancelled ||
                                result == answer_result::timed_out;
        // A new gate does not know the usual time: the work may take as long
        // again as it has taken.
        if (broken_off && ramping(now)) {
            lingering_.push_back(std::max(
                done.start + times_.needed(), now + (now - done.start)));
        }
        gate_changes changes;
        admit_waiting(changes, now);
        return changes;
    }

    // To be called at least every 100 ms. Returns the requests which cannot
    // finish before their deadline, and the ones which the ramp lets in.
    gate_changes expire(time_point now)
    {
        gate_changes changes;
        std::erase_if(lingering_, [now](time_point end) { return end <= now; });
        for (const auto& request : queue_.remove_due(now + times_.needed()))
            changes.refused.push_back(
                {request.number, error_kind::deadline_exceeded_not_run});
        admit_waiting(changes, now);
        return changes;
    }

    // To be called when the caller is gone. An admitted request still has to
    // be finished.
    cancel_result cancel(request_number number, time_point)
    {
        if (queue_.remove(number))
            return cancel_result::was_waiting;
        const bool admitted = std::any_of(running_.begin(), running_.end(),
            [&](const auto& entry) { return entry.number == number; });
        return admitted ? cancel_result::admitted : cancel_result::absent;
    }

    // To be called when the server or this instance leaves. Waiting requests
    // are handed back, admitted ones finish; then `idle()` is true.
    gate_changes drain()
    {
        draining_ = true;
        return refuse_waiting(error_kind::shutting_down);
    }

    // To be called when operators take the failure domain of the server out of
    // service or return it. A returned server starts as an unknown one.
    gate_changes set_out_of_service(bool out, time_point now)
    {
        if (out_of_service_ && !out)
            forget(now, false);
        out_of_service_ = out;
        if (!out)
            return {};
        return refuse_waiting(error_kind::domain_out_of_service);
    }

    // To be called with each report of the server. It lowers the limit or
    // leaves it as it is: reports are late, and one from before a restart must
    // not open a gate that has just closed.
    void on_report(const load_report& report, time_point now)
    {
        if (report.cold)
            forget(now, false);
        else if (report.utilization > 1.0)
            adaptive_.lower_to(static_cast<unsigned>(
                static_cast<double>(limit(now)) / report.utilization));
    }

    // To be called when the server closes a connection unasked or refuses one.
    void on_connection_reset(time_point now)
    {
        forget(now, true);
    }

    // Requests that may be at the server at a time.
    unsigned limit(time_point now) const
    {
        return std::max(
            1U, std::min({settings_.slots, ramp_.limit(settings_.slots, now),
                    adaptive_.value()}));
    }

    bool idle() const
    {
        return running_.empty() && queue_.size() == 0;
    }

    gate_summary summary(time_point now) const
    {
        return {limit(now), static_cast<unsigned>(running_.size()),
            static_cast<unsigned>(queue_.size()), times_.mean(),
            draining_ || out_of_service_, ramping(now)};
    }

private:
    struct running_request
    {
        request_number number;
        time_point start;
    };

    // While rescue requests arrive, their share of the slots stays reserved.
    static constexpr duration rescue_memory = std::chrono::seconds(10);

    static offer_result refused(error_kind reason)
    {
        return {verdict::refuse, reason, {}};
    }

    void forget(time_point now, bool failed)
    {
        ramp_.reset(now, failed);
        times_.forget();
        unknown_since_ = now;
    }

    bool ramping(time_point now) const
    {
        return ramp_.limit(settings_.slots, now) < settings_.slots;
    }

    unsigned limit_for(priority level, time_point now) const
    {
        const unsigned all = limit(now);
        if (level == priority::rescue || !last_rescue_ ||
            now - *last_rescue_ > rescue_memory)
            return all;
        // One slot remains for the other classes.
        return std::max(1U, all - std::min(all, settings_.rescue_reserve));
    }

    bool may_start(priority level, time_point now) const
    {
        const auto lingering = std::count_if(lingering_.begin(),
            lingering_.end(), [now](time_point end) { return end > now; });
        return running_.size() + static_cast<std::size_t>(lingering) <
               limit_for(level, now);
    }

    void start(const gate_request& request, time_point now)
    {
        running_.push_back({request.number, now});
    }

    // The time until one of `limit` slots becomes free, once for each request
    // ahead and once more for this one.
    duration expected_wait(std::size_t ahead, time_point now) const
    {
        return times_.mean() * static_cast<std::int64_t>(ahead + 1) /
               limit(now);
    }

    void learn(const running_request& done, answer_result result,
        unsigned in_flight, time_point now)
    {
        const duration latency = now - done.start;
        // A request sent before the state was forgotten is no evidence about
        // the server as it is now.
        const bool current = done.start >= unknown_since_;
        switch (result) {
        case answer_result::good:
        case answer_result::timed_out:
            times_.add(latency, current, !ramping(now));
            if (current && times_.suspicious())
                forget(now, false);
            else if (current)
                ramp_.on_answer(
                    result == answer_result::good && times_.good(), now);
            adaptive_.on_answer({latency, times_.baseline(), in_flight});
            break;
        case answer_result::refused_cold:
        case answer_result::failed:
            forget(now, true);
            adaptive_.on_overload();
            break;
        case answer_result::refused_busy:
            ramp_.on_answer(false, now);
            adaptive_.on_overload();
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
            if (next->deadline <= now + times_.needed()) {
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
    Limit adaptive_;
    service_time times_;
    waiting_queue queue_;
    std::vector<running_request> running_;
    // Until when a server whose limit is not known may still work on requests
    // that were broken off: not each server notices that at once.
    std::vector<time_point> lingering_;
    time_point unknown_since_;
    std::optional<time_point> last_rescue_;
    bool draining_ = false;
    bool out_of_service_ = false;
};

// Builds a gate and checks its settings.
template <ramp_policy Ramp, limit_policy Limit>
class basic_server_gate_builder
{
public:
    // Requests that a warm server handles at a time, 1 to 1024.
    basic_server_gate_builder& slots(unsigned count)
    {
        settings_.slots = count;
        return *this;
    }

    // Latency of a warm server without a queue, above zero.
    basic_server_gate_builder& baseline(duration value)
    {
        settings_.baseline = value;
        return *this;
    }

    // Slots that only rescue requests may use while there are any. One slot
    // always remains for the other classes.
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

    // Throws `error` of kind `bad_settings`.
    basic_server_gate<Ramp, Limit> build(time_point now) const
    {
        check_settings(settings_.slots, settings_.baseline);
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
