// Compares admission strategies in the queue model of load_model.hpp.
//
//     load_scenario scenario;
//     scenario.cold_servers = 1;
//     auto held = run_holder<server_gate>(
//         scenario, server_gate_builder(), server_choice::selector);
//     auto lent = run_lent_credits(scenario, 50ms);
//     auto local = run_local_limits(scenario);

#ifndef FILBERTHUB_ADMISSION_LOAD_EXPERIMENT_HPP
#define FILBERTHUB_ADMISSION_LOAD_EXPERIMENT_HPP

#include <filberthub/admission/load_model.hpp>
#include <filberthub/admission/server_gate.hpp>
#include <filberthub/admission/server_selector.hpp>

#include <string>
#include <vector>

namespace filberthub {

// How the server of a request is chosen.
enum class server_choice : std::uint8_t
{
    // The server of the key.
    keyed,
    round_robin,
    // The choice of `server_selector`, by expected wait.
    selector
};

namespace detail {

inline constexpr duration tick_interval = std::chrono::milliseconds(50);
inline constexpr unsigned ticks_per_heartbeat = 5;

// Each server has one holder with the only gate of the server. Each request
// makes a hop to the holder of its server, unless it arrives there.
template <class Gate>
class holder_strategy
{
public:
    holder_strategy(load_simulation& simulation, typename Gate::builder builder,
        server_choice choice)
        : simulation_(simulation), choice_(choice)
    {
        const load_scenario& scenario = simulation.scenario();
        builder.slots(scenario.slots).baseline(scenario.mean_service_time);
        for (unsigned index = 0; index < scenario.servers; ++index)
            gates_.push_back(builder.build(simulation.now()));
        for (unsigned index = 0; index < scenario.instances; ++index)
            next_server_.push_back(simulation.engine()() % scenario.servers);
        selectors_.resize(scenario.instances, server_selector(scenario.hop));
        for (auto& selector : selectors_) {
            for (unsigned index = 0; index < scenario.servers; ++index) {
                selector.add(domain_of(index));
                selector.update(index, gates_[index].summary(simulation.now()));
            }
        }
        simulation.on_restart([this](std::size_t index) {
            gates_[index].on_connection_reset(simulation_.now());
        });
        on_tick(0);
    }

    void arrive(std::size_t index)
    {
        load_request& request = simulation_.at(index);
        if (choice_ == server_choice::round_robin) {
            request.server = next_server_[request.instance]++ % gates_.size();
        } else if (choice_ == server_choice::selector) {
            auto& selector = selectors_[request.instance];
            const auto chosen = selector.choose(
                domain_of(request.instance), simulation_.engine());
            if (!chosen)
                return simulation_.record_result(
                    index, answer_result::refused_busy, {});
            request.server = *chosen;
            selector.on_sent(*chosen);
        }
        simulation_.schedule(
            one_way_latency(index), [this, index] { offer(index); });
    }

private:
    duration one_way_latency(std::size_t index)
    {
        const load_request& request = simulation_.at(index);
        const bool same_instance =
            request.server % simulation_.scenario().instances ==
            request.instance;
        if (same_instance)
            return duration::zero();
        const load_scenario& scenario = simulation_.scenario();
        const bool same_domain =
            scenario.domains > 0 && request.server % scenario.domains ==
                                        request.instance % scenario.domains;
        return (same_domain ? scenario.local_hop : scenario.hop) / 2;
    }

    failure_domain_id domain_of(std::size_t index) const
    {
        const unsigned domains = std::max(1U, simulation_.scenario().domains);
        return failure_domain_id(std::to_string(index % domains));
    }

    void offer(std::size_t index)
    {
        const load_request& request = simulation_.at(index);
        const auto result = gates_[request.server].offer(
            {request_number(index), request.level,
                request.arrived + simulation_.scenario().deadline},
            simulation_.now());
        if (result.displaced)
            refuse(result.displaced->number.value());
        if (result.decision == admission_decision::admit)
            send(index);
        else if (result.decision == admission_decision::refuse)
            refuse(index);
    }

    void refuse(std::size_t index)
    {
        simulation_.record_result(
            index, answer_result::refused_busy, one_way_latency(index));
    }

    void send(std::size_t index)
    {
        simulation_.send(index, [this, index](answer_result result) {
            const load_request& request = simulation_.at(index);
            auto& gate = gates_[request.server];
            const auto changes =
                gate.finish(request_number(index), result, simulation_.now());
            simulation_.record_result(index, result, one_way_latency(index));
            selectors_[request.instance].update(
                request.server, gate.summary(simulation_.now()));
            apply(changes);
        });
    }

    void apply(const gate_changes& changes)
    {
        for (const auto& refused : changes.refused)
            refuse(refused.number.value());
        for (const auto number : changes.admitted)
            send(number.value());
    }

    void on_tick(unsigned count)
    {
        for (auto& gate : gates_)
            apply(gate.expire(simulation_.now()));
        if (count % ticks_per_heartbeat == 0) {
            for (auto& selector : selectors_) {
                for (std::size_t index = 0; index < gates_.size(); ++index)
                    selector.update(
                        index, gates_[index].summary(simulation_.now()));
                selector.refresh();
            }
        }
        simulation_.schedule(
            tick_interval, [this, count] { on_tick(count + 1); });
    }

    load_simulation& simulation_;
    server_choice choice_;
    // The next server of each instance for round robin. Each instance has its
    // own random start.
    std::vector<std::size_t> next_server_;
    std::vector<Gate> gates_;
    std::vector<server_selector> selectors_;
};

// The holder of a server lends slots to instances as credits. An instance keeps
// an unused credit for `idle_timeout`; during this time its next request for
// the server needs no hop.
class lent_credits
{
public:
    using gate_type = basic_server_gate<linear_ramp, static_limit>;

    lent_credits(load_simulation& simulation, duration idle_timeout)
        : simulation_(simulation),
          idle_timeout_(idle_timeout),
          idle_credits_(std::size_t{simulation.scenario().servers} *
                        simulation.scenario().instances)
    {
        gate_type::builder builder;
        builder.slots(simulation.scenario().slots)
            .baseline(simulation.scenario().mean_service_time);
        for (unsigned index = 0; index < simulation.scenario().servers; ++index)
            gates_.push_back(builder.build(simulation.now()));
    }

    void arrive(std::size_t index)
    {
        auto& idle = idle_credits_of(index);
        if (!idle.empty()) {
            const std::uint64_t credit = idle.back();
            idle.pop_back();
            return send(index, credit);
        }
        simulation_.schedule(simulation_.scenario().hop / 2, [this, index] {
            const load_request& request = simulation_.at(index);
            const auto result = gates_[request.server].offer(
                {request_number(index), request.level,
                    request.arrived + simulation_.scenario().deadline},
                simulation_.now());
            if (result.decision == admission_decision::admit)
                lend_credit(index);
            else if (result.decision == admission_decision::refuse)
                refuse(index);
        });
    }

private:
    std::vector<std::uint64_t>& idle_credits_of(std::size_t index)
    {
        const load_request& request = simulation_.at(index);
        return idle_credits_[request.server * simulation_.scenario().instances +
                             request.instance];
    }

    void refuse(std::size_t index)
    {
        simulation_.record_result(
            index, answer_result::refused_busy, simulation_.scenario().hop / 2);
    }

    // A credit is identified by the number of the request it was first lent to.
    void lend_credit(std::size_t index)
    {
        simulation_.schedule(simulation_.scenario().hop / 2,
            [this, index] { send(index, index); });
    }

    void send(std::size_t index, std::uint64_t credit)
    {
        simulation_.send(index, [this, index, credit](answer_result result) {
            simulation_.record_result(index, result, {});
            if (result != answer_result::complete)
                return return_credit(index, credit, result);
            idle_credits_of(index).push_back(credit);
            simulation_.schedule(idle_timeout_, [this, index, credit] {
                auto& idle = idle_credits_of(index);
                const auto found = std::find(idle.begin(), idle.end(), credit);
                if (found == idle.end())
                    return;
                idle.erase(found);
                return_credit(index, credit, answer_result::cancelled);
            });
        });
    }

    // Returns a credit to the holder. The gate measures the latency until the
    // return, since the credit carries no latency of its own in this model.
    void return_credit(
        std::size_t index, std::uint64_t credit, answer_result result)
    {
        simulation_.schedule(
            simulation_.scenario().hop / 2, [this, index, credit, result] {
                const auto changes =
                    gates_[simulation_.at(index).server].finish(
                        request_number(credit), result, simulation_.now());
                for (const auto& refused : changes.refused)
                    refuse(refused.number.value());
                for (const auto number : changes.admitted)
                    lend_credit(number.value());
            });
    }

    load_simulation& simulation_;
    duration idle_timeout_;
    std::vector<gate_type> gates_;
    std::vector<std::vector<std::uint64_t>> idle_credits_;
};

// No holders: each instance adapts its own limit for each server. The server
// sheds what is too much, and the instance retries the shed requests.
class local_limits
{
public:
    explicit local_limits(load_simulation& simulation)
        : simulation_(simulation),
          senders_(std::size_t{simulation.scenario().servers} *
                   simulation.scenario().instances)
    {
        for (sender_state& sender : senders_)
            sender.limit.start(simulation.scenario().slots);
    }

    void arrive(std::size_t index)
    {
        sender_state& sender = sender_of(index);
        if (sender.waiting.size() >= 32)
            return simulation_.record_result(
                index, answer_result::refused_busy, {});
        sender.waiting.push_back(index);
        send_next(sender);
    }

private:
    // Delay before a shed request is sent again.
    static constexpr duration backoff = std::chrono::milliseconds(2);

    // State of one instance for one server.
    struct sender_state
    {
        aimd_limit limit;
        unsigned in_flight = 0;
        std::deque<std::size_t> waiting;
    };

    sender_state& sender_of(std::size_t index)
    {
        const load_request& request = simulation_.at(index);
        return senders_[request.server * simulation_.scenario().instances +
                        request.instance];
    }

    void send_next(sender_state& sender)
    {
        while (sender.in_flight < sender.limit.value() &&
               !sender.waiting.empty()) {
            const std::size_t index = sender.waiting.front();
            sender.waiting.pop_front();
            const load_scenario& scenario = simulation_.scenario();
            if (simulation_.at(index).arrived + scenario.deadline <=
                simulation_.now()) {
                simulation_.record_result(
                    index, answer_result::refused_busy, {});
                continue;
            }
            ++sender.in_flight;
            const time_point start = simulation_.now();
            simulation_.send(
                index, [this, &sender, index, start](answer_result result) {
                    finish(sender, index, result, simulation_.now() - start);
                });
        }
    }

    void finish(sender_state& sender, std::size_t index, answer_result result,
        duration latency)
    {
        const unsigned in_flight = sender.in_flight--;
        if (result == answer_result::complete)
            sender.limit.on_answer(
                {latency, simulation_.scenario().mean_service_time, in_flight});
        else
            sender.limit.on_overload();
        if (result == answer_result::refused_busy) {
            simulation_.schedule(backoff, [this, &sender, index] {
                sender.waiting.push_front(index);
                send_next(sender);
            });
            return;
        }
        simulation_.record_result(index, result, {});
        send_next(sender);
    }

    load_simulation& simulation_;
    std::vector<sender_state> senders_;
};

} // namespace detail

// Runs a scenario in which the holder of each server admits all its requests.
template <class Gate>
load_result run_holder(const load_scenario& scenario,
    const typename Gate::builder& builder, server_choice choice)
{
    load_simulation simulation(scenario);
    detail::holder_strategy<Gate> strategy(simulation, builder, choice);
    return simulation.run(strategy);
}

// Runs a scenario in which holders lend slots to instances. An unused slot
// returns after `idle_timeout`.
inline load_result run_lent_credits(
    const load_scenario& scenario, duration idle_timeout)
{
    load_simulation simulation(scenario);
    detail::lent_credits strategy(simulation, idle_timeout);
    return simulation.run(strategy);
}

// Runs a scenario in which each instance limits its own requests.
inline load_result run_local_limits(const load_scenario& scenario)
{
    load_simulation simulation(scenario);
    detail::local_limits strategy(simulation);
    return simulation.run(strategy);
}

} // namespace filberthub

#endif
