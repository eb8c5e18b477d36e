// Decides when to ask a gate again about a request, and when the host of a gate
// counts as unreachable.
//
//     gate_liveness liveness;
//     slot_question question(host, answer_deadline);
//     liveness.on_asked(question, now);
//     switch (liveness.next_step(question, now)) { ... }
//     liveness.on_queued(question, wait, now);
//
// Designed for an instance that has some hundred open questions at up to 113
// hosts. Hosts with 0.07 of a core reply within milliseconds when idle and
// after some hundred milliseconds under load.

#ifndef FILBERTHUB_ROUTING_GATE_LIVENESS_HPP
#define FILBERTHUB_ROUTING_GATE_LIVENESS_HPP

#include <filberthub/base/types.hpp>

#include <map>
#include <optional>
#include <set>

namespace filberthub {

// What an instance has asked about one request, and when it asks again.
struct slot_question
{
    slot_question(endpoint gate_host, time_point deadline)
        : host(std::move(gate_host)), answer_deadline(deadline)
    {}

    // Address of the instance that hosts the gate.
    endpoint host;
    time_point answer_deadline;
    // When the oldest question without an answer was sent; nothing while the
    // gate has answered all of them.
    std::optional<time_point> asked_at;
    // Number of questions without an answer.
    unsigned unanswered = 0;
    time_point ask_again_at;
};

enum class question_step : std::uint8_t
{
    wait,
    ask,
    // The host replies to nothing.
    host_silent,
    // The host replies to others, but this request cannot wait any longer.
    no_reply
};

// A request that waits in the queue of a gate never makes its host unreachable:
// only questions that are not answered do, and any reply of the host ends that.
class gate_liveness
{
public:
    // Whether slots may be requested from the host. False for some time after
    // it was silent.
    bool may_ask(const endpoint& host, time_point now) const;

    // To be called for each question that is sent.
    void on_asked(slot_question& question, time_point now);
    // The gate has answered that the request waits for `wait`.
    void on_queued(slot_question& question, milliseconds wait, time_point now);
    // The gate has granted or refused the request.
    void on_decided(const slot_question& question, time_point now);
    // A decision arrived about a request that was given up.
    void on_late_reply(const endpoint& host, time_point now);

    // What to do about the request now. To be called several times in
    // `min_reply_time`, after all datagrams that have arrived were handled.
    question_step next_step(const slot_question& question, time_point now);

    // Time by which nearly all replies of the host arrive.
    milliseconds reply_time(const endpoint& host) const;
    // Time without any reply after which the host counts as unreachable.
    milliseconds silence_limit(const endpoint& host) const;

    // Discards what is known about all other hosts.
    void keep_only(const std::set<endpoint>& hosts)
    {
        std::erase_if(hosts_,
            [&](const auto& item) { return !hosts.contains(item.first); });
    }

private:
    struct host_state
    {
        // Smoothed reply time and its mean deviation.
        double mean_ms = 0;
        double deviation_ms = 0;
        bool measured = false;
        // When the oldest question was sent since the host has last replied.
        std::optional<time_point> unheard_since;
        // The same for the question that made the host count as silent, until
        // it replies.
        std::optional<time_point> given_up_since;
        time_point silent_until;
    };

    void on_reply(const endpoint& host, std::optional<time_point> asked_at,
        time_point now);

    std::map<endpoint, host_state> hosts_;
};

} // namespace filberthub

#endif
