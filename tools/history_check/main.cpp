// Merges the histories of a test run and checks them against the promises of
// the design.

#include "tools/common/http_tools.hpp"

#include <filberthub/history/checkers.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace filberthub;

struct promise
{
    int number;
    violations (*check)(history_view history);
    // Without an event of this kind there is nothing to check.
    event_kind subject;
    // Further events that the checker reads.
    std::vector<event_kind> evidence;
};

std::vector<promise> promises()
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

// Prints the verdict on one promise and returns whether it holds.
bool report(const promise& item, const std::vector<history_event>& history)
{
    const auto of_kind = [&](event_kind kind) {
        return std::ranges::count(history, kind, &history_event::what);
    };
    const auto subjects = of_kind(item.subject);
    if (subjects == 0) {
        std::cout << "P" << item.number << " not exercised: no event \""
                  << to_string(item.subject) << "\"\n";
        return true;
    }
    auto events = subjects;
    for (const event_kind kind : item.evidence)
        events += of_kind(kind);
    const violations found = item.check(history);
    if (found.empty()) {
        std::cout << "P" << item.number << " ok " << events << " events\n";
        return true;
    }
    std::cout << "P" << item.number << " violated " << found.size()
              << " times in " << events << " events\n";
    constexpr std::size_t most_shown = 10;
    for (std::size_t i = 0; i < std::min(found.size(), most_shown); ++i)
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
    bool held = true;
    for (const promise& item : promises())
        held = report(item, merged) && held;
    return held ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> paths(argv + 1, argv + argc);
    if (paths.empty() || paths.front().starts_with("-")) {
        std::cerr << "usage: history_check FILE...\nChecks histories with one "
                     "event a line. Exit codes: 0 no violation, 1 violations, "
                     "2 usage or input\n";
        return 2;
    }
    try {
        return run(paths);
    } catch (const std::exception& failure) {
        std::cerr << "history_check: " << failure.what() << "\n";
    }
    return 2;
}
