"""A simulation of the platform's object store, with injected faults.

Each router has its own port, so that a fault can concern some routers only.
"""

import asyncio
import copy
import json
import random
import urllib.parse

import http1

HEARTBEAT_S = 0.87
# The entry of a server is removed this long after its last heartbeat.
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
# Limits of a page of a list. A larger object has a page of its own.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Objects by kind and name, with revisions, a history and watches."""

    def __init__(self, seed):
        self.random = random.Random(f"{seed}/store")
        self.objects = {}
        self.revision = 1000
        # Sent as the header Store-Era; none before the first restore.
        self.epoch = None
        self.history = []
        self.oldest_revision = self.revision
        self.changed = asyncio.Event()
        # Fault by router: "busy", "reset" or "silent".
        self.faults = {}
        self.delay = 0.004
        # Share of writes whose reply is lost, and whether these are applied
        # late.
        self.lost_reply_share = 0.0
        self.apply_late = False
        self.calls = 0
        self._last_heartbeats = {}
        self._listeners = []

    async def listen(self, host, port, router):
        async def serve(reader, writer):
            await self._serve(reader, writer, router)
        self._listeners.append(await asyncio.start_server(serve, host, port))

    def close(self):
        for listener in self._listeners:
            listener.close()

    def is_down(self):
        return "*" in self.faults

    # Writes of operators and servers, which bypass HTTP and its faults.

    def put(self, kind, name, spec):
        """Returns the revision of the change."""
        objects = self.objects.setdefault(kind, {})
        previous = objects.get(name)
        if previous and previous["Spec"] == spec:
            return previous["Metadata"]["Revision"]
        self.revision += 1
        created = previous["Metadata"]["Created"] if previous else self.revision
        stored_object = {"Metadata": {"Name": name, "Revision": self.revision,
                                      "Created": created, "Finalizers": [],
                                      "Deleting": False},
                         "Spec": spec, "Status": {}}
        objects[name] = stored_object
        self._append_history(kind, stored_object, False)
        return self.revision

    def delete(self, kind, name):
        stored_object = self.objects.get(kind, {}).pop(name, None)
        if stored_object is None:
            return
        self.revision += 1
        deleted_object = copy.deepcopy(stored_object)
        deleted_object["Metadata"]["Revision"] = self.revision
        self._append_history(kind, deleted_object, True)

    def heartbeat(self, name, spec, now):
        """Publishes the entry of a server and records the time.

        An unchanged entry gets no new revision. Returns False while the store
        is down.
        """
        if self.is_down():
            return False
        self._last_heartbeats[name] = now
        self.put("servers", name, spec)
        return True

    def expire(self, now):
        """Removes the entries of servers whose heartbeats have stopped."""
        for name in list(self.objects.get("servers", {})):
            if now - self._last_heartbeats.get(name, now) > ENTRY_LIFETIME_S:
                self.delete("servers", name)

    def compact(self):
        """Discards the history, so that watches at older revisions end."""
        self.history.clear()
        self.oldest_revision = self.revision + 1
        self.revision += 1
        self._notify_watches()

    def make_copy(self):
        return copy.deepcopy(self.objects), self.revision

    def restore(self, saved):
        """Goes back to a copy, whose revisions are issued again."""
        objects, self.revision = saved
        self.objects = copy.deepcopy(objects)
        self.epoch = (self.epoch or 0) + 1
        self.history.clear()
        self.oldest_revision = self.revision + 1
        self._notify_watches()

    def coordinator(self):
        """Returns the id of the instance that the lease names, or None."""
        lease = self.objects.get("filberthub-lease", {}).get("coordinator")
        return lease["Spec"]["holder"] if lease else None

    def _encode(self, status, document):
        headers = {"Content-Type": "application/json"}
        if self.epoch is not None:
            headers["Store-Era"] = str(self.epoch)
        return http1.encode_answer(status, headers,
                                   json.dumps(document).encode())

    def _append_history(self, kind, stored_object, deleted):
        self.history.append(
            (self.revision, kind, copy.deepcopy(stored_object), deleted))
        self._notify_watches()

    def _notify_watches(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer, router):
        try:
            while request := await http1.read_message(reader):
                fault = self.faults.get(router) or self.faults.get("*")
                self.calls += 1
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    http1.reset(writer)
                    return
                if fault == "busy":
                    status = self.random.choice([503, 429])
                    writer.write(self._encode(status, {}))
                    continue
                await asyncio.sleep(self.delay)
                if request.method != "GET" \
                        and self.random.random() < self.lost_reply_share:
                    if self.apply_late:
                        await asyncio.sleep(self.random.uniform(1, 6))
                    self._write(request)
                    await asyncio.sleep(3600)
                response = await self._handle_request(request)
                writer.write(response)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle_request(self, request):
        # A space that is not encoded splits the target (RFC 9112, 3).
        if request.start_line.count(" ") != 2:
            return self._encode(400, {})
        if request.method != "GET":
            return self._write(request)
        path, _, query = request.target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        if len(parts) == 2:
            stored_object = self.objects.get(parts[0], {}).get(parts[1])
            return self._encode(200, stored_object) if stored_object \
                else self._encode(404, {})
        kind = parts[0]
        if "Watch" in parameters:
            return await self._watch(kind, int(parameters["Watch"]),
                                     int(parameters["WaitMs"]) / 1000)
        return self._list(kind, parameters.get("after", ""))

    def _list(self, kind, after):
        objects = self.objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page, size = [], 0
        for name in names[:PAGE_ITEMS]:
            size += len(json.dumps(objects[name]))
            if page and size > PAGE_BYTES:
                break
            page.append(objects[name])
        return self._encode(200, {
            "items": page, "HasMore": len(names) > len(page),
            "StoreRevision": self.revision})

    async def _watch(self, kind, after, wait_s):
        end = asyncio.get_running_loop().time() + wait_s
        epoch = self.epoch
        while True:
            if after < self.oldest_revision - 1 or after > self.revision \
                    or epoch != self.epoch:
                return self._encode(410, {})
            events = [{"Object": stored_object, "Deleted": deleted}
                      for revision, event_kind, stored_object, deleted
                      in self.history
                      if revision > after and event_kind == kind]
            remaining = end - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return self._encode(200, {
                    "events": events, "StoreRevision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def _write(self, request):
        parts = request.target.partition("?")[0].split("/")[3:]
        document = json.loads(request.body or b"{}")
        name = parts[1] if len(parts) > 1 else document["Metadata"]["Name"]
        stored_object = self.objects.get(parts[0], {}).get(name)
        expected_revision = document.get("Metadata", {}).get("Revision")
        if request.method == "POST" and stored_object is not None:
            return self._encode(409, stored_object)
        if request.method == "PUT" and stored_object is None:
            return self._encode(404, {})
        if expected_revision is not None and \
                expected_revision != stored_object["Metadata"]["Revision"]:
            return self._encode(409, stored_object)
        self.put(parts[0], name, document["Spec"])
        return self._encode(200, self.objects[parts[0]][name])
