// Parses the headers of a caller's request and finds the server to send it to.
//
//     parsed_request request = parse_request(std::move(http), policy);
//     route_by_key(request, table);

#ifndef FILBERTHUB_NODE_ROUTE_HPP
#define FILBERTHUB_NODE_ROUTE_HPP

#include <filberthub/http/message.hpp>
#include <filberthub/ownership/ownership_table.hpp>
#include <filberthub/policy/policy_document.hpp>
#include <filberthub/wire/message.hpp>

namespace filberthub {

// A request with parsed headers. Refers to the policy that it was parsed with.
struct parsed_request
{
    const service_policy* service = nullptr;
    // The message to the holder. The number, server, group, token and remaining
    // time are set later.
    forward_message message;
    // Empty if the caller sent none.
    std::string key;
    // Time from the arrival of the request.
    milliseconds deadline{0};
};

// Parses a request under `policy`. Throws `error` of kind `bad_request`,
// `unknown_service` or `body_too_large`; the message names the header, its
// value and what was expected.
parsed_request parse_request(
    http_request request, const policy_document& policy);

// Sets the server, group and token of a request of a keyed service. Throws
// `error` of kind `no_holder` if the group has no owner.
void route_by_key(parsed_request& request, const ownership_table& table);

// Returns the servers of the service in rendezvous order for the request id.
// The first one is the home of the id whatever the state of the servers, so
// that a repeated request finds the record of the first one.
std::vector<const backend_server*> home_order(
    const service_policy& service, const request_id& id);

} // namespace filberthub

#endif
