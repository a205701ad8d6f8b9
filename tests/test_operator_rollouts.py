"""Tests of ordered rollouts in the operator deployment.

They run real processes; the ledgers of the fake backend servers record which requests
were run.
"""

import threading
import time

from standins.fleet import wait_until
from tests.operator_cases import LAYOUT, OperatorTestCase


class RolloutTests(OperatorTestCase):
    node_options = {"allow_fault_injection": ""}

    def start_load(self, fleet, stopping: threading.Event) -> list[threading.Thread]:
        def call(node_id: str, worker: int) -> None:
            number = 0
            while not stopping.is_set():
                number += 1
                fleet.request(node_id, "/shop/x", f"{node_id}-{worker}-{number}")
                time.sleep(0.01)

        threads = [
            threading.Thread(target=call, args=(node_id, worker))
            for node_id in LAYOUT
            for worker in range(3)
        ]
        for thread in threads:
            thread.start()
        return threads

    def roll_out(self, duration_s: float, after_order=None, **knobs):
        """Order the rollout of a version; return the fleet after the verdict.

        Args:
            duration_s: duration of the rollout, which bounds the wait for the verdict.
            after_order: called with the fleet after the order; None for nothing.
            knobs: settings of the backend servers of the new version.
        """
        fleet = self.start()
        new = {"c1": "za", "c2": "za", "d1": "zb", "d2": "zb"}
        for node_id, zone in new.items():
            fleet.start_operator_node(node_id, zone, "shop")
            fleet.start_upstream(f"n-{node_id}", node_id, "shop", "v2")
        fleet.wait_ready()
        fleet.wait_backend_servers("shop", len(LAYOUT) + len(new))
        for node_id in new:
            fleet.configure_upstream(f"n-{node_id}", **knobs)
        stopping = threading.Event()
        threads = self.start_load(fleet, stopping)
        fleet.order_rollout("shop", "v2", duration_s)
        try:
            if after_order is not None:
                after_order(fleet)
            wait_until(
                lambda: fleet.rollout_state("shop") in ("completed", "rolled_back"),
                duration_s,
                "verdict",
            )
        finally:
            stopping.set()
            for thread in threads:
                thread.join()
        return fleet

    def test_good_version_is_completed_in_time(self):
        fleet = self.roll_out(14.0)
        self.assertEqual("completed", fleet.rollout_state("shop"))

    def test_good_version_is_completed_after_its_evaluator_is_partitioned(self):
        cut_off = []

        def cut_off_evaluator(fleet):
            def find():
                for node_id, node in fleet.nodes.items():
                    if 'event="rollout begun"' in node.log_path.read_text():
                        return node_id
                return None

            cut_off.append(wait_until(find, what="rollout begun"))
            fleet.block(cut_off[0], [], platform=True)

        fleet = self.roll_out(14.0, cut_off_evaluator)
        self.assertEqual("completed", fleet.rollout_state("shop"))

    def test_failing_version_is_rolled_back_with_little_exposure(self):
        fleet = self.roll_out(14.0, fail_share=0.5)
        self.assertEqual("rolled_back", fleet.rollout_state("shop"))
        runs = {
            server.server_id: sum(fleet.ledger(server.server_id)["runs"].values())
            for server in fleet.servers.values()
        }
        new = sum(count for server_id, count in runs.items() if server_id[0] == "n")
        self.assertLessEqual(new, 0.1 * sum(runs.values()) + 50)
