"""Core proofs: state tests of the libraries, run with a given seed."""

import os
import re
import subprocess

import processes

# By name: test program, test filter, numbers of schedules of a full and of a
# short run, and the filter of a short run if that excludes the tests with a
# fixed number of schedules.
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
TIMEOUT_S = 240.0


def schedule_count(name, short):
    return PROOFS[name][3 if short else 2]


def prove(name, seed, short, folder):
    """Runs a proof. Returns its figures and its failures."""
    program, test_filter = PROOFS[name][:2]
    if short and len(PROOFS[name]) > 4:
        test_filter = PROOFS[name][4]
    schedules = schedule_count(name, short)
    # The fleet test reads FILBERTHUB_SEED and FILBERTHUB_SCHEDULES.
    environment = dict(
        os.environ, RC_PARAMS=f"seed={seed} max_success={schedules}",
        FILBERTHUB_SEED=str(seed), FILBERTHUB_SCHEDULES=str(schedules))
    try:
        completed = subprocess.run(
            [str(processes.BINARIES / program),
             f"--gtest_filter={test_filter}"],
            env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            text=True, timeout=TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return [], [f"{program} took longer than {TIMEOUT_S:.0f} s"]
    (folder / "output.txt").write_text(completed.stdout)
    passed_line = re.search(r"\[  PASSED  \] (\d+) tests?", completed.stdout)
    passed = int(passed_line.group(1)) if passed_line else 0
    failures = []
    if completed.returncode != 0:
        failures = re.findall(
            r"^\[  FAILED  \] (\S+) \(", completed.stdout, re.M) \
            or [f"{program} exited with code {completed.returncode}"]
    elif passed == 0:
        failures = [f"{program}: the filter {test_filter} matches no test"]
    return [f"{passed} tests"], failures
