"""Tests of calls during drain and shutdown, and of limits.

The ledgers of the fake backend servers record which requests were run.
"""

import http.client
import socket
import threading
import time

from standins.fleet import ClientResponse, wait_until
from tests.calls_cases import CallsTestCase
from tests.test_mesh_failures import FOUR_NODES

DRAIN_SETTLE_S = 3.0


class DrainTests(CallsTestCase):
    def call_until(self, fleet, node_ids, stop: threading.Event) -> list[int]:
        """Start a caller for each node; return the list to which they add statuses."""
        statuses: list[int] = []

        def call(node_id: str) -> None:
            connection = http.client.HTTPConnection(
                "127.0.0.1", fleet.nodes[node_id].caller_port, timeout=15
            )
            while not stop.is_set():
                connection.request(
                    "POST", "/checkout/pay", b"x", {"Host": "shop.example"}
                )
                response = connection.getresponse()
                response.read()
                statuses.append(response.status)
                time.sleep(0.01)
            connection.close()

        self.threads = [threading.Thread(target=call, args=(n,)) for n in node_ids]
        for thread in self.threads:
            thread.start()
        return statuses

    def test_draining_backend_server_gets_no_new_calls_and_fails_none(self):
        fleet = self.start(FOUR_NODES)
        stop = threading.Event()
        statuses = self.call_until(fleet, FOUR_NODES, stop)
        wait_until(lambda: len(statuses) > 200, what="calls")
        fleet.drain("s0")
        time.sleep(DRAIN_SETTLE_S)
        before = sum(fleet.ledger("s0")["runs"].values())
        count = len(statuses)
        wait_until(lambda: len(statuses) > count + 200, what="more calls")
        self.assertEqual(before, sum(fleet.ledger("s0")["runs"].values()))
        stop.set()
        for thread in self.threads:
            thread.join()
        self.assertEqual({200}, set(statuses))

    def test_node_stopped_under_load_fails_no_call(self):
        fleet = self.start(FOUR_NODES)
        stop = threading.Event()
        statuses = self.call_until(fleet, ("a2", "b1", "b2"), stop)
        wait_until(lambda: len(statuses) > 200, what="calls")
        self.assertEqual(0, fleet.stop(fleet.nodes["a1"].process))
        count = len(statuses)
        wait_until(lambda: len(statuses) > count + 200, what="more calls")
        stop.set()
        for thread in self.threads:
            thread.join()
        self.assertEqual({200}, set(statuses))

    def test_request_in_flight_survives_the_stop_of_its_node(self):
        fleet = self.start()
        responses: list[ClientResponse] = []
        thread = threading.Thread(
            target=lambda: responses.append(
                self.post(fleet, "a1", "t", x_delay_ms="1500")
            )
        )
        thread.start()
        wait_until(lambda: self.run_count(fleet, "t") == 1, what="run")
        self.assertEqual(0, fleet.stop(fleet.nodes["a1"].process))
        thread.join()
        self.assertEqual(200, responses[0].status)


class LimitTests(CallsTestCase):
    def overload(self, fleet, workers: int) -> dict[int, int]:
        """Make concurrent calls; return the number of responses by status."""
        statuses: dict[int, int] = {}

        def call(worker: int) -> None:
            node_id = ("a1", "b1")[worker % 2]
            for number in range(10):
                response = self.post(
                    fleet, node_id, f"{worker}-{number}", x_delay_ms="30"
                )
                statuses[response.status] = statuses.get(response.status, 0) + 1

        threads = [threading.Thread(target=call, args=(n,)) for n in range(workers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def test_slots_are_never_exceeded_over_the_link(self):
        fleet = self.start(slots="2", connections="4")
        statuses = self.overload(fleet, 30)
        self.assertTrue(set(statuses) <= {200, 503}, statuses)
        for server_id in fleet.servers:
            ledger = fleet.ledger(server_id)
            self.assertTrue(ledger["peak_in_flight"] <= 2, ledger)
            self.assertTrue(all(n == 1 for n in ledger["runs"].values()))
        ran = sum(len(fleet.ledger(s)["runs"]) for s in fleet.servers)
        self.assertEqual(statuses.get(200, 0), ran)

    def test_connections_are_never_exceeded(self):
        fleet = self.start(slots="3", connections="8")
        self.overload(fleet, 40)
        for server_id in fleet.servers:
            # One connection is used to read the ledger.
            self.assertTrue(fleet.ledger(server_id)["peak_connections"] <= 9)

    def test_disconnected_caller_frees_its_slot(self):
        fleet = self.start(layout={"a1": "da"}, slots="1", connections="3")
        port = fleet.nodes["a1"].caller_port
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(
            b"POST /checkout/pay HTTP/1.1\r\nHost: shop.example\r\nX-Test-Id: t\r\n"
            b"X-Delay-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        )
        wait_until(lambda: self.run_count(fleet, "t") == 1, what="run")
        sock.close()
        response = self.post(fleet, "a1", "u", guavagap_timeout_ms="1500")
        self.assertEqual(200, response.status)
