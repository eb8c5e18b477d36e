"""Stand-ins of backend servers: slots, keys with grants, cold starts, faults.

What each server begins is noted in the journal of the run, which the checks
read.
"""

import asyncio
import json
import random

import http1
import store as store_module

SLOTS = 2
QUEUE = 8
COLD_TIME = 3.0
# Requests a second that a cold server tolerates.
COLD_RATE = 11.0
# Hold clocks of servers may run this much slow.
SLOW_CLOCK = 0.02


class Server:
    """One address of a service. A process that starts again is a new life."""

    def __init__(self, run, number, service, zone, keyed, work):
        self.run = run
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work = work
        self.number = number
        self.random = random.Random(f"{run.seed}/server{number}")
        # Where it says that it listens, and where it does behind the proxy.
        self.address = None
        self.listen_at = None
        self.life = 0
        self.state = "down"
        self.slow = 1.0
        self.refuse_share = 0.0
        # "reset", "truncate", "extra" or "unframed", and for which share.
        self.spoil = None
        self.spoil_share = 0.0
        # Share of orders that are carried out late and not answered.
        self.late_share = 0.0
        # Its entry lapses while it goes on serving.
        self.cut_from_store = False
        self._listener = None
        self._writers = set()
        self._tasks = set()
        self._beating = None

    @property
    def up(self):
        return self.state != "down"

    async def start(self, same_id=False, cold=True):
        self.life += 1
        if not same_id or self.life == 1:
            self.id = f"i-{self.service}-{self.number}-{self.life}"
        self.born = int(self.run.wall() * 1000)
        self.state = "ready"
        self.running = 0
        self.waiting = []
        self.sequence = 0
        # Ranges as (first, last, fence, end, since), and the highest fences.
        self.holds = []
        self.fences = []
        self.begun = {}
        now = self.run.now()
        self.cold_until = now + COLD_TIME if cold else now
        self.run.journal.note("life", server=self, born=self.born)
        self._listener = await asyncio.start_server(
            self._serve, *self.listen_at)
        self._beating = asyncio.create_task(self._beat())

    async def crash(self):
        """Ends like a killed process: connections are reset."""
        if not self.up:
            return
        self.state = "down"
        self._beating.cancel()
        self._listener.close()
        for writer in list(self._writers):
            http1.reset(writer)
        for task in list(self._tasks):
            task.cancel()
        self.run.journal.note("ended", server=self)

    async def drain(self, stay=2.3):
        """Leaves as planned; returns when the process has ended."""
        self.state = "draining"
        life = self.life
        while self.life == life and self.up:
            if self._say():
                break
            await asyncio.sleep(0.1)
        self.run.journal.note("draining", server=self)
        await asyncio.sleep(stay)
        if self.life != life:
            return
        if not self.run.store.down():
            self.run.store.delete("servers", self.id)
        await self.crash()

    def cold_left(self):
        return max(self.cold_until - self.run.now(), 0.0)

    def holder_end(self, key):
        """When the hold of a key ends, or 0."""
        return max((end for first, last, _, end, _ in self.holds
                    if first <= key <= last), default=0.0)

    def held_since(self, first, last):
        """Since when a range is held without a break, or None."""
        for low, high, _, end, since in self.holds:
            if low <= first and last <= high and end > self.run.now():
                return since
        return None

    def _entry(self):
        return {"Service": self.service, "Address": self.address,
                "Zone": self.zone, "Version": "v1", "Capacity": SLOTS,
                "State": self.state, "Sequence": 0, "born": self.born,
                "WarmupLeftMs": 0 if self.cold_left() == 0
                else int(COLD_TIME * 1000)}

    def _say(self):
        return not self.cut_from_store and self.run.store.beat(
            self.id, self._entry(), self.run.now())

    async def _beat(self):
        while True:
            self._say()
            await asyncio.sleep(store_module.HEARTBEAT)

    async def _serve(self, reader, writer):
        life = self.life
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while request := await http1.read_message(reader):
                if self.life != life or not self.up:
                    return
                answer = await self._answer(request, reader, writer)
                if answer is None:
                    http1.reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def _headers(self, request=None):
        headers = {"X-Filberthub-Server-Load":
                   f"{self.running},{len(self.waiting)},{SLOTS},"
                   f"{int(100 * self.slow)}"}
        if request and "x-filberthub-request-id" in request.headers:
            headers["X-Filberthub-Request-Id"] = \
                request.headers["x-filberthub-request-id"]
        return headers

    def _not_run(self, status, request):
        return http1.encode_answer(
            status, {**self._headers(request), "X-Filberthub-Not-Executed": "1",
                     "X-Filberthub-Instance-Id": self.id})

    async def _answer(self, request, reader, writer):
        expected = request.headers.get("x-filberthub-expect-instance")
        if expected and expected != self.id:
            return self._not_run(421, request)
        if request.target in ("/-/grant", "/-/release"):
            return await self._order(request)
        if request.target == "/healthz":
            return http1.encode_answer(
                200, {"X-Filberthub-Instance-Id": self.id,
                      "X-Filberthub-Warmup-Ms": int(self.cold_left() * 1000),
                      **self._headers()})
        return await self._work(request, reader, writer)

    # Orders.

    async def _order(self, request):
        life = self.life
        arrived = self.run.now()
        lost = self.random.random() < self.late_share
        if lost:
            await asyncio.sleep(self.random.uniform(2, 6))
            if self.life != life or not self.up:
                return None
        order = request.json()
        if request.target == "/-/release":
            answer = await self._release(order)
        else:
            answer = self._grant(order, arrived)
        if lost:
            await asyncio.sleep(3600)
        return answer

    def _grant(self, order, arrived):
        first, last, fence = order["From"], order["To"], order["fence"]
        for low, high, seen in self.fences:
            if low <= last and first <= high and seen > fence:
                return http1.encode_json(409, {})
        self.fences = [item for item in self.fences
                       if not (first <= item[0] and item[1] <= last)]
        self.fences.append((first, last, fence))
        end = arrived + order["HoldMs"] / 1000 * (1 + SLOW_CLOCK)
        renewed = any(hold[:3] == (first, last, fence) for hold in self.holds)
        since = self.held_since(first, last) or self.run.now()
        self.holds = self._without(first, last)
        self.holds.append((first, last, fence, end, since))
        # A grant that was held up may come after newer ones.
        late = self.run.now() > arrived + 0.5
        self.run.journal.note("grant", server=self, life=self.life, first=first,
                              last=last, fence=fence, renewed=renewed,
                              late=late, holds=list(self.holds))
        return http1.encode_json(200, {})

    async def _release(self, order):
        first, last = order["From"], order["To"]
        self.holds = self._without(first, last)
        self.run.journal.note("release", server=self, first=first, last=last,
                              holds=list(self.holds))
        while any(first <= key <= last for key in self.begun.values()):
            await asyncio.sleep(0.01)
        return http1.encode_answer(
            200, {"X-Filberthub-Handover": f"{self.random.getrandbits(64):x}"})

    def _without(self, first, last):
        """The holds without a range of keys, with the parts beside it."""
        left = []
        for low, high, fence, end, since in self.holds:
            if low < first:
                left.append((low, min(high, first - 1), fence, end, since))
            if high > last:
                left.append((max(low, last + 1), high, fence, end, since))
        return left

    # Requests.

    async def _work(self, request, reader, writer):
        arrived = self.run.now()
        identity = request.headers.get("x-filberthub-request-id", "")
        key = request.headers.get("x-filberthub-shard-key")
        key = int(key) if self.keyed else None
        misdirected = self.keyed and self.holder_end(key) <= arrived
        self.run.journal.note("arrival", server=self, request=identity,
                              cold=self.cold_left() > 0 and not misdirected)
        if misdirected:
            return self._not_run(421, request)
        if self.random.random() < self.refuse_share:
            return self._not_run(503, request)
        limit = int(request.headers["x-filberthub-deadline-ms"]) / 1000
        if self.running >= SLOTS:
            if len(self.waiting) >= QUEUE:
                return self._not_run(503, request)
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await asyncio.wait_for(turn, max(limit, 0.001))
            except asyncio.TimeoutError:
                return self._not_run(503, request)
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)
            if self.keyed and self.holder_end(key) <= self.run.now():
                self._next()
                return self._not_run(421, request)
        return await self._execute(request, identity, key, reader, writer)

    def _next(self):
        if self.waiting and not self.waiting[0].done():
            self.waiting.pop(0).set_result(None)

    async def _execute(self, request, identity, key, reader, writer):
        self.running += 1
        if key is not None:
            self.begun[identity] = key
        self.run.journal.note("begin", server=self, request=identity, key=key,
                              since=key is not None
                              and self.held_since(key, key), line=request.first,
                              body=request.body)
        try:
            time = self.work * self.random.uniform(0.4, 1.6) * self.slow
            if self.cold_left() > 0:
                time *= 2
            await self._worked(time, reader, writer)
        finally:
            self.running -= 1
            self.begun.pop(identity, None)
            self._next()
        self.run.journal.note("end", server=self, request=identity)
        return self._result(request, identity)

    async def _worked(self, seconds, reader, writer):
        """Stops early if the connection was closed."""
        end = self.run.now() + seconds
        while (left := end - self.run.now()) > 0:
            await asyncio.sleep(min(left, 0.05))
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError

    def _result(self, request, identity):
        body = json.dumps({"request": identity, "server": self.id,
                           "bytes": len(request.body)}).encode()
        headers = {**self._headers(request),
                   "X-Filberthub-Server-Signature": f"{self.id}.{identity}"}
        answer = http1.encode_answer(200, headers, body)
        if self.spoil and self.random.random() < self.spoil_share:
            if self.spoil == "reset":
                return None
            if self.spoil == "truncate":
                return answer[:-7]
            if self.spoil == "extra":
                return answer + answer
            return b"\x00garbage\r\n\r\n" + answer
        return answer
