"""Core proofs: state tests of the libraries, run with a chosen seed."""

import os
import re
import subprocess

import processes

# Name: test program, filter, schedules of a full and of a short run, and the
# filter of a short run if it leaves out tests with a fixed number of schedules.
PROOFS = {
    "core-one-holder": (
        "membership_test", "Fleet.*:MemberLease*:WitnessLedger*", 1000, 40,
        "Fleet.HasOneHolderPerServerAtMost:MemberLease*:WitnessLedger*"),
    "core-group-release": (
        "ownership_test", "GroupReleaseTracker.*:Handover.*", 2000, 200),
    "core-ownership-planner": (
        "ownership_test", "OwnershipPlanner.*:PlannedService.*", 400, 40),
    "core-at-most-once": (
        "attempt_test", "AtMostOnce*:DuplicateFilter.*:IntentLog.*", 2000, 200,
        "AtMostOnce.HoldsWhen*:DuplicateFilter.*:IntentLog.*"),
    "core-not-run": ("attempt_test", "Attempt.*", 1000, 100),
    "core-cold-start": (
        "admission_test", "ServerGate.*:EvidenceRamp.*", 2000, 200),
    "core-policy-revisions": (
        "policy_test", "Proposal*:RevisionRegister.*", 2000, 200),
}
LIMIT = 240.0


def schedules(name, short):
    return PROOFS[name][3 if short else 2]


def prove(name, seed, short, folder):
    """Returns figures and what failed."""
    program, tests = PROOFS[name][:2]
    if short and len(PROOFS[name]) > 4:
        tests = PROOFS[name][4]
    count = schedules(name, short)
    # The fleet test reads variables of its own.
    environment = dict(
        os.environ, RC_PARAMS=f"seed={seed} max_success={count}",
        FILBERTHUB_SEED=str(seed), FILBERTHUB_SCHEDULES=str(count))
    try:
        done = subprocess.run(
            [str(processes.BINARIES / program), f"--gtest_filter={tests}"],
            env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            text=True, timeout=LIMIT, check=False)
    except subprocess.TimeoutExpired:
        return [], [f"{program} took longer than {LIMIT:.0f} s"]
    (folder / "output.txt").write_text(done.stdout)
    found = re.search(r"\[  PASSED  \] (\d+) tests?", done.stdout)
    passed = int(found.group(1)) if found else 0
    failures = []
    if done.returncode != 0:
        failures = re.findall(r"^\[  FAILED  \] (\S+) \(", done.stdout, re.M) \
            or [f"{program} ended with {done.returncode}"]
    elif passed == 0:
        failures = [f"{program}: the filter {tests} selects no test"]
    return [f"{passed} tests"], failures
