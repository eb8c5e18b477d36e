// A service with keys under load, with one coordinator and instances that
// report to it. Only keys move; requests are counted, not served.

#ifndef FILBERTHUB_TEST_KEY_LOAD_SIMULATION_HPP
#define FILBERTHUB_TEST_KEY_LOAD_SIMULATION_HPP

#include "routing/routing_builders.hpp"

#include <filberthub/routing/key_coordinator.hpp>

#include <deque>
#include <functional>
#include <random>

namespace filberthub {

// Neighboring keys that get a share of all requests for some time.
struct hot_period
{
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
    key_number first = 0;
    key_number count = 0;
    double share = 0;
};

struct simulation_options
{
    int servers = 183;
    double slots = 6;
    double requests_per_s = 2'000;
    int instances = 69;
    unsigned seed = 1;
};

class key_load_simulation
{
public:
    explicit key_load_simulation(simulation_options options)
        : options_(options), random_(options.seed), counts_(options.instances)
    {
        std::uniform_real_distribution<double> slowdown(0.7, 1.7);
        for (int number = 0; number < options_.servers; ++number) {
            key_server server;
            server.incarnation = {
                backend_server_id("s" + std::to_string(number)), 1};
            server.capacity = options_.slots / slowdown(random_);
            servers_.push_back(server);
        }
        for (int number = 0; number < options_.instances; ++number)
            next_report_ms_.push_back(number * 400 / options_.instances);
        keys_.start(std::nullopt, 0, at_ms(0), at_ms(0));
    }

    void add(const hot_period& period)
    {
        periods_.push_back(period);
    }

    // Runs until this time in steps, each followed by `check` if it is set.
    void run_until(std::int64_t end_ms,
        const std::function<void(std::int64_t)>& check = nullptr)
    {
        for (; now_ms_ < end_ms; now_ms_ += step_ms) {
            add_requests();
            send_reports();
            plan();
            send_commands();
            if (check)
                check(now_ms_);
        }
    }

    // The share of all requests that exceeds the capacity of their servers by
    // the committed table, with this mean duration of the work.
    double excess(std::int64_t ms, double work_ms) const
    {
        std::map<server_incarnation, double> shares;
        for (const key_range& range : keys_.table().ranges) {
            double& share = shares[range.owner];
            share += (1 - hot_share(ms)) * (range.last - range.first + 1) /
                     key_count;
            for (const hot_period& hot : periods_) {
                const auto first = std::max(range.first, hot.first);
                const auto end =
                    std::min(range.last + 1, hot.first + hot.count);
                if (ms >= hot.begin_ms && ms < hot.end_ms && first < end)
                    share += hot.share * (end - first) / hot.count;
            }
        }
        double result = 0;
        for (const key_server& server : servers_) {
            const double capacity_share =
                server.capacity * 1'000 / work_ms / options_.requests_per_s;
            result +=
                std::max(shares[server.incarnation] - capacity_share, 0.0);
        }
        return result;
    }

    int writes() const
    {
        return writes_;
    }
    // Number of ranges that got another owner.
    int moves() const
    {
        return moves_;
    }
    const key_coordinator& keys() const
    {
        return keys_;
    }
    std::vector<key_server>& servers()
    {
        return servers_;
    }

private:
    static constexpr std::int64_t step_ms = 10;
    static constexpr std::int64_t write_ms = 40;
    static constexpr std::int64_t grant_ms = 20;
    // A release waits for the running requests.
    static constexpr std::int64_t release_ms = 300;

    double hot_share(std::int64_t ms) const
    {
        double share = 0;
        for (const hot_period& hot : periods_)
            share += ms >= hot.begin_ms && ms < hot.end_ms ? hot.share : 0;
        return share;
    }

    key_number random_key()
    {
        double place = std::uniform_real_distribution<double>()(random_);
        for (const hot_period& hot : periods_) {
            if (now_ms_ < hot.begin_ms || now_ms_ >= hot.end_ms)
                continue;
            if (place < hot.share)
                return hot.first +
                       static_cast<key_number>(random_() % hot.count);
            place -= hot.share;
        }
        return static_cast<key_number>(random_() % key_count);
    }

    void add_requests()
    {
        const double mean = options_.requests_per_s * step_ms / 1'000;
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int request = 0; request < count; ++request)
            ++counts_[random_() % counts_.size()][random_key()];
    }

    void send_reports()
    {
        for (std::size_t index = 0; index < counts_.size(); ++index) {
            if (now_ms_ < next_report_ms_[index])
                continue;
            next_report_ms_[index] =
                now_ms_ + 300 + static_cast<std::int64_t>(random_() % 200);
            for (const auto& [key, count] : counts_[index])
                keys_.on_requests(key, count);
            counts_[index].clear();
        }
    }

    void plan()
    {
        if (written_ms_ && now_ms_ >= *written_ms_) {
            written_ms_.reset();
            const key_table before = keys_.table();
            keys_.on_written(++revision_, at_ms(now_ms_));
            for (const key_range& range : keys_.table().ranges) {
                const key_range* earlier = before.find(range.first);
                moves_ += earlier != nullptr && earlier->owner != range.owner;
            }
        }
        if (now_ms_ % plan_ms == 0 && keys_.plan(servers_, at_ms(now_ms_))) {
            ++writes_;
            written_ms_ = now_ms_ + write_ms;
        }
    }

    void send_commands()
    {
        for (const grant_command& command :
            keys_.granter().due(at_ms(now_ms_), 32)) {
            replies_.emplace(
                now_ms_ + (command.release ? release_ms : grant_ms),
                command.number);
        }
        while (!replies_.empty() && replies_.begin()->first <= now_ms_) {
            keys_.granter().on_reply(replies_.begin()->second,
                grant_reply::accepted, {}, at_ms(now_ms_));
            replies_.erase(replies_.begin());
        }
    }

    static constexpr std::int64_t plan_ms = 100;

    simulation_options options_;
    std::mt19937 random_;
    std::vector<key_server> servers_;
    std::vector<hot_period> periods_;
    key_coordinator keys_{key_granter_options{}, key_plan_options{}};
    std::vector<std::map<key_number, std::uint32_t>> counts_;
    std::vector<std::int64_t> next_report_ms_;
    std::multimap<std::int64_t, command_number> replies_;
    std::optional<std::int64_t> written_ms_;
    std::uint64_t revision_ = 0;
    std::int64_t now_ms_ = 0;
    int writes_ = 0;
    int moves_ = 0;
};

} // namespace filberthub

#endif
