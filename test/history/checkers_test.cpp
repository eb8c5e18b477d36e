#include <filberthub/history/checkers.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace filberthub {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

// Returns an event that lasts from `from` to `to`, in milliseconds.
history_event make_event(event_kind what, std::string who, int from, int to)
{
    history_event event;
    event.what = what;
    event.who = std::move(who);
    event.invoke = time_point(milliseconds(from));
    event.returned = time_point(milliseconds(to));
    event.service = service_id("kartlas");
    event.result = outcome::done;
    return event;
}

history_event ownership(
    std::string who, const char* server, std::uint64_t token, int from, int to)
{
    history_event event = make_event(event_kind::own, std::move(who), from, to);
    event.group = key_group(7);
    event.server = backend_server_id(server);
    event.token = fencing_token(token);
    return event;
}

history_event assignment_event(
    event_kind what, const char* server, std::uint64_t token, int from)
{
    history_event event = ownership("planner", server, token, from, from + 10);
    event.what = what;
    return event;
}

history_event execute(const char* server, const char* request, int from, int to)
{
    history_event event = make_event(event_kind::execute, server, from, to);
    event.server = backend_server_id(server);
    event.domain = failure_domain_id("mitt-a");
    event.request = request_id(request);
    return event;
}

history_event execute_key(
    const char* server, std::uint64_t token, int from, int to)
{
    history_event event = execute(server, "r", from, to);
    event.key = "map-7";
    event.token = fencing_token(token);
    return event;
}

history_event execute_non_idempotent(
    const char* server, const char* request, int from)
{
    history_event event = execute(server, request, from, from + 10);
    event.idempotent = false;
    return event;
}

history_event request(
    const char* id, int from, int to, outcome result = outcome::done)
{
    history_event event = make_event(event_kind::request, "loadgen", from, to);
    event.request = request_id(id);
    event.key = "map-7";
    event.instance = instance_id("entry-1");
    event.result = result;
    return event;
}

history_event operator_event(
    event_kind what, const char* subject, int from, int to)
{
    history_event event = make_event(what, "operator", from, to);
    event.domain = failure_domain_id(subject);
    event.server = backend_server_id(subject);
    event.instance = instance_id(subject);
    event.limit = 2;
    return event;
}

history_event revision_event(
    event_kind what, std::string who, std::uint64_t document, int at)
{
    history_event event = make_event(what, std::move(who), at, at);
    event.document = revision(document);
    return event;
}

history_event loss_at(int from)
{
    return operator_event(event_kind::loss, "kartlas-1", from, from);
}

history_event with_digest(const char* seen)
{
    history_event event = request("r", 0, 5);
    event.digest = seen;
    event.expected_digest = "map-7 rev 3";
    return event;
}

history_event without_return(history_event event)
{
    event.returned.reset();
    event.result.reset();
    return event;
}

// A history without violations and one with exactly one violation, for a
// checker.
struct checker_case
{
    std::string name;
    std::function<violations(history_view)> check;
    std::vector<history_event> good;
    std::vector<history_event> bad;
    // Part of the text of the violation in the bad history.
    std::string message;
};

void PrintTo(const checker_case& tested, std::ostream* stream)
{
    *stream << tested.name;
}

class Checker : public ::testing::TestWithParam<checker_case>
{};

// Guards against false alarms.
TEST_P(Checker, AcceptsTheGoodHistory)
{
    std::string seen;
    for (const violation& found : GetParam().check(GetParam().good))
        seen += to_string(found) + "\n";
    EXPECT_EQ(seen, "");
}

// Guards against violations that are not found. Each bad history has exactly
// one violation, so that a checker that reports every event fails as well.
TEST_P(Checker, RejectsTheBadHistory)
{
    std::vector<std::string> seen;
    for (const violation& found : GetParam().check(GetParam().bad))
        seen.push_back(to_string(found));
    EXPECT_THAT(seen, ElementsAre(HasSubstr(GetParam().message)));
}

const std::vector<checker_case> cases = {
    {"SingleOwnerOfAGroup", check_single_owner,
        {ownership("a", "kartlas-1", 1, 0, 100),
            ownership("a", "kartlas-1", 1, 50, 200),
            ownership("b", "kartlas-2", 2, 200, 300)},
        {ownership("a", "kartlas-1", 1, 0, 100),
            ownership("b", "kartlas-2", 2, 99, 300)},
        "P1 at 0.099 s: kartlas group 7: kartlas-1 of a with token 1"},
    {"SingleHolderOfAServer", check_single_owner,
        {ownership("a", "kartlas-1", 1, 0, 100),
            ownership("b", "kartlas-1", 2, 100, 300)},
        {ownership("a", "kartlas-1", 1, 0, 100),
            ownership("b", "kartlas-1", 2, 50, 300)},
        "expected one owner at a time"},
    {"SingleServerOfAKey", check_single_owner,
        {execute_key("kartlas-1", 1, 0, 50),
            execute_key("kartlas-2", 2, 50, 90)},
        {execute_key("kartlas-1", 1, 0, 50),
            execute_key("kartlas-2", 2, 49, 90)},
        "P1 at 0.049 s: kartlas key map-7"},
    {"GrowingTokensOfAKey", check_single_owner,
        {execute_key("kartlas-1", 1, 0, 50),
            execute_key("kartlas-1", 1, 50, 60),
            execute_key("kartlas-2", 2, 60, 90)},
        {execute_key("kartlas-1", 2, 0, 50),
            execute_key("kartlas-2", 1, 60, 90)},
        "expected a higher token on the new server"},
    {"AssignmentsSurvive", check_assignments_survive,
        {assignment_event(event_kind::assigned, "kartlas-1", 2, 0),
            assignment_event(event_kind::assignment_read, "kartlas-0", 1, 5),
            assignment_event(event_kind::assignment_read, "kartlas-1", 2, 20),
            assignment_event(event_kind::assignment_read, "kartlas-2", 4, 20)},
        {assignment_event(event_kind::assigned, "kartlas-1", 2, 0), loss_at(15),
            assignment_event(event_kind::assignment_read, "kartlas-0", 1, 20)},
        "P2 at 0.020 s: kartlas group 7: kartlas-0 of planner with token 1"},
    {"OneServerForAToken", check_assignments_survive,
        {assignment_event(event_kind::assigned, "kartlas-1", 2, 0)},
        {assignment_event(event_kind::assigned, "kartlas-1", 2, 0),
            assignment_event(event_kind::assignment_read, "kartlas-0", 2, 20)},
        "P2 at 0.020 s"},
    {"ColdStart", check_cold_start,
        {operator_event(event_kind::cold, "kartlas-1", 0, 100),
            execute("kartlas-1", "a", 0, 10), execute("kartlas-1", "b", 5, 20),
            execute("kartlas-1", "c", 10, 20),
            execute("kartlas-2", "d", 10, 20),
            execute("kartlas-1", "e", 100, 120),
            execute("kartlas-1", "f", 100, 120),
            execute("kartlas-1", "g", 100, 120)},
        {operator_event(event_kind::cold, "kartlas-1", 0, 100),
            execute("kartlas-1", "a", 0, 10), execute("kartlas-1", "b", 5, 20),
            execute("kartlas-1", "c", 9, 20)},
        "P3 at 0.009 s: kartlas-1: 3 requests at once in cold start, expected "
        "at most 2"},
    {"DomainOut", check_domain_out,
        {operator_event(event_kind::domain_out, "mitt-a", 0, 9000),
            execute("kartlas-1", "a", 3000, 9000),
            execute("kartlas-1", "b", 9000, 9100)},
        {operator_event(event_kind::domain_out, "mitt-a", 0, 9000),
            execute("kartlas-1", "a", 3001, 3100)},
        "P4 at 3.001 s: mitt-a: execute of request a on kartlas-1 began 3.001"},
    {"OwnAnswers", check_own_answers, {with_digest("map-7 rev 3")},
        {with_digest("map-8 rev 1")},
        "P5 at 0.005 s: request r: answer with digest \"map-8 rev 1\", "
        "expected \"map-7 rev 3\""},
    {"NotRun", check_not_run,
        {request("r", 0, 5, outcome::not_run), request("r", 6, 20),
            execute("kartlas-1", "r", 8, 10),
            request("s", 0, 5, outcome::not_run)},
        {request("r", 0, 5, outcome::not_run),
            execute("kartlas-1", "r", 4, 10)},
        "P6 at 0.004 s: request r: executed by kartlas-1, but"},
    {"NotRunBeforeALaterAttempt", check_not_run, {request("r", 6, 20)},
        {request("r", 0, 5, outcome::not_run), request("r", 6, 20),
            execute("kartlas-1", "r", 4, 10)},
        "P6 at 0.004 s"},
    {"AtMostOnce", check_at_most_once,
        {execute_non_idempotent("kartskriv-1", "r", 0),
            execute_non_idempotent("kartskriv-1", "s", 0),
            execute("kartlas-1", "t", 0, 5), execute("kartlas-2", "t", 5, 9)},
        {execute_non_idempotent("kartskriv-1", "r", 0),
            execute_non_idempotent("kartskriv-2", "r", 50)},
        "P7 at 0.050 s: request r: 2 executions, on kartskriv-1 at 0.000 s and "
        "kartskriv-2 at 0.050 s, expected at most 1"},
    {"LeavingServerGetsNoWork", check_leaving_server,
        {operator_event(event_kind::leaving, "kartlas-1", 0, 9000),
            execute("kartlas-1", "a", 2999, 9000)},
        {operator_event(event_kind::leaving, "kartlas-1", 0, 9000),
            execute("kartlas-1", "a", 3001, 3100)},
        "P8 at 3.001 s: kartlas-1: execute of request a"},
    {"LeavingServerFinishesItsWork", check_leaving_server,
        {operator_event(event_kind::leaving, "kartlas-1", 10, 9000),
            execute("kartlas-1", "a", 0, 100),
            without_return(execute("kartlas-2", "b", 0, 100))},
        {operator_event(event_kind::leaving, "kartlas-1", 10, 9000),
            without_return(execute("kartlas-1", "a", 0, 100))},
        "ended with no answer while the server was leaving, expected done"},
    {"GracefulShutdown", check_graceful_shutdown,
        {operator_event(event_kind::shutdown, "entry-1", 10, 90),
            request("a", 0, 50), request("b", 20, 50, outcome::not_run),
            request("c", 0, 9, outcome::unknown)},
        {operator_event(event_kind::shutdown, "entry-1", 10, 90),
            request("a", 0, 50, outcome::unknown)},
        "P9 at 0.050 s: request a (request): unknown during the shutdown of "
        "entry-1"},
    {"RevisionInForceInTime", check_revisions,
        {make_event(event_kind::running, "a", 0, 20000),
            make_event(event_kind::running, "b", 0, 6000),
            revision_event(event_kind::revision_accepted, "operator", 5, 1000),
            revision_event(event_kind::revision_adopted, "a", 6, 7000)},
        {make_event(event_kind::running, "a", 0, 20000),
            revision_event(event_kind::revision_accepted, "operator", 5, 1000),
            revision_event(event_kind::revision_adopted, "a", 5, 7001)},
        "P10 at 7.000 s: a: revision 5 was not in force, expected it by 7.000"},
    {"RevisionNeverReverts", check_revisions,
        {revision_event(event_kind::revision_adopted, "a", 5, 0),
            revision_event(event_kind::revision_adopted, "b", 4, 10),
            revision_event(event_kind::revision_adopted, "a", 6, 20)},
        {revision_event(event_kind::revision_adopted, "a", 5, 0),
            revision_event(event_kind::revision_adopted, "a", 4, 10)},
        "P10 at 0.010 s: a: revision 4 after revision 5, expected no lower "
        "revision"},
    {"Recovery", check_recovery,
        {loss_at(0), request("a", 2999, 3000, outcome::not_run),
            request("b", 2999, 3000),
            request("c", 4000, 4100, outcome::unknown), loss_at(5000),
            request("d", 7000, 7100, outcome::not_run)},
        {loss_at(0), request("a", 3000, 3100, outcome::not_run)},
        "P11 at 3.000 s: kartlas key map-7: request a got not-run"},
    {"RecoveryOfStalledRequests", check_recovery,
        {loss_at(0), request("a", 100, 2900)},
        {loss_at(0), request("a", 100, 3101)},
        "request a got done at 3.101 s after the loss at 0.000 s, expected "
        "service within 3.000 s"},
};

INSTANTIATE_TEST_SUITE_P(Guarantees, Checker, ::testing::ValuesIn(cases),
    [](const auto& tested) { return tested.param.name; });

// Guards against a violation of P2 that is reported although a loss exceeded
// the tolerated ones.
TEST(AssignmentChecker, AcceptsAnOlderAssignmentAfterAnUntoleratedLoss)
{
    history_event loss = loss_at(15);
    loss.tolerated = false;
    const std::vector<history_event> history = {
        assignment_event(event_kind::assigned, "kartlas-1", 2, 0), loss,
        assignment_event(event_kind::assignment_read, "kartlas-0", 1, 20)};
    EXPECT_THAT(check_assignments_survive(history), IsEmpty());
}

// Guards against a checker that is missing in `check_all`.
TEST(AllCheckers, FindAViolationOfEachGuarantee)
{
    std::set<int> found;
    for (const checker_case& tested : cases) {
        for (const violation& each : check_all(tested.bad))
            found.insert(each.promise);
    }
    EXPECT_EQ(found.size(), 11U);
}

} // namespace
} // namespace filberthub
