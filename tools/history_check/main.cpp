// Merges the histories of a test run and checks them against the guarantees P1
// to P11 of the design.

#include "tools/common/http_tools.hpp"

#include <filberthub/history/checkers.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace filberthub;

struct guarantee
{
    int number;
    violations (*check)(history_view history);
    // Without an event of this kind the guarantee was not exercised.
    event_kind checked_kind;
    // Kinds of the further events that the checker reads.
    std::vector<event_kind> related_kinds;
};

std::vector<guarantee> guarantees()
{
    using enum event_kind;
    return {{1, check_single_owner, execute, {own}},
        {2, check_assignments_survive, assigned, {assignment_read, loss}},
        {3, check_cold_start, cold, {execute}},
        {4, check_domain_out, domain_out, {dispatch, execute}},
        {5, check_own_answers, request, {}},
        {6, check_not_run, request, {execute}},
        {7, check_at_most_once, execute, {}},
        {8, check_leaving_server, leaving, {dispatch, execute}},
        {9, check_graceful_shutdown, shutdown, {request, dispatch}},
        {10, check_revisions, revision_accepted, {revision_adopted, running}},
        {11, check_recovery, loss, {request}}};
}

// Prints the result for one guarantee, with at most 10 violations. Returns
// whether the history shows no violation.
bool report(const guarantee& checked, const std::vector<history_event>& history)
{
    const auto count_of = [&](event_kind kind) {
        return std::ranges::count(history, kind, &history_event::what);
    };
    const auto checked_events = count_of(checked.checked_kind);
    if (checked_events == 0) {
        std::cout << "P" << checked.number << " not exercised: no event \""
                  << to_string(checked.checked_kind) << "\"\n";
        return true;
    }
    auto events = checked_events;
    for (const event_kind kind : checked.related_kinds)
        events += count_of(kind);
    const violations found = checked.check(history);
    if (found.empty()) {
        std::cout << "P" << checked.number << " ok " << events << " events\n";
        return true;
    }
    std::cout << "P" << checked.number << " violated " << found.size()
              << " times in " << events << " events\n";
    constexpr std::size_t max_printed = 10;
    for (std::size_t i = 0; i < std::min(found.size(), max_printed); ++i)
        std::cout << "  " << to_string(found[i]) << '\n';
    return false;
}

int run(const std::vector<std::string>& paths)
{
    std::vector<std::vector<history_event>> histories;
    for (const std::string& path : paths) {
        try {
            histories.push_back(decode_history(tools::read_file(path)));
        } catch (const error& failure) {
            throw error(failure.kind(), path + ": " + failure.what());
        }
    }
    const std::vector<history_event> merged = merge_histories(histories);
    bool all_hold = true;
    for (const guarantee& checked : guarantees())
        all_hold = report(checked, merged) && all_hold;
    return all_hold ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> paths(argv + 1, argv + argc);
    if (paths.empty() || paths.front().starts_with("-")) {
        std::cerr << "usage: history_check FILE...\nChecks histories with one "
                     "event per line. Exit codes: 0 no violation, 1 violation "
                     "found, 2 invalid usage or input\n";
        return 2;
    }
    try {
        return run(paths);
    } catch (const std::exception& failure) {
        std::cerr << "history_check: " << failure.what() << "\n";
    }
    return 2;
}
