// One checker for each promise of the design. Each reads a merged history and
// returns every violation that it finds.
//
//     for (const violation& found : check_all(merge_histories(histories)))
//         std::cerr << to_string(found) << '\n';
//
// An empty result means that this history shows no violation. Events that were
// not recorded prove nothing.

#ifndef FILBERTHUB_HISTORY_CHECKERS_HPP
#define FILBERTHUB_HISTORY_CHECKERS_HPP

#include <filberthub/history/event.hpp>

#include <span>
#include <string>
#include <vector>

namespace filberthub {

struct violation
{
    // Number of the promise, 1 to 11.
    int promise = 0;
    // Time of the event that shows the violation.
    time_point at;
    // What it concerns, with the values seen and expected.
    std::string subject;
    std::string seen;
    std::string expected;
};

// Returns "P1 at 12.345 s: key map-7: ..., expected ...".
std::string to_string(const violation& found);

using history_view = std::span<const history_event>;
using violations = std::vector<violation>;

// P1: no two servers or holders own a group at once, no key runs on two servers
// at once, and the token of a key never falls when its server changes.
violations check_single_owner(history_view history);
// P2: after an assignment was acknowledged, no older one is read, unless a loss
// beyond the tolerated ones came between.
violations check_assignments_survive(history_view history);
// P3: a server in cold start runs at most `limit` requests at once.
violations check_cold_start(history_view history);
// P4: no work is sent to a domain or begins there 3 s after it was taken out.
violations check_domain_out(history_view history);
// P5: each complete answer is that of the caller's own request.
violations check_own_answers(history_view history);
// P6: no request runs of which each attempt so far was answered "not run".
violations check_not_run(history_view history);
// P7: no non-idempotent request runs twice.
violations check_at_most_once(history_view history);
// P8: no work reaches a leaving server after 3 s, and work on it finishes.
violations check_leaving_server(history_view history);
// P9: no request through an instance is interrupted by its shutdown.
violations check_graceful_shutdown(history_view history);
// P10: each running instance adopts an accepted revision within 6 s, and none
// reverts.
violations check_revisions(history_view history);
// P11: a key is served again 3 s after the last loss. A refusal for overload is
// no violation, because the key has an owner then.
violations check_recovery(history_view history);

// Runs all checkers.
violations check_all(history_view history);

} // namespace filberthub

#endif
