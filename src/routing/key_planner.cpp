#include "routing/key_plan.hpp"

namespace filberthub {

key_weights::key_weights() : weights_(key_count, 0) {}

void key_weights::add(key_number key, double requests)
{
    weights_.at(key) += static_cast<float>(requests);
    total_ += requests;
}

void key_weights::decay(double factor)
{
    total_ = 0;
    for (float& weight : weights_) {
        weight = weight < 1e-3F ? 0 : weight * static_cast<float>(factor);
        total_ += weight;
    }
}

std::optional<key_table> plan_keys(const key_table& table,
    const key_weights& weights, const std::vector<key_server>& servers,
    const key_plan_options& options)
{
    if (servers.empty())
        return std::nullopt;
    return detail::key_plan(table, weights, servers, options).result();
}

} // namespace filberthub
