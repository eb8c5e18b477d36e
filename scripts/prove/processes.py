"""The processes of one proof: platform, instances, backend servers.

    with Deployment(folder, instances=6) as deployment:
        deployment.start()
        deployment.instances[0].kill()

All processes are killed at the end of the block, also on failure.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARIES = ROOT / "build" / "dev"
EXAMPLE = ROOT / "examples" / "golvkarta"
DOMAINS = ["se-mitt-a", "se-mitt-b", "se-mitt-c"]
PLATFORM = "127.0.60.1:7400"
# Replacements of the addresses of the example, so that a proof and a demo can
# run at the same time.
ADDRESS_PREFIXES = {"127.0.11.": "127.0.62.", "127.0.12.": "127.0.63.",
                    "127.0.13.": "127.0.64.", "127.0.14.": "127.0.65."}
# Long enough for a machine that is loaded by builds.
START_TIMEOUT_S = 60.0


class Failure(Exception):
    """A failed proof; the message names what was seen and expected."""


def wait_for(condition, limit, what):
    """Returns the first true value of `condition`.

    Raises Failure after `limit` seconds.
    """
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise Failure(f"{what}: not seen within {limit:.1f} s")
        time.sleep(0.05)


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Sends one HTTP request. Returns status, headers and body, or None if
    there was no complete answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}",
             "Connection: close", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    try:
        with socket.create_connection((host, int(port)), timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            received = b""
            while chunk := connection.recv(65536):
                received += chunk
    except OSError:
        return None
    head, separator, response_body = received.partition(b"\r\n\r\n")
    if not separator:
        return None
    status_line, *fields = head.decode().split("\r\n")
    response_headers = dict(
        field.split(": ", 1) for field in fields if ": " in field)
    return int(status_line.split()[1]), response_headers, response_body


def call_json(address, method, path, body=None, timeout=5.0):
    answer = call(address, method, path, body, timeout=timeout)
    if answer is None or answer[0] != 200:
        return None
    return json.loads(answer[2])


class History:
    """A file of events in the format of `history_event`."""

    def __init__(self, path):
        self.path = path
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, what, invoke, returned=None, **fields):
        event = {"who": "proof", "what": what, "invoke": invoke}
        if returned is not None:
            event["return"] = returned
        event.update({k: v for k, v in fields.items() if v is not None})
        with self._lock:
            self._file.write(json.dumps(event) + "\n")
            self._file.flush()


class Process:
    """A child process with its output in a log file."""

    def __init__(self, command, log):
        with open(log, "ab") as output:
            self._popen = subprocess.Popen(
                [str(word) for word in command], stdin=subprocess.DEVNULL,
                stdout=output, stderr=output, cwd=ROOT)

    def signal(self, number):
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def exit_code(self):
        return self._popen.poll()

    def kill_and_wait(self):
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()


class Instance:
    """One instance, which can be restarted under the same name."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"se-mitt-{number}"
        self.domain = DOMAINS[(number - 1) % len(DOMAINS)]
        host = f"127.0.61.{number}"
        self.caller_address = f"{host}:8080"
        self.operator_address = f"{host}:8082"
        settings = json.loads((EXAMPLE / "instance.json").read_text())
        settings.update(instance=self.name, failure_domain=self.domain,
                        platform=PLATFORM)
        settings["listen"] = {"callers": self.caller_address,
                              "peers": f"{host}:8081",
                              "operators": self.operator_address}
        self._settings = deployment.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self.process = None
        self.start_count = 0

    def start(self):
        self.start_count += 1
        self.process = Process(
            [BINARIES / "filberthub", "serve", "--settings", self._settings],
            self.deployment.folder / f"{self.name}.log")

    @property
    def process_name(self):
        return f"{self.name}#{self.start_count}"

    def running(self):
        return self.process is not None and self.process.exit_code() is None

    def ready(self):
        answer = call(self.operator_address, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200

    def status(self):
        return call_json(self.operator_address, "GET", "/v1/status",
                         timeout=1.0)

    def kill(self):
        self.process.signal(signal.SIGKILL)

    def run_operator_command(self, *arguments, **options):
        """Runs `filberthub` with an operator command on this instance."""
        return self.deployment.command(
            *arguments, "--operator", self.operator_address, **options)


class Deployment:
    """The platform, backend servers and instances in three failure domains.

    `isolated` names backend servers that run in a process of their own, so that
    each can be killed. `service_ms` gives the service time by service, in
    milliseconds."""

    def __init__(self, folder, instances=6, isolated=(), service_ms=None):
        self.folder = pathlib.Path(folder)
        self.history = History(self.folder / "proof.jsonl")
        self.instances = [Instance(self, n + 1) for n in range(instances)]
        self.isolated = set(isolated)
        # By id, in the format of the server list of `backend_standin`.
        self.servers = {}
        self.backends = {}
        self.platform = None
        self._service_ms = service_ms or {}
        self._sections = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in ([i.process for i in self.instances if i.process]
                        + list(self.backends.values())
                        + ([self.platform] if self.platform else [])):
            process.signal(signal.SIGCONT)
            process.kill_and_wait()

    def start(self):
        self.platform = Process(
            [BINARIES / "platform_standin", "--listen", PLATFORM],
            self.folder / "platform.log")
        self._write_sections()
        self._start_backends()
        wait_for(lambda: self.platform_call("GET", "/v1/calls"),
                 START_TIMEOUT_S, "the platform answers")
        published = self.command("policy", "publish", *self._sections,
                                 "--platform", PLATFORM)
        if published.returncode != 0:
            raise Failure(f"publishing failed: {published.stdout}")
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            wait_for(instance.ready, START_TIMEOUT_S,
                     f"{instance.name} is ready")
        wait_for(self.is_settled, START_TIMEOUT_S, "each server has a holder")

    def is_settled(self):
        """Returns whether all running instances are ready members of one fleet
        version and together hold all servers."""
        held = set()
        versions = set()
        running = [i for i in self.instances if i.running()]
        for instance in running:
            status = instance.status()
            if status is None or not status["lease_held"]:
                return False
            members = {m["instance"] for m in status["members"] if m["ready"]}
            if not members.issuperset(i.name for i in running):
                return False
            versions.add(status["fleet_version"])
            held.update(held_server["server"] for held_server in status["held"])
        return len(versions) == 1 and held.issuperset(self.servers)

    def holder_of(self, server):
        """Returns the running instance that holds a server, or None."""
        for instance in self.instances:
            status = instance.status() if instance.running() else None
            if status and server in {s["server"] for s in status["held"]}:
                return instance
        return None

    def command(self, *arguments, limit=60.0):
        return subprocess.run(
            [str(BINARIES / "filberthub"), *[str(word) for word in arguments]],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=limit, check=False, cwd=ROOT)

    def platform_call(self, method, path, body=None):
        return call_json(PLATFORM, method, path, body)

    def control_platform(self, **settings):
        if self.platform_call("POST", "/v1/control", settings) is None:
            raise Failure(f"the platform did not accept {settings}")

    def control_server(self, server, **settings):
        address = self.servers[server]["listen"]
        if call_json(address, "POST", "/_control", settings) is None:
            raise Failure(f"{server} did not accept {settings}")

    def server_counters(self, server):
        return call_json(self.servers[server]["listen"], "GET", "/_control")

    def kill_backend(self, name):
        """Kills the process of a failure domain or of an isolated server."""
        self.backends[name].signal(signal.SIGKILL)

    def histories(self):
        return sorted(self.folder.glob("*.jsonl"))

    def _write_sections(self):
        for source in sorted((EXAMPLE / "sections").glob("*.json")):
            text = source.read_text()
            for old, new in ADDRESS_PREFIXES.items():
                text = text.replace(old, new)
            path = self.folder / source.name
            path.write_text(text)
            # The section with the failure domains is published first, because
            # the other sections refer to them.
            self._sections.insert(
                0 if source.name == "fleet.json" else len(self._sections), path)
            for name, service in json.loads(text).get("services", {}).items():
                for server in service["backend_servers"]:
                    self.servers[server["id"]] = {
                        "id": server["id"], "listen": server["address"],
                        "service": name, "domain": server["failure_domain"],
                        "slots": service["slots"],
                        "service_ms": self._service_ms.get(name, 2.0),
                        "idempotent": service["idempotent"],
                        "checks_tokens": service["verifies_tokens"]}

    def _start_backends(self):
        groups = {}
        for server in self.servers.values():
            name = server["id"] if server["id"] in self.isolated \
                else server["domain"]
            groups.setdefault(name, []).append(server)
        for name in groups:
            (self.folder / f"servers-{name}.list").write_text(
                json.dumps(groups[name]))
            self.start_backend(name)

    def start_backend(self, name):
        self.backends[name] = Process(
            [BINARIES / "backend_standin",
             "--servers", self.folder / f"servers-{name}.list",
             "--history", self.folder / f"backend-{name}.jsonl"],
            self.folder / f"backend-{name}.log")
