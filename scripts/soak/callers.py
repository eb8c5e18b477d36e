"""Callers of the routers, which keep connections open while they work."""

import asyncio
import random
from dataclasses import dataclass

import http1

READINESS_INTERVAL_S = 0.5


@dataclass(frozen=True)
class RequestKind:
    """A kind of request and its route.

    Requests that are not `repeatable` must be executed at most once.
    """
    name: str
    service: str
    method: str
    deadline_ms: int
    keyed: bool = False
    repeatable: bool = True
    body_bytes: int = 0
    connection_per_request: bool = False
    pipelined: bool = False


REQUEST_KINDS = [
    RequestKind("map-read", "kartlas", "GET", 500, keyed=True),
    RequestKind("map-edit", "kartskriv", "POST", 600, repeatable=False,
                body_bytes=1200, connection_per_request=True),
    RequestKind("scan-upload", "skanintag", "POST", 800, repeatable=False,
                body_bytes=60_000),
    RequestKind("rescue-read", "raddning", "GET", 250, pipelined=True),
]
HOST = "maps.example"


class Callers:
    """Sends requests from `count` callers until `stop` is called.

    Callers choose among the routers that passed a recent readiness probe.
    """

    def __init__(self, run, count):
        self.run = run
        self.tasks = [asyncio.create_task(self._run_caller(number))
                      for number in range(count)]
        self.tasks.append(asyncio.create_task(self._check_readiness()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _check_readiness(self):
        while True:
            await asyncio.gather(*[self._probe_readiness(router)
                                   for router in self.run.routers])
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _probe_readiness(self, router):
        ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    *router.readiness_address)
                writer.write(http1.encode_request(
                    "GET", "/-/readyz", {"Host": "x"}))
                answer = await http1.read_message(reader)
                ready = answer is not None and answer.status == 200
                writer.close()
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            pass
        router.failed_probes = 0 if ready else router.failed_probes + 1

    def _choose_router(self, rng):
        ready_routers = [router for router in self.run.routers
                         if router.failed_probes < 2]
        return rng.choice(ready_routers or self.run.routers)

    async def _run_caller(self, number):
        rng = random.Random(f"{self.run.seed}/caller{number}")
        kind = rng.choices(REQUEST_KINDS, [4, 2, 1, 2])[0]
        connection = None
        count = 0
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * self.run.mean_pause)
            count += 1
            try:
                if connection is None:
                    connection = await self._connect(rng)
                request_ids = [f"{self.run.seed}-{number}-{count}"]
                if kind.pipelined:
                    request_ids.append(request_ids[0] + "b")
                reusable = await self._send(connection, kind, request_ids, rng)
                if not reusable or kind.connection_per_request:
                    connection.close()
                    connection = None
            except (OSError, ValueError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                if connection is not None:
                    connection.close()
                connection = None

    async def _connect(self, rng):
        router = self._choose_router(rng)
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                *router.caller_address)
        return Connection(router, reader, writer)

    async def _send(self, connection, kind, request_ids, rng):
        """Returns whether the connection may carry further requests."""
        journal = self.run.journal
        encoded_requests = b""
        disconnects = rng.random() < self.run.disconnect_share
        for request_id in request_ids:
            headers = {"Host": HOST, "X-Filberthub-Request-Id": request_id,
                       "X-Filberthub-Deadline-Ms":
                       kind.deadline_ms * self.run.patience}
            key = None
            if kind.keyed:
                key = rng.randrange(0, 65536, 257) if rng.random() < 0.7 \
                    else rng.randrange(0, 2000)
                headers["X-Filberthub-Shard-Key"] = key
            body = (request_id + "/").encode() * (
                kind.body_bytes // (len(request_id) + 1))
            target = f"/{kind.name}/{request_id}"
            encoded_requests += http1.encode_request(
                kind.method, target, headers, body)
            journal.record("request", request=request_id, kind=kind, key=key,
                           router=connection.router.process_name, body=body,
                           target=target, first=connection.is_first_request)
        connection.writer.write(encoded_requests)
        await connection.writer.drain()
        connection.is_first_request = False
        if disconnects:
            await asyncio.sleep(rng.uniform(0, 0.1))
            for request_id in request_ids:
                journal.record("left", request=request_id)
            return False
        reusable = True
        for request_id in request_ids:
            reusable = await self._receive(
                connection, kind, request_id) and reusable
            if not reusable:
                break
        return reusable

    async def _receive(self, connection, kind, request_id):
        """Records the answer; returns whether the connection stays open."""
        journal = self.run.journal
        try:
            async with asyncio.timeout(
                    kind.deadline_ms * self.run.patience / 1000):
                answer = await http1.read_message(connection.reader)
        except asyncio.TimeoutError:
            journal.record("no answer", request=request_id)
            return False
        except (OSError, ValueError, asyncio.IncompleteReadError) as failure:
            journal.record("cut", request=request_id, why=repr(failure))
            return False
        if answer is None:
            journal.record("cut", request=request_id, why="closed")
            return False
        journal.record("answer", request=request_id, status=answer.status,
                       echo=answer.headers.get("x-filberthub-request-id"),
                       signature=answer.headers.get(
                         "x-filberthub-server-signature"),
                       retry_after=answer.headers.get("retry-after"),
                       content=answer.body)
        return answer.headers.get("connection", "").lower() != "close"


class Connection:
    def __init__(self, router, reader, writer):
        self.router = router
        self.reader = reader
        self.writer = writer
        self.is_first_request = True

    def close(self):
        self.writer.close()


async def probe_versions(run):
    """Requests the routes of the recent versions from each router.

    The answers show which configuration is in force there.
    """
    number = 0
    while True:
        await asyncio.sleep(0.25)
        for router in run.routers:
            number += 1
            for version in run.recent_versions():
                request_id = f"{run.seed}-probe-{number}-{version}"
                asyncio.create_task(_probe(run, router, version, request_id))


async def _probe(run, router, version, request_id):
    name = router.process_name
    sent = run.now()
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                *router.caller_address)
            writer.write(http1.encode_request(
                "GET", f"/version-{version}/x",
                {"Host": HOST, "X-Filberthub-Request-Id": request_id,
                 "X-Filberthub-Deadline-Ms": 500}))
            run.journal.record("request", request=request_id, kind=None,
                               key=None, router=name, body=b"", first=True,
                               target=f"/version-{version}/x")
            answer = await http1.read_message(reader)
            writer.close()
    except (OSError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        return
    if answer is not None:
        run.journal.record("probe", router=name, version=version, sent=sent,
                           found=answer.status != 404,
                           unknown=answer.status == 503)

