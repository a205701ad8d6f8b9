"""Base class of the tests of departures with real daemons."""

import json

from standins.fleet import wait_until
from tests.operator_cases import OperatorTestCase

__all__ = ["DepartureTestCase"]


class DepartureTestCase(OperatorTestCase):
    """A mesh in which the backend server of a1 leaves and is silent from then on."""

    layout = {"a1": "za", "a2": "za", "b1": "zb"}

    def start_with_silent_server(self, with_born=True):
        """Start a mesh; the test sends the reports of the backend server of a1."""
        fleet = self.start(self.layout)
        fleet.configure_upstream("i-a1", is_silent=True)
        server = fleet.servers["i-a1"]
        born_ms = fleet.ledger("i-a1")["born_ms"]
        self.report = {
            "service": "shop",
            "address": f"127.0.0.1:{server.port}",
            "zone": "-",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingS": 0,
            "seq": 90,
            "born": born_ms,
        }
        if not with_born:
            del self.report["born"]
            self.send(fleet, seq=91)
        return fleet

    def start_and_leave(self, how: str, with_born=True):
        """Start a mesh; let the backend server of a1 leave and be silent."""
        fleet = self.start_with_silent_server(with_born)
        self.assertEqual(200, self.leave(fleet, how))
        return fleet

    def leave(self, fleet, how: str) -> int:
        """Let the backend server say that it leaves; return the status of the answer.

        Args:
            how: "delete" or "draining".
        """
        if how == "delete":
            return fleet.report("a1", "i-a1", "DELETE").status
        return self.send(fleet, seq=100, state="draining")

    def send(self, fleet, **changes) -> int:
        body = json.dumps(self.report | changes).encode()
        return fleet.report("a1", "i-a1", "PUT", body).status

    def restart(self, fleet, *node_ids: str) -> None:
        self.kill_and_start(fleet, *node_ids)
        fleet.wait_ready(*node_ids)

    def kill_and_start(self, fleet, *node_ids: str) -> None:
        """Kill daemons, then start them; do not wait until they are ready."""
        for node_id in node_ids:
            fleet.kill(fleet.nodes[node_id].process)
        for node_id in node_ids:
            fleet.start_operator_node(node_id, self.layout[node_id], "shop")

    def assert_not_used(self, fleet) -> None:
        """Send a late report, then requests at every node."""
        self.assertEqual(200, self.send(fleet))
        others = [node_id for node_id in self.layout if node_id != "a1"]
        for node_id in self.layout:
            wait_until(
                lambda: self.known(fleet, node_id) >= {f"i-{n}" for n in others},
                what="the other backend servers are known",
            )
        for node_id in self.layout:
            for number in range(60):
                fleet.request(node_id, "/shop/x", f"late-{node_id}-{number}")
        runs = fleet.ledger("i-a1")["runs"]
        self.assertEqual([], [name for name in runs if name.startswith("late-")])

    def known(self, fleet, node_id: str) -> set[str]:
        pools = (fleet.status(node_id) or {}).get("pools", {})
        return {row["server_id"] for row in pools.get("shop/main", [])}
