// One request of a caller, and what the parts of `caller_service` share.
// Internal to `router`.

#ifndef FILBERTHUB_ROUTER_CALLER_REQUEST_HPP
#define FILBERTHUB_ROUTER_CALLER_REQUEST_HPP

#include "router/caller_service.hpp"

namespace filberthub {

// A caller that comes back after this time finds a moved key or a freed slot.
inline constexpr milliseconds return_after{60};
inline constexpr milliseconds return_after_loss{400};

inline milliseconds elapsed(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

struct caller_service::request
{
    std::shared_ptr<http_exchange> exchange;
    // Keeps the route alive while the configuration changes.
    std::shared_ptr<const route_table> routes;
    const route_rule* route = nullptr;
    service_id service;
    std::optional<key_number> key;
    std::string id;
    request_state state;
    time_point arrived;
    time_point not_before;
    std::vector<backend_server_id> used;
    http_client* client = nullptr;
    call_number call;
    backend_server_id server;
    time_point sent;
    bool done = false;
    bool waiting = false;
    // Open request or granted slot at the gate.
    std::optional<std::uint64_t> gate_number;
    bool asking = false;
    std::list<request_ref>::iterator position;
};

} // namespace filberthub

#endif
