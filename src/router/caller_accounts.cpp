// Client accounts of the requests of `caller_service`.

#include "router/caller_request.hpp"

namespace filberthub {

// Looks up the account of a request in a configuration. Returns false if the
// request needs an API key and has none of an account.
bool caller_service::identify_account(caller_request& request,
    const std::shared_ptr<const route_table>& routes) const
{
    request.account_source = routes;
    request.account = nullptr;
    if (!routes->accounts().enabled())
        return true;
    const http_headers& headers = request.exchange->request().headers;
    // The route that was found first may be gone.
    const route_rule* route = routes->find(
        headers.get("Host").value_or(""), request.exchange->request().target);
    if ((route != nullptr ? route : request.route)->is_public)
        return true;
    if (const auto key = platform_api::decode_api_key(headers))
        request.account = routes->accounts().find(*key);
    return request.account != nullptr;
}

// Checks an unsent request against the configuration in force, which may be
// newer than the request. Returns false if it was rejected.
bool caller_service::confirm_account(const request_ptr& request)
{
    const auto routes = view_.routes();
    if (request->account_source == routes)
        return true;
    if (identify_account(*request, routes))
        return true;
    cancel_attempt(*request, clock_());
    reject_key(request);
    return false;
}

// Checks all requests that are not sent against a new configuration, before any
// of them gets further.
void caller_service::confirm_accounts()
{
    const auto routes = view_.routes();
    if (routes == confirmed_routes_)
        return;
    confirmed_routes_ = routes;
    const std::list<request_ptr> open_requests = requests_;
    for (const request_ptr& request : open_requests) {
        if (!request->finished && !is_sent(*request))
            confirm_account(request);
    }
}

void caller_service::reject_key(const request_ptr& request)
{
    unknown_keys_.add();
    // Status 401 would state that the request has not run.
    fail(request,
        request->state.may_have_run
            ? failure_of(request->state, false, retry_delay)
            : failure_answer{401, std::nullopt},
        "missing or unknown API key");
}

void caller_service::set_account_field(
    const caller_request& request, http_headers& headers)
{
    using platform_api::credentials;
    credentials kept = credentials::keep;
    if (request.account != nullptr)
        kept = credentials::remove;
    else if (request.account_source->accounts().enabled())
        kept = credentials::remove_keys;
    platform_api::set_account(
        headers, kept, request.account != nullptr ? request.account->name : "");
}

} // namespace filberthub
