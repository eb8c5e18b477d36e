"""Simulated backend servers with slots, key grants, cold starts and faults.

The servers record each request that they begin in the journal of the run, which
the checks read.
"""

import asyncio
import json
import random

import http1
import store as store_module

SLOTS = 2
QUEUE_CAPACITY = 8
COLD_DURATION_S = 3.0
# Requests per second that a cold server tolerates.
COLD_REQUESTS_PER_S = 11.0
# Share by which the clocks of servers that time grants run slow.
CLOCK_DRIFT = 0.02


class Server:
    """One address of a service. Each start of it is a new incarnation."""

    def __init__(self, run, number, service, zone, keyed, service_time_s):
        self.run = run
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.service_time_s = service_time_s
        self.number = number
        self.random = random.Random(f"{run.seed}/server{number}")
        # The published address, which is that of the proxy, and the address
        # on which the server listens.
        self.address = None
        self.listen_address = None
        self.incarnation = 0
        self.state = "down"
        self.slowdown = 1.0
        self.refusal_share = 0.0
        # Corruption of answers ("reset", "truncate", "extra" or "garbage") and
        # the share of answers that it concerns.
        self.corruption = None
        self.corruption_share = 0.0
        # Share of commands that are executed late and not answered.
        self.delayed_command_share = 0.0
        # Sent with released keys in place of a handover, unless it is empty.
        self.spoiled_handover = ""
        # Whether its entry expires while it keeps serving.
        self.cut_from_store = False
        self._listener = None
        self._writers = set()
        self._tasks = set()
        self._heartbeat_task = None

    @property
    def up(self):
        return self.state != "down"

    async def start(self, same_id=False, cold=True):
        self.incarnation += 1
        if not same_id or self.incarnation == 1:
            self.id = f"i-{self.service}-{self.number}-{self.incarnation}"
        self.started_at_ms = int(self.run.wall_time() * 1000)
        self.state = "ready"
        self.running = 0
        self.waiting = []
        self.sequence = 0
        # Granted ranges as (first, last, fencing token, end, since), and the
        # highest token by range.
        self.grants = []
        self.fencing_tokens = []
        self.keys_in_progress = {}
        now = self.run.now()
        self.cold_until = now + COLD_DURATION_S if cold else now
        self.run.journal.record("life", server=self, born=self.started_at_ms)
        self._listener = await asyncio.start_server(
            self._serve, *self.listen_address)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def crash(self):
        """Resets all connections, as the kill of a process does."""
        if not self.up:
            return
        self.state = "down"
        self._heartbeat_task.cancel()
        self._listener.close()
        for writer in list(self._writers):
            http1.reset(writer)
        for task in list(self._tasks):
            task.cancel()
        self.run.journal.record("ended", server=self)

    async def drain(self, drain_s=2.3):
        """Drains for `drain_s` seconds, then stops."""
        self.state = "draining"
        incarnation = self.incarnation
        while self.incarnation == incarnation and self.up:
            if self._publish_entry():
                break
            await asyncio.sleep(0.1)
        self.run.journal.record("draining", server=self)
        await asyncio.sleep(drain_s)
        if self.incarnation != incarnation:
            return
        if not self.run.store.is_down():
            self.run.store.delete("servers", self.id)
        await self.crash()

    def cold_remaining_s(self):
        return max(self.cold_until - self.run.now(), 0.0)

    def granted_until(self, key):
        """Returns when the grant of a key ends, or 0 without one."""
        return max((end for first, last, _, end, _ in self.grants
                    if first <= key <= last), default=0.0)

    def granted_since(self, first, last):
        """Returns since when a range is granted without a gap, or None."""
        for low, high, _, end, since in self.grants:
            if low <= first and last <= high and end > self.run.now():
                return since
        return None

    def entry(self):
        return {"Service": self.service, "Address": self.address,
                "Zone": self.zone, "Version": "v1", "Capacity": SLOTS,
                "State": self.state, "Sequence": 0, "born": self.started_at_ms,
                "WarmupLeftMs": 0 if self.cold_remaining_s() == 0
                else int(COLD_DURATION_S * 1000)}

    def _publish_entry(self):
        return not self.cut_from_store and self.run.store.heartbeat(
            self.id, self.entry(), self.run.now())

    async def _send_heartbeats(self):
        while True:
            self._publish_entry()
            await asyncio.sleep(store_module.HEARTBEAT_S)

    async def _serve(self, reader, writer):
        incarnation = self.incarnation
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while request := await http1.read_message(reader):
                if self.incarnation != incarnation or not self.up:
                    return
                response = await self._dispatch(request, reader, writer)
                if response is None:
                    http1.reset(writer)
                    return
                writer.write(response)
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
                   f"{int(100 * self.slowdown)}"}
        if request and "x-filberthub-request-id" in request.headers:
            headers["X-Filberthub-Request-Id"] = \
                request.headers["x-filberthub-request-id"]
        return headers

    def _not_executed(self, status, request):
        return http1.encode_answer(
            status, {**self._headers(request), "X-Filberthub-Not-Executed": "1",
                     "X-Filberthub-Instance-Id": self.id})

    async def _dispatch(self, request, reader, writer):
        expected = request.headers.get("x-filberthub-expect-instance")
        if expected and expected != self.id:
            return self._not_executed(421, request)
        if request.target in ("/-/grant", "/-/release"):
            return await self._execute_command(request)
        if request.target == "/healthz":
            return http1.encode_answer(
                200, {"X-Filberthub-Instance-Id": self.id,
                      "X-Filberthub-Warmup-Ms":
                      int(self.cold_remaining_s() * 1000),
                      **self._headers()})
        return await self._handle_request(request, reader, writer)

    # Commands of the coordinator.

    async def _execute_command(self, request):
        incarnation = self.incarnation
        arrived_at = self.run.now()
        delayed = self.random.random() < self.delayed_command_share
        if delayed:
            await asyncio.sleep(self.random.uniform(2, 6))
            if self.incarnation != incarnation or not self.up:
                return None
        command = request.json()
        if request.target == "/-/release":
            response = await self._release(command)
        else:
            response = self._grant(command, arrived_at)
        if delayed:
            await asyncio.sleep(3600)
        return response

    def _grant(self, command, arrived_at):
        first, last, fencing_token = (
            command["From"], command["To"], command["fence"])
        for low, high, highest_token in self.fencing_tokens:
            if low <= last and first <= high and highest_token > fencing_token:
                return http1.encode_json(409, {})
        self.fencing_tokens = [known for known in self.fencing_tokens
                               if not (first <= known[0] and known[1] <= last)]
        self.fencing_tokens.append((first, last, fencing_token))
        end = arrived_at + command["HoldMs"] / 1000 * (1 + CLOCK_DRIFT)
        renewed = any(grant[:3] == (first, last, fencing_token)
                      for grant in self.grants)
        since = self.granted_since(first, last) or self.run.now()
        self.grants = self._grants_outside(first, last)
        self.grants.append((first, last, fencing_token, end, since))
        # A delayed grant may be applied after newer ones.
        late = self.run.now() > arrived_at + 0.5
        self.run.journal.record("grant", server=self, life=self.incarnation,
                                first=first, last=last, fence=fencing_token,
                                renewed=renewed, late=late,
                                holds=list(self.grants))
        return http1.encode_json(200, {})

    async def _release(self, command):
        first, last = command["From"], command["To"]
        self.grants = self._grants_outside(first, last)
        self.run.journal.record("release", server=self, first=first, last=last,
                                holds=list(self.grants))
        while any(first <= key <= last
                  for key in self.keys_in_progress.values()):
            await asyncio.sleep(0.01)
        handover = f"{self.random.getrandbits(64):x}"
        if self.spoiled_handover:
            handover = self.spoiled_handover
        return http1.encode_answer(200, {"X-Filberthub-Handover": handover})

    def _grants_outside(self, first, last):
        """Returns the grants with a range of keys cut out of them."""
        remaining = []
        for low, high, fencing_token, end, since in self.grants:
            if low < first:
                remaining.append(
                    (low, min(high, first - 1), fencing_token, end, since))
            if high > last:
                remaining.append(
                    (max(low, last + 1), high, fencing_token, end, since))
        return remaining

    # Requests.

    async def _handle_request(self, request, reader, writer):
        arrived_at = self.run.now()
        request_id = request.headers.get("x-filberthub-request-id", "")
        key = request.headers.get("x-filberthub-shard-key")
        key = int(key) if self.keyed else None
        misdirected = self.keyed and self.granted_until(key) <= arrived_at
        self.run.journal.record("arrival", server=self, request=request_id,
                                misdirected=misdirected,
                                cold=self.cold_remaining_s() > 0
                                and not misdirected)
        if misdirected:
            return self._not_executed(421, request)
        if self.random.random() < self.refusal_share:
            return self._not_executed(503, request)
        deadline_s = int(request.headers["x-filberthub-deadline-ms"]) / 1000
        if self.running >= SLOTS:
            if len(self.waiting) >= QUEUE_CAPACITY:
                return self._not_executed(503, request)
            slot_available = asyncio.get_running_loop().create_future()
            self.waiting.append(slot_available)
            try:
                await asyncio.wait_for(slot_available, max(deadline_s, 0.001))
            except asyncio.TimeoutError:
                return self._not_executed(503, request)
            finally:
                if slot_available in self.waiting:
                    self.waiting.remove(slot_available)
            if self.keyed and self.granted_until(key) <= self.run.now():
                self._admit_next()
                return self._not_executed(421, request)
        return await self._execute(request, request_id, key, reader, writer)

    def _admit_next(self):
        if self.waiting and not self.waiting[0].done():
            self.waiting.pop(0).set_result(None)

    async def _execute(self, request, request_id, key, reader, writer):
        self.running += 1
        if key is not None:
            self.keys_in_progress[request_id] = key
        self.run.journal.record("begin", server=self, request=request_id,
                                key=key, since=key is not None
                                and self.granted_since(key, key),
                                line=request.start_line, body=request.body)
        try:
            work_time_s = (self.service_time_s * self.random.uniform(0.4, 1.6)
                           * self.slowdown)
            if self.cold_remaining_s() > 0:
                work_time_s *= 2
            await self._simulate_work(work_time_s, reader, writer)
        finally:
            self.running -= 1
            self.keys_in_progress.pop(request_id, None)
            self._admit_next()
        self.run.journal.record("end", server=self, request=request_id)
        return self._encode_result(request, request_id)

    async def _simulate_work(self, seconds, reader, writer):
        """Waits for the given time; raises if the connection is closed."""
        end = self.run.now() + seconds
        while (remaining := end - self.run.now()) > 0:
            await asyncio.sleep(min(remaining, 0.05))
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError

    def _encode_result(self, request, request_id):
        body = json.dumps({"request": request_id, "server": self.id,
                           "bytes": len(request.body)}).encode()
        headers = {**self._headers(request),
                   "X-Filberthub-Server-Signature": f"{self.id}.{request_id}"}
        response = http1.encode_answer(200, headers, body)
        if self.corruption and self.random.random() < self.corruption_share:
            if self.corruption == "reset":
                return None
            if self.corruption == "truncate":
                return response[:-7]
            if self.corruption == "extra":
                return response + response
            return b"\x00garbage\r\n\r\n" + response
        return response
