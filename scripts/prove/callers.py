"""Callers that check that each answer is that of their own request.

    load = Load(deployment, seed)
    load.start()
    ...
    load.stop()
    print(load.longest_gap())
"""

import http.client
import json
import random
import threading
import time

SECOND = 1_000_000_000
# Time after the deadline in which the answer that says so can arrive.
ANSWER_GRACE = 0.5
# Interval of the load balancer's health checks.
HEALTH_INTERVAL = 0.2


class Caller(threading.Thread):
    """One caller with one connection and one request at a time."""

    def __init__(self, load, name, service, method, key, deadline_ms):
        super().__init__(name=name, daemon=True)
        self.load = load
        self.service = service
        self.method = method
        self.key = key
        self.deadline_ms = deadline_ms
        self.random = random.Random(f"{load.seed}/{name}")
        self.connection = None
        self.instance = None
        self.number = 0
        # The backend server of the last answer.
        self.server = None
        self.counts = {"done": 0, "not-run": 0, "unknown": 0, "cut": 0}
        # Ends of complete answers, with the start of the load.
        self.answers = []
        self.cuts = []

    def run(self):
        self.answers.append(time.monotonic_ns())
        while not self.load.stopping.is_set():
            if self.connection is None and not self._connect():
                time.sleep(0.02)
                continue
            self._request()
            time.sleep(self.random.uniform(0.5, 1.5) * self.load.pause)
        self._close()

    def _connect(self):
        target = self.load.choose(self.random)
        if target is None:
            return False
        host, port = target.callers.rsplit(":", 1)
        link = http.client.HTTPConnection(
            host, int(port),
            timeout=self.deadline_ms / 1000 + ANSWER_GRACE)
        try:
            link.connect()
        except OSError:
            self.load.set_down(target)
            return False
        self.connection = link
        self.instance = target
        return True

    def _close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _request(self):
        self.number += 1
        identity = f"{self.load.name}-{self.name}-{self.number}"
        entry = self.instance
        body = b"" if self.method == "GET" else identity.encode() * 4
        target = f"/{self.service}/map/{identity}"
        headers = {"Filberthub-Request-Id": identity,
                   "Filberthub-Deadline-Ms": str(self.deadline_ms)}
        if self.key:
            headers["Filberthub-Key"] = self.key
        invoke = time.monotonic_ns()
        result, problem, digest = "unknown", None, None
        error = None
        expected = digest_of(self.service, self.method, target, identity,
                             self.key, len(body))
        try:
            self.connection.request(self.method, target, body, headers)
            response = self.connection.getresponse()
            answer = response.read()
            result = response.getheader("Filberthub-Outcome", "unknown")
            error = response.getheader("Filberthub-Error")
            if result == "done" and response.status == 200:
                digest, self.server = digest_of_answer(answer)
            if response.will_close:
                self._close()
        except (OSError, http.client.HTTPException) as failure:
            problem = f"{type(failure).__name__}: {failure}"
            self._close()
            self.load.set_down(entry)
        returned = time.monotonic_ns()
        self.counts["cut" if problem else result] += 1
        if result == "unknown":
            self.cuts.append((invoke, returned, entry.name, identity,
                              problem or error))
        if result == "done":
            self.answers.append(returned)
        self.load.history.add(
            "request", invoke, returned, service=self.service, key=self.key,
            request=identity, instance=entry.name, result=result, error=error,
            digest=digest, expected_digest=expected if digest else None,
            idempotent=None if self.method == "GET" else False)


def digest_of(service, method, target, identity, key, body_bytes):
    return "|".join([service, method, target, identity, str(key),
                     str(body_bytes)])


def digest_of_answer(body):
    """Returns the digest of the request that the answer repeats, and the
    backend server."""
    try:
        seen = json.loads(body)
        return digest_of(seen["service"], seen["method"], seen["target"],
                         seen["request_id"], seen["key"],
                         seen["body_bytes"]), seen["server"]
    except (ValueError, KeyError, TypeError):
        return f"not an answer of a backend server: {body[:80]!r}", None


class Load:
    """Readers with a key each, callers that edit, and callers in rescue."""

    def __init__(self, deployment, seed, readers=20, editors=4, rescuers=2,
                 pause=0.03):
        self.history = deployment.history
        self.deployment = deployment
        self.seed = seed
        self.name = f"run{seed}"
        self.pause = pause
        self.stopping = threading.Event()
        self._down = set()
        self._health = threading.Thread(target=self._check_health, daemon=True)
        self.callers = [
            Caller(self, f"reader{n}", "kartlas", "GET", f"map-{seed}-{n}", 800)
            for n in range(readers)]
        self.callers += [
            Caller(self, f"editor{n}", "kartskriv", "POST", None, 2000)
            for n in range(editors)]
        self.callers += [
            Caller(self, f"rescuer{n}", "raddning", "GET", None, 500)
            for n in range(rescuers)]

    def start(self):
        self._health.start()
        for caller in self.callers:
            caller.start()

    def stop(self):
        self.stopping.set()
        for caller in self.callers:
            if caller.ident is not None:
                caller.join()

    def choose(self, source):
        """A random instance, as a load balancer with health checks does."""
        up = [i for i in self.deployment.instances if i not in self._down]
        return source.choice(up) if up else None

    def set_down(self, instance):
        """Takes an instance out of use until it is ready at a health check."""
        self._down.add(instance)

    def _check_health(self):
        while not self.stopping.wait(HEALTH_INTERVAL):
            for instance in list(self._down):
                if instance.ready():
                    self._down.discard(instance)

    def answered(self):
        return sum(len(caller.answers) - 1 for caller in self.callers)

    def all_answered_since(self, start):
        """Whether each caller had an answer after `start`."""
        return all(c.answers and c.answers[-1] > start for c in self.callers)

    def count(self, result):
        return sum(caller.counts[result] for caller in self.callers)

    def cuts(self):
        return [cut for caller in self.callers for cut in caller.cuts]

    def keyed_servers(self):
        """The backend servers that own the keys of the load."""
        return sorted({c.server for c in self.callers if c.key and c.server})

    def longest_gap(self, start, end, keyed):
        """The longest time in seconds without an answer, and whose."""
        worst = (0.0, "none")
        for caller in self.callers:
            if bool(caller.key) != keyed:
                continue
            inside = [t for t in caller.answers if start < t < end]
            edges = [max(start, caller.answers[0]), *inside, end]
            for left, right in zip(edges, edges[1:]):
                worst = max(worst, ((right - left) / SECOND,
                                    caller.key or caller.name))
        return worst
