"""Randomized soak of `filberthub route`: main.py [--seed S] [--minutes M].

Runs the program as separate processes against a simulated store and simulated
backend servers, injects faults from outside the processes, and checks the
guarantees against what callers and servers observed. The folder of a failed run
is kept, with its logs and journal.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import re
import shutil
import sys
import tempfile
import time

import checks
import deployment
import faults

FAULT_DURATION_S = 18.0
RECOVERY_DURATION_S = checks.RECOVERY_S + 4.0
KNOWN_RED = deployment.ROOT / "KNOWN-RED.txt"
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
# Limit per check; further violations of one check add no information.
MAX_REPORTED_VIOLATIONS = 3


async def restart_exited_routers(run):
    """Records routers that exit without a request and restarts them."""
    while True:
        await asyncio.sleep(0.1)
        for router in run.routers:
            if router.process and not router.shutting_down \
                    and not router.killed \
                    and router.process.poll() is not None \
                    and router.process.returncode != -9:
                run.unexpected_exits.append(
                    f"{router.process_name} exited unexpectedly with code "
                    f"{router.process.returncode}")
                router.start()


async def measure_scheduling_delay(run):
    """Records the longest time in seconds that this process did not run."""
    while True:
        before = run.now()
        await asyncio.sleep(0.05)
        run.scheduling_delay = max(run.scheduling_delay,
                                   run.now() - before - 0.05)


async def run_deployment(seed, folder, only, scarce_connections):
    """Runs one seed: start, faults, then a period without faults."""
    run = deployment.Run(seed, folder,
                         scarce_connections=scarce_connections)
    background_tasks = []
    try:
        await run.start()
        background_tasks = [asyncio.create_task(restart_exited_routers(run)),
                            asyncio.create_task(measure_scheduling_delay(run))]
        await faults.inject_faults(run, FAULT_DURATION_S, only)
        run.faults_ended_at = run.now()
        await asyncio.sleep(RECOVERY_DURATION_S)
        run.ended_at = run.now()
    finally:
        for task in background_tasks:
            task.cancel()
        await run.stop()
    return run


def run_seed(seed, only, scarce_connections=False):
    """Prints the verdict of a seed and returns whether all guarantees held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"filberthub-soak-{seed}-"))
    started = time.monotonic()
    failures = []
    summary = ""
    try:
        run = asyncio.run(run_deployment(seed, folder, only,
                                         scarce_connections))
        for check in checks.CHECKS:
            violations = list(check(run))
            failures += [f"{check.__name__}: {text}"
                         for text in violations[:MAX_REPORTED_VIOLATIONS]]
        status_counts = collections.Counter(
            e["status"] for e in checks.events(run, "answer"))
        fault_names = sorted({e["name"] for e in checks.events(run, "fault")})
        summary = (f"{sum(status_counts.values())} answers, "
                   f"{status_counts[200]} served, "
                   f"{len(fault_names)} kinds of faults, "
                   f"scheduling delay {run.scheduling_delay * 1000:.0f} ms")
        if failures:
            with open(folder / "journal.jsonl", "w", encoding="utf-8") as out:
                for event in run.journal.events:
                    out.write(json.dumps(event, default=json_default) + "\n")
    except (TimeoutError, OSError) as failure:
        failures.append(f"{type(failure).__name__}: {failure}")
    verdict = "FAILED" if failures else "HELD"
    print(f"{verdict} seed {seed}  [{time.monotonic() - started:.0f} s; "
          f"{summary}]", flush=True)
    for failure in failures:
        print(f"  {failure}")
    if failures:
        print(f"  files: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    if failures and seed in known_red_seeds():
        print(f"  KNOWN-RED soak {seed}: listed in KNOWN-RED.txt, not counted")
        return True
    return not failures


def known_red_seeds():
    """Returns the seeds that KNOWN-RED.txt lists as `soak SEED`."""
    return {int(seed) for seed in
            re.findall(r"^soak (\d+)", KNOWN_RED.read_text(), re.M)}


def json_default(value):
    """Returns a printable form of a journal value that JSON lacks."""
    if isinstance(value, bytes):
        return value[:120].decode("latin-1")
    return getattr(value, "id", None) or getattr(value, "name", repr(value))


def regression_seeds():
    """Returns the seeds of regressions.txt, each of which failed before."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines
            if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds, from --seed on")
    parser.add_argument("--minutes", type=float,
                        help="run random seeds for this many minutes")
    parser.add_argument("--regressions", action="store_true",
                        help="run the seeds of regressions.txt")
    parser.add_argument("--only", nargs="*", choices=list(faults.FAULTS),
                        help="kinds of faults to choose from")
    parser.add_argument("--scarce-connections", action="store_true",
                        help="two connections of a router to a server, and "
                        "callers that wait eight times as long")
    options = parser.parse_args()
    all_held = True
    if options.regressions:
        for seed in regression_seeds():
            all_held = run_seed(seed, options.only, options.scarce_connections) and all_held
    if options.minutes:
        end = time.monotonic() + options.minutes * 60
        while time.monotonic() < end:
            all_held = run_seed(random.SystemRandom().randrange(10**6),
                                options.only, options.scarce_connections) and all_held
    elif options.seed is not None:
        for seed in range(options.seed, options.seed + options.seeds):
            all_held = run_seed(seed, options.only, options.scarce_connections) and all_held
    return 0 if all_held else 1


if __name__ == "__main__":
    sys.exit(main())
