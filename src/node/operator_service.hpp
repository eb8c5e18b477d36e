// Serves the HTTP endpoints for operators: health, readiness, status, metrics
// and changes of the policy.
//
//     operator_service operations(view);
//     operations.handle(exchange);

#ifndef FILBERTHUB_NODE_OPERATOR_SERVICE_HPP
#define FILBERTHUB_NODE_OPERATOR_SERVICE_HPP

#include "node/entry_service.hpp"

#include <filberthub/platform/proposal_runner.hpp>
#include <filberthub/policy/settings.hpp>

namespace filberthub {

// What the endpoints show. The membership services are replaced when the
// instance joins again, so they are looked up for each request.
struct node_view
{
    const settings* config = nullptr;
    store_client* store = nullptr;
    std::function<fleet_service*()> fleet;
    std::function<policy_service*()> policy;
    std::function<ownership_service*()> ownership;
    std::function<holder_service*()> holders;
    const entry_service* entry = nullptr;
    const http_listener* callers = nullptr;
    std::function<bool()> leaving;
};

// Answers each exchange exactly once.
class operator_service
{
public:
    explicit operator_service(node_view view) : view_(std::move(view)) {}

    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    http_response health() const;
    http_response readiness() const;
    void handle_policy(const std::shared_ptr<http_exchange>& exchange);
    void propose(
        const std::shared_ptr<http_exchange>& exchange, policy_change change);
    json policy_history() const;
    json out_of_service() const;
    json status() const;
    std::string metrics() const;

    node_view view_;
};

} // namespace filberthub

#endif
