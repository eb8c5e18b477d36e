"""An entry of another writer, whose name has a byte that no header can carry,
ends every router process. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

WORK_S = 0.1
CONTACT_S = 3.0


async def play(run):
    await run.start(
        [harness.route("rescue-read", "raddning")],
        [harness.service("raddning")], routers=3,
        servers=[("raddning", lambda number: WORK_S)] * 6)
    ends = []
    callers = [harness.Caller(run, number, router, "/rescue-read/1")
               for number, router in enumerate(run.routers * 10)]
    tasks = [asyncio.create_task(harness.restart_ended(run, ends))]
    tasks += [asyncio.create_task(caller.play()) for caller in callers]
    # Longer than ContactMs, so that all machines are in touch.
    await asyncio.sleep(CONTACT_S + 1)
    if harness.TROUBLE:
        # Another writer copies the entry of a live server, without `Version`
        # and `Sequence`, under a name that ends with a line feed.
        entry = run.servers[0].entry()
        del entry["Version"], entry["Sequence"]
        run.store.put("servers", run.servers[0].name + "\n", entry)
        run.record("another writer has left an odd entry")
    await asyncio.sleep(15)
    for task in tasks:
        task.cancel()
    cuts = harness.cut_after_passing_on(run, callers)
    run.record("processes ended by themselves: " + ", ".join(
        f"{router.name} {ends.count(router.name)} times"
        for router in run.routers))
    return cuts


harness.main(__file__, play)
