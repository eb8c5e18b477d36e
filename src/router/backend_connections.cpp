#include "router/backend_connections.hpp"

#include <platform/protocol.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// A server in the same region accepts a connection within a few milliseconds.
constexpr milliseconds connect_timeout{250};
// Servers close idle connections after some seconds and do not always announce
// when.
constexpr milliseconds idle_limit{5'000};
// The rest is left for the coordinator's commands and for instances that have
// just joined.
constexpr double used_connection_share = 0.85;
constexpr std::size_t min_connections = 2;

} // namespace

backend_connections::backend_connections(
    const deployment_view& view, std::shared_ptr<memory_budget> budget)
    : view_(view), budget_(std::move(budget))
{}

std::size_t backend_connections::connections_for(
    const observed_server& server) const
{
    const auto routes = view_.routes();
    const service_rule* rule =
        routes ? routes->service(server.entry.service) : nullptr;
    if (rule == nullptr)
        return min_connections;
    const auto share = static_cast<std::size_t>(
        static_cast<double>(rule->connections) * used_connection_share /
        static_cast<double>(std::max<std::size_t>(view_.fleet_size(), 1)));
    return std::max(share, min_connections);
}

http_client* backend_connections::client_for(const backend_server_id& id)
{
    const observed_server* server = view_.servers().find(id);
    if (server == nullptr)
        return nullptr;
    std::unique_ptr<http_client>& client = clients_[id];
    if (client && client->address() != server->entry.address) {
        retired_.push_back(std::move(client));
        client = nullptr;
    }
    const std::size_t connections = connections_for(*server);
    if (!client) {
        http_client_options options;
        options.max_connections = connections;
        options.connect_timeout = connect_timeout;
        options.echoed_field = platform_api::header::request_id;
        options.idle_limit = idle_limit;
        options.budget = budget_;
        client = std::make_unique<http_client>(server->entry.address, options);
    }
    client->set_max_connections(connections);
    return client.get();
}

void backend_connections::sweep()
{
    for (auto it = clients_.begin(); it != clients_.end();) {
        if (view_.servers().find(it->first) == nullptr) {
            retired_.push_back(std::move(it->second));
            it = clients_.erase(it);
        } else {
            ++it;
        }
    }
    std::erase_if(retired_, [](const std::unique_ptr<http_client>& client) {
        return !client || client->calls() == 0;
    });
}

} // namespace filberthub
