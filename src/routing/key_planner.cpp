#include "routing/key_plan.hpp"

namespace filberthub {
namespace {

// Far from the limits of the stored numbers.
constexpr double min_scale = 1e-4;
// Smaller counts are as good as none.
constexpr float min_weight = 1e-3F;

} // namespace

key_weights::key_weights() : weights_(key_count, 0) {}

void key_weights::add(key_number key, double requests)
{
    weights_.at(key) += static_cast<float>(requests / scale_);
    total_ += requests;
}

void key_weights::decay(double factor)
{
    scale_ *= factor;
    total_ *= factor;
    if (scale_ > min_scale)
        return;
    total_ = 0;
    for (float& weight : weights_) {
        weight *= static_cast<float>(scale_);
        if (weight < min_weight)
            weight = 0;
        total_ += weight;
    }
    scale_ = 1;
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
