"""A server restarts under its id behind a cut from the store."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

# Shorter than the time after which the store removes the entry of a silent
# server (three heartbeat intervals, 2.61 s).
CUT_S = 1.6
DOWN_S = 0.4
# Two servers that hold the same keys for longer break the rule.
MAX_SHARED_S = 0.5
SAMPLE_S = 0.02


class Case(harness.Case):
    async def disrupt(self, run):
        await asyncio.sleep(4)
        server = next(s for s in run.servers if s.keyed)
        if self.trouble:
            # The cut begins right after a heartbeat, so that the entry stays.
            beat = run.store._last_heartbeats[server.id]
            while run.store._last_heartbeats[server.id] == beat:
                await asyncio.sleep(0.01)
            server.cut_from_store = True
            self.note(run, f"{server.id} is cut off from the store")
            await asyncio.sleep(0.2)
            await server.crash()
            await asyncio.sleep(DOWN_S)
            await server.start(same_id=True)
            await asyncio.sleep(CUT_S - 0.2 - DOWN_S)
            server.cut_from_store = False
            self.note(run, f"{server.id} reaches the store again")
        await asyncio.sleep(8)

    def _holds(self, run):
        """Yields (time, server, grants) at each change of what is held."""
        for event in run.journal.events:
            if event["what"] in ("grant", "release"):
                yield event["at"], event["server"], event["holds"]
            elif event["what"] == "ended":
                yield event["at"], event["server"], []

    def violations(self, run):
        changes = list(self._holds(run))
        holds = {}
        shared_since = {}
        reported = set()
        at, index = 0.0, 0
        while at < run.ended_at:
            at += SAMPLE_S
            while index < len(changes) and changes[index][0] <= at:
                holds[changes[index][1]] = changes[index][2]
                index += 1
            shared = self._shared(holds, at)
            for pair in list(shared_since):
                if pair not in shared:
                    del shared_since[pair]
            for pair, keys in shared.items():
                since = shared_since.setdefault(pair, at)
                if at - since > MAX_SHARED_S and pair not in reported:
                    reported.add(pair)
                    begins = collections.Counter(
                        e["server"].id for e in run.journal.events
                        if e["what"] == "begin" and e["key"] is not None
                        and e["server"] in pair and e["at"] >= since
                        and keys[0] <= e["key"] <= keys[1])
                    yield (f"{pair[0].id} and {pair[1].id} both hold keys "
                           f"{keys[0]}-{keys[1]} from {since:.2f} s on; "
                           f"requests begun on them since: {dict(begins)}")

    @staticmethod
    def _shared(holds, at):
        """Returns the first range that each pair of servers holds in common."""
        held = sorted(((first, last, server.number, server)
                       for server, grants in holds.items()
                       for first, last, _, end, _ in grants if end > at),
                      key=lambda item: item[:3])
        shared = {}
        for index, (first, last, _, server) in enumerate(held):
            for other_first, other_last, _, other in held[index + 1:]:
                if other_first > last:
                    break
                if other is not server:
                    pair = tuple(sorted((server, other),
                                        key=lambda item: item.number))
                    shared.setdefault(
                        pair, (other_first, min(last, other_last)))
        return shared

    def record_lines(self, run):
        return [line for line in (harness.describe(run, event)
                                  for event in run.journal.events) if line]


if __name__ == "__main__":
    Case(FOLDER).exit()
