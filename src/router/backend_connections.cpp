#include "router/backend_connections.hpp"

#include <platform/protocol.hpp>

#include <algorithm>

namespace filberthub {
namespace {

// A server in the same region accepts within some milliseconds.
constexpr milliseconds connect_timeout{250};
// Servers close idle connections after some seconds that they do not always
// announce.
constexpr milliseconds idle_limit{5'000};
// The rest is for the coordinator's commands and for instances that just
// joined.
constexpr double used_connections = 0.85;
constexpr std::size_t least_connections = 2;

} // namespace

backend_connections::backend_connections(const deployment_view& view)
    : view_(view)
{}

std::size_t backend_connections::connections_for(
    const observed_server& server) const
{
    const auto routes = view_.routes();
    const service_rule* rule =
        routes ? routes->service(server.entry.service) : nullptr;
    if (rule == nullptr)
        return least_connections;
    const auto share = static_cast<std::size_t>(
        static_cast<double>(rule->connections) * used_connections /
        static_cast<double>(std::max<std::size_t>(view_.fleet_size(), 1)));
    return std::max(share, least_connections);
}

http_client* backend_connections::of(const backend_server_id& id)
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
        client = std::make_unique<http_client>(server->entry.address, options);
    }
    client->set_max_connections(connections);
    return client.get();
}

void backend_connections::sweep()
{
    for (auto at = clients_.begin(); at != clients_.end();) {
        if (view_.servers().find(at->first) == nullptr) {
            retired_.push_back(std::move(at->second));
            at = clients_.erase(at);
        } else {
            ++at;
        }
    }
    std::erase_if(retired_, [](const std::unique_ptr<http_client>& client) {
        return !client || client->calls() == 0;
    });
}

} // namespace filberthub
