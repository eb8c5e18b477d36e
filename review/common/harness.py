"""Runs `filberthub route` as separate processes for one case of the review.

Uses the stand-ins of scripts/soak: a store, backend servers and callers, which
live in this process. A case derives from `Case`, injects its disruption in
`disrupt` and returns the violations of its rule from `violations`.

Exit codes of run.sh: 1 if the rule was broken, 0 if it held, 2 if the case
could not run.
"""

import asyncio
import json
import os
import pathlib
import shutil
import socket
import sys
import tempfile
import traceback

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "soak"))

import callers  # noqa: E402
import deployment  # noqa: E402
import http1  # noqa: E402
import store  # noqa: E402

# What the build of deploy/system.toml produces.
PROGRAM = ROOT / "target" / "filberthub"
MAX_RUN_S = 110.0
# run.sh turns it into 1, which Python also returns after an exception.
BROKEN_EXIT_CODE = 10
ROUTER_PORTS = range(8080, 8086)


def address_is_free(host):
    """Returns whether the ports of a router are free at a loopback address."""
    for port in ROUTER_PORTS:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


class Store(store.Store):
    """The store of the soak, of which single writes can be lost.

    `lose` is called with each write. It returns None, or after how many seconds
    the write is done; its caller gets no answer.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.lose = lambda request, router: None
        # Called with each call that arrives.
        self.observe = lambda request, router: None
        self.writes = 0
        self.lost_writes = 0
        self._late = set()

    async def _serve(self, reader, writer, router):
        try:
            while request := await http1.read_message(reader):
                self.observe(request, router)
                if self.faults.get(router) or self.faults.get("*"):
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay)
                if request.method != "GET":
                    self.writes += 1
                    delay = self.lose(request, router)
                    if delay is not None:
                        self.lost_writes += 1
                        self._late.add(asyncio.create_task(
                            self._write_late(request, delay)))
                        # A connection on which an answer is lost returns
                        # nothing further.
                        await asyncio.sleep(3600)
                writer.write(await self._handle_request(request))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _write_late(self, request, delay):
        await asyncio.sleep(delay)
        self._write(request)

    def close(self):
        for task in self._late:
            task.cancel()
        super().close()


class Deployment(deployment.Run):
    """A small deployment on a loopback network of its own."""

    def __init__(self, folder, routers, network_prefix, case):
        deployment.BINARY = PROGRAM
        self.max_body_bytes = case.max_body_bytes
        super().__init__("review", folder, routers=0)
        self.store = Store("review")
        self.network_prefix = network_prefix
        self.routers = [deployment.Router(self, n) for n in range(routers)]
        for router in self.routers:
            settings = json.loads(router.settings.read_text())
            settings["memory_megabytes"] = case.memory_megabytes
            router.settings.write_text(json.dumps(settings))

    def configure(self):
        """Writes the next version: a route for each kind of request."""
        self.version += 1
        self.store.put("config", "main", {
            "Version": f"{self.version:08x}",
            "Routes": [{
                "Name": kind.name, "Hostname": callers.HOST,
                "PathPrefix": f"/{kind.name}/", "Service": kind.service,
                "RouteType": "safe" if kind.repeatable else "unsafe",
                "MaxAttempts": 3 if kind.repeatable else 2,
                "TimeoutMs": 2000,
                "TargetLatencyMs": kind.deadline_ms // 2, "Priority": 1} for kind in callers.REQUEST_KINDS],
            "Services": [{
                "Name": name, "HealthPath": "/healthz", "MaxConnections": 200,
                "WarmupS": 3.0, "WarmupPerS": 11.0, "Sharded": keyed,
                "WarmS": 3 if keyed else 0}
                for name, (_, keyed, _) in deployment.SERVICES.items()],
            "Limits": {"MaxHeaderBytes": 16384,
                       "MaxBodyBytes": self.max_body_bytes,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        self.journal.record("configured", version=self.version)

    def coordinator(self):
        """Returns the router that the lease in the store names, or None."""
        lease = self.store.objects.get("filberthub-lease", {}).get(
            "coordinator")
        name = lease["Spec"]["holder"] if lease else ""
        return next((r for r in self.routers if r.name == name), None)


async def send_no_probes(_run):
    """Replaces the probes of the soak, which need routes of their own."""


class Case:
    # Number of routing processes.
    routers = 3
    # By service: number of servers, whether it is keyed, service time in s.
    services = {"kartlas": (6, True, 0.03), "kartskriv": (4, False, 0.04),
                "skanintag": (3, False, 0.04), "raddning": (3, False, 0.012)}

    # Limits of a body and of the memory of a process.
    max_body_bytes = 4_000_000
    memory_megabytes = 182
    # The kinds of requests that callers send.
    kinds = callers.REQUEST_KINDS

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.notes = []

    def note(self, run, text):
        self.notes.append(f"{run.now():8.3f} {text}")

    async def disrupt(self, run):
        raise NotImplementedError

    def violations(self, run):
        raise NotImplementedError

    def record_lines(self, run):
        """Returns the lines of record.txt that describe the events."""
        return []

    def make_deployment(self, folder, network_prefix):
        return Deployment(folder, self.routers, network_prefix, self)

    async def _run(self, run):
        try:
            await run.start()
            await self.disrupt(run)
            run.ended_at = run.now()
        finally:
            await run.stop()

    def main(self):
        deployment.SERVICES = self.services
        callers.REQUEST_KINDS = self.kinds
        callers.probe_versions = send_no_probes
        if not PROGRAM.exists():
            print(f"{PROGRAM} is missing; run the build of the deploy file")
            return 2
        prefix = next((p for p in (f"127.{100 + (os.getpid() + n) % 100}."
                                   f"{os.getpid() // 100 % 250}"
                                   for n in range(50))
                       if all(address_is_free(f"{p}.{10 + r}")
                              for r in range(self.routers))), None)
        if prefix is None:
            print("no free loopback addresses")
            return 2
        folder = tempfile.mkdtemp(prefix="filberthub-review-")
        try:
            run = self.make_deployment(pathlib.Path(folder), prefix)
            asyncio.run(asyncio.wait_for(self._run(run), MAX_RUN_S))
            broken = list(self.violations(run))
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            return 2
        finally:
            if os.environ.get("KEEP"):
                print(folder)
            else:
                shutil.rmtree(folder, ignore_errors=True)
        lines = [f"disruption: {'yes' if self.trouble else 'no (TROUBLE=0)'}"]
        lines += sorted(self.notes + self.record_lines(run))
        lines += [f"violation: {text}" for text in broken] or ["rule held"]
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")
        for text in broken[:5]:
            print("violation:", text)
        print("rule broken" if broken else "rule held")
        return 1 if broken else 0

    def exit(self):
        """Runs the case and ends this process with its exit code."""
        code = {0: 0, 1: BROKEN_EXIT_CODE}.get(self.main(), 2)
        sys.stdout.flush()
        sys.stderr.flush()
        # Does not wait for connections of the stand-ins that are still open.
        os._exit(code)


def describe(run, event):
    """Returns a line of record.txt for an event of the journal, or None."""
    what, at = event["what"], event["at"]
    server = event.get("server")
    name = f"{server.id}" if server else ""
    if what == "request":
        return (f"{at:8.3f} sent {event['request']} to {event['router']} "
                f"{event['target']} key {event['key']}")
    if what == "answer":
        return f"{at:8.3f} answered {event['request']} {event['status']}"
    if what in ("cut", "no answer", "left"):
        return f"{at:8.3f} {what} {event['request']}"
    if what == "begin":
        return f"{at:8.3f} run {event['request']} at {name}"
    if what == "life":
        return f"{at:8.3f} server {name} starts, born {event['born']}"
    if what == "ended":
        return f"{at:8.3f} server {name} ends"
    if what == "grant":
        return (f"{at:8.3f} grant {event['first']}-{event['last']} fence "
                f"{event['fence']} taken by {name} life {event['life']}")
    if what == "release":
        return (f"{at:8.3f} release {event['first']}-{event['last']} "
                f"by {name}")
    return None
