"""A release of keys whose answer has wrong bytes in its handover ends the
process that coordinates. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

CONTACT_S = 3.0
# The share of spoiled answers that the site file names for `garble`.
MAX_SPOILED_SHARE = 0.02


class SpoilingServer(harness.Server):
    """Spoils the answer to the first release after it was told to."""

    spoils = False
    spoiled = 0

    def spoil(self, request, answer):
        if request.target != "/-/release":
            return answer
        self.run.record(f"server {self.name} answers a release")
        if not self.spoils or self.spoiled:
            return answer
        self.spoiled += 1
        self.run.record(f"server {self.name}: the bytes of the handover in "
                        "this answer are wrong")
        return answer.replace(b"Handover: h", b"Handover: \xff\xfe")


async def play(run):
    await run.start(
        [harness.route("map-read", "kartlas"),
         harness.route("rescue-read", "raddning")],
        [harness.service("kartlas", sharded=True),
         harness.service("raddning")],
        routers=3, server_type=SpoilingServer,
        servers=[("kartlas", lambda number: 0.02)] * 3
        + [("raddning", lambda number: 0.15)] * 8)
    ends = []
    reading = [harness.Caller(
        run, f"m{number}", router, "/map-read/1", pause_s=0.005,
        headers=lambda count: {"X-Filberthub-Shard-Key": count * 547 % 65536})
        for number, router in enumerate(run.routers * 2)]
    callers = [harness.Caller(run, number, router, "/rescue-read/1")
               for number, router in enumerate(run.routers * 8)]
    tasks = [asyncio.create_task(harness.restart_ended(run, ends))]
    tasks += [asyncio.create_task(caller.play())
              for caller in reading + callers]
    # Longer than ContactMs, so that all machines are in touch.
    await asyncio.sleep(CONTACT_S + 2)
    leaving = run.servers[0]
    leaving.spoils = harness.TROUBLE
    leaving.state = "draining"
    run.record(f"{leaving.name} reports that it is draining")
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    for server in run.servers:
        if server.spoiled > MAX_SPOILED_SHARE * server.answers:
            raise harness.CannotRun("more answers were spoiled than allowed")
    run.record(f"{leaving.name} has spoiled {leaving.spoiled} of its "
               f"{leaving.answers} answers")
    # Those to the other service, whose servers are sound.
    cuts = harness.cut_after_passing_on(run, callers)
    run.record(f"processes ended by themselves: {ends}")
    return cuts


harness.main(__file__, play)
