// One request of a caller, and what the source files of `caller_service` share.
// Internal to `router`.

#ifndef FILBERTHUB_ROUTER_CALLER_REQUEST_HPP
#define FILBERTHUB_ROUTER_CALLER_REQUEST_HPP

#include "router/caller_service.hpp"

#include <filberthub/telemetry/callback_guard.hpp>

namespace filberthub {

// Sent as Retry-After. A moved key has an owner again, or a slot is free, when
// the caller comes back after this time.
inline constexpr milliseconds retry_delay{60};
// The same if no server can take the request at present.
inline constexpr milliseconds retry_delay_after_loss{400};

inline milliseconds elapsed(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

struct caller_service::caller_request
{
    std::shared_ptr<http_exchange> exchange;
    // Keeps `route` valid while the configuration changes.
    std::shared_ptr<const route_table> routes;
    const route_rule* route = nullptr;
    // The configuration in which the account was looked up, and keeps valid.
    std::shared_ptr<const route_table> account_source;
    // Null if the request needs no API key.
    const client_account* account = nullptr;
    // The account whose quota has counted the request, or empty, and when.
    std::string counted_account;
    time_point counted_at;
    service_id service;
    std::optional<key_number> key;
    // From the caller; empty if it sent none.
    std::string id;
    request_state state;
    time_point arrived;
    // Inferred time since the caller's first attempt.
    milliseconds age{0};
    // No attempt starts before this time.
    time_point not_before;
    // Servers that have had the request.
    std::vector<backend_server_id> tried_servers;
    // Client of the open attempt, or null.
    http_client* client = nullptr;
    call_number call;
    // Server of the open or last attempt, or the owner whose slot was
    // requested.
    backend_server_id server;
    // Start of the incarnation of that server that was known when the attempt
    // was sent.
    std::uint64_t server_started = 0;
    // When the last attempt started.
    time_point sent;
    // How long the last attempt waited for a connection to the server.
    milliseconds connection_wait{0};
    // Whether the request was answered or cancelled.
    bool finished = false;
    bool waiting_for_retry = false;
    // Open request or granted slot at the gate.
    std::optional<std::uint64_t> slot_number;
    bool waiting_for_slot = false;
    // In the list of open requests.
    std::list<request_ptr>::iterator position;

    // 0 is the most urgent.
    unsigned urgency() const
    {
        return account != nullptr && account->urgency ? *account->urgency
                                                      : route->urgency;
    }
};

// Calls a function that handles an event of one request. If it throws, only
// this request is affected.
template <class Function>
void caller_service::guard(const request_ptr& request, std::string_view place,
    const Function& function)
{
    guard_callback(place, function, [&] { abandon(request); });
}

} // namespace filberthub

#endif
