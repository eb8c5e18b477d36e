"""Each check of the soak must reject a journal that breaks its promise.

    python3 -B test/soak/checks_test.py
"""

import pathlib
import sys
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "soak"))

import callers  # noqa: E402
import checks  # noqa: E402

READ, EDIT = callers.KINDS[0], callers.KINDS[1]


class Server:
    def __init__(self, name, service="kartlas", zone="se-mitt-a", number=0):
        self.id = name
        self.service = service
        self.zone = zone
        self.number = number


class Journal:
    def __init__(self):
        self.events = []

    def add(self, what, at, **fields):
        self.events.append({"what": what, "at": at, **fields})


def request(journal, at, identity, kind=READ, key=7, router="r#1"):
    journal.add("request", at, request=identity, kind=kind, key=key,
                router=router, body=b"", target=f"/{kind.name}/{identity}",
                first=True)


def begin(journal, at, server, identity, kind=READ, key=7, since=0.0):
    journal.add("begin", at, server=server, request=identity, key=key,
                since=since, line=f"GET /{kind.name}/{identity} HTTP/1.1",
                body=b"")


def grant(journal, at, server, fence, end, since, late=False):
    journal.add("grant", at, server=server, life=1, first=0, last=65535,
                fence=fence, renewed=False, late=late,
                holds=[(0, 65535, fence, end, since)])


def found(check, journal, **more):
    run = types.SimpleNamespace(
        journal=journal, unexpected_ends=[], calm_since=0.0, ended=60.0, **more)
    return list(check(run))


class ChecksReject(unittest.TestCase):
    def setUp(self):
        self.journal = Journal()
        self.a = Server("i-a")
        self.b = Server("i-b", number=1)

    def rejects(self, check):
        self.assertTrue(found(check, self.journal))

    def accepts(self, check):
        self.assertEqual(found(check, self.journal), [])

    def test_an_answer_of_another_request(self):
        request(self.journal, 1, "q1")
        self.journal.add(
            "answer", 1.1, request="q1", status=200, echo="q1",
            signature="i-a.q1", retry_after=None,
            content=b'{"request": "q2", "server": "i-a", "bytes": 0}')
        self.rejects(checks.answers_are_own_and_complete)

    def test_a_request_that_nobody_sent(self):
        begin(self.journal, 1, self.a, "q1")
        self.rejects(checks.requests_reach_servers_unchanged)

    def test_a_request_at_another_service(self):
        request(self.journal, 1, "q1")
        begin(self.journal, 1, Server("i-c", service="raddning"), "q1")
        self.rejects(checks.requests_go_to_their_service)

    def test_an_edit_that_runs_twice(self):
        request(self.journal, 1, "q1", kind=EDIT)
        begin(self.journal, 1, self.a, "q1", kind=EDIT)
        self.accepts(checks.unsafe_requests_run_once)
        begin(self.journal, 2, self.b, "q1", kind=EDIT)
        self.rejects(checks.unsafe_requests_run_once)

    def test_a_refused_edit_that_ran(self):
        request(self.journal, 1, "q1", kind=EDIT)
        self.journal.add("answer", 1.1, request="q1", status=503,
                         retry_after="0.1")
        self.accepts(checks.refusals_are_true)
        begin(self.journal, 2, self.a, "q1", kind=EDIT)
        self.rejects(checks.refusals_are_true)

    def test_two_owners_that_both_work(self):
        for server in (self.a, self.b):
            self.journal.add("life", 0, server=server)
        grant(self.journal, 1, self.a, 1, end=9, since=1)
        begin(self.journal, 2, self.a, "q1", since=1)
        grant(self.journal, 3, self.b, 2, end=9, since=3)
        begin(self.journal, 4, self.b, "q2", since=3)
        self.accepts(checks.keys_have_one_owner)
        begin(self.journal, 5, self.a, "q3", since=1)
        self.rejects(checks.keys_have_one_owner)

    def test_a_token_that_does_not_rise(self):
        grant(self.journal, 1, self.a, 2, end=9, since=1)
        grant(self.journal, 3, self.b, 3, end=9, since=3)
        self.accepts(checks.fencing_tokens_rise)
        grant(self.journal, 4, self.a, 3, end=9, since=4)
        self.rejects(checks.fencing_tokens_rise)

    def test_a_request_at_a_server_that_left(self):
        request(self.journal, 5, "q1")
        self.journal.add("draining", 4, server=self.a)
        begin(self.journal, 5.9, self.a, "q1")
        self.accepts(checks.draining_servers_are_left_alone)
        begin(self.journal, 6.1, self.a, "q1")
        self.rejects(checks.draining_servers_are_left_alone)

    def test_a_request_in_an_evacuated_domain(self):
        request(self.journal, 9, "q1")
        self.journal.add("evacuated", 4, domain="se-mitt-a")
        begin(self.journal, 9.1, self.a, "q1")
        self.rejects(checks.evacuated_domains_are_left_alone)

    def test_a_cold_server_over_its_bound(self):
        for number in range(21):
            self.journal.add("arrival", 1 + number / 40, server=self.a,
                             request=f"q{number}", cold=True)
        self.accepts(checks.cold_servers_keep_their_bound)
        self.journal.add("arrival", 1.6, server=self.a, request="q", cold=True)
        self.rejects(checks.cold_servers_keep_their_bound)

    def test_repeats_over_the_budget(self):
        request(self.journal, 1, "q1")
        for number in range(42):
            self.journal.add("arrival", 1 + number / 40, server=self.a,
                             request="q1", cold=False)
        self.rejects(checks.retries_stay_in_their_budget)

    def test_a_configuration_that_goes_back(self):
        for version in range(1, 5):
            self.journal.add("configured", 1, version=version)
        self.journal.add("probe", 9, router="r#1", version=4, sent=9,
                         found=True, unknown=False)
        self.accepts(checks.configurations_come_in_time_and_stay)
        self.journal.add("probe", 11, router="r#1", version=2, sent=10.5,
                         found=True, unknown=False)
        self.rejects(checks.configurations_come_in_time_and_stay)

    def test_a_request_cut_by_a_leaving_router(self):
        request(self.journal, 5, "q1")
        self.journal.add("cut", 5.2, request="q1", why="closed")
        self.accepts(checks.leaving_routers_answer_everything)
        self.journal.add("arrival", 5.1, server=self.a, request="q1",
                         cold=False)
        self.rejects(checks.leaving_routers_answer_everything)

    def test_work_for_callers_that_left(self):
        for number in range(4):
            identity = f"q{number}"
            request(self.journal, 5, identity)
            self.journal.add("left", 5.1, request=identity)
            begin(self.journal, 5.5, self.a, identity)
        self.accepts(checks.cancelled_requests_are_not_begun)
        for number in range(4):
            begin(self.journal, 5.7, self.a, f"q{number}")
        self.rejects(checks.cancelled_requests_are_not_begun)

    def test_a_process_that_fails(self):
        self.journal.add("left fleet", 5, router="r#1", code=139)
        self.rejects(checks.processes_end_only_when_told)

    def test_callers_that_are_not_served_again(self):
        for number in range(10):
            request(self.journal, 20 + number, f"q{number}")
        self.rejects(checks.callers_are_served_after_the_faults)


if __name__ == "__main__":
    unittest.main()
