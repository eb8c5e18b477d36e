"""Runs a process proof: deployment, load, checks, figures.

    @scenario("instance-killed")
    def instance_killed(run):
        run.kill(run.deployment.instances[0])
"""

import contextlib
import random
import re
import signal
import subprocess
import threading
import time

import callers
import processes

SCENARIOS = {}
# P11: a key is served again within this many seconds.
RECOVERY_LIMIT = 3.0
# Limit in seconds until a fault is over and all callers are served again.
SERVED_AGAIN_LIMIT = 40.0


def scenario(name, short=False, load=None, **deployment):
    """Registers a scenario with the options of its load and deployment.

    `short` includes it in short runs.
    """
    def register(function):
        SCENARIOS[name] = (function, short, load or {}, deployment)
        return function
    return register


class StatusPoller(threading.Thread):
    """Records which policy revision is in force in each instance."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.stopping = threading.Event()
        self.revision_decreases = []
        self.latest = {}

    def run(self):
        while not self.stopping.wait(0.1):
            for instance in self.deployment.instances:
                self._poll(instance)

    def _poll(self, instance):
        name = instance.process_name
        invoked_at = time.monotonic_ns()
        status = instance.status() if instance.running() else None
        if status is None or name != instance.process_name:
            return
        revision = status["policy_revision"]
        previous = self.latest.get(name)
        if revision != previous and revision > 0:
            self.deployment.history.add(
                "revision_adopted", invoked_at, time.monotonic_ns(), who=name,
                document=revision)
            self.latest[name] = revision
        if previous is not None and revision < previous:
            self.revision_decreases.append(
                f"{name}: revision {revision} after {previous}")


class Run:
    """One run of a scenario, which records its figures and losses here."""

    def __init__(self, deployment, seed, load):
        self.deployment = deployment
        self.history = deployment.history
        self.random = random.Random(seed)
        self.seed = seed
        self.load = callers.Load(deployment, seed, **load)
        self.poller = StatusPoller(deployment)
        self.figures = []
        self.measured_from = None

    def now(self):
        return time.monotonic_ns()

    def record_figure(self, text):
        self.figures.append(text)

    def require(self, condition, text):
        if not condition:
            raise processes.Failure(text)

    def start_load(self):
        self.poller.start()
        self.load.start()
        self.wait(lambda: self.load.answer_count()
                  > 20 * len(self.load.callers),
                  "the load is answered before the fault")
        self.wait(lambda: all(c.counts["done"] > 0 for c in self.load.callers),
                  "each caller is served before the fault")
        self.measured_from = self.now()

    def wait(self, condition, what, limit=SERVED_AGAIN_LIMIT):
        return processes.wait_for(condition, limit, what)

    def record_loss(self, **where):
        """Records that an instance, server or domain was lost on purpose."""
        self.history.add("loss", self.now(), **where)

    def kill(self, instance):
        self.record_loss(instance=instance.name)
        instance.kill()

    def require_no_lost_requests(self):
        """Requires that each request so far got an answer with a known
        outcome."""
        cuts = self.load.lost_requests()
        self.require(not cuts, f"{len(cuts)} requests got no answer with a "
                     "known outcome, the first: " +
                     "; ".join(f"{cut[3]} through {cut[2]}: {cut[4]}"
                               for cut in cuts[:3]))

    def wait_until_served(self):
        """Waits until each caller has been answered after this call, twice."""
        for _ in range(2):
            start = self.now()
            self.wait(lambda start=start: self.load.all_answered_since(start),
                      "each caller is answered after the fault")

    def run_load_for(self, seconds):
        """Runs the load for a fixed time of the scenario."""
        end = self.now() + int(seconds * callers.NS_PER_SECOND)
        self.wait(lambda: self.now() >= end, "the load has run", seconds + 30)

    def finish(self):
        """Stops the load, records figures and raises if a bound was broken."""
        end = self.now()
        self.load.stop()
        if self.poller.ident is not None:
            self.poller.stopping.set()
            self.poller.join()
        if self.measured_from is None:
            return
        for instance in self.deployment.instances:
            code = instance.process.exit_code()
            if code not in (None, 0, -signal.SIGKILL):
                raise processes.Failure(
                    f"{instance.name} exited with code {code}, expected no "
                    "exit without a request")
            if instance.running() and instance.start_count == 1:
                self.history.add("running", self.measured_from, end,
                                 who=instance.process_name)
        keyed_gap, keyed_caller = self.load.longest_gap(
            self.measured_from, end, keyed=True)
        unkeyed_gap, unkeyed_caller = self.load.longest_gap(
            self.measured_from, end, keyed=False)
        counts = {name: self.load.count(name)
                  for name in ("done", "not-run", "unknown", "cut")}
        self.record_figure(
            f"longest time without an answer per key {keyed_gap:.2f} s "
            f"({keyed_caller}), without a key {unkeyed_gap:.2f} s "
            f"({unkeyed_caller})")
        self.record_figure(", ".join(
            f"{n} {name}" for name, n in counts.items()))
        longest_gap, caller = max((keyed_gap, keyed_caller),
                                  (unkeyed_gap, unkeyed_caller))
        if longest_gap >= RECOVERY_LIMIT:
            raise processes.Failure(
                f"{caller} had no answer for {longest_gap:.2f} s, "
                f"expected less than {RECOVERY_LIMIT:.1f} s")
        if self.poller.revision_decreases:
            raise processes.Failure("; ".join(self.poller.revision_decreases))


def check_history(deployment):
    """Returns the verdicts of the checkers and whether all guarantees hold."""
    completed = subprocess.run(
        [processes.BINARIES / "history_check", *deployment.histories()],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        check=False)
    return completed.stdout.splitlines(), completed.returncode == 0


def prove(name, seed, folder):
    """Runs a scenario. Returns its figures and its failures."""
    function, _, load, options = SCENARIOS[name]
    failures = []
    with processes.Deployment(folder, **options) as deployment:
        run = Run(deployment, seed, load)
        try:
            deployment.start()
            run.start_load()
            function(run)
        except (processes.Failure, OSError, KeyError,
                subprocess.TimeoutExpired) as failure:
            failures.append(f"{type(failure).__name__}: {failure}")
        finally:
            try:
                with contextlib.ExitStack() as stack:
                    stack.callback(run.load.stop)
                    run.finish()
            except processes.Failure as failure:
                failures.append(str(failure))
    verdicts, held = check_history(deployment)
    checked = [line for line in verdicts if " ok " in line]
    run.record_figure("history: " + " ".join(
        re.sub(r" ok (\d+) events", r"(\1)", line) for line in checked))
    if not held:
        failures += [line for line in verdicts
                     if not re.search(r" ok |not exercised", line)]
    return run.figures, failures
