// Client accounts of the requests of `caller_service`.

#include "router/caller_request.hpp"

#include <algorithm>
#include <cmath>

namespace filberthub {
namespace {

// Bounds of the time after which a caller over its quota should come back. The
// coordinator raises a share within about this time.
constexpr milliseconds min_quota_wait{100};
constexpr milliseconds max_quota_wait{500};
// Accounts with series of their own in the metrics.
constexpr std::size_t max_account_series = 2'000;

} // namespace

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
        return request->state.may_have_run || count_request(request);
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
    if (routes)
        quota_.set_accounts(routes->accounts(), clock_());
    const std::list<request_ptr> open_requests = requests_;
    for (const request_ptr& request : open_requests) {
        if (!request->finished && !is_sent(*request))
            confirm_account(request);
    }
}

// Counts a request in the quota of its account, unless it is counted there.
// Returns false if it was rejected.
bool caller_service::count_request(const request_ptr& request)
{
    const std::string name =
        request->account != nullptr ? request->account->name : "";
    if (name == request->counted_account)
        return true;
    credit_request(*request);
    if (name.empty())
        return true;
    const time_point now = clock_();
    const bool admitted = quota_.try_take(name, now);
    count_outcome(name, admitted);
    if (admitted) {
        request->counted_account = name;
        request->counted_at = now;
        return true;
    }
    const milliseconds wait =
        std::max(quota_.wait(name, now, max_quota_wait), min_quota_wait);
    // Spread, so that callers do not come back at the same time.
    const milliseconds spread(std::llround(
        static_cast<double>(wait.count()) * view_.uniform_random()));
    cancel_attempt(*request, now);
    fail(request, {429, wait + spread, true}, "over the quota of the account");
    return false;
}

// Takes back the count of a request that has not run.
void caller_service::credit_request(caller_request& request)
{
    if (request.counted_account.empty())
        return;
    quota_.credit(request.counted_account, request.counted_at);
    request.counted_account.clear();
}

void caller_service::count_outcome(const std::string& account, bool admitted)
{
    std::pair key(account, admitted);
    if (account_counters_.size() >= 2 * max_account_series &&
        !account_counters_.contains(key))
        key.first = "other";
    counter*& known = account_counters_[key];
    if (known == nullptr) {
        known = &metrics_.add_counter("filberthub_account_requests_total",
            "Requests by client account and outcome of the quota.",
            {{"account", key.first},
                {"outcome", admitted ? "admitted" : "over-quota"}});
    }
    known->add();
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
