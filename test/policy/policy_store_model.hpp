// A model of the platform's store and of operators who concurrently change the
// policy in it, with faults that a schedule selects.
//
//     std::string violation = run_schedule(bytes, {}).violation;

#ifndef FILBERTHUB_TEST_POLICY_POLICY_STORE_MODEL_HPP
#define FILBERTHUB_TEST_POLICY_POLICY_STORE_MODEL_HPP

#include <filberthub/policy/proposal.hpp>

#include <vector>

namespace filberthub {

// Faults that can be injected into the model to show that its checks detect
// them.
struct model_faults
{
    // Operators do not recognize their own writes.
    bool hides_own_nonce = false;
    // The store updates the root without comparing the version.
    bool ignores_version = false;
};

// The outcome of one schedule.
struct schedule_report
{
    // The first violation of a guarantee; empty if there is none.
    std::string violation;
    // Number of proposals with each outcome.
    std::map<proposal_outcome, int> outcomes;
};

// Runs four operators, each of which makes one proposal at a time. The bytes
// select the operator that takes the next step, its change, and the faults.
// After the last byte, all proposals run to their end without further faults.
schedule_report run_schedule(
    const std::vector<std::uint8_t>& bytes, const model_faults& faults);

} // namespace filberthub

#endif
