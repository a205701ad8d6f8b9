"""A small mesh on loopback for the scripts of the second review.

It starts the daemon with the command and the variables of the deploy file, filled from
the settings of a small deployment, and the project's stand-in of the platform's store.
Clients and upstreams are stand-ins of their own, which run in the script's process.
"""

import asyncio
import contextlib
import itertools
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
PYTHON = ROOT / "target" / "python"
HOST = "shop.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BOUNDS = {
    "graceS": 6,
    "drainS": 2,
    "stableWindowS": 3,
    "configApplyS": 2,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 56,
}
LIMITS = {
    "memoryMb": 300,
    "maxFds": 4100,
    "linkMbps": 1000.0,
    "cpuShare": 0.86,
    "cores": 1,
}
# One entry of the deploy file stands in a section: the zones, joined by commas.
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}")
_FIELD = re.compile(r"\{\{([\w.]+)\}\}")


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played (``TROUBLE=0``: no)."""
    return os.environ.get("TROUBLE", "1") != "0"


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


# Below the ports that the system gives to outgoing connections, so that none of these
# takes one before the daemon listens there.
_ports = itertools.cycle(range(20_000, 32_000))


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on loopback, none of them twice."""
    free = (port for port in _ports if _is_free(port))
    return list(itertools.islice(free, count))


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path):
        self._file = open(folder / "record.txt", "w", buffering=1)
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        line = f"{self.now_s():8.3f} s  {text}"
        print(line, file=self._file)

    def say(self, text: str) -> None:
        """Write a line and print it too."""
        self.write(text)
        print(text)


def _lookup(settings: dict, name: str):
    value = settings
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def fill(template: str, settings: dict) -> str:
    """Fill a template of the deploy file, as far as this one uses them."""

    def section(match) -> str:
        value = _lookup(settings, match[1])
        if not value:
            return ""
        if isinstance(value, dict):
            return ",".join(value)
        return fill(match[2], settings)

    def field(match) -> str:
        value = _lookup(settings, match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _FIELD.sub(field, _SECTION.sub(section, template))


class Mesh:
    """The daemons, the store and the upstreams of one run."""

    def __init__(self, record: Record, zones: list[str], **settings):
        self.record = record
        self.zones = {zone: "vestland" for zone in zones}
        self.settings = settings
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-mesh-"))
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[str, dict] = {}
        self.running: dict[str, subprocess.Popen] = {}
        self.upstreams: list = []
        self.store_port = free_ports(1)[0]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = deploy["roles"]["node"]

    # Processes.

    def _spawn(self, arguments: list[str], env: dict[str, str], name: str):
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            **env,
        }
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        arguments = [str(PYTHON), "-m", "standins.platform_server"]
        arguments += ["--address", f"127.0.0.1:{self.store_port}"]
        self._spawn(arguments, {}, "store")
        wait_until(lambda: can_connect(self.store_port), 10, "the store listens")

    def store_call(self, method: str, path: str, body: bytes = b"") -> bytes:
        url = f"http://127.0.0.1:{self.store_port}{path}"
        request = urllib.request.Request(url, data=body, method=method)
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.read()

    def set_store(self, **knobs) -> None:
        self.store_call("PUT", "/knobs", json.dumps(knobs).encode())
        self.record.write(f"the store: {knobs}")

    def add_node(self, name: str, zone: str, service: str) -> dict:
        outbound, ready, control, internal, admin, app = free_ports(6)
        node = {
            "node": name,
            "region": "vestland",
            "zone": zone,
            "zones": self.zones,
            "service": service,
            "ip": "127.0.0.1",
            "listen": {
                "outbound": f"127.0.0.1:{outbound}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "internalPorts": {"0": internal},
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
            "bounds": {**BOUNDS, **self.settings.get("bounds", {})},
            "limits": {**LIMITS, **self.settings.get("limits", {})},
            "ports": {
                "outbound": outbound,
                "ready": ready,
                "control": control,
                "app": app,
                "admin": admin,
            },
        }
        self.nodes[name] = node
        return node

    def start_node(self, name: str) -> None:
        node = self.nodes[name]
        env = {
            key: fill(text, node).replace(
                "127.0.0.1:9464", f"127.0.0.1:{node['ports']['admin']}"
            )
            for key, text in self._role["env"].items()
        }
        arguments = [str(ROOT / self._role["run"].split()[0])]
        arguments += self._role["run"].split()[1:]
        self.running[name] = self._spawn(arguments, env, name)
        self.record.write(f"start {name} (process {self.running[name].pid})")

    def signal_node(self, name: str, number: int) -> None:
        process = self.running[name]
        process.send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")
        if number == signal.SIGKILL:
            process.wait()

    def is_ready(self, name: str) -> bool:
        url = f"http://127.0.0.1:{self.nodes[name]['ports']['ready']}/api/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    async def wait_ready(self, names=None, timeout_s: float = 20.0) -> None:
        for name in names or self.nodes:
            await wait_for(lambda: self.is_ready(name), timeout_s, f"{name} is ready")

    def configure(self, version: int, routes: list[dict], tenants=()) -> None:
        """Write a configuration as the operator does."""
        services = sorted({route["service"] for route in routes})
        resources = []
        for number, route in enumerate(routes):
            spec = {
                "host": HOST,
                "kind": "safe",
                "timeoutS": 1.5,
                "targetLatencyS": 0.6,
                "priority": 1,
                "maxAttempts": 2,
                **route,
            }
            metadata = {"name": f"r-{number}"}
            resources.append({"typeUrl": "routes", "metadata": metadata, "spec": spec})
        for name in services:
            spec = {"healthPath": "/health", "maxConnections": 110}
            spec |= {"protocol": "h1", "tls": False}
            resources.append(
                {"typeUrl": "services", "metadata": {"name": name}, "spec": spec}
            )
        for tenant in tenants:
            metadata = {"name": tenant["name"]}
            resources.append(
                {"typeUrl": "tenants", "metadata": metadata, "spec": tenant}
            )
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        resources.append({"typeUrl": "limits", "metadata": {}, "spec": limits})
        value = {"version": f"{version:08x}", "resources": resources}
        self.store_call("PUT", "/items/op/config", json.dumps(value).encode())
        self.record.write(f"configuration {version:08x} acknowledged")

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()

    def remove_folder(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self, folder: pathlib.Path) -> None:
        for path in self.folder.glob("*.log"):
            (folder / path.name).write_bytes(path.read_bytes())


def can_connect(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 0.5).close()
    except OSError:
        return False
    return True


def wait_until(condition, timeout_s: float, what: str) -> None:
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        time.sleep(0.05)


async def wait_for(condition, timeout_s: float, what: str) -> None:
    end_s = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > end_s:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        await asyncio.sleep(0.05)


# Messages of HTTP/1.1, as small stand-ins need them.


class Head:
    """Start line and headers of a message; header names in lower case."""

    def __init__(self, raw: bytes):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.headers: dict[str, str] = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        return self.headers.get(name, default)


async def read_head(reader) -> Head | None:
    """Read a head; None where the connection ends before it."""
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader, head: Head) -> bytes:
    """Read a body with a length or in chunks; raises where it ends early."""
    if "chunked" in head.get("transfer-encoding"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


class Answer:
    """What a client got: a status, or None where the connection ended without one."""

    def __init__(self, status=None, head=None, body=b"", is_whole=False, took_s=0.0):
        self.status, self.head, self.body = status, head, body
        self.is_whole, self.took_s = is_whole, took_s

    def __str__(self) -> str:
        if self.status is None:
            return f"no answer, connection ended after {self.took_s:.3f} s"
        stamp = self.head.get("x-server-stamp", "none")
        whole = "whole" if self.is_whole else "cut short"
        return f"{self.status}, stamp {stamp}, body {whole}, after {self.took_s:.3f} s"


class Client:
    """One kept connection of a client to a node."""

    def __init__(self, port: int):
        self._port = port
        self._streams = None

    async def request(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and wait for its answer, half a second past its deadline."""
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                answer = await self._exchange(
                    method, path, request_id, body, deadline_ms, headers or {}
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answer = Answer()
        answer.took_s = time.monotonic() - started_s
        if answer.status is None or not answer.is_whole:
            await self.close()
        elif answer.head.get("connection").lower() == "close":
            await self.close()
        return answer

    async def _exchange(
        self, method, path, request_id, body, deadline_ms, headers
    ) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + (body or b""))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer()
        status = int(head.start[1])
        if method == "HEAD":
            return Answer(status, head, b"", True)
        try:
            return Answer(status, head, await read_body(reader, head), True)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(status, head)

    async def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            with contextlib.suppress(OSError):
                await self._streams[1].wait_closed()
            self._streams = None


class Upstream:
    """A sound upstream: runs requests in slots, sheds what is beyond, heartbeats.

    Args:
        mesh: the mesh.
        node: the settings of the machine that it runs on.
        server_id: its id.
        work_s: how long a run takes.
    """

    HEARTBEAT_S = 1.5

    def __init__(self, mesh: Mesh, node: dict, server_id: str, work_s=0.02, slots=9):
        self.mesh, self.node, self.server_id = mesh, node, server_id
        self.work_s, self.slots = work_s, slots
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        self.state = "ready"
        self.is_beating = True
        self.port = node["ports"]["app"]
        self._tasks: list[asyncio.Task] = []
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        self._tasks.append(asyncio.create_task(self._beat_forever()))
        self.mesh.upstreams.append(self)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if not await self.handle(head, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def handle(self, head: Head, reader, writer) -> bool:
        """Serve one request; return whether the connection is kept."""
        body = await read_body(reader, head)
        expected = head.get("x-expect-instance")
        if expected and expected != self.server_id:
            extra = {"X-Instance-Id": self.server_id}
            await self.send(writer, head, 421, b"", extra, is_stamped=False)
            return True
        if self.running >= self.slots:
            extra = {"X-Not-Run": "1"}
            await self.send(writer, head, 503, b"", extra, is_stamped=False)
            return True
        return await self.run(head, body, writer)

    def note_run(self, head: Head) -> None:
        request_id = head.get("x-request-id")
        self.runs.append((self.mesh.record.now_s(), request_id))
        self.mesh.record.write(
            f"{self.server_id} runs {request_id}: {head.start[0]} {head.start[1]}"
        )

    async def run(self, head: Head, body: bytes, writer) -> bool:
        self.note_run(head)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        await self.send(writer, head, 200, self.body_of(head))
        return True

    def body_of(self, head: Head) -> bytes:
        return f"{self.server_id} for {head.get('x-request-id')}\n".encode()

    def stamp_of(self, head: Head) -> str:
        return f"{self.server_id}.{head.get('x-request-id')}"

    async def send(
        self, writer, head: Head, status: int, body: bytes, extra=None, is_stamped=True
    ) -> None:
        fields = {"X-Request-Id": head.get("x-request-id")}
        if is_stamped:
            fields["X-Server-Stamp"] = self.stamp_of(head)
        fields["X-Server-Load"] = f"{self.running},0,{self.slots}"
        fields |= extra or {}
        fields["Content-Length"] = str(len(body))
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        data = "\r\n".join([*lines, "", ""]).encode()
        if head.start[0] != "HEAD":
            data += body
        writer.write(data)
        await writer.drain()

    def next_beat(self, state: str | None = None) -> bytes:
        self.seq += 1
        return json.dumps(
            {
                "service": self.node["service"],
                "address": f"127.0.0.1:{self.port}",
                "zone": self.node["zone"],
                "version": "v1",
                "slots": self.slots,
                "state": state or self.state,
                "coldRemainingS": 0,
                "seq": self.seq,
                "born": self.born_ms,
            }
        ).encode()

    async def report(self, method: str, body: bytes = b"") -> int | None:
        """Call the node's control address; return the status of its answer, if any."""
        port = self.node["ports"]["control"]
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                lines = [
                    f"{method} /api/instances/{self.server_id} HTTP/1.1",
                    f"Host: 127.0.0.1:{port}",
                    "Content-Type: application/json",
                    f"Content-Length: {len(body)}",
                    "Connection: close",
                ]
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()
                head = await read_head(reader)
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        return None if head is None else int(head.start[1])

    async def _beat_forever(self) -> None:
        while True:
            if self.is_beating:
                await self.report("PUT", self.next_beat())
            await asyncio.sleep(self.HEARTBEAT_S)


def run_case(play, folder: pathlib.Path, zones: list[str], **settings) -> None:
    """Play a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    Args:
        play: coroutine function of the mesh; returns whether the rule was broken.
    """
    for _ in range(random.SystemRandom().randrange(12_000)):
        next(_ports)
    random.seed(int(os.environ.get("SEED", "1")))
    # Connections that the other end has closed are noted in the record.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder)
    mesh = Mesh(record, zones, **settings)
    # Whoever ends the script early ends what it has started as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            mesh.start_store()
            return await play(mesh)

    try:
        is_broken = asyncio.run(bounded())
        code = EXIT_BROKEN if is_broken else EXIT_HELD
        record.say("the rule was broken" if is_broken else "the rule held")
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    finally:
        mesh.close()
        if os.environ.get("KEEP_LOGS"):
            mesh.keep_logs(pathlib.Path(os.environ["KEEP_LOGS"]))
        mesh.remove_folder()
    sys.stdout.flush()
    os._exit(code)
