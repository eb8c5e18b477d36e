// The policy of one service.
//
//     const service_policy& kartlas = document->service(service_id("kartlas"));
//     if (kartlas.kind == routing::by_key)
//         group = group_of(key);

#ifndef FILBERTHUB_POLICY_SERVICE_POLICY_HPP
#define FILBERTHUB_POLICY_SERVICE_POLICY_HPP

#include <filberthub/base/types.hpp>

#include <string_view>
#include <vector>

namespace filberthub {

// Id of a region: a part of the deployment with its own fleet table and
// ownership tables.
using region_id = strong_name<struct region_id_tag>;

// How the backend server of a request is selected.
enum class routing : std::uint8_t
{
    // The server that owns the key of the request.
    by_key,
    // Any server of the service.
    any
};

// Returns the name used in the policy document, such as "by_key".
std::string_view to_string(routing value);

// One server of a service.
struct backend_server
{
    backend_server_id id;
    endpoint address;
    failure_domain_id domain;

    bool operator==(const backend_server&) const = default;
};

// Concurrency limits for a server that has just started or whose state is
// unknown. The percentages refer to the typical response time of the server.
struct cold_start_policy
{
    // Concurrent requests that a server in an unknown state receives.
    std::uint32_t first_limit = 1;
    // A response time up to this percentage counts towards the next slot.
    std::uint32_t good_percent = 200;
    // A response time above this percentage makes the state unknown again.
    std::uint32_t cold_percent = 300;

    bool operator==(const cold_start_policy&) const = default;
};

// When a server is a straggler, and the share of requests that it receives.
struct straggler_policy
{
    // Response time in percent of the median of the service above which a
    // server is a straggler.
    std::uint32_t threshold_percent = 200;
    // Percentage of its normal share that a straggler receives.
    std::uint32_t share_percent = 10;

    bool operator==(const straggler_policy&) const = default;
};

// A second copy of a slow read, sent to another server.
struct hedging_policy
{
    bool enabled = false;
    // The copy is sent after this percentile of the response time.
    std::uint32_t after_percentile = 95;
    // Maximum number of copies in percent of all requests.
    std::uint32_t budget_percent = 5;

    bool operator==(const hedging_policy&) const = default;
};

// All settings of one service. Values that were read from a policy document
// are within the bounds of `schemas/section.schema.json`.
struct service_policy
{
    service_id name;
    routing kind = routing::any;
    // In the order of the document; never empty.
    std::vector<backend_server> servers;
    // Requests that one server runs at the same time.
    std::uint32_t slots = 1;
    std::uint32_t connections_per_server = 1;
    // Whether the servers refuse commands with an old fencing token.
    bool verifies_tokens = false;
    // Used for requests without a `Filberthub-Priority` header.
    priority default_priority = priority::interactive;
    // Used for requests without a `Filberthub-Idempotent` header.
    bool idempotent = false;
    // Used for requests without a `Filberthub-Deadline-Ms` header.
    milliseconds default_deadline{1000};
    // A longer deadline of a caller is reduced to this one.
    milliseconds maximum_deadline{1000};
    std::uint64_t maximum_body_bytes = 0;
    // Maximum number of queued requests per slot.
    std::uint32_t queue_per_slot = 32;
    // Maximum number of retries in percent of all requests.
    std::uint32_t retry_percent = 10;
    cold_start_policy cold_start;
    straggler_policy stragglers;
    hedging_policy hedging;

    bool operator==(const service_policy&) const = default;
};

// Relative weights of the objectives of a deployment where they compete.
struct preference_weights
{
    std::uint32_t tail_latency = 1;
    std::uint32_t unavailable_time = 1;
    std::uint32_t churn = 1;
    // Quality of service while a failure domain leaves or returns.
    std::uint32_t domain_moves = 1;

    bool operator==(const preference_weights&) const = default;
};

} // namespace filberthub

#endif
