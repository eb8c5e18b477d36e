#include "tools/experiment/fleet_model.hpp"
#include "tools/experiment/measures.hpp"
#include "tools/experiment/takeover_run.hpp"

#include <algorithm>
#include <random>

namespace filberthub::experiment {

namespace {

// Copies of the constants in src/node/held_server_control.cpp.
constexpr double probe_interval_ms = 200;
constexpr double lost_after_probes = 3;
constexpr double grant_interval_ms = 300;
// Duration of the lease minus the safety margin of grants.
constexpr double grant_duration_ms = 1150;
// Assumed time for the conditional update of the ownership table and one pull.
constexpr double commit_ms = 20;

constexpr const char* simulated =
    "virtual time with the lease and takeover classes";
constexpr const char* computed =
    "computed from the constants of probes and grants";

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1)));
}

// Returns the time until the holder of a server detects its loss. The server is
// lost at a random time between two probes.
template <class Engine>
double detection_ms(Engine& engine)
{
    std::uniform_real_distribution<double> phase(0, probe_interval_ms);
    return phase(engine) + (lost_after_probes - 1) * probe_interval_ms;
}

// Returns the time without service after the loss of a server. The holder
// detects the loss, sends no more grants, and waits until the last grant has
// ended. That grant was sent up to `grant_interval_ms` earlier, on a lease that
// was up to 250 ms old.
template <class Engine>
double server_gap_ms(Engine& engine)
{
    std::uniform_real_distribution<double> grant_age(0, grant_interval_ms);
    std::uniform_real_distribution<double> lease_age(0, 250);
    return detection_ms(engine) - grant_age(engine) + grant_duration_ms -
           lease_age(engine) + commit_ms;
}

// Returns the time without service for the baseline: a lease of 10 s in the
// store, renewed three times in its duration, that the next holder watches.
template <class Engine>
double store_lease_gap_ms(Engine& engine)
{
    std::uniform_real_distribution<double> age(0, 10'000.0 / 3);
    return 10'000 - age(engine) + commit_ms;
}

void report(std::ostream& stream, const deployment& setup, std::uint64_t seed,
    const std::string& loss, const std::vector<double>& gaps,
    const char* source)
{
    std::mt19937_64 engine(seed);
    std::vector<double> store_lease_gaps;
    for (std::size_t index = 0; index < gaps.size(); ++index)
        store_lease_gaps.push_back(store_lease_gap_ms(engine));
    const json details{{"unit", "ms per key of the loss"}, {"source", source},
        {"keys_sampled", gaps.size()}};
    print(stream, setup, seed,
        {"unavailable time", loss + ", longest", quantile(gaps, 1), 3000, false,
            {{"store lease of 10 s", quantile(store_lease_gaps, 1)}}, details});
    print(stream, setup, seed,
        {"unavailable time", loss + ", median", quantile(gaps, 0.5), 1000,
            false, {{"store lease of 10 s", quantile(store_lease_gaps, 0.5)}},
            details});
}

} // namespace

void print_unavailable_time(
    std::ostream& stream, const deployment& setup, std::uint64_t seed)
{
    const fleet_size size{setup.instances, setup.servers(), setup.domains};
    const auto table = std::make_shared<fleet_table>(settled_fleet(size));
    const auto joining = std::make_shared<fleet_table>(joining_fleet(size));
    std::mt19937_64 engine(seed);

    std::vector<double> instance_gaps;
    for (const fleet_member& member : table->members()) {
        takeover_run run(joining, table, setup.hop, engine());
        for (const auto& [server, gap] :
            run.stop_instances({member.key.instance}))
            instance_gaps.push_back(to_ms(gap + setup.hop));
    }
    report(stream, setup, seed, "instance lost", instance_gaps, simulated);

    std::vector<double> server_gaps;
    server_gaps.reserve(1000);
    for (int sample = 0; sample < 1000; ++sample)
        server_gaps.push_back(server_gap_ms(engine));
    report(stream, setup, seed, "server lost", server_gaps, computed);

    std::vector<double> domain_gaps;
    for (unsigned domain = 0; domain < setup.domains; ++domain) {
        std::set<instance_id> lost;
        const failure_domain_id name("domain-" + std::to_string(domain));
        for (const fleet_member& member : table->members()) {
            if (member.domain == name)
                lost.insert(member.key.instance);
        }
        takeover_run run(joining, table, setup.hop, engine());
        const auto gaps = run.stop_instances(lost);
        std::size_t index = 0;
        for (const auto& entry : table->servers()) {
            const bool server_lost = index++ % setup.domains == domain;
            const auto gap = gaps.find(entry.first);
            const double takeover =
                gap == gaps.end() ? 0 : to_ms(gap->second + setup.hop);
            // The new holder has not sent a grant, and the grants of the lost
            // holder have ended, so there is no grant to wait for.
            if (server_lost && takeover > 0)
                domain_gaps.push_back(
                    takeover + detection_ms(engine) + commit_ms);
            else if (server_lost)
                domain_gaps.push_back(server_gap_ms(engine));
            else if (takeover > 0)
                domain_gaps.push_back(takeover);
        }
    }
    report(stream, setup, seed, "domain lost", domain_gaps,
        "takeover in virtual time; detection, grant and commit computed from "
        "constants");
}

} // namespace filberthub::experiment
