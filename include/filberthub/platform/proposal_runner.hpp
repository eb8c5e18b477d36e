// Carries out policy proposals against the store.
//
//     run_proposal(store, request, bodies, [](const proposal_result& result) {
//         answer(result);
//     });

#ifndef FILBERTHUB_PLATFORM_PROPOSAL_RUNNER_HPP
#define FILBERTHUB_PLATFORM_PROPOSAL_RUNNER_HPP

#include <filberthub/platform/store_client.hpp>
#include <filberthub/policy/proposal.hpp>

#include <functional>
#include <map>

namespace filberthub {

// Runs a proposal to its result, which is passed to `done` exactly once.
// `known_bodies` are section bodies by digest, which need not be read again.
// `store` has to live until then. The calls are made on the Qt event loop.
void run_proposal(store_client& store, const proposal_request& request,
    const std::map<std::string, json>& known_bodies,
    std::function<void(const proposal_result&)> done);

// Returns 128 random bits as text, for the nonce of a proposal.
std::string random_nonce();

} // namespace filberthub

#endif
