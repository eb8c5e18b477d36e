#include "node/route.hpp"

#include <filberthub/base/error.hpp>
#include <filberthub/membership/rendezvous.hpp>

#include <algorithm>
#include <charconv>

namespace filberthub {
namespace {

constexpr std::size_t max_request_id_bytes = 256;
constexpr std::size_t max_key_bytes = 1024;

[[noreturn]] void fail(const std::string& message)
{
    throw error(error_kind::bad_request, message);
}

std::string header_or_empty(http_headers& headers, const char* name)
{
    const auto value = headers.get(name);
    return value ? std::string(*value) : std::string();
}

service_id service_of(std::string_view target)
{
    if (target.empty() || target.front() != '/')
        fail("target \"" + std::string(target) + "\" does not begin with /");
    target.remove_prefix(1);
    return service_id(
        std::string(target.substr(0, target.find_first_of("/?"))));
}

bool is_idempotent(const http_headers& headers, bool fallback)
{
    const auto value = headers.get("Filberthub-Idempotent");
    if (!value)
        return fallback;
    if (*value != "true" && *value != "false")
        fail("header Filberthub-Idempotent: \"" + std::string(*value) +
             "\" is neither true nor false");
    return *value == "true";
}

milliseconds deadline_of(
    const http_headers& headers, const service_policy& service)
{
    const auto value = headers.get("Filberthub-Deadline-Ms");
    if (!value)
        return service.default_deadline;
    std::uint32_t number = 0;
    const auto parsed =
        std::from_chars(value->data(), value->data() + value->size(), number);
    if (parsed.ec != std::errc() ||
        parsed.ptr != value->data() + value->size() || number == 0)
        fail("header Filberthub-Deadline-Ms: \"" + std::string(*value) +
             "\" is not a number of milliseconds above 0");
    return std::min(milliseconds(number), service.maximum_deadline);
}

void check_identity(const parsed_request& request)
{
    const forward_message& message = request.message;
    if (message.id.value().size() > max_request_id_bytes)
        fail("header Filberthub-Request-Id has " +
             std::to_string(message.id.value().size()) +
             " characters, at most " + std::to_string(max_request_id_bytes));
    if (request.key.size() > max_key_bytes)
        fail("header Filberthub-Key has " + std::to_string(request.key.size()) +
             " characters, at most " + std::to_string(max_key_bytes));
    if (!message.idempotent && message.id.empty())
        fail("header Filberthub-Request-Id is missing, which a "
             "non-idempotent request needs");
    if (message.keyed && request.key.empty())
        fail("header Filberthub-Key is missing, which service \"" +
             message.service.value() + "\" needs");
}

} // namespace

parsed_request parse_request(
    http_request request, const policy_document& policy)
{
    parsed_request result;
    const service_id name = service_of(request.target);
    result.service = policy.find(name);
    if (result.service == nullptr)
        throw error(error_kind::unknown_service,
            "there is no service \"" + name.value() + "\"");
    const service_policy& service = *result.service;
    if (request.body.size() > service.maximum_body_bytes)
        throw error(error_kind::body_too_large,
            "the body has " + std::to_string(request.body.size()) +
                " bytes, service \"" + name.value() + "\" takes at most " +
                std::to_string(service.maximum_body_bytes));

    forward_message& message = result.message;
    message.service = name;
    message.keyed = service.kind == routing::by_key;
    message.idempotent = is_idempotent(request.headers, service.idempotent);
    message.id =
        request_id(header_or_empty(request.headers, "Filberthub-Request-Id"));
    result.key = header_or_empty(request.headers, "Filberthub-Key");
    result.deadline = deadline_of(request.headers, service);
    const auto priority = request.headers.get("Filberthub-Priority");
    message.request_priority =
        priority ? priority_from_string(*priority) : service.default_priority;
    message.traceparent = header_or_empty(request.headers, "traceparent");
    check_identity(result);

    message.method = std::move(request.method);
    message.target = std::move(request.target);
    message.body = std::move(request.body);
    remove_hop_by_hop_fields(request.headers);
    for (const http_headers::field& item : request.headers.fields())
        message.headers.emplace_back(item.name, item.value);
    return result;
}

void route_by_key(parsed_request& request, const ownership_table& table)
{
    const assignment& owner = table.find(request.key);
    if (owner.primary == no_server)
        throw error(error_kind::no_holder,
            "the group of key \"" + request.key + "\" has no server");
    request.message.group = table.group_of_key(request.key);
    request.message.group_token = owner.token.value();
    request.message.server = table.server(owner.primary);
}

std::vector<const backend_server*> home_order(
    const service_policy& service, const request_id& id)
{
    std::vector<std::pair<std::uint64_t, const backend_server*>> weighted;
    weighted.reserve(service.servers.size());
    for (const backend_server& server : service.servers) {
        weighted.emplace_back(
            rendezvous_weight(id.value(), server.id.value()), &server);
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<const backend_server*> order;
    order.reserve(weighted.size());
    for (const auto& item : weighted)
        order.push_back(item.second);
    return order;
}

} // namespace filberthub
