"""Base classes of the tests with a raw server in place of a backend server."""

import json
import threading
import time

from standins.fleet import http_call
from standins.operator_fleet import RouteSpec
from tests.calls_cases import TWO_DOMAINS, CallsTestCase
from tests.operator_cases import OperatorTestCase

__all__ = ["DirectRawServerTestCase", "RawServerTestCase"]

RAW_ROUTE = RouteSpec("/pay/", {"shop": 1}, False, timeout_s=3.0)
HEARTBEAT_INTERVAL_S = 0.3


class RawServerTestCase(OperatorTestCase):
    """A mesh of an operator whose only backend server of a service is a raw one."""

    def start_with_raw_server(self, server):
        fleet = self.start(
            {"a1": "za", "b1": "zb"},
            {"a1": "cart", "b1": "cart"},
            [RAW_ROUTE, RouteSpec("/cart/", {"cart": 1})],
        )
        fleet.kill(fleet.servers.pop("i-b1").process)
        # The service of a node is that of its backend server.
        fleet.stop(fleet.nodes["b1"].process)
        fleet.start_operator_node("b1", "zb", "shop")
        self.start_heartbeats(fleet, server.port)
        fleet.wait_ready()
        fleet.wait_backend_servers("shop", 1)
        return fleet

    def start_heartbeats(self, fleet, port: int) -> None:
        is_ending = threading.Event()

        def run() -> None:
            sequence = 0
            while not is_ending.is_set():
                sequence += 1
                body = {
                    "service": "shop",
                    "address": f"127.0.0.1:{port}",
                    "zone": "-",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "coldRemainingS": 0,
                    "seq": sequence,
                    "born": 1,
                }
                try:
                    fleet.report("b1", "i-raw", "PUT", json.dumps(body).encode())
                except OSError:
                    # The node is starting.
                    pass
                time.sleep(HEARTBEAT_INTERVAL_S)

        thread = threading.Thread(target=run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(is_ending.set)


class DirectRawServerTestCase(CallsTestCase):
    """A mesh that calls a raw server on another VM by direct connections."""

    def start_with_raw_server(self, server):
        fleet = self.open_fleet()
        self.start_mesh(fleet, TWO_DOMAINS)
        announcement = {
            "service": "checkout",
            "version": "v1",
            "address": f"127.0.0.1:{server.port}",
            "slots": 6,
            "connections": 30,
            "ttl_s": 600,
        }
        port = fleet.nodes["b1"].admin_port
        body = json.dumps(announcement).encode()
        http_call(port, "PUT", "/backend-servers/raw", body)
        fleet.wait_backend_servers("checkout", 1)
        return fleet
