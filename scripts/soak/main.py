"""Randomized soak of `filberthub route`: main.py [--seed S] [--minutes M].

Runs the real program as separate processes against stand-ins, with faults from
outside, and checks the promises over what callers and servers saw. A run that
fails keeps its folder with the logs and the journal.
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

FAULT_TIME = 18.0
MEASURED_AFTER = checks.CALM + 4.0
KNOWN_RED = deployment.ROOT / "KNOWN-RED.txt"
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
# More violations of one kind say nothing new.
SHOWN = 3


async def watch_processes(run):
    """Notes routers that end without having been told to."""
    while True:
        await asyncio.sleep(0.1)
        for router in run.routers:
            if router.process and not router.leaving and not router.ending \
                    and router.process.poll() is not None \
                    and router.process.returncode != -9:
                run.unexpected_ends.append(
                    f"{router.run_name} ended with "
                    f"{router.process.returncode}")
                router.start()


async def watch_own_delay(run):
    """The longest time that this process did not get to run."""
    while True:
        before = run.now()
        await asyncio.sleep(0.05)
        run.own_delay = max(run.own_delay, run.now() - before - 0.05)


async def play(seed, folder, only):
    run = deployment.Run(seed, folder)
    watchers = []
    try:
        await run.start()
        watchers = [asyncio.create_task(watch_processes(run)),
                    asyncio.create_task(watch_own_delay(run))]
        await faults.play(run, FAULT_TIME, only)
        run.calm_since = run.now()
        await asyncio.sleep(MEASURED_AFTER)
        run.ended = run.now()
    finally:
        for task in watchers:
            task.cancel()
        await run.stop()
    return run


def run_seed(seed, only):
    """Prints the verdict of a seed and returns whether all promises held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"filberthub-soak-{seed}-"))
    started = time.monotonic()
    failures = []
    figures = ""
    try:
        run = asyncio.run(play(seed, folder, only))
        for check in checks.CHECKS:
            found = list(check(run))
            failures += [f"{check.__name__}: {text}" for text in found[:SHOWN]]
        count = collections.Counter(
            e["status"] for e in checks.events(run, "answer"))
        names = sorted({e["name"] for e in checks.events(run, "fault")})
        figures = (f"{sum(count.values())} answers, {count[200]} served, "
                   f"{len(names)} kinds of faults, own delay "
                   f"{run.own_delay * 1000:.0f} ms")
        if failures:
            with open(folder / "journal.jsonl", "w", encoding="utf-8") as out:
                for event in run.journal.events:
                    out.write(json.dumps(event, default=name_of) + "\n")
    except (TimeoutError, OSError) as failure:
        failures.append(f"{type(failure).__name__}: {failure}")
    verdict = "FAILED" if failures else "HELD"
    print(f"{verdict} seed {seed}  [{time.monotonic() - started:.0f} s; "
          f"{figures}]", flush=True)
    for failure in failures:
        print(f"  {failure}")
    if failures:
        print(f"  files: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    if failures and seed in known_red():
        print(f"  KNOWN-RED soak {seed}: listed in KNOWN-RED.txt, not counted")
        return True
    return not failures


def known_red():
    """Seeds that KNOWN-RED.txt lists, with `soak SEED`."""
    return {int(seed) for seed in
            re.findall(r"^soak (\d+)", KNOWN_RED.read_text(), re.M)}


def name_of(item):
    if isinstance(item, bytes):
        return item[:120].decode("latin-1")
    return getattr(item, "id", None) or getattr(item, "name", repr(item))


def regressions():
    """Seeds that once failed, each with its cause in the file."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines
            if line and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds, from --seed on")
    parser.add_argument("--minutes", type=float,
                        help="run fresh seeds for this time")
    parser.add_argument("--regressions", action="store_true",
                        help="run the seeds that once failed")
    parser.add_argument("--only", nargs="*", choices=list(faults.FAULTS),
                        help="kinds of faults to draw from")
    options = parser.parse_args()
    held = True
    if options.regressions:
        for seed in regressions():
            held = run_seed(seed, options.only) and held
    if options.minutes:
        end = time.monotonic() + options.minutes * 60
        while time.monotonic() < end:
            held = run_seed(random.SystemRandom().randrange(10**6),
                            options.only) and held
    elif options.seed is not None:
        for seed in range(options.seed, options.seed + options.seeds):
            held = run_seed(seed, options.only) and held
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
