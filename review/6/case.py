"""An odd entry that changes its service and disappears leaves a dangling
pointer in every router process. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

WORK_S = 0.1
CONTACT_S = 3.0


async def play(run):
    await run.start(
        [harness.route("rescue-read", "raddning"),
         harness.route("plat-read", "skanintag")],
        [harness.service("raddning"), harness.service("skanintag")],
        routers=3,
        servers=[("raddning", lambda number: WORK_S)] * 6
        + [("skanintag", lambda number: WORK_S)] * 6)
    ends = []
    targets = ["/rescue-read/1", "/plat-read/1"]
    callers = [harness.Caller(run, number, router, targets[number % 2])
               for number, router in enumerate(run.routers * 10)]
    tasks = [asyncio.create_task(harness.restart_ended(run, ends))]
    tasks += [asyncio.create_task(caller.play()) for caller in callers]
    # Longer than ContactMs, so that all machines are in touch.
    await asyncio.sleep(CONTACT_S + 1)
    if harness.TROUBLE:
        # Another writer keeps one entry of its own: a copy of that of a live
        # server, without `Version` and `Sequence`, then of another live server,
        # and then it takes the entry away.
        for copied in (run.servers[0], run.servers[6]):
            entry = copied.entry()
            del entry["Version"], entry["Sequence"]
            entry["born"] += len(run.servers) * (copied is run.servers[6])
            run.store.put("servers", "i-mirror", entry)
            run.record(f"another writer copies {copied.name} to i-mirror")
            await asyncio.sleep(2)
        run.store.delete("servers", "i-mirror")
        run.record("another writer removes i-mirror")
    await asyncio.sleep(12)
    for task in tasks:
        task.cancel()
    cuts = harness.cut_after_passing_on(run, callers)
    run.record("processes ended by themselves: " + ", ".join(
        f"{router.name} {ends.count(router.name)} times"
        for router in run.routers))
    return cuts


harness.main(__file__, play)
