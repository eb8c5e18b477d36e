"""A large entry of another writer, whose name has spaces, keeps every process
that starts from ever becoming ready. See claim.txt."""

import asyncio
import json
import pathlib
import signal
import sys
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

RECOVER_S = 15.0
WORK_S = 0.05
# PROTOCOL.md: a list has "about 500 or 1 MB at most".
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class PagingStore(harness.store_module.Store):
    """Divides lists by number and by size, and reads targets as RFC 9112 and
    RFC 3986 say."""

    async def _handle_request(self, request):
        words = request.start_line.split(" ")
        if len(words) != 3:
            return self._encode(400, {})
        path, _, query = request.target.partition("?")
        parts = path.split("/")[3:]
        if request.method != "GET" or len(parts) != 1 or "Watch=" in query:
            return await super()._handle_request(request)
        after = dict(urllib.parse.parse_qsl(query)).get("after", "")
        objects = self.objects.get(parts[0], {})
        names = sorted(name for name in objects if name > after)
        page, size = [], 0
        for name in names[:PAGE_ITEMS]:
            size += len(json.dumps(objects[name]))
            if page and size > PAGE_BYTES:
                break
            page.append(objects[name])
        return self._encode(200, {"items": page,
                                  "HasMore": len(page) < len(names),
                                  "StoreRevision": self.revision})


def served_share(callers, after, run):
    sent = [number for caller in callers for number, at in caller.sent.items()
            if at >= after]
    served = sum(1 for caller in callers for number, at in caller.sent.items()
                 if at >= after and caller.outcomes.get(number) == 200)
    run.record(f"of {len(sent)} requests sent since {after:.1f} s, {served} "
               "were served")
    return served / len(sent) if sent else 0.0


async def play(run):
    run.store = PagingStore(1)
    await run.start(
        [harness.route("rescue-read", "raddning")],
        [harness.service("raddning")], routers=3,
        servers=[("raddning", lambda number: WORK_S)] * 6)
    callers = [harness.Caller(run, number, router, "/rescue-read/1",
                              pause_s=0.1)
               for number, router in enumerate(run.routers * 3)]
    tasks = [asyncio.create_task(caller.play()) for caller in callers]
    start = run.record.now()
    await asyncio.sleep(4)
    if harness.TROUBLE:
        # Below ValueBytes; no object, so that nothing can be read from it.
        run.store.put("servers", f"copy of {run.servers[0].name}",
                      "?" * 1_040_000)
        run.record("another writer has left an odd entry")
    await asyncio.sleep(4)
    before = served_share(callers, start, run)
    for router in run.routers:
        router.stopping = True
        router.signal(signal.SIGKILL)
        router.process.wait()
    await asyncio.sleep(1)
    for router in run.routers:
        router.start()
    back = run.record.now()
    await asyncio.sleep(RECOVER_S + 10)
    after = served_share(callers, back + RECOVER_S, run)
    for router in run.routers:
        run.record(f"{router.name} says that it is "
                   f"{'' if await router.is_ready() else 'not '}ready")
    for task in tasks:
        task.cancel()
    if before < 0.25:
        raise harness.CannotRun("too little was served before the final fault")
    if after < 0.25:
        return [f"later than {RECOVER_S:.0f} s after the processes were back, "
                f"{after:.3f} of the requests were served, before the final "
                f"fault {before:.3f}"]
    return []


harness.main(__file__, play)
