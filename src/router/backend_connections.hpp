// HTTP connections to the backend servers. Internal to `router`.
//
//     backend_connections connections(view);
//     if (http_client* client = connections.client_for(server))
//         client->send(request, timeout, callback);

#ifndef FILBERTHUB_ROUTER_BACKEND_CONNECTIONS_HPP
#define FILBERTHUB_ROUTER_BACKEND_CONNECTIONS_HPP

#include "router/deployment_view.hpp"

#include <filberthub/net/http_client.hpp>

namespace filberthub {

// Keeps one HTTP client for each registered backend server. Guarantees that a
// client is not destroyed while it has a call open.
class backend_connections
{
public:
    backend_connections(
        const deployment_view& view, std::shared_ptr<memory_budget> budget);

    // Returns the client of a server, or null if the server is not registered.
    // The client is limited to this instance's share of the connections that
    // the server accepts.
    http_client* client_for(const backend_server_id& id);

    // Destroys the clients of removed servers that have no call open. Must be
    // called regularly.
    void sweep();

private:
    std::size_t connections_for(const observed_server& server) const;

    const deployment_view& view_;
    std::shared_ptr<memory_budget> budget_;
    std::map<backend_server_id, std::unique_ptr<http_client>> clients_;
    // Clients of removed servers and of former addresses.
    std::vector<std::unique_ptr<http_client>> retired_;
};

} // namespace filberthub

#endif
