// Compares strategies of admission in the queue model.
//
//     load_scenario scenario;
//     scenario.cold = 1;
//     auto ours = run_holder<server_gate>(
//         scenario, server_gate_builder(), server_choice::selector);
//     auto lent = run_lent_credits(scenario, 50ms);
//     auto guess = run_local_guess(scenario);

#ifndef FILBERTHUB_ADMISSION_LOAD_EXPERIMENT_HPP
#define FILBERTHUB_ADMISSION_LOAD_EXPERIMENT_HPP

#include <filberthub/admission/load_model.hpp>
#include <filberthub/admission/server_gate.hpp>
#include <filberthub/admission/server_selector.hpp>

#include <string>
#include <vector>

namespace filberthub {

enum class server_choice : std::uint8_t
{
    // The server of the key.
    keyed,
    round_robin,
    // Two random choices by expected wait.
    selector
};

namespace detail {

inline constexpr duration tick = std::chrono::milliseconds(50);
inline constexpr unsigned ticks_per_heartbeat = 5;

// One holder per server: each request makes a hop to the holder of its server.
template <class Gate>
class holder_strategy
{
public:
    holder_strategy(
        load_world& world, typename Gate::builder builder, server_choice choice)
        : world_(world), choice_(choice)
    {
        const load_scenario& scenario = world.scenario();
        builder.slots(scenario.slots).baseline(scenario.service);
        for (unsigned index = 0; index < scenario.servers; ++index)
            gates_.push_back(builder.build(world.now()));
        for (unsigned index = 0; index < scenario.instances; ++index)
            next_.push_back(world.engine()() % scenario.servers);
        selectors_.resize(scenario.instances, server_selector(scenario.hop));
        for (auto& selector : selectors_) {
            for (unsigned index = 0; index < scenario.servers; ++index) {
                selector.add(domain_of(index));
                selector.update(index, gates_[index].summary(world.now()));
            }
        }
        world.on_restart([this](std::size_t index) {
            gates_[index].on_connection_reset(world_.now());
        });
        on_tick(0);
    }

    void arrive(std::size_t index)
    {
        load_request& request = world_.at(index);
        if (choice_ == server_choice::round_robin) {
            request.server = next_[request.instance]++ % gates_.size();
        } else if (choice_ == server_choice::selector) {
            auto& selector = selectors_[request.instance];
            const auto chosen =
                selector.choose(domain_of(request.instance), world_.engine());
            if (!chosen)
                return world_.answer(index, answer_result::refused_busy, {});
            request.server = *chosen;
            selector.on_sent(*chosen);
        }
        world_.after(travel(index), [this, index] { offer(index); });
    }

private:
    duration travel(std::size_t index)
    {
        const load_request& request = world_.at(index);
        const bool own =
            request.server % world_.scenario().instances == request.instance;
        if (own)
            return duration::zero();
        const load_scenario& scenario = world_.scenario();
        const bool near =
            scenario.domains > 0 && request.server % scenario.domains ==
                                        request.instance % scenario.domains;
        return (near ? scenario.near_hop : scenario.hop) / 2;
    }

    failure_domain_id domain_of(std::size_t index) const
    {
        const unsigned domains = std::max(1U, world_.scenario().domains);
        return failure_domain_id(std::to_string(index % domains));
    }

    void offer(std::size_t index)
    {
        const load_request& request = world_.at(index);
        const auto result = gates_[request.server].offer(
            {request_number(index), request.level,
                request.arrived + world_.scenario().deadline},
            world_.now());
        if (result.displaced)
            refuse(result.displaced->number.value());
        if (result.decision == verdict::admit)
            send(index);
        else if (result.decision == verdict::refuse)
            refuse(index);
    }

    void refuse(std::size_t index)
    {
        world_.answer(index, answer_result::refused_busy, travel(index));
    }

    void send(std::size_t index)
    {
        world_.send(index, [this, index](answer_result how) {
            const load_request& request = world_.at(index);
            auto& gate = gates_[request.server];
            const auto changes =
                gate.finish(request_number(index), how, world_.now());
            world_.answer(index, how, travel(index));
            selectors_[request.instance].update(
                request.server, gate.summary(world_.now()));
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
            apply(gate.expire(world_.now()));
        if (count % ticks_per_heartbeat == 0) {
            for (auto& selector : selectors_) {
                for (std::size_t index = 0; index < gates_.size(); ++index)
                    selector.update(index, gates_[index].summary(world_.now()));
                selector.refresh();
            }
        }
        world_.after(tick, [this, count] { on_tick(count + 1); });
    }

    load_world& world_;
    server_choice choice_;
    // Each instance goes round on its own, from a place of its own.
    std::vector<std::size_t> next_;
    std::vector<Gate> gates_;
    std::vector<server_selector> selectors_;
};

// A holder lends slots to instances. An instance keeps an unused slot for a
// time, in which its next request for the server needs no hop.
class lent_credits
{
public:
    using gate_type = basic_server_gate<linear_ramp, static_limit>;

    lent_credits(load_world& world, duration keep)
        : world_(world),
          keep_(keep),
          idle_(std::size_t{world.scenario().servers} *
                world.scenario().instances)
    {
        gate_type::builder builder;
        builder.slots(world.scenario().slots)
            .baseline(world.scenario().service);
        for (unsigned index = 0; index < world.scenario().servers; ++index)
            gates_.push_back(builder.build(world.now()));
    }

    void arrive(std::size_t index)
    {
        auto& idle = idle_at(index);
        if (!idle.empty()) {
            const std::uint64_t credit = idle.back();
            idle.pop_back();
            return send(index, credit);
        }
        world_.after(world_.scenario().hop / 2, [this, index] {
            const load_request& request = world_.at(index);
            const auto result = gates_[request.server].offer(
                {request_number(index), request.level,
                    request.arrived + world_.scenario().deadline},
                world_.now());
            if (result.decision == verdict::admit)
                lend(index);
            else if (result.decision == verdict::refuse)
                refuse(index);
        });
    }

private:
    std::vector<std::uint64_t>& idle_at(std::size_t index)
    {
        const load_request& request = world_.at(index);
        return idle_[request.server * world_.scenario().instances +
                     request.instance];
    }

    void refuse(std::size_t index)
    {
        world_.answer(
            index, answer_result::refused_busy, world_.scenario().hop / 2);
    }

    // The number of the first request is the name of the credit.
    void lend(std::size_t index)
    {
        world_.after(
            world_.scenario().hop / 2, [this, index] { send(index, index); });
    }

    void send(std::size_t index, std::uint64_t credit)
    {
        world_.send(index, [this, index, credit](answer_result how) {
            world_.answer(index, how, {});
            if (how != answer_result::good)
                return give_back(index, credit, how);
            idle_at(index).push_back(credit);
            world_.after(keep_, [this, index, credit] {
                auto& idle = idle_at(index);
                const auto found = std::find(idle.begin(), idle.end(), credit);
                if (found == idle.end())
                    return;
                idle.erase(found);
                give_back(index, credit, answer_result::cancelled);
            });
        });
    }

    // A result that the holder learns from has no latency of its own here.
    void give_back(std::size_t index, std::uint64_t credit, answer_result how)
    {
        world_.after(world_.scenario().hop / 2, [this, index, credit, how] {
            const auto changes = gates_[world_.at(index).server].finish(
                request_number(credit), how, world_.now());
            for (const auto& refused : changes.refused)
                refuse(refused.number.value());
            for (const auto number : changes.admitted)
                lend(number.value());
        });
    }

    load_world& world_;
    duration keep_;
    std::vector<gate_type> gates_;
    std::vector<std::vector<std::uint64_t>> idle_;
};

// Each instance guesses how much it may send; the server sheds the rest, which
// the instance sends again.
class local_guess
{
public:
    explicit local_guess(load_world& world)
        : world_(world),
          views_(std::size_t{world.scenario().servers} *
                 world.scenario().instances)
    {
        for (view& each : views_)
            each.limit.start(world.scenario().slots);
    }

    void arrive(std::size_t index)
    {
        view& own = view_of(index);
        if (own.waiting.size() >= 32)
            return world_.answer(index, answer_result::refused_busy, {});
        own.waiting.push_back(index);
        send_next(own);
    }

private:
    static constexpr duration backoff = std::chrono::milliseconds(2);

    struct view
    {
        aimd_limit limit;
        unsigned in_flight = 0;
        std::deque<std::size_t> waiting;
    };

    view& view_of(std::size_t index)
    {
        const load_request& request = world_.at(index);
        return views_[request.server * world_.scenario().instances +
                      request.instance];
    }

    void send_next(view& own)
    {
        while (own.in_flight < own.limit.value() && !own.waiting.empty()) {
            const std::size_t index = own.waiting.front();
            own.waiting.pop_front();
            const load_scenario& scenario = world_.scenario();
            if (world_.at(index).arrived + scenario.deadline <= world_.now()) {
                world_.answer(index, answer_result::refused_busy, {});
                continue;
            }
            ++own.in_flight;
            const time_point start = world_.now();
            world_.send(index, [this, &own, index, start](answer_result how) {
                finish(own, index, how, world_.now() - start);
            });
        }
    }

    void finish(
        view& own, std::size_t index, answer_result how, duration latency)
    {
        const unsigned in_flight = own.in_flight--;
        if (how == answer_result::good)
            own.limit.on_answer(
                {latency, world_.scenario().service, in_flight});
        else
            own.limit.on_overload();
        if (how == answer_result::refused_busy) {
            world_.after(backoff, [this, &own, index] {
                own.waiting.push_front(index);
                send_next(own);
            });
            return;
        }
        world_.answer(index, how, {});
        send_next(own);
    }

    load_world& world_;
    std::vector<view> views_;
};

} // namespace detail

template <class Gate>
load_result run_holder(const load_scenario& scenario,
    const typename Gate::builder& builder, server_choice choice)
{
    load_world world(scenario);
    detail::holder_strategy<Gate> strategy(world, builder, choice);
    return world.run(strategy);
}

inline load_result run_lent_credits(
    const load_scenario& scenario, duration keep)
{
    load_world world(scenario);
    detail::lent_credits strategy(world, keep);
    return world.run(strategy);
}

inline load_result run_local_guess(const load_scenario& scenario)
{
    load_world world(scenario);
    detail::local_guess strategy(world);
    return world.run(strategy);
}

} // namespace filberthub

#endif
