#include <filberthub/admission/server_selector.hpp>

#include <algorithm>

namespace filberthub {

server_selector::server_selector(duration cross_domain_latency)
    : cross_domain_latency_(cross_domain_latency)
{}

std::size_t server_selector::add(failure_domain_id domain)
{
    servers_.push_back({std::move(domain), {}, false, false});
    return servers_.size() - 1;
}

void server_selector::update(std::size_t index, const gate_summary& summary)
{
    servers_.at(index).summary = summary;
    servers_.at(index).has_summary = true;
}

void server_selector::on_sent(std::size_t index)
{
    gate_summary& summary = servers_.at(index).summary;
    if (summary.in_flight < summary.limit)
        ++summary.in_flight;
    else
        ++summary.waiting;
}

void server_selector::refresh()
{
    std::vector<duration> latencies;
    for (const server& candidate : servers_) {
        if (candidate.has_summary && !candidate.summary.closed)
            latencies.push_back(candidate.summary.mean_latency);
    }
    if (latencies.empty())
        return;
    // Use the lower median, so that one of two servers can be a straggler.
    const auto middle = latencies.begin() +
                        static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    for (server& candidate : servers_)
        candidate.straggler = candidate.summary.mean_latency > 2 * *middle;
}

duration server_selector::expected_wait(std::size_t index) const
{
    const gate_summary& summary = servers_.at(index).summary;
    const auto limit = std::max(1U, summary.limit);
    const auto ahead = summary.in_flight < limit ? 0U : summary.waiting + 1U;
    return summary.mean_latency +
           summary.mean_latency * static_cast<std::int64_t>(ahead) / limit;
}

bool server_selector::eligible(std::size_t index) const
{
    const server& candidate = servers_[index];
    if (!candidate.has_summary || candidate.summary.closed)
        return false;
    return !candidate.summary.cold ||
           candidate.summary.in_flight + candidate.summary.waiting <
               candidate.summary.limit;
}

duration server_selector::cost(
    std::size_t index, const failure_domain_id& own_domain) const
{
    const duration extra = servers_[index].domain == own_domain
                               ? duration::zero()
                               : cross_domain_latency_;
    return expected_wait(index) + extra;
}

} // namespace filberthub
