"""A stand-in of the platform's object store, with the faults that it may have.

Each router has a port of its own, so that faults can concern some of them.
"""

import asyncio
import copy
import json
import random
import urllib.parse

import http1

HEARTBEAT = 0.87
# An entry of a server is removed after this silence.
ENTRY_LIFETIME = 3 * HEARTBEAT


class Store:
    def __init__(self, seed):
        self.random = random.Random(f"{seed}/store")
        self.objects = {}
        self.revision = 1000
        self.history = []
        self.oldest = self.revision
        self.changed = asyncio.Event()
        # Fault by router: "busy", "reset" or "silent".
        self.faults = {}
        self.delay = 0.004
        # Share of writes whose answer is lost, and of these, carried out late.
        self.lost_share = 0.0
        self.late = False
        self.calls = 0
        self._beats = {}
        self._listeners = []

    async def listen(self, host, port, router):
        async def serve(reader, writer):
            await self._serve(reader, writer, router)
        self._listeners.append(await asyncio.start_server(serve, host, port))

    def close(self):
        for listener in self._listeners:
            listener.close()

    def down(self):
        return "*" in self.faults

    # Writes of the operator and of servers, which reach the store directly.

    def put(self, kind, name, spec):
        """Returns the revision of the change."""
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if old and old["Spec"] == spec:
            return old["Metadata"]["Revision"]
        self.revision += 1
        created = old["Metadata"]["Created"] if old else self.revision
        item = {"Metadata": {"Name": name, "Revision": self.revision,
                             "Created": created, "Finalizers": [],
                             "Deleting": False}, "Spec": spec, "Status": {}}
        objects[name] = item
        self._note(kind, item, False)
        return self.revision

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        gone = copy.deepcopy(item)
        gone["Metadata"]["Revision"] = self.revision
        self._note(kind, gone, True)

    def beat(self, name, spec, now):
        """A server says what it is; without a change nobody is told."""
        if self.down():
            return False
        self._beats[name] = now
        self.put("servers", name, spec)
        return True

    def expire(self, now):
        """Removes entries of servers that were silent for too long."""
        for name in list(self.objects.get("servers", {})):
            if now - self._beats.get(name, now) > ENTRY_LIFETIME:
                self.delete("servers", name)

    def compact(self):
        """Forgets the history; waiting watches are cut."""
        self.history.clear()
        self.oldest = self.revision + 1
        self.revision += 1
        self._wake()

    def _note(self, kind, item, deleted):
        self.history.append((self.revision, kind, copy.deepcopy(item), deleted))
        self._wake()

    def _wake(self):
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
                    writer.write(http1.encode_json(status, {}))
                    continue
                await asyncio.sleep(self.delay)
                if request.method != "GET" \
                        and self.random.random() < self.lost_share:
                    if self.late:
                        await asyncio.sleep(self.random.uniform(1, 6))
                    self._write(request)
                    await asyncio.sleep(3600)
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        if request.method != "GET":
            return self._write(request)
        path, _, query = request.target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        if len(parts) == 2:
            item = self.objects.get(parts[0], {}).get(parts[1])
            return http1.encode_json(200, item) if item \
                else http1.encode_json(404, {})
        kind = parts[0]
        if "Watch" in options:
            return await self._watch(kind, int(options["Watch"]),
                                     int(options["WaitMs"]) / 1000)
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > options.get("after", "")]
        page = names[:50]
        return http1.encode_json(200, {
            "items": [self.objects[kind][name] for name in page],
            "HasMore": len(names) > len(page),
            "StoreRevision": self.revision})

    async def _watch(self, kind, after, wait):
        end = asyncio.get_running_loop().time() + wait
        while True:
            if after < self.oldest - 1:
                return http1.encode_json(410, {})
            events = [{"Object": item, "Deleted": deleted}
                      for revision, of, item, deleted in self.history
                      if revision > after and of == kind]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return http1.encode_json(200, {
                    "events": events, "StoreRevision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, request):
        parts = request.target.partition("?")[0].split("/")[3:]
        document = json.loads(request.body or b"{}")
        name = parts[1] if len(parts) > 1 else document["Metadata"]["Name"]
        item = self.objects.get(parts[0], {}).get(name)
        wanted = document.get("Metadata", {}).get("Revision")
        if request.method == "POST" and item is not None:
            return http1.encode_json(409, item)
        if request.method == "PUT" and item is None:
            return http1.encode_json(404, {})
        if wanted is not None and wanted != item["Metadata"]["Revision"]:
            return http1.encode_json(409, item)
        self.put(parts[0], name, document["Spec"])
        return http1.encode_json(200, self.objects[parts[0]][name])
