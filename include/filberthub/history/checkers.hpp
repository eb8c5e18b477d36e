// Checkers for the guarantees P1 to P11 of the design. Each reads a merged
// history and returns every violation that it finds.
//
//     for (const violation& found : check_all(merge_histories(histories)))
//         std::cerr << to_string(found) << '\n';
//
// An empty result means that this history shows no violation. Events that were
// not recorded are not checked.

#ifndef FILBERTHUB_HISTORY_CHECKERS_HPP
#define FILBERTHUB_HISTORY_CHECKERS_HPP

#include <filberthub/history/event.hpp>

#include <span>
#include <string>
#include <vector>

namespace filberthub {

// A violation of a guarantee.
struct violation
{
    // Number of the guarantee, 1 to 11.
    int promise = 0;
    // Time of the event that shows the violation.
    time_point at;
    // The key, group, server or process concerned, and the values seen and
    // expected.
    std::string subject;
    std::string seen;
    std::string expected;
};

// Returns "P1 at 12.345 s: key map-7: ..., expected ...".
std::string to_string(const violation& found);

using history_view = std::span<const history_event>;
using violations = std::vector<violation>;

// P1: no two servers or holders own a group at the same time, no key is
// executed on two servers at the same time, and the token of a key increases
// whenever its server changes.
violations check_single_owner(history_view history);
// P2: after an assignment was acknowledged, no older one is read, unless a loss
// that exceeds the tolerated ones occurred in between.
violations check_assignments_survive(history_view history);
// P3: a server in cold start executes at most `limit` requests at a time.
violations check_cold_start(history_view history);
// P4: no request is sent to a failure domain or executed there later than 3 s
// after the domain was taken out of service.
violations check_domain_out(history_view history);
// P5: each complete answer belongs to the request that it was returned for.
violations check_own_answers(history_view history);
// P6: no request is executed if each attempt begun until then was answered "not
// run".
violations check_not_run(history_view history);
// P7: no non-idempotent request is executed more than once.
violations check_at_most_once(history_view history);
// P8: no request reaches a leaving server later than 3 s after the command, and
// all requests in progress on it are completed.
violations check_leaving_server(history_view history);
// P9: no request through an instance is interrupted by the instance's shutdown.
violations check_graceful_shutdown(history_view history);
// P10: each running instance adopts an accepted revision within 6 s, and no
// instance returns to a lower revision.
violations check_revisions(history_view history);
// P11: a key is served again within 3 s after the last loss. A refusal because
// of overload is no violation, because it shows that the key has an owner.
violations check_recovery(history_view history);

// Runs all checkers and returns the violations in the order of the guarantees.
violations check_all(history_view history);

} // namespace filberthub

#endif
