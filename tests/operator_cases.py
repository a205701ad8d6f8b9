"""Base class of the tests of a mesh in the operator deployment."""

import tempfile
from pathlib import Path

import testtools

from standins.operator_fleet import RouteSpec, open_operator_fleet
from tests.cases import attach_logs_on_failure

__all__ = ["DEFAULT_ROUTES", "GRACE_S", "LAYOUT", "OperatorTestCase"]

LAYOUT = {"a1": "za", "a2": "za", "b1": "zb", "b2": "zb"}
DEFAULT_ROUTES = [
    RouteSpec("/shop/", {"shop": 1}),
    RouteSpec("/pay/", {"shop": 1}, False),
]
# Time that the platform allows a stopping node; the drain timeout in these tests.
GRACE_S = 6.0


class OperatorTestCase(testtools.TestCase):
    """A mesh with one backend server on the VM of each node."""

    node_options: dict[str, str] = {}

    def start(
        self, layout=LAYOUT, services=None, routes=DEFAULT_ROUTES, **upstream_options
    ):
        folder = tempfile.TemporaryDirectory(prefix="guavagap-test-")
        self.addCleanup(folder.cleanup)
        attach_logs_on_failure(self, Path(folder.name))
        context = open_operator_fleet(
            Path(folder.name), drain_timeout_s=str(GRACE_S), **self.node_options
        )
        fleet = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        fleet.configure(7, routes)
        services = services or {}
        for node_id, zone in layout.items():
            service = services.get(node_id, "shop")
            fleet.start_operator_node(node_id, zone, service)
        for node_id in layout:
            service = services.get(node_id, "shop")
            fleet.start_upstream(f"i-{node_id}", node_id, service, **upstream_options)
        fleet.wait_ready()
        for service in {services.get(node_id, "shop") for node_id in layout}:
            count = sum(services.get(n, "shop") == service for n in layout)
            fleet.wait_backend_servers(service, count)
        return fleet

    def run_count(self, fleet, request_id: str) -> int:
        """Return how often the backend servers that are alive have run a request."""
        return sum(
            fleet.ledger(server.server_id)["runs"].get(request_id, 0)
            for server in fleet.servers.values()
            if server.process.poll() is None
        )
