// A queue model of one service in virtual time, to compare admission
// strategies. It models arrivals, backend servers and their cold starts, but
// neither the network nor faults of instances.
//
//     load_simulation simulation(scenario);
//     strategy admission(simulation);
//     load_result result = simulation.run(admission);

#ifndef FILBERTHUB_ADMISSION_LOAD_MODEL_HPP
#define FILBERTHUB_ADMISSION_LOAD_MODEL_HPP

#include <filberthub/admission/gate_types.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace filberthub {

// Parameters of a simulated service.
struct load_scenario
{
    unsigned servers = 14;
    unsigned slots = 2;
    unsigned instances = 24;
    // Arrival rate divided by the capacity of all servers when warm.
    double load = 0.7;
    // Mean and shape parameter of the lognormal service time.
    duration mean_service_time = std::chrono::milliseconds(8);
    double sigma = 0.5;
    // Round-trip latency of a hop to another failure domain, and of one within
    // a failure domain.
    duration hop = std::chrono::microseconds(1400);
    duration local_hop = std::chrono::microseconds(200);
    // Servers and instances are assigned to the domains in turn. With 0, each
    // hop has the latency `hop`.
    unsigned domains = 0;
    duration deadline = std::chrono::milliseconds(250);
    // Whether each request can be handled by one server only.
    bool keyed = true;
    // Share of the requests that have rescue priority.
    double rescue_share = 0;
    // Number of servers that restart without notice at `change_time`.
    unsigned cold_servers = 0;
    // Service time of the first answer of a cold server, relative to a warm
    // one.
    double cold_slowdown = 3;
    // Whether holders notice a restart because it closes their idle
    // connections.
    bool resets_detected = true;
    // Number of servers whose service time is multiplied by
    // `straggler_slowdown` from `change_time` on.
    unsigned stragglers = 0;
    double straggler_slowdown = 5;
    duration change_time = std::chrono::seconds(5);
    // End of the run. Only arrivals after `change_time` are measured.
    duration run_duration = std::chrono::seconds(25);
    std::uint64_t seed = 1;
};

// Measurements of one run.
struct load_result
{
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double rescue_p99_ms = 0;
    // Share of the measured requests that were answered within the deadline.
    double goodput = 0;
    // Number of times that a server in cold start received more requests than
    // it can handle.
    unsigned overloads = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

// A simulated request.
struct load_request
{
    std::size_t server = 0;
    std::size_t instance = 0;
    priority level = priority::interactive;
    time_point arrived;
    bool finished = false;
};

// Simulates the clock, the events and the backend servers, and collects the
// results.
//
// A warm server runs `slots` requests, queues 2 more per slot and refuses
// further ones as not started. A server in cold start handles one request at a
// time. Its service time is `cold_slowdown` times the normal one at first and
// falls to the normal one over its first 40 requests. If it receives a second
// request at the same time, all its requests fail and it starts cold again.
class load_simulation
{
public:
    explicit load_simulation(const load_scenario& scenario)
        : scenario_(scenario),
          engine_(scenario.seed),
          service_time_(std::log(static_cast<double>(
                            scenario.mean_service_time.count())) -
                            scenario.sigma * scenario.sigma / 2,
              scenario.sigma),
          servers_(scenario.servers)
    {}

    const load_scenario& scenario() const
    {
        return scenario_;
    }

    time_point now() const
    {
        return now_;
    }

    std::mt19937_64& engine()
    {
        return engine_;
    }

    load_request& at(std::size_t index)
    {
        return requests_.at(index);
    }

    // `callback` is called with the index of each server that restarts, if
    // `resets_detected` is set.
    void on_restart(std::function<void(std::size_t)> callback)
    {
        restart_callback_ = std::move(callback);
    }

    // Runs `action` after `delay` of virtual time.
    void schedule(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }

    // Sends a request to its server. `done` is called with the result.
    void send(std::size_t index, std::function<void(answer_result)> done)
    {
        server& target = servers_.at(requests_.at(index).server);
        ++target.in_flight;
        if (target.completed_since_start < warmup_requests &&
            target.in_flight > 1) {
            ++result_.overloads;
            target.pending.push_back(std::move(done));
            return restart(target);
        }
        if (target.in_flight > 3 * scenario_.slots) {
            --target.in_flight;
            schedule({}, [done] { done(answer_result::refused_busy); });
            return;
        }
        target.pending.push_back(std::move(done));
        start_next(target);
    }

    // Records the result of a request, which reaches the caller after `delay`.
    // Only the first call for a request counts.
    void record_result(std::size_t index, answer_result result, duration delay)
    {
        load_request& request = requests_.at(index);
        if (request.finished)
            return;
        request.finished = true;
        if (request.arrived < time_point(scenario_.change_time))
            return;
        ++measured_requests_;
        const duration latency = now_ + delay - request.arrived;
        if (result == answer_result::complete &&
            latency <= scenario_.deadline) {
            const double value = static_cast<double>(latency.count()) / 1e6;
            latencies_.push_back(value);
            if (request.level == priority::rescue)
                rescue_latencies_.push_back(value);
        } else if (result == answer_result::refused_busy) {
            ++result_.refused;
        } else {
            ++result_.failed;
        }
    }

    // Runs the scenario. Calls `strategy.arrive(index)` for each request.
    template <class Strategy>
    load_result run(Strategy& strategy)
    {
        const double rate =
            scenario_.load * scenario_.servers * scenario_.slots /
            static_cast<double>(scenario_.mean_service_time.count());
        std::exponential_distribution<double> interarrival_time(rate);
        const std::function<void()> arrive = [&] {
            strategy.arrive(add_request());
            schedule(
                duration(static_cast<std::int64_t>(interarrival_time(engine_))),
                arrive);
        };
        schedule({}, arrive);
        schedule(scenario_.change_time, [this] { apply_change(); });
        const time_point end(scenario_.run_duration);
        while (events_.top().time < end) {
            const auto action = events_.top().action;
            now_ = events_.top().time;
            events_.pop();
            action();
        }
        return summarize();
    }

private:
    // Number of requests after which a cold server is warm.
    static constexpr unsigned warmup_requests = 40;

    struct event
    {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(time, sequence) >
                   std::pair(other.time, other.sequence);
        }
    };

    struct server
    {
        unsigned in_flight = 0;
        unsigned running = 0;
        unsigned completed_since_start = warmup_requests;
        double slowdown = 1;
        // Number of restarts.
        std::uint64_t epoch = 0;
        // Callbacks of the requests in the queue of the server, and of those
        // that it runs, by `start_count` at their start.
        std::deque<std::function<void(answer_result)>> pending;
        std::map<std::uint64_t, std::function<void(answer_result)>> started;
        std::uint64_t start_count = 0;
    };

    std::size_t add_request()
    {
        load_request request;
        request.arrived = now_;
        request.server = engine_() % scenario_.servers;
        request.instance = engine_() % scenario_.instances;
        const double uniform_random =
            std::uniform_real_distribution<double>()(engine_);
        if (uniform_random < scenario_.rescue_share)
            request.level = priority::rescue;
        requests_.push_back(request);
        return requests_.size() - 1;
    }

    void apply_change()
    {
        for (unsigned index = 0; index < scenario_.cold_servers; ++index)
            restart(servers_.at(index));
        for (unsigned index = 0; index < scenario_.stragglers; ++index)
            servers_.at(servers_.size() - 1 - index).slowdown =
                scenario_.straggler_slowdown;
    }

    void start_next(server& target)
    {
        while (target.running < scenario_.slots && !target.pending.empty()) {
            ++target.running;
            const std::uint64_t epoch = target.epoch;
            const auto done = target.pending.front();
            target.pending.pop_front();
            const std::uint64_t start = ++target.start_count;
            target.started.emplace(start, done);
            const double cold_factor =
                1 + (scenario_.cold_slowdown - 1) *
                        (1 - std::min(1.0, 1.0 * target.completed_since_start /
                                               warmup_requests));
            const double time =
                service_time_(engine_) * cold_factor * target.slowdown;
            schedule(duration(static_cast<std::int64_t>(time)),
                [this, &target, epoch, start, done] {
                    if (target.epoch != epoch)
                        return;
                    --target.running;
                    --target.in_flight;
                    ++target.completed_since_start;
                    target.started.erase(start);
                    start_next(target);
                    done(answer_result::complete);
                });
        }
    }

    void restart(server& target)
    {
        ++target.epoch;
        target.completed_since_start = 0;
        target.in_flight = 0;
        target.running = 0;
        for (auto& [start, done] : target.started)
            target.pending.push_back(std::move(done));
        target.started.clear();
        for (const auto& done : target.pending)
            schedule({}, [done] { done(answer_result::failed); });
        target.pending.clear();
        if (restart_callback_ && scenario_.resets_detected) {
            const auto index =
                static_cast<std::size_t>(&target - servers_.data());
            schedule({}, [this, index] { restart_callback_(index); });
        }
    }

    static double quantile(std::vector<double>& values, double probability)
    {
        if (values.empty())
            return 0;
        const auto position =
            values.begin() +
            static_cast<std::ptrdiff_t>(
                probability * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

    load_result summarize()
    {
        result_.p50_ms = quantile(latencies_, 0.5);
        result_.p99_ms = quantile(latencies_, 0.99);
        result_.p999_ms = quantile(latencies_, 0.999);
        result_.rescue_p99_ms = quantile(rescue_latencies_, 0.99);
        result_.goodput =
            static_cast<double>(latencies_.size()) /
            static_cast<double>(std::max<std::uint64_t>(1, measured_requests_));
        return result_;
    }

    load_scenario scenario_;
    std::mt19937_64 engine_;
    std::lognormal_distribution<double> service_time_;
    std::vector<server> servers_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    time_point now_;
    std::deque<load_request> requests_;
    std::uint64_t measured_requests_ = 0;
    std::vector<double> latencies_;
    std::vector<double> rescue_latencies_;
    load_result result_;
    std::function<void(std::size_t)> restart_callback_;
};

} // namespace filberthub

#endif
