"""Tests of configuration changes and draining in the operator deployment.

They run real processes; the ledgers of the fake backend servers record which requests
were run.
"""

import http.client
import signal
import threading
import time
from collections import Counter

from standins.fleet import wait_until
from standins.operator_fleet import HOST, RouteSpec
from tests.operator_cases import DEFAULT_ROUTES, GRACE_S, LAYOUT, OperatorTestCase

# Bounds that the platform specifies for these deployments.
DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0


class ConfigurationTests(OperatorTestCase):
    def test_change_applies_on_every_node_in_time_and_is_never_reverted(self):
        fleet = self.start()
        fleet.configure(9, [*DEFAULT_ROUTES, RouteSpec("/new/", {"shop": 1})])
        deadline_s = time.monotonic() + CONFIG_BOUND_S
        waiting = set(LAYOUT)
        while waiting and time.monotonic() < deadline_s:
            for node_id in list(waiting):
                if fleet.request(node_id, "/new/x", "q").status == 200:
                    waiting.discard(node_id)
        self.assertEqual(set(), waiting)
        fleet.configure(8, DEFAULT_ROUTES)
        time.sleep(0.5)
        for node_id in LAYOUT:
            self.assertEqual(200, fleet.request(node_id, "/new/x", "q").status)

    def test_malformed_item_in_the_store_leaves_the_configuration_in_force(self):
        fleet = self.start(layout={"a1": "za"})
        fleet.write_item("op/config", b"\x00 not json")
        time.sleep(0.5)
        self.assertEqual(200, fleet.request("a1", "/shop/x", "q").status)

    def test_change_reaches_the_other_nodes_while_a_relay_is_frozen(self):
        fleet = self.start()
        relays = [
            row["node_id"]
            for row in fleet.status("a1")["members"]
            if row["is_relay"] and row["failure_domain"] == "za"
        ]
        self.assertTrue(relays)
        fleet.nodes[relays[0]].process.send_signal(signal.SIGSTOP)
        self.addCleanup(fleet.nodes[relays[0]].process.send_signal, signal.SIGCONT)
        fleet.configure(9, [*DEFAULT_ROUTES, RouteSpec("/new/", {"shop": 1})])
        others = [node_id for node_id in LAYOUT if node_id != relays[0]]
        for node_id in others:
            wait_until(
                lambda: fleet.request(node_id, "/new/x", "q").status != 404,
                CONFIG_BOUND_S + 1.0,
                f"{node_id} has the new route",
            )

    def test_store_outage_fails_no_request(self):
        fleet = self.start()
        fleet.configure_platform(is_down=True)
        for number in range(30):
            self.assertEqual(200, fleet.request("b1", "/shop/x", f"q{number}").status)
        fleet.configure_platform(is_down=False)
        fleet.configure(9, [*DEFAULT_ROUTES, RouteSpec("/new/", {"shop": 1})])
        wait_until(lambda: fleet.request("b1", "/new/x", "q").status == 200)

    def test_lost_history_and_deleted_node_entries_are_recovered(self):
        fleet = self.start()
        fleet.post_platform_control("/compact")
        fleet.post_platform_control("/revoke/mesh%2Fnode%2F")
        wait_until(
            lambda: fleet.read_platform_item("mesh/node/za/a1"), what="entry written"
        )
        fleet.configure(9, [*DEFAULT_ROUTES, RouteSpec("/new/", {"shop": 1})])
        wait_until(lambda: fleet.request("b1", "/new/x", "q").status == 200)


class DrainTests(OperatorTestCase):
    def test_draining_backend_server_gets_no_requests_after_the_bound(self):
        fleet = self.start()
        fleet.configure_upstream("i-a1", state="draining")
        time.sleep(DRAIN_BOUND_S)
        before = fleet.ledger("i-a1")["runs"]
        for number in range(40):
            response = fleet.request("a1", "/shop/x", f"after{number}")
            self.assertEqual(200, response.status)
        self.assertEqual(before, fleet.ledger("i-a1")["runs"])

    def test_deregistered_backend_server_is_drained(self):
        fleet = self.start()
        fleet.configure_upstream("i-a1", is_silent=True)
        self.assertEqual(200, fleet.report("a1", "i-a1", "DELETE").status)
        time.sleep(DRAIN_BOUND_S)
        before = fleet.ledger("i-a1")["runs"]
        for number in range(40):
            fleet.request("a2", "/shop/x", f"after{number}")
        self.assertEqual(before, fleet.ledger("i-a1")["runs"])

    def test_late_report_of_an_earlier_server_is_ignored(self):
        fleet = self.start(layout={"a1": "za"})
        fleet.configure_upstream("i-a1", is_silent=True)
        time.sleep(0.5)
        stale = (
            b'{"service":"shop","address":"127.0.0.1:%d","version":"v1","slots":6,'
            b'"state":"draining","coldRemainingS":0,"seq":900,"born":1}'
            % fleet.servers["i-a1"].port
        )
        fleet.report("a1", "i-old", "PUT", stale)
        expected_runs = {f"q{number}": 1 for number in range(20)}
        for request_id in expected_runs:
            self.assertEqual(200, fleet.request("a1", "/shop/x", request_id).status)
        self.assertEqual(expected_runs, fleet.ledger("i-a1")["runs"])

    def test_invalid_report_is_refused_and_existing_reports_stay_valid(self):
        fleet = self.start(layout={"a1": "za"})
        self.assertEqual(400, fleet.report("a1", "i-x", "PUT", b"\xff").status)
        self.assertEqual(
            400, fleet.report("a1", "i-a1", "PUT", b'{"state":"odd"}').status
        )
        self.assertEqual(200, fleet.request("a1", "/shop/x", "q").status)

    def test_stopping_node_reports_not_ready_at_once_and_fails_no_request(self):
        fleet = self.start()
        fleet.configure_upstream("i-b1", delay_s=0.2)
        statuses: Counter = Counter()
        stopping = threading.Event()

        def call(worker: int) -> None:
            number = 0
            while not stopping.is_set():
                number += 1
                request_id = f"w{worker}-{number}"
                try:
                    response = fleet.request("b1", "/pay/x", request_id, "POST")
                    statuses[response.status] += 1
                except (OSError, http.client.HTTPException) as error:
                    statuses[repr(error)] += 1

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        process = fleet.nodes["b1"].process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: fleet.readiness_status("b1") == 503, 1.0, "not ready")
        time.sleep(1.5)
        stopping.set()
        for thread in threads:
            thread.join()
        self.assertEqual(0, process.wait(GRACE_S))
        self.assertEqual({200}, set(statuses), statuses)

    def test_request_that_cannot_finish_before_the_stop_is_refused_and_not_run(self):
        routes = [RouteSpec("/shop/", {"shop": 1}, timeout_s=GRACE_S)]
        fleet = self.start(routes=routes)
        connection = http.client.HTTPConnection(
            "127.0.0.1", fleet.nodes["b1"].caller_port, timeout=GRACE_S
        )
        self.addCleanup(connection.close)
        headers = {"Host": HOST, "X-Deadline-Ms": "5000", "X-Request-Id": "kept"}
        connection.request("GET", "/shop/x", headers=headers)
        self.assertEqual(200, connection.getresponse().read() and 200)
        for server_id in fleet.servers:
            fleet.configure_upstream(server_id, delay_s=4.6)
        process = fleet.nodes["b1"].process
        process.send_signal(signal.SIGTERM)
        stopped_at_s = time.monotonic()
        fields = {"X_Deadline_Ms": "5000"}
        in_flight = threading.Thread(
            target=fleet.request, args=("b1", "/shop/x", "w"), kwargs=fields
        )
        in_flight.start()
        time.sleep(max(0.0, stopped_at_s + 3.5 - time.monotonic()))
        connection.request("GET", "/shop/x", headers=headers | {"X-Request-Id": "late"})
        response = connection.getresponse()
        in_flight.join()
        self.assertEqual(503, response.status)
        self.assertIsNotNone(response.headers["retry-after"])
        process.wait(GRACE_S)
        self.assertEqual(0, self.run_count(fleet, "late"))

    def test_node_that_waits_for_the_store_at_its_start_is_stopped(self):
        fleet = self.start(layout={"a1": "za"})
        fleet.configure_platform(is_down=True)
        node = fleet.start_operator_node("b1", "zb", "shop")
        wait_until(
            lambda: "mesh key not obtained" in node.log_path.read_text("utf-8"),
            what="b1 waits for the store",
        )
        self.assertEqual(0, fleet.stop(node.process))

    def test_sighup_is_ignored(self):
        fleet = self.start(layout={"a1": "za"})
        fleet.nodes["a1"].process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertIsNone(fleet.nodes["a1"].process.poll())
        self.assertEqual(200, fleet.request("a1", "/shop/x", "q").status)
