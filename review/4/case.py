"""Another writer leaves one entry with an address that cannot be reached."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

# The broadcast address of the loopback network: a connection to it fails at
# once, as one to a network without a route does.
ODD_ADDRESS = "127.255.255.255:9000"
OBSERVED_S = 60.0
RESTART_DELAY_S = 0.5
# More requests than this that are passed on and not answered break the rule.
MAX_LOST = 3


class Case(harness.Case):
    async def disrupt(self, run):
        run.mean_pause = 0.05
        self.ended = []
        # All processes have run for longer than ContactMs.
        await asyncio.sleep(4)
        if self.trouble:
            sound = next(s for s in run.servers if s.service == "raddning")
            entry = {"Service": sound.service, "Address": ODD_ADDRESS,
                     "Zone": sound.zone, "Version": "v1", "Capacity": 2,
                     "State": "ready", "Sequence": 0, "WarmupLeftMs": 0}
            run.store.put("servers", "odd", entry)
            self.note(run, f"entry of another writer: {entry}")
        end = run.now() + OBSERVED_S
        while run.now() < end:
            await asyncio.sleep(0.05)
            for router in run.routers:
                if not router.running():
                    code = router.process.returncode
                    self.ended.append(f"{router.process_name} ({code})")
                    self.note(run, f"{router.process_name} ended by itself "
                                   f"with code {code}")
                    await asyncio.sleep(RESTART_DELAY_S)
                    router.start()

    def violations(self, run):
        begun = {e["request"] for e in run.journal.events
                 if e["what"] == "begin"}
        requests = {e["request"]: e for e in run.journal.events
                    if e["what"] == "request"}
        lost = [e["request"] for e in run.journal.events
                if e["what"] == "cut" and e["request"] in begun
                and not requests[e["request"]]["first"]]
        self.notes.append(f"passed on from a kept connection, connection "
                          f"closed without an answer: {lost}")
        if len(lost) > MAX_LOST:
            yield (f"{len(lost)} requests from kept connections were passed "
                   f"on and got no answer, at most {MAX_LOST} are allowed; "
                   f"processes that ended by themselves: {self.ended}")

    def record_lines(self, run):
        return [line for line in (harness.describe(run, event)
                                  for event in run.journal.events) if line]


if __name__ == "__main__":
    Case(FOLDER).exit()
