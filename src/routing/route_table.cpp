#include <filberthub/routing/route_table.hpp>

#include <algorithm>

namespace filberthub {
namespace {

std::string normalize_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    std::string text(host.substr(0, colon));
    for (char& character : text) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character + 32);
    }
    return text;
}

} // namespace

route_table::route_table(routing_config config)
    : config_(std::move(config)), accounts_(config_.accounts)
{
    for (std::size_t index = 0; index < config_.routes.size(); ++index)
        by_host_[normalize_host(config_.routes[index].host)].push_back(index);
    for (auto& [host, indexes] : by_host_) {
        std::stable_sort(indexes.begin(), indexes.end(),
            [this](std::size_t left, std::size_t right) {
                return config_.routes[left].prefix.size() >
                       config_.routes[right].prefix.size();
            });
    }
}

const route_rule* route_table::find(
    std::string_view host, std::string_view target) const
{
    const auto found = by_host_.find(normalize_host(host));
    if (found == by_host_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        if (path.starts_with(config_.routes[index].prefix))
            return &config_.routes[index];
    }
    return nullptr;
}

const service_rule* route_table::service(const service_id& id) const
{
    const auto found = config_.services.find(id);
    return found == config_.services.end() ? nullptr : &found->second;
}

const service_id& choose_service(const route_rule& route, double uniform_random)
{
    double total = 0;
    for (const service_share& share : route.shares)
        total += share.weight;
    double remaining = uniform_random * total;
    for (const service_share& share : route.shares) {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    return route.shares.back().service;
}

} // namespace filberthub
