// Reads the headers of a caller's request and finds out where it has to go.

#ifndef FILBERTHUB_NODE_ROUTE_HPP
#define FILBERTHUB_NODE_ROUTE_HPP

#include <filberthub/http/message.hpp>
#include <filberthub/ownership/ownership_table.hpp>
#include <filberthub/policy/policy_document.hpp>
#include <filberthub/wire/message.hpp>

namespace filberthub {

// A request after its headers were read.
struct parsed_request
{
    const service_policy* service = nullptr;
    // Key, group, priority, deadline and body of the request; the server is
    // not chosen yet.
    forward_message message;
    std::string key;
    milliseconds deadline{0};
};

// Reads a request under `policy`. Throws `error` of kind `bad_request`,
// `unknown_service` or `body_too_large` that names the header, the value seen
// and what was expected.
parsed_request parse_request(
    http_request request, const policy_document& policy);

// Sets the server, group and token for a service that divides its keys. Throws
// `error` of kind `no_holder` if the group has no owner.
void route_by_key(parsed_request& request, const ownership_table& table);

// Returns the servers of the service in the order in which the request id
// prefers them. The first one is its home whatever the state of the servers,
// so that a repeat finds the record of the first run.
std::vector<const backend_server*> home_order(
    const service_policy& service, const request_id& id);

} // namespace filberthub

#endif
