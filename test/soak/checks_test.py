"""Tests that each check of the soak rejects a journal with a violation.

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

READ, EDIT = callers.REQUEST_KINDS[0], callers.REQUEST_KINDS[1]


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


def add_request(journal, at, request_id, kind=READ, key=7, router="r#1"):
    journal.add("request", at, request=request_id, kind=kind, key=key,
                router=router, body=b"", target=f"/{kind.name}/{request_id}",
                first=True)


def add_begin(journal, at, server, request_id, kind=READ, key=7, since=0.0):
    journal.add("begin", at, server=server, request=request_id, key=key,
                since=since, line=f"GET /{kind.name}/{request_id} HTTP/1.1",
                body=b"")


def add_grant(journal, at, server, fence, end, since, late=False):
    journal.add("grant", at, server=server, life=1, first=0, last=65535,
                fence=fence, renewed=False, late=late,
                holds=[(0, 65535, fence, end, since)])


def violations_of(check, journal, **run_fields):
    run = types.SimpleNamespace(
        journal=journal, unexpected_exits=[], faults_ended_at=0.0,
        ended_at=60.0, **run_fields)
    return list(check(run))


class ChecksReject(unittest.TestCase):
    def setUp(self):
        self.journal = Journal()
        self.server_a = Server("i-a")
        self.server_b = Server("i-b", number=1)

    def expect_rejected(self, check):
        self.assertTrue(violations_of(check, self.journal))

    def expect_accepted(self, check):
        self.assertEqual(violations_of(check, self.journal), [])

    def test_an_answer_of_another_request(self):
        add_request(self.journal, 1, "q1")
        self.journal.add(
            "answer", 1.1, request="q1", status=200, echo="q1",
            signature="i-a.q1", retry_after=None,
            content=b'{"request": "q2", "server": "i-a", "bytes": 0}')
        self.expect_rejected(checks.answers_are_own_and_complete)

    def test_a_request_that_nobody_sent(self):
        add_begin(self.journal, 1, self.server_a, "q1")
        self.expect_rejected(checks.requests_reach_servers_unchanged)

    def test_a_request_at_another_service(self):
        add_request(self.journal, 1, "q1")
        add_begin(self.journal, 1, Server("i-c", service="raddning"), "q1")
        self.expect_rejected(checks.requests_go_to_their_service)

    def test_an_edit_that_runs_twice(self):
        add_request(self.journal, 1, "q1", kind=EDIT)
        add_begin(self.journal, 1, self.server_a, "q1", kind=EDIT)
        self.expect_accepted(checks.unsafe_requests_run_once)
        add_begin(self.journal, 2, self.server_b, "q1", kind=EDIT)
        self.expect_rejected(checks.unsafe_requests_run_once)

    def test_a_refused_edit_that_ran(self):
        add_request(self.journal, 1, "q1", kind=EDIT)
        self.journal.add("answer", 1.1, request="q1", status=503,
                         retry_after="0.1")
        self.expect_accepted(checks.refusals_are_true)
        add_begin(self.journal, 2, self.server_a, "q1", kind=EDIT)
        self.expect_rejected(checks.refusals_are_true)

    def test_two_owners_that_both_work(self):
        for server in (self.server_a, self.server_b):
            self.journal.add("life", 0, server=server)
        add_grant(self.journal, 1, self.server_a, 1, end=9, since=1)
        add_begin(self.journal, 2, self.server_a, "q1", since=1)
        add_grant(self.journal, 3, self.server_b, 2, end=9, since=3)
        add_begin(self.journal, 4, self.server_b, "q2", since=3)
        self.expect_accepted(checks.keys_have_one_owner)
        add_begin(self.journal, 5, self.server_a, "q3", since=1)
        self.expect_rejected(checks.keys_have_one_owner)

    def test_two_holders_without_requests(self):
        add_grant(self.journal, 1, self.server_a, 1, end=4, since=1)
        add_grant(self.journal, 3.6, self.server_b, 2, end=7, since=3.6)
        add_grant(self.journal, 6, self.server_a, 1, end=9, since=6, late=True)
        self.expect_accepted(checks.keys_have_one_holder)
        add_grant(self.journal, 6.2, self.server_a, 3, end=9, since=6.2)
        self.expect_rejected(checks.keys_have_one_holder)

    def test_a_token_that_does_not_rise(self):
        add_grant(self.journal, 1, self.server_a, 2, end=9, since=1)
        add_grant(self.journal, 3, self.server_b, 3, end=9, since=3)
        self.expect_accepted(checks.fencing_tokens_rise)
        add_grant(self.journal, 4, self.server_a, 3, end=9, since=4)
        self.expect_rejected(checks.fencing_tokens_rise)

    def test_a_request_at_a_server_that_left(self):
        add_request(self.journal, 5, "q1")
        self.journal.add("draining", 4, server=self.server_a)
        self.journal.add("arrival", 5.9, server=self.server_a, request="q1",
                         misdirected=False)
        add_begin(self.journal, 6.1, self.server_a, "q1")
        self.journal.add("arrival", 6.1, server=self.server_a, request="q1",
                         misdirected=True)
        self.expect_accepted(checks.draining_servers_are_left_alone)
        self.journal.add("arrival", 6.1, server=self.server_a, request="q1",
                         misdirected=False)
        self.expect_rejected(checks.draining_servers_are_left_alone)

    def test_a_request_in_an_evacuated_domain(self):
        add_request(self.journal, 9, "q1")
        self.journal.add("evacuated", 4, domain="se-mitt-a")
        add_begin(self.journal, 9.1, self.server_a, "q1")
        self.expect_rejected(checks.evacuated_domains_are_left_alone)

    def test_a_cold_server_over_its_bound(self):
        for number in range(21):
            self.journal.add("arrival", 1 + number / 40, server=self.server_a,
                             request=f"q{number}", cold=True)
        self.expect_accepted(checks.cold_servers_keep_their_bound)
        self.journal.add("arrival", 1.6, server=self.server_a, request="q",
                         cold=True)
        self.expect_rejected(checks.cold_servers_keep_their_bound)

    def test_repeats_over_the_budget(self):
        add_request(self.journal, 1, "q1")
        for number in range(42):
            self.journal.add("arrival", 1 + number / 40, server=self.server_a,
                             request="q1", cold=False)
        self.expect_rejected(checks.retries_stay_in_their_budget)

    def test_a_configuration_that_goes_back(self):
        for version in range(1, 5):
            self.journal.add("configured", 1, version=version)
        self.journal.add("probe", 9, router="r#1", version=4, sent=9,
                         found=True, unknown=False)
        self.expect_accepted(checks.configurations_come_in_time_and_stay)
        self.journal.add("probe", 11, router="r#1", version=2, sent=10.5,
                         found=True, unknown=False)
        self.expect_rejected(checks.configurations_come_in_time_and_stay)

    def test_a_request_cut_by_a_leaving_router(self):
        add_request(self.journal, 5, "q1")
        self.journal.add("cut", 5.2, request="q1", why="closed")
        self.expect_accepted(checks.leaving_routers_answer_everything)
        self.journal.add("arrival", 5.1, server=self.server_a, request="q1",
                         cold=False)
        self.expect_rejected(checks.leaving_routers_answer_everything)

    def test_work_for_callers_that_left(self):
        for number in range(4):
            request_id = f"q{number}"
            add_request(self.journal, 5, request_id)
            self.journal.add("left", 5.1, request=request_id)
            add_begin(self.journal, 5.5, self.server_a, request_id)
        self.expect_accepted(checks.cancelled_requests_are_not_begun)
        for number in range(4):
            add_begin(self.journal, 5.7, self.server_a, f"q{number}")
        self.expect_rejected(checks.cancelled_requests_are_not_begun)

    def test_a_process_that_fails(self):
        self.journal.add("left fleet", 5, router="r#1", code=139)
        self.expect_rejected(checks.processes_end_only_when_told)

    def test_callers_that_are_not_served_again(self):
        for number in range(10):
            add_request(self.journal, 20 + number, f"q{number}")
        self.expect_rejected(checks.callers_are_served_after_the_faults)


if __name__ == "__main__":
    unittest.main()
