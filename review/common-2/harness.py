"""Shared parts of the cases 6 to 10: stand-ins, routers and the record.

The store is that of the soak (scripts/soak/store.py). The servers and the
clients are small ones of their own. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "soak"))
sys.dont_write_bytecode = True

import http1  # noqa: E402
import store as store_module  # noqa: E402

# The command of deploy/system.toml.
PROGRAM = ROOT / "target" / "filberthub"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of RULES.md, LOST: "more than three times".
ALLOWED_CUTS = 3
HOST = "maps.example"
ZONE = "se-mitt-a"
# The bounds of the small deployment of SYSTEM.md that the router reads.
BOUNDS = {"DrainMs": 2000, "GraceS": 6, "HoldMaxMs": 10000,
          "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetryAllowance": 135,
          "WarmupFactor": 1.5, "WarmupTolerance": 5}


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line for each event."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.out = open(folder / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.out.write(f"{self.now():8.3f} s  {text}\n")
        self.out.flush()


class Server:
    """One upstream. It runs a request for the time that `work_s` returns."""

    def __init__(self, run, service, port, name, work_s):
        self.run = run
        self.service = service
        self.address = (f"{run.prefix}.100", port)
        self.name = name
        self.work_s = work_s
        self.slots = 8
        self.born = int(time.time() * 1000)
        # Ranges as (first, last, token, end).
        self.grants = []
        self.tokens = []
        # Arrival, and end of the run if it ended, by request id.
        self.runs = []
        self.state = "ready"
        # Answers to requests and orders.
        self.answers = 0

    def entry(self):
        host, port = self.address
        return {"Service": self.service, "Address": f"{host}:{port}",
                "Zone": ZONE, "Version": "v1", "Capacity": self.slots,
                "State": self.state, "WarmupLeftMs": 0, "Sequence": 0,
                "born": self.born}

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        try:
            while request := await http1.read_message(reader):
                answer = await self._handle(request, reader)
                if answer is None:
                    return
                writer.write(self.spoil(request, answer))
                await writer.drain()
                self.answers += 1
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def spoil(self, request, answer):
        """Returns the answer as it is sent."""
        return answer

    def _held(self, key):
        now = self.run.record.now()
        return any(first <= key <= last and now < end
                   for first, last, _, end in self.grants)

    async def _handle(self, request, reader):
        if request.target.startswith("/-/"):
            return self._order(request)
        if request.target == "/healthz":
            return http1.encode_answer(
                200, {"X-Filberthub-Instance-Id": self.name})
        number = request.headers.get("x-filberthub-request-id", "")
        headers = {"X-Filberthub-Request-Id": number}
        key = request.headers.get("x-filberthub-shard-key")
        if request.headers.get("x-filberthub-expect-instance") \
                != self.name or (key is not None and not self._held(int(key))):
            headers["X-Filberthub-Not-Executed"] = "1"
            return http1.encode_answer(421, headers)
        entry = {"request": number, "from": self.run.record.now(),
                 "to": None, "left": False}
        self.runs.append(entry)
        self.run.record(f"server {self.name} runs {number}")
        # A server drops a request when its connection closes.
        work = asyncio.create_task(asyncio.sleep(self.work_s(number)))
        watch = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            # Marks the exception of a reset as seen.
            watch.exception()
            entry["left"] = True
            self.run.record(f"server {self.name}: the connection of {number} "
                            "was closed while it was at work")
            return None
        watch.cancel()
        try:
            await watch
        except (OSError, asyncio.CancelledError):
            pass
        entry["to"] = self.run.record.now()
        headers["X-Filberthub-Server-Signature"] = f"{self.name}.{number}"
        return http1.encode_answer(200, headers, number.encode())

    def _order(self, request):
        order = request.json()
        first, last, token = order["From"], order["To"], order["fence"]
        now = self.run.record.now()
        if request.target == "/-/release":
            kept = []
            for low, high, fence, end in self.grants:
                if high < first or last < low:
                    kept.append((low, high, fence, end))
                    continue
                if low < first:
                    kept.append((low, first - 1, fence, end))
                if last < high:
                    kept.append((last + 1, high, fence, end))
            self.grants = kept
            return http1.encode_answer(200, {"X-Filberthub-Handover": "h"})
        if any(low <= last and first <= high and fence > token
               for low, high, fence in self.tokens):
            return http1.encode_answer(409)
        self.tokens.append((first, last, token))
        self.tokens = self.tokens[-200:]
        self.grants = [item for item in self.grants if now < item[3]
                       and not (first <= item[0] and item[1] <= last)]
        self.grants.append((first, last, token, now + order["HoldMs"] / 1000))
        return http1.encode_answer(200)


class Router:
    """One process of the product."""

    def __init__(self, run, number):
        self.run = run
        self.name = f"edge-{ZONE}-{number}"
        self.host = f"{run.prefix}.{number}"
        self.callers = (self.host, run.ports["callers"])
        self.readiness = (self.host, run.ports["readiness"])
        self.process = None
        # Whether the case has told it to stop.
        self.stopping = False
        self.settings = run.folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "instance": self.name, "failure_domain": ZONE, "first_start": True,
            "callers": f"{self.host}:{run.ports['callers']}",
            "readiness": f"{self.host}:{run.ports['readiness']}",
            "address": self.host, "peer_port": run.ports["peers"],
            "operator_port": run.ports["operator"],
            "store": f"{self.host}:{run.ports['store']}",
            "processor_share": 0.14, "memory_megabytes": 182,
            "descriptors": 2870, "server_heartbeat_ms": 870, "bounds": BOUNDS,
            "log": {"output": "stdout", "level": "info"}}))

    def start(self):
        with open(self.run.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "route", "--settings", str(self.settings)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        self.run.record(f"{self.name} starts")

    def signal(self, number):
        self.run.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def processor_s(self):
        """Returns the processor time that the process has used."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = fields.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.5):
                answer = await get(self.readiness, "/-/readyz", {"Host": "x"})
                return answer.status == 200
        except (OSError, ValueError, TimeoutError,
                asyncio.IncompleteReadError):
            return False


async def restart_ended(run, ends):
    """Starts routers again that ended by themselves, as the platform does.

    Appends the name of the router to `ends` each time.
    """
    while True:
        await asyncio.sleep(0.05)
        for router in run.routers:
            code = router.process.poll()
            if code is None or router.stopping:
                continue
            ends.append(router.name)
            run.record(f"{router.name} ended by itself, code {code}")
            await asyncio.sleep(0.5)
            router.start()


class Caller:
    """A client that sends requests one after the other on a kept connection.

    It sends again on a new connection when its connection has ended.
    """

    def __init__(self, run, number, router, target, deadline_ms=2000,
                 pause_s=0.0, headers=None):
        self.run = run
        self.number = number
        self.router = router
        self.target = target
        self.deadline_ms = deadline_ms
        self.pause_s = pause_s
        self.headers = headers or (lambda count: {})
        # By request id: status, or None if the connection ended without an
        # answer; a request whose caller gave up is not in it.
        self.outcomes = {}
        # Time of sending by request id, also if no connection could be made.
        self.sent = {}

    async def play(self):
        count = 0
        connection = None
        while True:
            count += 1
            number = f"c{self.number}-{count}"
            self.sent[number] = self.run.record.now()
            try:
                if connection is None:
                    connection = await asyncio.open_connection(
                        *self.router.callers)
                    served = 0
                reader, writer = connection
                writer.write(http1.encode_request("GET", self.target, {
                    "Host": HOST, "X-Filberthub-Request-Id": number,
                    "X-Filberthub-Deadline-Ms": self.deadline_ms,
                    **self.headers(count)}))
                self.run.record(f"client {self.number} sends {number} to "
                                f"{self.router.name}, after {served} answers "
                                "on its connection")
                try:
                    async with asyncio.timeout(self.deadline_ms / 1000):
                        answer = await http1.read_message(reader)
                except TimeoutError:
                    self.run.record(f"client {self.number}: {number} has no "
                                    "answer at its deadline")
                    raise ConnectionError from None
                except (OSError, asyncio.IncompleteReadError):
                    answer = None
                if answer is None:
                    # The first request of a connection is not on a kept one.
                    if served > 0:
                        self.outcomes[number] = None
                    self.run.record(f"client {self.number}: the connection "
                                    f"of {number} ends without an answer")
                    raise ConnectionError
                served += 1
                self.outcomes[number] = answer.status
                self.run.record(f"client {self.number}: {number} gets "
                                f"{answer.status}")
                if answer.headers.get("connection", "").lower() == "close":
                    raise ConnectionError
                await asyncio.sleep(self.pause_s)
            except OSError:
                if connection is not None:
                    connection[1].close()
                connection = None
                await asyncio.sleep(0.2)


def cut_after_passing_on(run, callers):
    """Returns the breaches of LOST: the requests from kept connections that
    were passed on to a server and whose connection ended without an answer, of
    the machines where there are more than ALLOWED_CUTS of them."""
    ran = {entry["request"]: server.name for server in run.servers
           for entry in server.runs}
    breaches = []
    for router in run.routers:
        cut = [number for caller in callers if caller.router is router
               for number, status in caller.outcomes.items()
               if status is None and number in ran]
        run.record(f"{router.name}: {len(cut)} requests from kept connections "
                   f"were passed on and cut, at most {ALLOWED_CUTS} may be")
        if len(cut) > ALLOWED_CUTS:
            breaches += [f"{number} was passed on to {ran[number]} and its "
                         f"connection ({router.name}) ended without an answer"
                         for number in cut]
    return breaches


async def get(address, target, headers):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(http1.encode_request("GET", target, headers))
        answer = await http1.read_message(reader)
        if answer is None:
            raise ValueError("no answer")
        return answer
    finally:
        writer.close()


def route(name, service, kind="safe", **fields):
    return {"Name": name, "Hostname": HOST, "PathPrefix": f"/{name}/",
            "Service": service, "RouteType": kind, "MaxAttempts": 2,
            "TimeoutMs": 2000, "TargetLatencyMs": 200, "Priority": 1, **fields}


def service(name, sharded=False):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 257,
            "WarmupS": 3, "WarmupPerS": 11, "Sharded": sharded,
            "WarmS": 5 if sharded else 0}


LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4_000_000,
          "HeaderTimeoutMs": 10_000, "IdleTimeoutMs": 15_000}


class Run:
    """The store, servers and routers of one case."""

    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.record = Record(self.case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filberthub-case-"))
        self.prefix, self.ports = free_addresses()
        self.store = store_module.Store(1)
        self.servers = []
        self.routers = []
        self._beats = None

    async def start(self, routes, services, routers, servers, limits=None,
                    server_type=Server):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.name} is not built")
        self.routers = [Router(self, n + 1) for n in range(routers)]
        for router in self.routers:
            await self.store.listen(router.host, self.ports["store"],
                                    router.name)
        for name, work_s in servers:
            number = len(self.servers)
            server = server_type(self, name, self.ports["servers"] + number,
                                 f"i-{name}-{number}", work_s)
            self.servers.append(server)
            await server.start()
        self.version = 0
        self.configure(routes, services, limits)
        self._beats = asyncio.create_task(self._beat())
        for router in self.routers:
            router.start()
        end = self.record.now() + 30
        while not all([await router.is_ready() for router in self.routers]):
            if self.record.now() > end:
                raise CannotRun("the routers are not ready after 30 s")
            await asyncio.sleep(0.1)
        self.record("all routers are ready")

    def configure(self, routes, services, limits=None):
        self.version += 1
        self.store.put("config", "main", {
            "Version": f"{self.version:08x}", "Routes": routes,
            "Services": services, "Limits": limits or LIMITS})
        self.record(f"the store acknowledges configuration {self.version}")

    async def _beat(self):
        while True:
            for server in self.servers:
                self.store.heartbeat(server.name, server.entry(),
                                     self.record.now())
            await asyncio.sleep(store_module.HEARTBEAT_S)

    async def stop(self):
        if self._beats:
            self._beats.cancel()
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
            if router.process:
                router.process.wait()
        self.store.close()
        for server in self.servers:
            server.listener.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_addresses():
    """Returns a loopback network and ports that nothing listens on."""
    for attempt in range(100):
        number = os.getpid() + attempt * 7919
        prefix = f"127.{100 + number % 100}.{number // 100 % 250}"
        first = 20_000 + number % 1000 * 20
        ports = {"callers": first, "readiness": first + 1, "peers": first + 2,
                 "operator": first + 3, "store": first + 4,
                 "servers": first + 5}
        try:
            for host in (f"{prefix}.1", f"{prefix}.2", f"{prefix}.100"):
                for port in range(first, first + 20):
                    with socket.socket() as probe:
                        probe.bind((host, port))
            return prefix, ports
        except OSError:
            continue
    raise CannotRun("no free ports")


def main(case, play):
    """Runs `play(run)`, which returns the breaches of the rule as texts."""
    run = Run(pathlib.Path(case).resolve().parent)
    run.record("with the disruption" if TROUBLE else "without the disruption")

    async def all_of_it():
        try:
            async with asyncio.timeout(110):
                return await play(run)
        finally:
            await run.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            # Lets the event loop end the connections.
            await asyncio.sleep(0.1)
    try:
        breaches = asyncio.run(all_of_it())
    except (CannotRun, TimeoutError, OSError) as failure:
        run.record(f"cannot run: {failure!r}")
        print(f"cannot run: {failure!r}")
        sys.exit(2)
    for text in breaches:
        run.record(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    run.record("broken" if breaches else "held")
    print("broken" if breaches else "held")
    sys.exit(1 if breaches else 0)
