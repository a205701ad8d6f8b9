"""Runs a small mesh on loopback in the operator deployment."""

import json
from pathlib import Path
from typing import Iterable, NamedTuple

from standins.fleet import (
    ClientResponse,
    Fleet,
    FleetServer,
    allocate_ports,
    http_call,
    open_fleet,
    wait_until,
)

__all__ = [
    "ColdSpec",
    "CustomerSpec",
    "HOST",
    "OperatorFleet",
    "RouteSpec",
    "encode_configuration",
    "open_operator_fleet",
]

HOST = "shop.example"


class RouteSpec(NamedTuple):
    """A route of a configuration.

    Attributes:
        services: weight of each service; several make a traffic split.
        is_safe: whether requests may be repeated.
        kind: kind of the requests as the operator declares it; by default the one
            that ``is_safe`` implies.
        is_anonymous_allowed: whether requests need no API key; None to leave it out.
    """

    prefix: str
    services: dict[str, int]
    is_safe: bool = True
    timeout_s: float = 2.0
    target_latency_s: float = 0.5
    priority: int = 1
    max_attempts: int = 2
    kind: str | None = None
    is_anonymous_allowed: bool | None = None


class CustomerSpec(NamedTuple):
    """A customer of a configuration."""

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class ColdSpec(NamedTuple):
    """Limit of a service's cold backend servers."""

    cold_start_s: float
    rate_per_s: float


def encode_configuration(
    version: int,
    routes: list[RouteSpec],
    customers: Iterable[CustomerSpec] = (),
    cold: dict[str, ColdSpec] | None = None,
) -> bytes:
    """Return a configuration as the operator writes it.

    Args:
        version: version of the configuration.
        routes: its routes.
        customers: its customers.
        cold: limits of cold backend servers by service.
    """
    resources, cold = [], cold or {}
    for number, route in enumerate(routes):
        spec = {
            "host": HOST,
            "prefix": route.prefix,
            "kind": route.kind or ("safe" if route.is_safe else "unsafe"),
            "timeoutS": route.timeout_s,
            "targetLatencyS": route.target_latency_s,
            "priority": route.priority,
            "maxAttempts": route.max_attempts,
        }
        if len(route.services) == 1:
            spec["service"] = next(iter(route.services))
        else:
            spec["trafficSplit"] = [
                {"service": name, "weight": weight}
                for name, weight in route.services.items()
            ]
        if route.is_anonymous_allowed is not None:
            spec["allowAnonymous"] = route.is_anonymous_allowed
        metadata = {"name": f"r-{number}"}
        resources.append({"typeUrl": "routes", "metadata": metadata, "spec": spec})
    services = {name for route in routes for name in route.services}
    for name in sorted(services):
        spec = {"healthPath": "/health", "maxConnections": 110}
        if name in cold:
            spec["coldStartS"], spec["coldPerS"] = cold[name]
        metadata = {"name": name}
        resources.append({"typeUrl": "services", "metadata": metadata, "spec": spec})
    for customer in customers:
        spec = {
            "apiKeys": list(customer.keys),
            "priority": customer.priority,
            "ratePerS": customer.rate_per_s,
            "burst": customer.burst,
        }
        metadata = {"name": customer.name}
        resources.append({"typeUrl": "tenants", "metadata": metadata, "spec": spec})
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    resources.append({"typeUrl": "limits", "metadata": {}, "spec": limits})
    value = {"version": f"{version:08x}", "resources": resources}
    return json.dumps(value).encode()


class OperatorFleet(Fleet):
    """A fleet whose configuration and rollouts the operator writes to the store."""

    def __init__(self, folder: Path, node_options: dict[str, str] | None = None):
        super().__init__(folder, node_options)
        self._ready_report_ports: dict[str, tuple[int, int]] = {}
        self._upstream_ports: dict[str, int] = {}

    def start_operator_node(
        self, node_id: str, failure_domain: str, service: str, **options
    ):
        """Start a node for a backend server of a service; a restart keeps its ports."""
        ready, report = self._ready_report_ports.setdefault(
            node_id, tuple(allocate_ports(2))
        )
        return self.start_node(
            node_id,
            failure_domain,
            deployment="operator",
            service=service,
            ready_address=f"127.0.0.1:{ready}",
            report_address=f"127.0.0.1:{report}",
            **options,
        )

    def start_upstream(
        self,
        server_id: str,
        node_id: str,
        service: str,
        version: str = "v1",
        slots: int = 6,
        port: int | None = None,
        cold_start_s: float = 0.0,
        heartbeat_delay_s: float = 0.0,
    ) -> FleetServer:
        """Start a backend server that sends heartbeats to a node."""
        port = port or allocate_ports(1)[0]
        arguments = ["-m", "standins.upstream"]
        arguments += ["--address", f"127.0.0.1:{port}"]
        report_port = self._ready_report_ports[node_id][1]
        arguments += ["--report-address", f"127.0.0.1:{report_port}"]
        arguments += ["--server-id", server_id, "--service", service]
        arguments += ["--version", version, "--slots", str(slots)]
        arguments += ["--cold-start-s", str(cold_start_s)]
        arguments += ["--heartbeat-delay-s", str(heartbeat_delay_s)]
        process = self._spawn(arguments, self.folder / f"{server_id}.log")
        server = FleetServer(server_id, service, version, port, node_id, process)
        self.servers[server_id] = server
        return server

    def configure(
        self,
        version: int,
        routes: list[RouteSpec],
        customers: Iterable[CustomerSpec] = (),
        cold: dict[str, ColdSpec] | None = None,
    ) -> None:
        """Write a configuration to the store as the operator does."""
        body = encode_configuration(version, routes, customers, cold)
        self.write_item("op/config", body)

    def order_evacuation(self, failure_domain: str) -> None:
        """Order the evacuation of a failure domain as the operator does."""
        self.write_item(f"op/evacuate/{failure_domain}", b"{}")

    def withdraw_evacuation(self, failure_domain: str) -> None:
        """Withdraw the evacuation of a failure domain as the operator does."""
        self.remove_platform_item(f"op/evacuate/{failure_domain}")

    def order_rollout(self, service: str, version: str, duration_s: float) -> None:
        """Write a rollout order to the store as the operator does."""
        order = {"service": service, "targetVersion": version, "durationS": duration_s}
        self.write_item(f"op/rollout/{service}", json.dumps(order).encode())

    def rollout_state(self, service: str) -> str:
        """Return the published state of a rollout, empty if there is none."""
        body = self.read_platform_item(f"status/rollout/{service}")
        return json.loads(body)["state"] if body else ""

    def write_item(self, key: str, body: bytes) -> None:
        """Write a key of the store with its owner's permissions."""
        self.write_platform_item(key, body)

    def configure_upstream(self, server_id: str, **knobs) -> None:
        """Set fault injection knobs of a backend server."""
        port = self.servers[server_id].port
        http_call(port, "PUT", "/_knobs", json.dumps(knobs).encode())

    def operator_ports(self, node_id: str) -> tuple[int, int]:
        """Return the ports of a node for readiness checks and for heartbeats."""
        return self._ready_report_ports[node_id]

    def readiness_status(self, node_id: str) -> int:
        """Return the HTTP status of a node's readiness check."""
        port = self._ready_report_ports[node_id][0]
        return http_call(port, "GET", "/api/ready", timeout_s=2.0).status

    def report(self, node_id: str, server_id: str, method: str, body: bytes = b""):
        """Send a heartbeat (PUT) or a deregistration (DELETE) of a backend server."""
        port = self._ready_report_ports[node_id][1]
        return http_call(port, method, f"/api/instances/{server_id}", body)

    def request(
        self,
        node_id: str,
        path: str,
        request_id: str,
        method="GET",
        body: bytes = b"",
        **headers: str,
    ) -> ClientResponse:
        """Send one request to a node as a caller."""
        fields = {"X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.call(node_id, path, method, body, fields, HOST)

    def wait_serving(self, node_id: str, path: str) -> None:
        """Wait until a node responds with 200 on a path."""
        wait_until(
            lambda: self.request(node_id, path, "warm").status == 200,
            what=f"{node_id} serves {path}",
        )


def open_operator_fleet(folder: Path, **node_options: str):
    """Yield a fleet with a running store; kill every process afterwards."""
    return open_fleet(folder, OperatorFleet, **node_options)
