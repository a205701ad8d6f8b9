"""A small deployment on loopback for the review's scripts.

The daemons are separate processes, started with the command and the variables of
``deploy/system.toml``. The platform's store is the project's own stand-in. Upstreams
and clients are small stand-ins in this module, since the cases need control over single
heartbeats and answers; upstreams follow PROTOCOL.md and run in threads of the script.

Each machine has a loopback address of its own, so all of them use the same ports as in
a real deployment. Only the standard library is used.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
PYTHON = str(REPOSITORY / "target" / "python")
HOST = "shop.example"
REGION = "vestland"
# Bounds of sites/museumsbutikk.toml.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6
BUDGET_SLACK = 56
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 40.0
# Enough for the first segment to be read before the second one arrives.
SEGMENT_GAP_S = 0.02
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The file ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, path: Path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, what: str, **fields) -> None:
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now_s():8.3f} {what} {text}".rstrip() + "\n")
                self._file.flush()

    def close(self) -> None:
        with self._lock:
            self._file.close()


class Answer:
    """A complete answer, or the way in which a call ended without one."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> Answer:
    """Make one call on a new connection; status 0 if it ends without an answer."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, response.read())
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, b"", repr(error))
    finally:
        connection.close()


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback addresses, below the ephemeral ones.

    Any start in this range will do, so the process id spreads scripts that run at once.
    """
    ports: list[int] = []
    candidate = 12_000 + (os.getpid() * 37) % 15_000
    while len(ports) < count:
        candidate += 1
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("0.0.0.0", candidate))
        except OSError:
            continue
        ports.append(candidate)
    return ports


class Process:
    """A process of the project that the script has started."""

    def __init__(self, arguments: list[str], environment: dict, log_path: Path):
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self._popen = subprocess.Popen(
                [PYTHON, *arguments],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        return self._popen.poll() is None

    def signal(self, number: int) -> None:
        self._popen.send_signal(number)

    def wait(self) -> None:
        """Wait until the process has ended."""
        self._popen.wait()

    def kill(self) -> None:
        """End the process with SIGKILL and wait for it."""
        if self.is_running:
            self._popen.kill()
        self._popen.wait()

    def log_text(self) -> str:
        return self.log_path.read_text(encoding="utf-8", errors="replace")


def environment() -> dict[str, str]:
    """Return what a process gets of the script's variables, and Python's path."""
    passed = ("PATH", "HOME", "LANG")
    variables = {name: os.environ[name] for name in passed if name in os.environ}
    variables["PYTHONPATH"] = "target/deps"
    variables["PYTHONDONTWRITEBYTECODE"] = "1"
    return variables


class Machine:
    """One ``sidecar`` machine: addresses, and the daemon that runs on it."""

    def __init__(self, mesh: "Mesh", number: int, name: str, zone: str, service: str):
        self._mesh = mesh
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = f"127.0.7.{number}"
        outbound, ready, control, link, admin, app = mesh.machine_ports
        self.outbound = f"{self.ip}:{outbound}"
        self.ready = f"{self.ip}:{ready}"
        self.control = f"{self.ip}:{control}"
        self.link = f"{self.ip}:{link}"
        self.admin = f"{self.ip}:{admin}"
        self.app = f"{self.ip}:{app}"
        self.daemon: Process | None = None

    def start_daemon(self) -> None:
        """Start the daemon as the deploy file does."""
        variables = environment() | {
            "GUAVAGAP_DEPLOYMENT": "operator",
            "GUAVAGAP_NODE_ID": self.name,
            "GUAVAGAP_REGION": REGION,
            "GUAVAGAP_FAILURE_DOMAIN": self.zone,
            "GUAVAGAP_SERVICE": self.service,
            "GUAVAGAP_CALLER_ADDRESS": self.outbound,
            "GUAVAGAP_READY_ADDRESS": self.ready,
            "GUAVAGAP_REPORT_ADDRESS": self.control,
            "GUAVAGAP_LINK_ADDRESS": self.link,
            "GUAVAGAP_MESH_ADDRESS": self.link,
            "GUAVAGAP_ADMIN_ADDRESS": self.admin,
            "GUAVAGAP_PLATFORM_URL": f"http://{self._mesh.store_address}",
            "GUAVAGAP_DRAIN_TIMEOUT_S": str(GRACE_S),
            "GUAVAGAP_RETRY_BUDGET_RATIO": "0.2",
            "GUAVAGAP_RETRY_BUDGET_SLACK": str(BUDGET_SLACK),
        }
        self.daemon = self._mesh.spawn(
            ["-m", "guavagap.daemon"], variables, f"{self.name}.log"
        )
        self._mesh.record.write("daemon started", machine=self.name)

    def kill_daemon(self) -> None:
        self.daemon.kill()
        self._mesh.record.write("daemon killed", machine=self.name)

    def start_upstream(self, server_id: str) -> "Upstream":
        """Start an upstream in this process, which sends heartbeats."""
        upstream = Upstream(
            self._mesh.record, self.app, self.control, server_id, self.service
        )
        upstream.start_reporting()
        return upstream

    def is_ready(self) -> bool:
        return call(self.ready, "GET", "/api/ready", timeout_s=1.0).status == 200

    def request(
        self,
        request_id: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        **headers: str,
    ) -> Answer:
        """Send a request as a client of this machine, and record it."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        fields |= {name.replace("_", "-"): text for name, text in headers.items()}
        self._mesh.record.write(
            "sent", request=request_id, machine=self.name, method=method, path=path
        )
        answer = call(
            self.outbound, method, path, body, fields, deadline_ms / 1000 + 1.0
        )
        self._mesh.record.write(
            "answered",
            request=request_id,
            status=answer.status,
            stamp=answer.headers.get("x-server-stamp", "-"),
            error=answer.error or "-",
        )
        return answer

    def request_raw(self, request_id: str, segments: list[bytes]) -> int:
        """Send a request in segments, a moment apart; return the answer's status."""
        self._mesh.record.write(
            "sent",
            request=request_id,
            machine=self.name,
            segments=",".join(str(len(segment)) for segment in segments),
        )
        ip, _, port = self.outbound.rpartition(":")
        status = 0
        with socket.create_connection((ip, int(port)), 3.0) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                for segment in segments:
                    sock.sendall(segment)
                    time.sleep(SEGMENT_GAP_S)
                response = http.client.HTTPResponse(sock)
                response.begin()
                response.read()
                status = response.status
            except (OSError, http.client.HTTPException):
                # No answer; recorded as status 0.
                pass
        self._mesh.record.write("answered", request=request_id, status=status)
        return status


class Mesh:
    """The store and the machines; ends all processes when it is closed."""

    def __init__(self, record_path: Path):
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory(prefix="guavagap-review-")
        self.log_folder = Path(self._temporary.name)
        self._processes: list[Process] = []
        self._spawn_lock = threading.Lock()
        self.is_closing = False
        ports = free_ports(7)
        self.store_address = f"127.0.7.250:{ports[0]}"
        self.machine_ports = ports[1:]
        self.machines: dict[str, Machine] = {}

    def __enter__(self) -> "Mesh":
        return self

    def __exit__(self, *_) -> None:
        with self._spawn_lock:
            self.is_closing = True
        for process in self._processes:
            process.kill()
        self.record.close()
        self._temporary.cleanup()

    def spawn(self, arguments: list[str], variables: dict, log_name: str) -> Process:
        """Start a process, which ends with the mesh at the latest."""
        with self._spawn_lock:
            if self.is_closing:
                raise CannotRun("the mesh is closed")
            process = Process(arguments, variables, self.log_folder / log_name)
            self._processes.append(process)
        return process

    def start_store(self) -> None:
        arguments = ["-m", "standins.platform_server", "--address", self.store_address]
        self.spawn(arguments, environment(), "store.log")
        self.wait(
            lambda: call(self.store_address, "GET", "/counts").status == 200,
            "the store answers",
        )

    def write_item(self, key: str, value: dict) -> None:
        """Write a key of the operator."""
        body = json.dumps(value).encode()
        answer = call(self.store_address, "PUT", f"/items/{key}", body)
        if answer.status != 204:
            raise CannotRun(f"the store refused {key}: {answer.status}")
        self.record.write("operator wrote", key=key)

    def read_item(self, key: str) -> bytes:
        answer = call(self.store_address, "GET", f"/items/{key}")
        return answer.body if answer.status == 200 else b""

    def configure(self, version: int, routes: list[dict], **limits) -> None:
        """Write a configuration; each route names what differs from the defaults."""
        resources = []
        for number, route in enumerate(routes):
            spec = {
                "host": HOST,
                "kind": "safe",
                "timeoutS": 2.0,
                "targetLatencyS": 0.6,
                "priority": 1,
                "maxAttempts": 2,
            }
            name = {"name": f"r-{number}"}
            resources.append(
                {"typeUrl": "routes", "metadata": name, "spec": spec | route}
            )
        for service in sorted({route["service"] for route in routes}):
            spec = {"healthPath": "/health", "maxConnections": 110}
            spec |= {"protocol": "h1", "tls": False}
            name = {"name": service}
            resources.append({"typeUrl": "services", "metadata": name, "spec": spec})
        spec = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        } | limits
        resources.append({"typeUrl": "limits", "metadata": {}, "spec": spec})
        value = {"version": f"{version:08x}", "resources": resources}
        self.write_item("op/config", value)

    def wait(self, condition, what: str, timeout_s: float = START_TIMEOUT_S):
        """Poll a condition; the case cannot run if it stays false."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > deadline_s:
                raise CannotRun(f"timed out: {what}")
            time.sleep(0.05)

    def start_machines(self, layout: list[tuple[str, str, str]]) -> list[Machine]:
        """Start machines, each with its name, zone and service, and their daemons."""
        for name, zone, service in layout:
            number = len(self.machines) + 1
            machine = Machine(self, number, name, zone, service)
            self.machines[name] = machine
            machine.start_daemon()
        machines = list(self.machines.values())
        self.wait(lambda: all(map(Machine.is_ready, machines)), "nodes are ready")
        return machines

    def wait_served(self, machine: Machine, path: str) -> None:
        """Wait until a machine serves a path."""
        fields = {"Host": HOST, "X-Deadline-Ms": "1000"}

        def is_served() -> bool:
            headers = fields | {"X-Request-Id": f"warm-{time.monotonic_ns():x}"}
            return call(machine.outbound, "GET", path, b"", headers).status == 200

        self.wait(is_served, f"{machine.name} serves {path}")


class ReportedServer:
    """What an upstream says of itself to the daemon on its machine."""

    def __init__(self, record, app: str, control: str, server_id: str, service: str):
        self.record = record
        self.app = app
        self.control = control
        self.server_id = server_id
        self.service = service
        self.version = "v1"
        self.slots = 9
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self._is_reporting = threading.Event()

    def next_heartbeat(self, **changes) -> bytes:
        """Return the body of the next heartbeat, with changed fields."""
        self.sequence += 1
        value = {
            "service": self.service,
            "address": self.app,
            "zone": "-",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingS": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }
        return json.dumps(value | changes).encode()

    def report(self, body: bytes, note="heartbeat", server_id: str = "") -> int:
        """Send a heartbeat; return the status, 0 without an answer in a second."""
        server_id = server_id or self.server_id
        headers = {"Content-Type": "application/json"}
        path = f"/api/instances/{server_id}"
        status = call(self.control, "PUT", path, body, headers, 1.0).status
        self.record.write(note, server=server_id, status=status, body=body.decode())
        return status

    def leave(self) -> int:
        """Send DELETE; return the status."""
        path = f"/api/instances/{self.server_id}"
        status = call(self.control, "DELETE", path, timeout_s=1.0).status
        self.record.write("DELETE", server=self.server_id, status=status)
        return status

    def start_reporting(self, interval_s: float = HEARTBEAT_S) -> None:
        """Send heartbeats at an interval until :meth:`stop_reporting`."""
        self._is_reporting.set()

        def run() -> None:
            while self._is_reporting.is_set():
                self.report(self.next_heartbeat())
                time.sleep(interval_s)

        threading.Thread(target=run, daemon=True).start()

    def stop_reporting(self) -> None:
        self._is_reporting.clear()


class Upstream(ReportedServer):
    """A backend server that runs in threads; a request runs for ``work_s``."""

    def __init__(self, *args):
        super().__init__(*args)
        self.work_s = 0.02
        self.runs: dict[str, list[float]] = {}
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        ip, _, port = self.app.rpartition(":")
        self._listener = socket.create_server((ip, int(port)), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                # The upstream has exited.
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self._sockets.add(sock)
        with sock, sock.makefile("rb") as reader:
            try:
                while self._serve_request(sock, reader):
                    pass
            except (OSError, ValueError):
                # The daemon has closed the connection, or the upstream has exited.
                pass
            finally:
                self._sockets.discard(sock)

    def exit(self) -> None:
        """Close all sockets, as a process that exits does."""
        self.stop_reporting()
        for sock in [self._listener, *self._sockets]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It was closed by the other end.
                pass
        self._listener.close()
        self.record.write("upstream exited", server=self.server_id)

    def _serve_request(self, sock: socket.socket, reader) -> bool:
        line = reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while text := reader.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = self._read_body(reader, headers)
        expected = headers.get("x-expect-instance", self.server_id)
        if expected != self.server_id:
            more = {"X-Instance-Id": self.server_id}
            sock.sendall(self.encode_answer(headers, 421, b"", more))
            return True
        self._record_run(method, path, headers, body)
        self.run(body)
        sock.sendall(self.encode_answer(headers, 200, b"x" * 600))
        return True

    def _read_body(self, reader, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return reader.read(int(headers.get("content-length", 0)))
        body = b""
        while size := int(reader.readline().split(b";")[0], 16):
            body += reader.read(size)
            reader.readline()
        reader.readline()
        return body

    def _record_run(self, method: str, path: str, headers: dict, body: bytes) -> None:
        request_id = headers.get("x-request-id", "-")
        with self._lock:
            self.runs.setdefault(request_id, []).append(time.monotonic())
        self.record.write(
            "run",
            request=request_id,
            server=self.server_id,
            method=method,
            path=path,
            caller=headers.get("x-caller", "-"),
            body_bytes=len(body),
        )

    def run(self, body: bytes) -> None:
        """Do the work of one request."""
        time.sleep(self.work_s)

    def encode_answer(
        self, headers: dict, status: int, body: bytes, more: dict | None = None
    ) -> bytes:
        """Return the bytes of an answer with the headers that upstreams set."""
        request_id = headers.get("x-request-id", "-")
        fields = {
            "X-Request-Id": request_id,
            "X-Server-Load": f"0,0,{self.slots}",
            "Content-Length": str(len(body)),
        } | (more or {})
        if status != 421:
            fields["X-Server-Stamp"] = f"{self.server_id}.{request_id}.{status}"
        head = f"HTTP/1.1 {status} Status\r\n"
        head += "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        return head.encode("latin-1") + b"\r\n" + body


def run_case(play, is_troubled: bool, record_path: Path) -> None:
    """Run ``play(mesh, is_troubled)`` and exit with its result.

    Args:
        play: returns whether the rule was broken.
        is_troubled: whether the disruption is played.
        record_path: file for what was sent, answered and run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    code = EXIT_NOT_RUN
    with Mesh(record_path) as mesh:
        mesh.record.write("begin", trouble=int(is_troubled))
        try:
            is_broken = play(mesh, is_troubled)
            code = EXIT_BROKEN if is_broken else EXIT_HELD
        except CannotRun as error:
            mesh.record.write("cannot run", why=error)
            for path in sorted(mesh.log_folder.glob("*.log")):
                lines = path.read_text(errors="replace").splitlines()[-5:]
                mesh.record.write("log", file=path.name, last=" | ".join(lines))
        verdict = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}
        mesh.record.write("verdict", rule=verdict[code])
        print(f"case {record_path.parent.name}: {verdict[code]}")
    sys.exit(code)
