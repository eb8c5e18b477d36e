// A model of the platform's store and of operators who change the policy in it
// at the same time, with faults that a schedule selects.
//
//     std::string violation = run_schedule(bytes, {});

#ifndef FILBERTHUB_TEST_POLICY_POLICY_STORE_MODEL_HPP
#define FILBERTHUB_TEST_POLICY_POLICY_STORE_MODEL_HPP

#include <filberthub/policy/proposal.hpp>

#include <vector>

namespace filberthub {

// Faults built into the model, to show that the checks find them.
struct model_faults
{
    // Operators do not recognise their own writes.
    bool hides_own_nonce = false;
    // The store updates the root whatever version it has.
    bool ignores_version = false;
};

// What came of one schedule.
struct schedule_report
{
    // The first broken promise, or empty.
    std::string violation;
    std::map<proposal_outcome, int> outcomes;
};

// Four operators propose changes, one at a time each. The bytes select who acts
// next, on what, and what goes wrong; when they are used up, all proposals run
// to their end without further faults.
schedule_report run_schedule(
    const std::vector<std::uint8_t>& bytes, const model_faults& faults);

} // namespace filberthub

#endif
