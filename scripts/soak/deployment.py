"""The deployment of one run.

The store, servers and proxies run in this process, each router in its own.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import time

import callers
import proxy
import servers
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "build" / "dev" / "filberthub"
ZONES = ["se-mitt-a", "se-mitt-b", "se-mitt-c"]
# By service: number of servers, whether it is keyed, service time in seconds.
SERVICES = {"kartlas": (6, True, 0.03), "kartskriv": (4, False, 0.04),
            "skanintag": (3, False, 0.04), "raddning": (3, False, 0.012)}
BOUNDS = {"DrainMs": 2000, "GraceS": 6, "HoldMaxMs": 10000,
          "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetryAllowance": 40,
          "WarmupFactor": 1.5, "WarmupTolerance": 5}
# Long enough for a machine that is loaded by builds.
START_TIMEOUT_S = 30.0


class Journal:
    """Events that callers and servers observed, in order.

    Times are in seconds since the start of the run.
    """

    def __init__(self, now):
        self._now = now
        self.events = []

    def record(self, what, **fields):
        self.events.append({"what": what, "at": self._now(), **fields})


class Router:
    """One router process, which can be restarted under the same name."""

    def __init__(self, run, number):
        self.run = run
        self.number = number
        self.name = f"router-{number}"
        host = f"{run.network_prefix}.{number + 10}"
        self.host = host
        self.caller_address = (host, 8080)
        self.readiness_address = (host, 8081)
        self.settings = run.folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "instance": self.name, "failure_domain": ZONES[number % 3],
            "first_start": False, "callers": f"{host}:8080",
            "readiness": f"{host}:8081", "address": host, "peer_port": 8082,
            "operator_port": 8083, "store": f"{host}:8084",
            "processor_share": 0.14, "server_heartbeat_ms": 870,
            "bounds": BOUNDS, "log": {"output": "stdout", "level": "info"}}))
        self.process = None
        self.start_count = 0
        self.failed_probes = 0
        self.paused = False
        self.shutting_down = False
        # Whether it was killed by a fault and has not been restarted yet.
        self.killed = False
        # Proxy between this router and the store.
        self.store_proxy = proxy.Proxy((host, 8085))

    @property
    def process_name(self):
        return f"{self.name}#{self.start_count}"

    async def listen(self):
        await self.run.store.listen(self.host, 8085, self.name)
        await self.store_proxy.listen(self.host, 8084)

    def start(self):
        # An overlapping fault may have restarted it.
        if self.running():
            return
        self.start_count += 1
        self.paused = self.shutting_down = self.killed = False
        with open(self.run.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(self.run.program), "route",
                 "--settings", str(self.settings)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        self.run.journal.record("router started", router=self.process_name)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def pause(self, paused):
        self.paused = paused
        self.signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def kill(self):
        self.killed = True
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def shut_down(self):
        """Sends SIGTERM, and SIGKILL at the end of the grace period, as the
        platform does. Returns the exit code."""
        self.shutting_down = True
        self.run.journal.record("leaving", router=self.process_name)
        self.signal(signal.SIGTERM)
        end = self.run.now() + BOUNDS["GraceS"]
        while self.running() and self.run.now() < end:
            await asyncio.sleep(0.05)
        if self.running():
            self.run.journal.record("overstayed", router=self.process_name)
            self.kill()
        return self.process.returncode

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Run:
    """The processes, servers and journal of one seed."""

    def __init__(self, seed, folder, routers=5, scarce_connections=False):
        self.seed = seed
        # Connections that a server accepts, and the factor of the time that
        # callers wait and that their routes allow.
        self.max_connections = 10 if scarce_connections else 200
        self.patience = 8 if scarce_connections else 1
        self.folder = pathlib.Path(folder)
        self.random = random.Random(seed)
        # A copy, so that a build during the run does not replace the program.
        self.program = self.folder / BINARY.name
        shutil.copy(BINARY, self.program)
        # Mean pause of a caller between requests, in seconds.
        self.mean_pause = 0.12
        # Share of requests whose caller closes the connection early.
        self.disconnect_share = 0.02
        self._started_at = time.monotonic()
        self.journal = Journal(self.now)
        self.store = store.Store(seed)
        # Concurrent runs use different loopback addresses.
        self.network_prefix = (f"127.{80 + os.getpid() % 40}."
                               f"{os.getpid() // 40 % 250}")
        self.routers = [Router(self, n) for n in range(routers)]
        self.servers = []
        self.proxies = {}
        self.version = 0
        self.evacuated = set()
        self.unexpected_exits = []
        self.faults_ended_at = self.ended_at = 0.0
        # Longest time in seconds that this process did not run.
        self.scheduling_delay = 0.0
        self._tasks = []

    def now(self):
        return time.monotonic() - self._started_at

    def wall_time(self):
        return time.time()

    async def start(self):
        for router in self.routers:
            await router.listen()
        for service, (count, keyed, service_time_s) in SERVICES.items():
            for _ in range(count):
                await self.add_server(service, keyed, service_time_s,
                                      cold=False)
        self.configure()
        for router in self.routers:
            router.start()
        self._tasks = [asyncio.create_task(self._expire_entries())]
        await self.wait(lambda: all(
            server.grants for server in self.servers if server.keyed),
            "each server of a keyed service has keys")
        self.callers = callers.Callers(self, 36)
        self._tasks.append(asyncio.create_task(callers.probe_versions(self)))
        await self.wait(lambda: all(r.failed_probes == 0 for r in self.routers),
                        "all routers are ready")

    async def wait(self, condition, what, limit=START_TIMEOUT_S):
        end = self.now() + limit
        while not condition():
            if self.now() > end:
                raise TimeoutError(f"{what}: not seen within {limit} s")
            await asyncio.sleep(0.05)

    async def add_server(self, service, keyed, service_time_s, cold=True):
        number = len(self.servers)
        server = servers.Server(self, number, service, ZONES[number % 3],
                                keyed, service_time_s)
        server.listen_address = (f"{self.network_prefix}.201", 9000 + number)
        host = f"{self.network_prefix}.200"
        server.address = f"{host}:{9000 + number}"
        self.proxies[server] = proxy.Proxy(server.listen_address)
        await self.proxies[server].listen(host, 9000 + number)
        self.servers.append(server)
        await server.start(cold=cold)
        return server

    def configure(self):
        """Writes the next configuration version to the store.

        Each version adds a route of its own and removes that of the version
        before the last.
        """
        self.version += 1
        routes = [{
            "Name": kind.name, "Hostname": callers.HOST,
            "PathPrefix": f"/{kind.name}/", "Service": kind.service,
            "RouteType": "safe" if kind.repeatable else "unsafe",
            "MaxAttempts": 3 if kind.repeatable else 2,
            "TimeoutMs": 2000 * self.patience,
            "TargetLatencyMs": kind.deadline_ms // 2, "Priority": 1}
            for kind in callers.REQUEST_KINDS]
        routes += [{
            "Name": f"version-{n}", "Hostname": callers.HOST,
            "PathPrefix": f"/version-{n}/", "Service": "raddning",
            "RouteType": "safe", "MaxAttempts": 2, "TimeoutMs": 1000,
            "TargetLatencyMs": 200, "Priority": 5}
            for n in (self.version, self.version - 1)]
        self.store.put("config", "main", {
            "Version": f"{self.version:08x}", "Routes": routes,
            "Services": [{
                "Name": name, "HealthPath": "/healthz", "MaxConnections": self.max_connections,
                "WarmupS": servers.COLD_DURATION_S,
                "WarmupPerS": servers.COLD_REQUESTS_PER_S,
                "Sharded": keyed, "WarmS": 0 if not keyed else 3}
                for name, (_, keyed, _) in SERVICES.items()],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4_000_000,
                       "HeaderTimeoutMs": 4000, "IdleTimeoutMs": 15000}})
        self.journal.record("configured", version=self.version)

    def recent_versions(self):
        return range(max(self.version - 3, 1), self.version + 1)

    async def _expire_entries(self):
        while True:
            await asyncio.sleep(0.2)
            if not self.store.is_down():
                self.store.expire(self.now())

    async def stop(self):
        if hasattr(self, "callers"):
            await self.callers.stop()
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            router.end()
        for server in self.servers:
            await server.crash()
            self.proxies[server].close()
        self.store.close()
        for router in self.routers:
            router.store_proxy.close()
        # Lets the event loop close the connections that were reset.
        await asyncio.sleep(0.2)
