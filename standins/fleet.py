"""Runs a small mesh of real processes on loopback, for tests, demo and benches."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from guavagap.documents import compute_digest
from standins.fleet_logs import (
    AppliedEpoch,
    find_history_violations,
    read_applied_epochs,
)

__all__ = [
    "Fleet",
    "FleetNode",
    "FleetServer",
    "ClientResponse",
    "open_fleet",
    "wait_until",
]

MESH_KEY = "an-example-mesh-key-of-enough-bytes"
MIN_PORT = 10_000
MAX_PORT = 32_000
START_TIMEOUT_S = 20.0
MEMBERS_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 15.0


class ClientResponse(NamedTuple):
    """A complete HTTP response; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class FleetNode(NamedTuple):
    """A ``guavagapd`` process and its ports."""

    node_id: str
    failure_domain: str
    caller_port: int
    link_port: int
    mesh_port: int
    admin_port: int
    process: subprocess.Popen
    log_path: Path


class FleetServer(NamedTuple):
    """A fake backend server process and its port."""

    server_id: str
    service: str
    version: str
    port: int
    node_id: str
    process: subprocess.Popen


# Several test runs on one machine share the ports, and a port is free between its
# allocation and the start of its process. So each run uses blocks of ports of its own,
# which it claims by holding the first port of the block.
PORTS_PER_BLOCK = 200
# Then its ports are used again, those first that were allocated first.
MAX_BLOCKS = 12
_block_guards: list[socket.socket] = []
_fresh_ports: deque[int] = deque()
_used_ports: deque[int] = deque()
# Independent of the seed that a test may set, which other runs may have in common.
_port_source = random.SystemRandom()


def _claim_block() -> None:
    """Claim a block of ports that no other run has claimed, until this process ends."""
    firsts = list(range(MIN_PORT, MAX_PORT + 1 - PORTS_PER_BLOCK, PORTS_PER_BLOCK))
    _port_source.shuffle(firsts)
    for first in firsts:
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _block_guards.append(guard)
        _fresh_ports.extend(range(first + 1, first + PORTS_PER_BLOCK))
        return
    raise OSError(f"no free block of ports between {MIN_PORT} and {MAX_PORT}")


def _is_port_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def allocate_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, none of which was in use lately.

    They lie below the kernel's range of ephemeral ports, so that no outgoing
    connection can occupy one before it is bound.

    Raises:
        OSError: other test runs have claimed all ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _fresh_ports and len(_block_guards) < MAX_BLOCKS:
            _claim_block()
        port = (_fresh_ports or _used_ports).popleft()
        _used_ports.append(port)
        if _is_port_free(port) and port not in ports:
            ports.append(port)
    return ports


def wait_until(condition, timeout_s: float = START_TIMEOUT_S, what: str = "condition"):
    """Poll ``condition()`` and return its first true value.

    Args:
        what: description of the condition in the error message.

    Raises:
        TimeoutError: the condition was still false after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"{what}: timed out after {timeout_s} s")
        time.sleep(0.05)


def http_call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> ClientResponse:
    """Send one request on a new connection and return the response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return ClientResponse(response.status, fields, response.read())
    finally:
        connection.close()


class Fleet:
    """The processes of one mesh.

    Args:
        folder: directory for the logs and documents of this run.
        node_options: additional command line flags for every node.

    Attributes:
        nodes: nodes by ID, also terminated ones.
        servers: backend servers by ID, also terminated ones.
    """

    def __init__(self, folder: Path, node_options: dict[str, str] | None = None):
        self.folder = folder
        self.nodes: dict[str, FleetNode] = {}
        self.servers: dict[str, FleetServer] = {}
        self.platform_port = 0
        self.platform: subprocess.Popen | None = None
        self._node_options = node_options or {}
        self._processes: list[subprocess.Popen] = []
        self._node_ports: dict[str, list[int]] = {}

    def _spawn(
        self, arguments: list[str], log_path: Path, env=None
    ) -> subprocess.Popen:
        with log_path.open("ab") as log_file:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, **(env or {})},
            )
        self._processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the fake platform; a restart keeps its port."""
        if not self.platform_port:
            (self.platform_port,) = allocate_ports(1)
        self.platform = self._spawn(
            [
                "-m",
                "standins.platform_server",
                "--address",
                f"127.0.0.1:{self.platform_port}",
            ],
            self.folder / "platform.log",
        )
        wait_until(lambda: _accepts_connections(self.platform_port), what="platform")

    def start_node(
        self,
        node_id: str,
        failure_domain: str,
        region: str = "r1",
        peers: tuple[str, ...] = (),
        key: str = MESH_KEY,
        **options: str,
    ) -> FleetNode:
        """Start a node; a restart keeps its ports."""
        ports = self._node_ports.setdefault(node_id, allocate_ports(4))
        caller_port, link_port, mesh_port, admin_port = ports
        arguments = {
            "--node-id": node_id,
            "--region": region,
            "--failure-domain": failure_domain,
            "--caller-address": f"127.0.0.1:{caller_port}",
            "--link-address": f"127.0.0.1:{link_port}",
            "--mesh-address": f"127.0.0.1:{mesh_port}",
            "--admin-address": f"127.0.0.1:{admin_port}",
            "--platform-url": f"http://127.0.0.1:{self.platform_port}",
            **self._node_options,
            **{f"--{name.replace('_', '-')}": value for name, value in options.items()},
        }
        flags = [part for pair in arguments.items() for part in pair if part]
        for peer in peers:
            flags += ["--peer-addresses", f"127.0.0.1:{self._node_ports[peer][2]}"]
        log_path = self.folder / f"{node_id}.log"
        process = self._spawn(
            ["-m", "guavagap.daemon", *flags], log_path, {"GUAVAGAP_MESH_KEY": key}
        )
        node = FleetNode(
            node_id,
            failure_domain,
            caller_port,
            link_port,
            mesh_port,
            admin_port,
            process,
            log_path,
        )
        self.nodes[node_id] = node
        return node

    def start_server(
        self,
        server_id: str,
        node_id: str,
        service: str = "catalogue",
        version: str = "v1",
        **options: str,
    ) -> FleetServer:
        """Start a backend server that announces itself to a node."""
        (port,) = allocate_ports(1)
        arguments = [
            "-m",
            "standins.backend_server",
            "--address",
            f"127.0.0.1:{port}",
            "--admin-address",
            f"127.0.0.1:{self.nodes[node_id].admin_port}",
            "--server-id",
            server_id,
            "--service",
            service,
            "--version",
            version,
        ]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        process = self._spawn(arguments, self.folder / f"{server_id}.log")
        server = FleetServer(server_id, service, version, port, node_id, process)
        self.servers[server_id] = server
        return server

    def status(self, node_id: str) -> dict | None:
        """Return the status of a node, None if it does not respond."""
        try:
            response = http_call(
                self.nodes[node_id].admin_port, "GET", "/status", timeout_s=2.0
            )
            return json.loads(response.body)
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def metrics(self, node_id: str) -> dict[str, float]:
        """Return the metrics of a node by name and labels."""
        response = http_call(self.nodes[node_id].admin_port, "GET", "/metrics")
        values = {}
        for line in response.body.decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        return values

    def call(
        self,
        node_id: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        host: str = "shop.example",
    ) -> ClientResponse:
        """Send one request to a node as a caller."""
        fields = {"Host": host, **(headers or {})}
        return http_call(self.nodes[node_id].caller_port, method, path, body, fields)

    def drain(self, server_id: str) -> None:
        """Make a backend server withdraw its announcement while it keeps serving."""
        http_call(self.servers[server_id].port, "POST", "/_leave")

    def ledger(self, server_id: str) -> dict:
        """Return the run ledger of a backend server."""
        return json.loads(
            http_call(self.servers[server_id].port, "GET", "/_ledger").body
        )

    def configure_platform(self, **knobs) -> None:
        """Set fault injection knobs of the fake platform."""
        http_call(self.platform_port, "PUT", "/knobs", json.dumps(knobs).encode())

    def platform_call_counts(self) -> dict[str, int]:
        """Return the number of calls that the platform received, by kind."""
        return json.loads(http_call(self.platform_port, "GET", "/counts").body)

    def read_platform_item(self, key: str) -> bytes:
        """Return the value of a key of the store."""
        return http_call(self.platform_port, "GET", f"/items/{key}").body

    def write_platform_item(self, key: str, body: bytes) -> None:
        """Overwrite a key of the store, bypassing access control and faults.

        With an earlier value this acts like a restored backup.
        """
        http_call(self.platform_port, "PUT", f"/items/{key}", body)

    def remove_platform_item(self, key: str) -> None:
        """Remove a key of the store, bypassing access control and faults."""
        http_call(self.platform_port, "DELETE", f"/items/{key}")

    def post_platform_control(self, path: str) -> None:
        """Send a POST request to a control endpoint of the fake platform."""
        http_call(self.platform_port, "POST", path)

    def commit_unchecked(self, service: str, change) -> None:
        """Commit a document without the validation of the command line.

        Args:
            change: called with the document; modifies it in place.
        """
        head = json.loads(self.read_platform_item("head"))
        entry = head["entries"][service]
        key = f"doc/{service}/{entry['digest']}"
        document = json.loads(self.read_platform_item(key))
        change(document)
        body = json.dumps(document).encode()
        head["epoch"] += 1
        entry.update(
            version=entry["version"] + 1,
            digest=compute_digest(body),
            epoch=head["epoch"],
            document_epoch=head["epoch"],
        )
        self.write_platform_item(f"doc/{service}/{entry['digest']}", body)
        self.write_platform_item("head", json.dumps(head).encode())

    def cli(self, *arguments: str, timeout_s: float = 60.0):
        """Run the ``guavagap`` command; return the completed process."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "guavagap.cli",
                "--platform-url",
                f"http://127.0.0.1:{self.platform_port}",
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=timeout_s,
        )

    def block(self, node_id: str, peer_ids: list[str], platform: bool = False) -> None:
        """Set the addresses that a node cannot reach; replaces the earlier ones.

        Args:
            peer_ids: nodes to block; an empty list heals the partition.
            platform: whether to block the platform as well.
        """
        addresses = []
        for peer_id in peer_ids:
            peer = self.nodes[peer_id]
            addresses += [
                f"127.0.0.1:{port}" for port in (peer.link_port, peer.mesh_port)
            ]
        if platform:
            addresses.append(f"127.0.0.1:{self.platform_port}")
        body = json.dumps({"blocked": addresses}).encode()
        http_call(self.nodes[node_id].admin_port, "PUT", "/faults", body)

    def wait_ready(self, *node_ids: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until nodes, by default all, are ready to serve callers."""
        for node_id in node_ids or tuple(self.nodes):
            wait_until(
                lambda: (self.status(node_id) or {}).get("is_ready"),
                timeout_s,
                f"{node_id} ready",
            )

    def wait_epoch(self, epoch: int, *node_ids: str, timeout_s: float = 30.0) -> None:
        """Wait until nodes, by default all, have applied an epoch."""
        for node_id in node_ids or tuple(self.nodes):
            wait_until(
                lambda: (self.status(node_id) or {}).get("epoch", 0) >= epoch,
                timeout_s,
                f"{node_id} at epoch {epoch}",
            )

    def wait_members(self, node_id: str, count: int) -> None:
        """Wait until a node's member table has ``count`` live members."""

        def has_members() -> bool:
            return self.metrics(node_id).get("guavagap_members", 0) == count

        wait_until(has_members, MEMBERS_TIMEOUT_S, f"{node_id} knows {count} members")

    def wait_backend_servers(self, service: str, count: int, *node_ids: str) -> None:
        """Wait until nodes know ``count`` backend servers of a service."""

        def has_servers(node_id: str) -> bool:
            pools = (self.status(node_id) or {}).get("pools", {})
            return len(pools.get(f"{service}/main", [])) == count

        for node_id in node_ids or tuple(self.nodes):
            wait_until(
                lambda: has_servers(node_id),
                what=f"{node_id} knows {count} servers of {service}",
            )

    def kill(self, process: subprocess.Popen) -> None:
        """Kill a process with SIGKILL."""
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def stop(self, process: subprocess.Popen) -> int:
        """Stop a process with SIGTERM; return its exit code."""
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def applied_epochs(self, node_id: str) -> list[AppliedEpoch]:
        """Return the epochs that a node has logged as applied, oldest first."""
        return read_applied_epochs(self.nodes[node_id].log_path)

    def history_violations(self) -> list[str]:
        """Return violations of the guarantees on epochs in the logs of all nodes."""
        return find_history_violations(
            {node_id: self.applied_epochs(node_id) for node_id in self.nodes}
        )

    def close(self) -> None:
        """Kill every process that is still running."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait(STOP_TIMEOUT_S)


def _accepts_connections(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 0.2).close()
        return True
    except OSError:
        return False


@contextmanager
def open_fleet(folder: Path, fleet_class: type = Fleet, **node_options: str):
    """Yield a fleet with a running platform; kill every process afterwards.

    Args:
        folder: an existing directory for logs.
        fleet_class: class of the fleet to open.
        node_options: command line flags of every node, as keyword arguments.
    """
    options = {
        f"--{name.replace('_', '-')}": value for name, value in node_options.items()
    }
    fleet = fleet_class(folder, options)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.close()
