#include "tools/experiment/fleet_model.hpp"
#include "tools/experiment/measures.hpp"
#include "tools/experiment/takeover_run.hpp"

#include <algorithm>
#include <random>

namespace filberthub::experiment {

namespace {

// Of src/node/held_server_control.cpp.
constexpr double probe_ms = 200;
constexpr double lost_after_probes = 3;
constexpr double grant_ms = 300;
// The lease less the margin of grants.
constexpr double grant_length_ms = 1150;
// Assumed for the conditional update of the ownership table and one pull.
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

// Time until the loss of a server is noticed by its holder.
template <class Engine>
double detection_ms(Engine& engine)
{
    std::uniform_real_distribution<double> phase(0, probe_ms);
    return phase(engine) + (lost_after_probes - 1) * probe_ms;
}

// The holder notices, sends no more grants, and waits until the last one ends.
// The grant was sent up to `grant_ms` earlier, on a lease that was up to 250 ms
// old.
template <class Engine>
double server_gap_ms(Engine& engine)
{
    std::uniform_real_distribution<double> sent(0, grant_ms);
    std::uniform_real_distribution<double> lease_age(0, 250);
    return detection_ms(engine) - sent(engine) + grant_length_ms -
           lease_age(engine) + commit_ms;
}

// A store lease of 10 s, renewed three times in its length, and a watch of the
// next holder.
template <class Engine>
double store_lease_gap_ms(Engine& engine)
{
    std::uniform_real_distribution<double> age(0, 10'000.0 / 3);
    return 10'000 - age(engine) + commit_ms;
}

void report(std::ostream& stream, const deployment& where, std::uint64_t seed,
    const std::string& loss, const std::vector<double>& gaps,
    const char* source)
{
    std::mt19937_64 engine(seed);
    std::vector<double> lease;
    for (std::size_t index = 0; index < gaps.size(); ++index)
        lease.push_back(store_lease_gap_ms(engine));
    const json details{{"unit", "ms per key of the loss"}, {"source", source},
        {"keys_sampled", gaps.size()}};
    print(stream, where, seed,
        {"unavailable time", loss + ", longest", quantile(gaps, 1), 3000, false,
            {{"store lease of 10 s", quantile(lease, 1)}}, details});
    print(stream, where, seed,
        {"unavailable time", loss + ", median", quantile(gaps, 0.5), 1000,
            false, {{"store lease of 10 s", quantile(lease, 0.5)}}, details});
}

} // namespace

void print_unavailable_time(
    std::ostream& stream, const deployment& where, std::uint64_t seed)
{
    const fleet_size size{where.instances, where.servers(), where.domains};
    const auto table = std::make_shared<fleet_table>(settled_fleet(size));
    const auto joining = std::make_shared<fleet_table>(joining_fleet(size));
    std::mt19937_64 engine(seed);

    std::vector<double> instance_gaps;
    for (const fleet_member& member : table->members()) {
        takeover_run run(joining, table, where.hop, engine());
        for (const auto& [server, gap] : run.lose({member.key.instance}))
            instance_gaps.push_back(to_ms(gap + where.hop));
    }
    report(stream, where, seed, "instance lost", instance_gaps, simulated);

    std::vector<double> server_gaps;
    server_gaps.reserve(1000);
    for (int sample = 0; sample < 1000; ++sample)
        server_gaps.push_back(server_gap_ms(engine));
    report(stream, where, seed, "server lost", server_gaps, computed);

    std::vector<double> domain_gaps;
    for (unsigned domain = 0; domain < where.domains; ++domain) {
        std::set<instance_id> lost;
        const failure_domain_id name("domain-" + std::to_string(domain));
        for (const fleet_member& member : table->members()) {
            if (member.domain == name)
                lost.insert(member.key.instance);
        }
        takeover_run run(joining, table, where.hop, engine());
        const auto gaps = run.lose(lost);
        std::size_t index = 0;
        for (const auto& entry : table->servers()) {
            const bool server_lost = index++ % where.domains == domain;
            const auto gap = gaps.find(entry.first);
            const double takeover =
                gap == gaps.end() ? 0 : to_ms(gap->second + where.hop);
            // The new holder has sent no grant, and those of the lost one have
            // ended.
            if (server_lost && takeover > 0)
                domain_gaps.push_back(
                    takeover + detection_ms(engine) + commit_ms);
            else if (server_lost)
                domain_gaps.push_back(server_gap_ms(engine));
            else if (takeover > 0)
                domain_gaps.push_back(takeover);
        }
    }
    report(stream, where, seed, "domain lost", domain_gaps,
        "takeover in virtual time; detection, grant and commit computed from "
        "constants");
}

} // namespace filberthub::experiment
