"""Callers that check that each answer belongs to their own request.

    load = Load(deployment, seed)
    load.start()
    ...
    load.stop()
    print(load.longest_gap(start, end, keyed=True))
"""

import http.client
import json
import random
import threading
import time

NS_PER_SECOND = 1_000_000_000
# Time after the deadline within which the answer about it may still arrive.
ANSWER_GRACE_S = 0.5
# Interval of the load balancer's health checks.
HEALTH_CHECK_INTERVAL_S = 0.2


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
        self.request_count = 0
        # The backend server of the last answer.
        self.server = None
        self.counts = {"done": 0, "not-run": 0, "unknown": 0, "cut": 0}
        # Times in nanoseconds of complete answers, after the start of the load.
        self.answers = []
        self.lost_requests = []

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
        target = self.load.choose_instance(self.random)
        if target is None:
            return False
        host, port = target.caller_address.rsplit(":", 1)
        connection = http.client.HTTPConnection(
            host, int(port),
            timeout=self.deadline_ms / 1000 + ANSWER_GRACE_S)
        try:
            connection.connect()
        except OSError:
            self.load.mark_down(target)
            return False
        self.connection = connection
        self.instance = target
        return True

    def _close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _request(self):
        self.request_count += 1
        request_id = f"{self.load.name}-{self.name}-{self.request_count}"
        entry = self.instance
        body = b"" if self.method == "GET" else request_id.encode() * 4
        target = f"/{self.service}/map/{request_id}"
        headers = {"Filberthub-Request-Id": request_id,
                   "Filberthub-Deadline-Ms": str(self.deadline_ms)}
        if self.key:
            headers["Filberthub-Key"] = self.key
        invoked_at = time.monotonic_ns()
        result, failure_text, digest = "unknown", None, None
        error = None
        expected = digest_of(self.service, self.method, target, request_id,
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
            failure_text = f"{type(failure).__name__}: {failure}"
            self._close()
            self.load.mark_down(entry)
        returned_at = time.monotonic_ns()
        self.counts["cut" if failure_text else result] += 1
        if result == "unknown":
            self.lost_requests.append((invoked_at, returned_at, entry.name,
                                       request_id, failure_text or error))
        if result == "done":
            self.answers.append(returned_at)
        self.load.history.add(
            "request", invoked_at, returned_at, service=self.service,
            key=self.key, request=request_id, instance=entry.name,
            result=result, error=error,
            digest=digest, expected_digest=expected if digest else None,
            idempotent=None if self.method == "GET" else False)


def digest_of(service, method, target, request_id, key, body_bytes):
    return "|".join([service, method, target, request_id, str(key),
                     str(body_bytes)])


def digest_of_answer(body):
    """Returns the digest of the request that the answer describes, and the id
    of the backend server."""
    try:
        seen = json.loads(body)
        return digest_of(seen["service"], seen["method"], seen["target"],
                         seen["request_id"], seen["key"],
                         seen["body_bytes"]), seen["server"]
    except (ValueError, KeyError, TypeError):
        return f"not an answer of a backend server: {body[:80]!r}", None


class Load:
    """Callers that read with a key each, callers that edit, and rescue callers.

    `pause` is the mean pause of a caller between requests, in seconds.
    """

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

    def choose_instance(self, rng):
        """Returns a random instance that is not marked down, or None."""
        available = [i for i in self.deployment.instances
                     if i not in self._down]
        return rng.choice(available) if available else None

    def mark_down(self, instance):
        """Excludes an instance until it passes a health check."""
        self._down.add(instance)

    def _check_health(self):
        while not self.stopping.wait(HEALTH_CHECK_INTERVAL_S):
            for instance in list(self._down):
                if instance.ready():
                    self._down.discard(instance)

    def answer_count(self):
        return sum(len(caller.answers) - 1 for caller in self.callers)

    def all_answered_since(self, start):
        """Returns whether each caller had an answer after `start`."""
        return all(c.answers and c.answers[-1] > start for c in self.callers)

    def count(self, result):
        return sum(caller.counts[result] for caller in self.callers)

    def lost_requests(self):
        return [cut for caller in self.callers for cut in caller.lost_requests]

    def keyed_servers(self):
        """Returns the backend servers that own the keys of the load."""
        return sorted({c.server for c in self.callers if c.key and c.server})

    def longest_gap(self, start, end, keyed):
        """Returns the longest time in seconds without an answer, and the key or
        name of that caller."""
        longest = (0.0, "none")
        for caller in self.callers:
            if bool(caller.key) != keyed:
                continue
            answers_inside = [t for t in caller.answers if start < t < end]
            boundaries = [max(start, caller.answers[0]), *answers_inside, end]
            for left, right in zip(boundaries, boundaries[1:]):
                longest = max(longest, ((right - left) / NS_PER_SECOND,
                                        caller.key or caller.name))
        return longest
