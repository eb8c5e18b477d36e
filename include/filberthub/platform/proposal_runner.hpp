// Executes policy proposals with calls to the platform's store.
//
//     run_proposal(store, request, bodies, [](const proposal_result& result) {
//         reply(result.outcome);
//     });

#ifndef FILBERTHUB_PLATFORM_PROPOSAL_RUNNER_HPP
#define FILBERTHUB_PLATFORM_PROPOSAL_RUNNER_HPP

#include <filberthub/platform/store_client.hpp>
#include <filberthub/policy/proposal.hpp>

#include <functional>
#include <map>

namespace filberthub {

// Runs a proposal to completion and passes the result to `done` exactly once,
// possibly before this function returns. `known_bodies` maps digests to section
// bodies that need not be read from the store. `store` must outlive the call of
// `done`. All calls are made on the thread of the Qt event loop.
void run_proposal(store_client& store, const proposal_request& request,
    const std::map<std::string, json>& known_bodies,
    std::function<void(const proposal_result&)> done);

// Returns 128 random bits as 32 hexadecimal digits, for the nonce of a
// proposal.
std::string random_nonce();

} // namespace filberthub

#endif
