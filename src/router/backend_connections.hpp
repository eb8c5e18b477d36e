// The connections to the backend servers. Internal to `router`.

#ifndef FILBERTHUB_ROUTER_BACKEND_CONNECTIONS_HPP
#define FILBERTHUB_ROUTER_BACKEND_CONNECTIONS_HPP

#include "router/deployment_view.hpp"

#include <filberthub/net/http_client.hpp>

namespace filberthub {

class backend_connections
{
public:
    explicit backend_connections(const deployment_view& view);

    // Returns the client of a registered server, or null. The number of its
    // connections is this instance's part of what the server accepts.
    http_client* of(const backend_server_id& id);

    // Drops the clients of servers that are gone and have no call open.
    void sweep();

private:
    std::size_t connections_for(const observed_server& server) const;

    const deployment_view& view_;
    std::map<backend_server_id, std::unique_ptr<http_client>> clients_;
    std::vector<std::unique_ptr<http_client>> retired_;
};

} // namespace filberthub

#endif
