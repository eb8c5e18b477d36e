// A queue model of one service in virtual time, for decisions about admission.
// It models arrivals, backend servers and their cold starts, but no network
// and no faults of instances.
//
//     load_world world(scenario);
//     strategy admission(world);
//     load_result result = world.run(admission);

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

struct load_scenario
{
    unsigned servers = 14;
    unsigned slots = 2;
    unsigned instances = 24;
    // Arrivals divided by what all warm servers can handle.
    double load = 0.7;
    // Mean and shape of the lognormal service time.
    duration service = std::chrono::milliseconds(8);
    double sigma = 0.5;
    duration hop = std::chrono::microseconds(1400);
    duration deadline = std::chrono::milliseconds(250);
    // Whether a request belongs to one server.
    bool keyed = true;
    double rescue_share = 0;
    // Servers that restart without notice after `change`.
    unsigned cold = 0;
    // Service time of the first answer of a cold server, relative to a warm
    // one.
    double cold_slowness = 3;
    // Whether holders see that a restart closes their idle connections.
    bool reset_seen = true;
    // Servers that are slower by `slowness` after `change`.
    unsigned stragglers = 0;
    double slowness = 5;
    duration change = std::chrono::seconds(5);
    // Only arrivals after `change` are measured.
    duration length = std::chrono::seconds(25);
    std::uint64_t seed = 1;
};

struct load_result
{
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double rescue_p99_ms = 0;
    // Share of the measured requests that were answered within the deadline.
    double goodput = 0;
    // Times that a server in cold start got more than it can handle.
    unsigned overloads = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

struct load_request
{
    std::size_t server = 0;
    std::size_t instance = 0;
    priority level = priority::interactive;
    time_point arrived;
    bool finished = false;
};

// Clock, events, backend servers and results.
//
// A warm server runs `slots` requests and holds 2 more per slot; further ones
// it refuses as not started. A server in cold start handles one request at a
// time, at `cold_slowness` times the service time, falling to the normal one
// over its first 40 requests. More than one at a time fails them all and starts
// it cold again.
class load_world
{
public:
    explicit load_world(const load_scenario& scenario)
        : scenario_(scenario),
          engine_(scenario.seed),
          service_(std::log(static_cast<double>(scenario.service.count())) -
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

    // `seen` is called with the index of each server that restarts.
    void on_restart(std::function<void(std::size_t)> seen)
    {
        restart_seen_ = std::move(seen);
    }

    void after(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }

    // Sends a request to its server. `done` is called with the result.
    void send(std::size_t index, std::function<void(answer_result)> done)
    {
        server& target = servers_.at(requests_.at(index).server);
        ++target.in_flight;
        if (target.warmth < warm_after && target.in_flight > 1) {
            ++result_.overloads;
            target.pending.push_back(std::move(done));
            return restart(target);
        }
        if (target.in_flight > 3 * scenario_.slots) {
            --target.in_flight;
            after({}, [done] { done(answer_result::refused_busy); });
            return;
        }
        target.pending.push_back(std::move(done));
        start_next(target);
    }

    // To be called once for each request. Later calls are ignored.
    void answer(std::size_t index, answer_result how, duration delay)
    {
        load_request& request = requests_.at(index);
        if (request.finished)
            return;
        request.finished = true;
        if (request.arrived < time_point(scenario_.change))
            return;
        ++measured_;
        const duration latency = now_ + delay - request.arrived;
        if (how == answer_result::good && latency <= scenario_.deadline) {
            const double value = static_cast<double>(latency.count()) / 1e6;
            latencies_.push_back(value);
            if (request.level == priority::rescue)
                rescue_.push_back(value);
        } else if (how == answer_result::refused_busy) {
            ++result_.refused;
        } else {
            ++result_.failed;
        }
    }

    template <class Strategy>
    load_result run(Strategy& strategy)
    {
        const double rate = scenario_.load * scenario_.servers *
                            scenario_.slots /
                            static_cast<double>(scenario_.service.count());
        std::exponential_distribution<double> gap(rate);
        const std::function<void()> arrive = [&] {
            strategy.arrive(add_request());
            after(duration(static_cast<std::int64_t>(gap(engine_))), arrive);
        };
        after({}, arrive);
        after(scenario_.change, [this] { change(); });
        const time_point end(scenario_.length);
        while (events_.top().time < end) {
            const auto action = events_.top().action;
            now_ = events_.top().time;
            events_.pop();
            action();
        }
        return summarize();
    }

private:
    static constexpr unsigned warm_after = 40;

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
        unsigned warmth = warm_after;
        double factor = 1;
        std::uint64_t epoch = 0;
        // Callbacks of the requests that wait at the server, and of those that
        // it runs by number of the start.
        std::deque<std::function<void(answer_result)>> pending;
        std::map<std::uint64_t, std::function<void(answer_result)>> started;
        std::uint64_t starts = 0;
    };

    std::size_t add_request()
    {
        load_request request;
        request.arrived = now_;
        request.server = engine_() % scenario_.servers;
        request.instance = engine_() % scenario_.instances;
        const double draw = std::uniform_real_distribution<double>()(engine_);
        if (draw < scenario_.rescue_share)
            request.level = priority::rescue;
        requests_.push_back(request);
        return requests_.size() - 1;
    }

    void change()
    {
        for (unsigned index = 0; index < scenario_.cold; ++index)
            restart(servers_.at(index));
        for (unsigned index = 0; index < scenario_.stragglers; ++index)
            servers_.at(servers_.size() - 1 - index).factor =
                scenario_.slowness;
    }

    void start_next(server& target)
    {
        while (target.running < scenario_.slots && !target.pending.empty()) {
            ++target.running;
            const std::uint64_t epoch = target.epoch;
            const auto done = target.pending.front();
            target.pending.pop_front();
            const std::uint64_t start = ++target.starts;
            target.started.emplace(start, done);
            const double cold =
                1 + (scenario_.cold_slowness - 1) *
                        (1 - std::min(1.0, 1.0 * target.warmth / warm_after));
            const double time = service_(engine_) * cold * target.factor;
            after(duration(static_cast<std::int64_t>(time)),
                [this, &target, epoch, start, done] {
                    if (target.epoch != epoch)
                        return;
                    --target.running;
                    --target.in_flight;
                    ++target.warmth;
                    target.started.erase(start);
                    start_next(target);
                    done(answer_result::good);
                });
        }
    }

    void restart(server& target)
    {
        ++target.epoch;
        target.warmth = 0;
        target.in_flight = 0;
        target.running = 0;
        for (auto& [start, done] : target.started)
            target.pending.push_back(std::move(done));
        target.started.clear();
        for (const auto& done : target.pending)
            after({}, [done] { done(answer_result::failed); });
        target.pending.clear();
        if (restart_seen_ && scenario_.reset_seen) {
            const auto index =
                static_cast<std::size_t>(&target - servers_.data());
            after({}, [this, index] { restart_seen_(index); });
        }
    }

    static double quantile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto place = values.begin() +
                           static_cast<std::ptrdiff_t>(
                               share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), place, values.end());
        return *place;
    }

    load_result summarize()
    {
        result_.p50_ms = quantile(latencies_, 0.5);
        result_.p99_ms = quantile(latencies_, 0.99);
        result_.p999_ms = quantile(latencies_, 0.999);
        result_.rescue_p99_ms = quantile(rescue_, 0.99);
        result_.goodput =
            static_cast<double>(latencies_.size()) /
            static_cast<double>(std::max<std::uint64_t>(1, measured_));
        return result_;
    }

    load_scenario scenario_;
    std::mt19937_64 engine_;
    std::lognormal_distribution<double> service_;
    std::vector<server> servers_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    time_point now_;
    std::deque<load_request> requests_;
    std::uint64_t measured_ = 0;
    std::vector<double> latencies_;
    std::vector<double> rescue_;
    load_result result_;
    std::function<void(std::size_t)> restart_seen_;
};

} // namespace filberthub

#endif
