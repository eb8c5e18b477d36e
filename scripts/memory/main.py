"""Checks the bounds of memory and descriptors of `filberthub route`.

Each case starts one routing process with lowered limits against the stand-ins
of scripts/soak, lets a few clients hold as much as they can, and checks that
the process is alive, that its peak resident size and its open descriptors
stayed within their bounds, and that an ordinary request is answered
afterwards. It checks no times and no share of served requests.
"""

import argparse
import asyncio
import json
import os
import pathlib
import re
import resource
import shutil
import sys
import tempfile
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

import callers  # noqa: E402
import clients  # noqa: E402
import deployment  # noqa: E402
import http1  # noqa: E402
import servers  # noqa: E402

CASE_TIMEOUT_S = 100.0
# How long the clients keep what they hold.
HOLD_S = 3.0
# The clients of a case come again: a process that does not release what it
# held exceeds its bound in a later round.
ROUNDS = 2
# Together less than CASE_TIMEOUT_S.
ORDINARY_TRIES = 10
ORDINARY_TIMEOUT_S = 2.0
UPLOAD_TIMEOUT_S = 15.0
MIB = 1024 * 1024
MEMORY_MIB = 64
MAX_BODY_BYTES = 4_000_000
# An instance of the deployments with the least memory, and the platform's limit
# of a body.
SMALL_INSTANCE_MIB = 112
PLATFORM_MAX_BODY_BYTES = 67_108_864
DESCRIPTORS = 512
# Kept free for files.
RESERVED_DESCRIPTORS = 200


class Server(servers.Server):
    """Responds with N bytes to a target that contains respond-N."""

    def _encode_result(self, request, request_id):
        wanted = re.search(r"/respond-(\d+)", request.target)
        if not wanted:
            return super()._encode_result(request, request_id)
        return http1.encode_answer(
            200, {**self._headers(request), "X-Filberthub-Server-Signature":
                  f"{self.id}.{request_id}"}, b"y" * int(wanted[1]))


class Deployment(deployment.Run):
    """One router and a few servers, without callers."""

    def __init__(self, folder, case):
        super().__init__("memory", folder, routers=1)
        self.case = case
        self.router = self.routers[0]
        settings = json.loads(self.router.settings.read_text())
        settings["memory_megabytes"] = case.memory_mib
        self.router.settings.write_text(json.dumps(settings))

    def configure(self):
        self.store.put("config", "main", {
            "Version": "00000001",
            "Routes": [{
                "Name": kind.name, "Hostname": callers.HOST,
                "PathPrefix": f"/{kind.name}/", "Service": kind.service,
                "RouteType": "safe" if kind.repeatable else "unsafe",
                "MaxAttempts": 2, "TimeoutMs": 20_000,
                "TargetLatencyMs": 2_000, "Priority": 1}
                for kind in callers.REQUEST_KINDS if not kind.keyed],
            "Services": [{
                "Name": name, "HealthPath": "/healthz", "MaxConnections": 200,
                "WarmupS": servers.COLD_DURATION_S,
                "WarmupPerS": servers.COLD_REQUESTS_PER_S, "Sharded": keyed,
                "WarmS": 0}
                for name, (_, keyed, _) in deployment.SERVICES.items()],
            "Limits": {"MaxHeaderBytes": 16384,
                       "MaxBodyBytes": self.case.max_body_bytes,
                       "HeaderTimeoutMs": 30_000, "IdleTimeoutMs": 60_000}})

    async def start(self):
        await self.router.listen()
        for service, (count, keyed, work_s) in deployment.SERVICES.items():
            for _ in range(count):
                await self.add_server(service, keyed, work_s, cold=False)
        self.configure()
        self.router.start()
        self._tasks = [asyncio.create_task(self._expire_entries())]
        if self.case.descriptors:
            limit = (self.case.descriptors, self.case.descriptors)
            resource.prlimit(
                self.router.process.pid, resource.RLIMIT_NOFILE, limit)
        self.callers = callers.Callers(self, 0)
        await self.wait(lambda: self.router.failed_probes == 0
                        and self.router.running(), "the router is ready")

    def peak_mib(self):
        status = pathlib.Path(
            f"/proc/{self.router.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.router.process.pid}/fd"))


async def request_once(address, method, target, body=b"",
                       timeout_s=ORDINARY_TIMEOUT_S):
    """Returns the status, or None if there was no response."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(http1.encode_request(
                method, target, {
                    "Host": callers.HOST,
                    "X-Filberthub-Request-Id": target.rsplit("/", 1)[1],
                    "X-Filberthub-Deadline-Ms": 10_000}, body))
            await writer.drain()
            answer = await http1.read_message(reader)
            writer.close()
            return answer.status if answer else None
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def ordinary_request_is_answered(address):
    """One caller, which tries again as the users' callers do."""
    for number in range(ORDINARY_TRIES):
        if await request_once(
                address, "GET", f"/rescue-read/ordinary-{number}") == 200:
            return True
        await asyncio.sleep(0.25)
    return False


class Case:
    """`attack` opens the connections of one round and returns them."""

    memory_mib = MEMORY_MIB
    max_body_bytes = MAX_BODY_BYTES
    descriptors = 0

    def __init__(self, name, attack):
        self.name = name
        self.attack = attack
        self.failures = []

    def check(self, condition, text):
        if not condition:
            self.failures.append(text)

    async def play(self, run):
        address = run.router.caller_address
        most_descriptors = 0
        for _ in range(ROUNDS):
            connections = await self.attack(address)
            await asyncio.sleep(HOLD_S)
            if not run.router.running():
                break
            most_descriptors = max(most_descriptors, run.open_descriptors())
            self.check(await ordinary_request_is_answered(address),
                       "no ordinary request is answered beside the clients")
            clients.close_all(connections)
            self.check(await ordinary_request_is_answered(address),
                       "no ordinary request is answered afterwards")
        self.check(run.router.running(), "the process has ended")
        if not run.router.running():
            return
        peak = run.peak_mib()
        print(f"{self.name}: at most {peak:.0f} MiB of {self.memory_mib}, "
              f"{most_descriptors} descriptors", flush=True)
        self.check(peak <= self.memory_mib,
                   f"{peak:.0f} MiB, at most {self.memory_mib} are allowed")
        if self.descriptors:
            allowed = self.descriptors - RESERVED_DESCRIPTORS
            self.check(most_descriptors <= allowed,
                       f"{most_descriptors} descriptors are open, at most "
                       f"{allowed} are allowed")


class SilentConnections(Case):
    descriptors = DESCRIPTORS


class SmallInstance(Case):
    memory_mib = SMALL_INSTANCE_MIB
    max_body_bytes = PLATFORM_MAX_BODY_BYTES

    async def play(self, run):
        await super().play(run)
        if self.failures:
            return
        self.check(await request_once(
            run.router.caller_address, "POST", "/scan-upload/large",
            b"x" * (60 * MIB), UPLOAD_TIMEOUT_S) == 200, "an upload of 60 MiB is not answered")
        peak = run.peak_mib()
        print(f"{self.name}: at most {peak:.0f} MiB with the upload")
        self.check(peak <= self.memory_mib,
                   f"{peak:.0f} MiB, at most {self.memory_mib} are allowed")


async def slow_readers(address):
    connections = await clients.slow_readers(address, 48, 2_000_000)
    await clients.read_slowly(connections, HOLD_S)
    return connections


async def no_clients(_address):
    return []


CASES = [
    Case("whole-bodies", lambda address: clients.whole_bodies(
        address, 40, MAX_BODY_BYTES)),
    Case("short-bodies", lambda address: clients.short_bodies(
        address, 40, MAX_BODY_BYTES)),
    Case("bodies-in-pieces", lambda address: clients.bodies_in_pieces(
        address, 40, MAX_BODY_BYTES, 65_536)),
    Case("unread-responses", lambda address: clients.unread_responses(
        address, 8, 32, 2_000_000)),
    Case("slow-readers", slow_readers),
    SilentConnections("silent-connections",
                      lambda address: clients.silent_connections(address, 700)),
    SmallInstance("large-upload", no_clients),
]


async def run_case(case, folder):
    run = Deployment(folder, case)
    try:
        await run.start()
        await case.play(run)
    finally:
        await run.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("cases", nargs="*", help="all of them if absent")
    chosen = parser.parse_args().cases
    unknown = set(chosen) - {case.name for case in CASES}
    if unknown:
        sys.exit(f"unknown cases: {sorted(unknown)}")
    servers.Server = Server
    failed = []
    for case in CASES:
        if chosen and case.name not in chosen:
            continue
        folder = tempfile.mkdtemp(prefix="filberthub-memory-")
        try:
            asyncio.run(asyncio.wait_for(
                run_case(case, folder), CASE_TIMEOUT_S))
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            case.failures.append("the case could not be played to its end")
        for text in case.failures:
            print(f"{case.name}: {text}", flush=True)
        if case.failures:
            failed.append(case.name)
            print(f"{case.name}: logs are in {folder}", flush=True)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print("failed: " + ", ".join(failed) if failed else "all bounds held",
          flush=True)
    # Does not wait for connections of the stand-ins that are still open.
    os._exit(1 if failed else 0)


if __name__ == "__main__":
    main()
