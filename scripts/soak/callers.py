"""Callers of the routers: they keep connections until the process is gone."""

import asyncio
import random
from dataclasses import dataclass

import http1

READY_INTERVAL = 0.5


@dataclass(frozen=True)
class Kind:
    """A kind of request and its route."""
    name: str
    service: str
    method: str
    deadline_ms: int
    keyed: bool = False
    repeatable: bool = True
    body_bytes: int = 0
    fresh: bool = False
    pipelined: bool = False


KINDS = [
    Kind("map-read", "kartlas", "GET", 500, keyed=True),
    Kind("map-edit", "kartskriv", "POST", 600, repeatable=False,
         body_bytes=1200, fresh=True),
    Kind("scan-upload", "skanintag", "POST", 800, repeatable=False,
         body_bytes=60_000),
    Kind("rescue-read", "raddning", "GET", 250, pipelined=True),
]
HOST = "maps.example"


class Callers:
    def __init__(self, run, count):
        self.run = run
        self.tasks = [asyncio.create_task(self._caller(number))
                      for number in range(count)]
        self.tasks.append(asyncio.create_task(self._check_readiness()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _check_readiness(self):
        while True:
            await asyncio.gather(*[self._ask(router)
                                   for router in self.run.routers])
            await asyncio.sleep(READY_INTERVAL)

    async def _ask(self, router):
        ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(*router.readiness)
                writer.write(http1.encode_request(
                    "GET", "/-/readyz", {"Host": "x"}))
                answer = await http1.read_message(reader)
                ready = answer is not None and answer.status == 200
                writer.close()
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            pass
        router.misses = 0 if ready else router.misses + 1

    def _choose(self, source):
        up = [router for router in self.run.routers if router.misses < 2]
        return source.choice(up or self.run.routers)

    async def _caller(self, number):
        source = random.Random(f"{self.run.seed}/caller{number}")
        kind = source.choices(KINDS, [4, 2, 1, 2])[0]
        connection = None
        count = 0
        while True:
            await asyncio.sleep(source.uniform(0.5, 1.5) * self.run.pause)
            count += 1
            try:
                if connection is None:
                    connection = await self._connect(source)
                identities = [f"{self.run.seed}-{number}-{count}"]
                if kind.pipelined:
                    identities.append(identities[0] + "b")
                again = await self._send(connection, kind, identities, source)
                if not again or kind.fresh:
                    connection.close()
                    connection = None
            except (OSError, ValueError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                if connection is not None:
                    connection.close()
                connection = None

    async def _connect(self, source):
        router = self._choose(source)
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*router.callers)
        return Connection(router, reader, writer)

    async def _send(self, connection, kind, identities, source):
        """Returns whether the connection may carry further requests."""
        journal = self.run.journal
        bytes_out = b""
        leaves = source.random() < self.run.leave_share
        for identity in identities:
            headers = {"Host": HOST, "X-Filberthub-Request-Id": identity,
                       "X-Filberthub-Deadline-Ms": kind.deadline_ms}
            key = None
            if kind.keyed:
                key = source.randrange(0, 65536, 257) if source.random() < 0.7 \
                    else source.randrange(0, 2000)
                headers["X-Filberthub-Shard-Key"] = key
            body = (identity + "/").encode() * (
                kind.body_bytes // (len(identity) + 1))
            target = f"/{kind.name}/{identity}"
            bytes_out += http1.encode_request(kind.method, target, headers,
                                              body)
            journal.note("request", request=identity, kind=kind, key=key,
                         router=connection.router.run_name, body=body,
                         target=target, first=connection.first)
        connection.writer.write(bytes_out)
        await connection.writer.drain()
        connection.first = False
        if leaves:
            await asyncio.sleep(source.uniform(0, 0.1))
            for identity in identities:
                journal.note("left", request=identity)
            return False
        again = True
        for identity in identities:
            again = await self._receive(connection, kind, identity) and again
            if not again:
                break
        return again

    async def _receive(self, connection, kind, identity):
        journal = self.run.journal
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000):
                answer = await http1.read_message(connection.reader)
        except asyncio.TimeoutError:
            journal.note("no answer", request=identity)
            return False
        except (OSError, ValueError, asyncio.IncompleteReadError) as failure:
            journal.note("cut", request=identity, why=repr(failure))
            return False
        if answer is None:
            journal.note("cut", request=identity, why="closed")
            return False
        journal.note("answer", request=identity, status=answer.status,
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
        self.first = True

    def close(self):
        self.writer.close()


async def probe_versions(run):
    """Asks each router for the routes of the newest versions, which shows
    which configuration is in force there."""
    number = 0
    while True:
        await asyncio.sleep(0.25)
        for router in run.routers:
            number += 1
            for version in run.recent_versions():
                identity = f"{run.seed}-probe-{number}-{version}"
                asyncio.create_task(_probe(run, router, version, identity))


async def _probe(run, router, version, identity):
    name = router.run_name
    sent = run.now()
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*router.callers)
            writer.write(http1.encode_request(
                "GET", f"/version-{version}/x",
                {"Host": HOST, "X-Filberthub-Request-Id": identity,
                 "X-Filberthub-Deadline-Ms": 500}))
            run.journal.note("request", request=identity, kind=None, key=None,
                             router=name, body=b"", first=True,
                             target=f"/version-{version}/x")
            answer = await http1.read_message(reader)
            writer.close()
    except (OSError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        return
    if answer is not None:
        run.journal.note("probe", router=name, version=version, sent=sent,
                         found=answer.status != 404,
                         unknown=answer.status == 503)

