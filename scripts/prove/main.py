"""Runs proofs: main.py [NAME...] [--seed S] [--short]. See docs/PROOFS.md."""

import argparse
import fcntl
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import time

import core
import processes
import scenario
# These register their scenarios.
import instance_faults  # noqa: F401
import server_faults  # noqa: F401
import platform_faults  # noqa: F401
import edit_faults  # noqa: F401

LOCK = pathlib.Path(tempfile.gettempdir()) / "filberthub-prove.lock"
KNOWN_RED = processes.ROOT / "KNOWN-RED.txt"


def known_red():
    """Returns the proofs that KNOWN-RED.txt lists as `proof NAME`."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^proof ([\w-]+)", KNOWN_RED.read_text(), re.M))


def run_one(name, seed, short):
    """Prints the verdict of one proof and returns whether it holds."""
    started = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"filberthub-{name}-"))
    if name in core.PROOFS:
        figures, failures = core.prove(name, seed, short, folder)
        schedule_count = core.schedule_count(name, short)
    else:
        figures, failures = scenario.prove(name, seed, folder)
        schedule_count = 1
    seconds = time.monotonic() - started
    verdict = "FAILED" if failures else "PROVED"
    print(f"{verdict} {name} {seed}"
          + ("" if failures else f" {schedule_count}")
          + f"  [{seconds:.0f} s; {'; '.join(figures)}]", flush=True)
    for failure in failures:
        print(f"  {failure}")
    if failures:
        print(f"  files: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return not failures


def main():
    names = list(core.PROOFS) + list(scenario.SCENARIOS)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--short", action="store_true",
                        help="run each for a few seconds, skip long scenarios")
    parser.add_argument("--list", action="store_true")
    options = parser.parse_args()
    # On SIGTERM, as on SIGINT, the processes of the proof are killed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    unknown = set(options.names) - set(names)
    if unknown:
        parser.error(f"unknown proof {', '.join(sorted(unknown))}; expected "
                     f"{', '.join(names)}")
    if options.list:
        print("\n".join(names))
        return 0
    chosen = options.names or [
        name for name in names if not options.short or name in core.PROOFS
        or scenario.SCENARIOS[name][1]]
    # Concurrent runs would use the same addresses.
    lock = open(LOCK, "w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        print(f"another run of prove.sh holds the lock {LOCK}", file=sys.stderr)
        return 2
    known_red_names = known_red()
    failed = False
    for name in chosen:
        if run_one(name, options.seed, options.short):
            if name in known_red_names:
                print(f"  {name} is listed in KNOWN-RED.txt and passed")
        elif name in known_red_names:
            print(f"  KNOWN-RED {name}: listed in KNOWN-RED.txt, not counted")
        else:
            failed = True
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
