"""What the scripts of this review share: a small deployment of the program that
the deploy file builds, on the stand-ins of `scripts/soak`.

Nothing here sends requests by itself. Each script plays one case, writes what it
saw with `Case.note` and ends with `Case.finish`.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "scripts" / "soak"))

import deployment  # noqa: E402
import http1  # noqa: E402

PROGRAM = ROOT / "target" / "filberthub"
# The figures of the first site file.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
          "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
          "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000,
          "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetryAllowance": 135,
          "WarmupFactor": 1.5, "WarmupTolerance": 5, "EvacuateMs": 5000,
          "RecoverS": 15, "HoldMaxMs": 10000, "ThawMs": 300}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class Router(deployment.Router):
    """A routing process with the settings that the template yields."""

    def __init__(self, run, number):
        super().__init__(run, number)
        self.write_settings(first_start=True)

    def write_settings(self, first_start):
        self.settings.write_text(json.dumps({
            "instance": self.name,
            "failure_domain": deployment.ZONES[self.number % 3],
            "first_start": first_start, "callers": f"{self.host}:8080",
            "readiness": f"{self.host}:8081", "address": self.host,
            "peer_port": 8082, "operator_port": 8083,
            "store": f"{self.host}:8084", "processor_share": 0.14,
            "memory_megabytes": 182, "descriptors": 2870,
            "server_heartbeat_ms": 870, "bounds": BOUNDS,
            "log": {"output": "stdout", "level": "info"}}))

    def start(self):
        if self.running():
            return
        self.write_settings(first_start=self.start_count == 0)
        super().start()


class Deployment(deployment.Run):
    """The deployment of the soak, without its callers and faults."""

    def __init__(self, folder, routers=3, services=None):
        self._services = services or deployment.SERVICES
        deployment.BINARY = PROGRAM
        deployment.Router = Router
        super().__init__(1, folder, routers=routers)
        self.program = PROGRAM

    async def start(self):
        for router in self.routers:
            await router.listen()
        for service, (count, keyed, service_time_s) in self._services.items():
            for _ in range(count):
                await self.add_server(service, keyed, service_time_s,
                                      cold=False)
        self.configure()
        for router in self.routers:
            router.start()
        self._tasks = [asyncio.create_task(self._expire_entries())]
        await self.wait(lambda: all(server.grants for server in self.servers
                                    if server.keyed),
                        "each server of a keyed service has keys")
        for router in self.routers:
            await self.wait_ready(router)

    async def wait_ready(self, router):
        end = self.now() + deployment.START_TIMEOUT_S
        while self.now() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    *router.readiness_address)
                writer.write(http1.encode_request(
                    "GET", "/-/readyz", {"Host": "x"}))
                answer = await asyncio.wait_for(
                    http1.read_message(reader), 1.0)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except (OSError, ValueError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{router.name} did not become ready")


class Case:
    """The record and the result of one script."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.lines = [f"TROUBLE={int(TROUBLE)}"]
        self.broken = []
        self.run = None

    def note(self, text):
        at = f"{self.run.now():8.3f} s  " if self.run is not None else ""
        self.lines.append(at + text)

    def fail(self, text):
        self.broken.append(text)
        self.note("BROKEN: " + text)

    def write(self, result):
        words = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
        self.lines.append(f"result: {words[result]}")
        self.path.write_text("\n".join(self.lines) + "\n")
        print(f"{words[result]}: {len(self.broken)} violations")
        for text in self.broken[:5]:
            print("  " + text)
        return result


def play(folder, scenario, **options):
    """Runs `scenario(run, case)` on a new deployment; returns the exit code."""
    case = Case(folder)
    if not PROGRAM.exists():
        case.note(f"{PROGRAM.relative_to(ROOT)} is not built")
        return case.write(COULD_NOT_RUN)

    async def main():
        with tempfile.TemporaryDirectory(prefix="filberthub-review-") as place:
            run = Deployment(place, **options)
            case.run = run
            try:
                await run.start()
                await scenario(run, case)
            finally:
                await run.stop()
                for router in run.routers:
                    log = run.folder / f"{router.name}.log"
                    if os.environ.get("KEEP_LOGS") and log.exists():
                        pathlib.Path(os.environ["KEEP_LOGS"]).mkdir(
                            parents=True, exist_ok=True)
                        (pathlib.Path(os.environ["KEEP_LOGS"]) /
                         log.name).write_bytes(log.read_bytes())

    try:
        asyncio.run(asyncio.wait_for(main(), LIMIT_S))
    except Exception as failure:  # pylint: disable=broad-except
        # A fault of the stand-ins is no verdict on the rule.
        case.note(f"{type(failure).__name__}: {failure}")
        return case.write(COULD_NOT_RUN)
    return case.write(BROKEN if case.broken else HELD)


__all__ = ["Case", "Deployment", "Router", "play", "TROUBLE", "BOUNDS",
           "deployment", "http1", "signal"]
