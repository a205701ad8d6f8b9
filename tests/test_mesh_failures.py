"""Tests of configuration guarantees in meshes of real processes under failures."""

import os
import signal
import time

from standins.fleet import wait_until
from tests.cases import FleetTestCase

SHORT_TIMEOUTS = {
    "probe_interval_s": "0.2",
    "suspicion_timeout_s": "1.0",
    "relay_lease_ttl_s": "1.5",
    "drain_timeout_s": "3",
}
FOUR_NODES = {"a1": "da", "a2": "da", "b1": "db", "b2": "db"}


class MeshTestCase(FleetTestCase):
    """A mesh of four nodes in two failure domains, with short timeouts."""

    def start(self, layout: dict[str, str] = FOUR_NODES):
        fleet = self.open_fleet(**SHORT_TIMEOUTS, allow_fault_injection="")
        return self.start_mesh(fleet, layout)

    def edit(self, fleet, number: int, expect: int = 0) -> int:
        """Commit the next version of the catalogue document; return its epoch.

        Args:
            number: the current version, which is the current epoch too.
            expect: expected exit code of the command line.
        """
        folder = fleet.folder / "edit"
        folder.mkdir(exist_ok=True)
        file = folder / "catalogue.toml"
        with open("examples/shop/catalogue.toml", encoding="utf-8") as example:
            text = example.read()
        text = text.replace("edited_from = 0", f"edited_from = {number}")
        text = text.replace("timeout_s = 2.0", f"timeout_s = {2.0 + number / 100}")
        file.write_text(text)
        result = fleet.cli("apply", str(file))
        self.assertEqual(expect, result.returncode, result.stderr)
        return number + 1

    def relay_of(self, fleet, failure_domain: str) -> str:
        """Wait until a failure domain has a relay; return its node identifier."""

        def find():
            for node_id, node in fleet.nodes.items():
                if (
                    node.failure_domain == failure_domain
                    and node.process.poll() is None
                ):
                    if (fleet.status(node_id) or {}).get("is_relay"):
                        return node_id
            return None

        return wait_until(find, what=f"relay of {failure_domain}")

    def assert_no_history_violations(self, fleet):
        self.assertEqual([], fleet.history_violations())


class RelayTests(MeshTestCase):
    def test_killed_relay_is_replaced_and_changes_still_propagate(self):
        fleet = self.start()
        relay = self.relay_of(fleet, "da")
        fleet.kill(fleet.nodes[relay].process)
        epoch = self.edit(fleet, 1)
        others = [node_id for node_id in FOUR_NODES if node_id != relay]
        fleet.wait_epoch(epoch, *others)
        self.assertNotEqual(relay, self.relay_of(fleet, "da"))
        self.assert_no_history_violations(fleet)

    def test_relay_frozen_past_its_lease_lowers_nothing_when_it_thaws(self):
        fleet = self.start()
        relay = self.relay_of(fleet, "da")
        os.kill(fleet.nodes[relay].process.pid, signal.SIGSTOP)
        self.addCleanup(os.kill, fleet.nodes[relay].process.pid, signal.SIGCONT)
        others = [node_id for node_id in FOUR_NODES if node_id != relay]
        for number in range(1, 4):
            epoch = self.edit(fleet, number)
        fleet.wait_epoch(epoch, *others)
        self.assertNotEqual(relay, self.relay_of(fleet, "da"))
        os.kill(fleet.nodes[relay].process.pid, signal.SIGCONT)
        fleet.wait_epoch(epoch, relay)
        wait_until(
            lambda: all(
                member["state"] == "alive"
                for node_id in FOUR_NODES
                for member in fleet.status(node_id)["members"]
            ),
            what="every member alive again",
        )
        self.assert_no_history_violations(fleet)

    def test_domain_partitioned_from_the_platform_fetches_from_other_domains(self):
        fleet = self.start()
        for node_id in ("a1", "a2"):
            fleet.block(node_id, [], platform=True)
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        self.assert_no_history_violations(fleet)


class FreezeTests(MeshTestCase):
    def test_frozen_member_is_declared_dead_and_refutes_it_after_resuming(self):
        fleet = self.start()
        relays = {self.relay_of(fleet, domain) for domain in ("da", "db")}
        frozen = next(node_id for node_id in FOUR_NODES if node_id not in relays)
        os.kill(fleet.nodes[frozen].process.pid, signal.SIGSTOP)
        self.addCleanup(os.kill, fleet.nodes[frozen].process.pid, signal.SIGCONT)
        others = [node_id for node_id in FOUR_NODES if node_id != frozen]

        def states() -> set[str]:
            return {
                member["state"]
                for node_id in others
                for member in fleet.status(node_id)["members"]
                if member["node_id"] == frozen
            }

        wait_until(lambda: states() == {"dead"}, what="declared dead")
        os.kill(fleet.nodes[frozen].process.pid, signal.SIGCONT)
        wait_until(lambda: states() == {"alive"}, what="alive again")


class PartitionTests(MeshTestCase):
    def test_partitioned_domain_keeps_serving_and_catches_up(self):
        fleet = self.start()
        for index, node_id in enumerate(FOUR_NODES):
            fleet.start_server(f"s{index}", node_id)
        fleet.wait_backend_servers("catalogue", 4)
        for node_id in ("a1", "a2"):
            fleet.block(node_id, ["b1", "b2"], platform=True)
        for node_id in ("b1", "b2"):
            fleet.block(node_id, ["a1", "a2"])
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch, "b1", "b2")
        fleet.wait_backend_servers("catalogue", 2)
        for node_id in FOUR_NODES:
            response = fleet.call(node_id, "/catalogue/1")
            self.assertEqual(200, response.status, response)
        self.assertEqual(1, fleet.status("a1")["epoch"])
        self.assertIn("failure domain db unreachable", fleet.status("a1")["alarms"])
        for node_id in FOUR_NODES:
            fleet.block(node_id, [])
        fleet.wait_epoch(epoch)
        fleet.wait_backend_servers("catalogue", 4)
        self.assertEqual([], fleet.status("a1")["alarms"])
        self.assert_no_history_violations(fleet)

    def test_mesh_keeps_serving_after_half_of_its_nodes_are_killed(self):
        fleet = self.start()
        for index, node_id in enumerate(FOUR_NODES):
            fleet.start_server(f"s{index}", node_id)
        fleet.wait_backend_servers("catalogue", 4)
        for node_id in ("a1", "b2"):
            fleet.kill(fleet.nodes[node_id].process)
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch, "a2", "b1")
        fleet.wait_backend_servers("catalogue", 2, "a2", "b1")
        for node_id in ("a2", "b1"):
            self.assertEqual(200, fleet.call(node_id, "/catalogue/1").status)
        self.assert_no_history_violations(fleet)


class RestartTests(MeshTestCase):
    def restart(self, fleet, *node_ids: str) -> None:
        for node_id in node_ids:
            fleet.kill(fleet.nodes[node_id].process)
        for node_id in node_ids:
            peers = tuple(other for other in FOUR_NODES if other != node_id)
            fleet.start_node(node_id, FOUR_NODES[node_id], peers=peers)

    def test_node_restarted_without_the_platform_fetches_from_peers(self):
        fleet = self.start()
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        fleet.configure_platform(is_down=True)
        self.restart(fleet, "a1")
        fleet.wait_ready("a1")
        self.assertEqual(epoch, fleet.status("a1")["epoch"])
        self.assert_no_history_violations(fleet)

    def test_restarted_domain_catches_up_while_the_platform_is_available(self):
        fleet = self.start()
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        self.restart(fleet, "a1", "a2")
        fleet.wait_ready("a1", "a2")
        for node_id in ("a1", "a2"):
            self.assertEqual(epoch, fleet.status(node_id)["epoch"])
        self.assert_no_history_violations(fleet)

    def test_all_nodes_restarted_without_the_platform_refuse_as_not_run(self):
        fleet = self.start()
        fleet.configure_platform(is_down=True)
        self.restart(fleet, *FOUR_NODES)
        for node_id in FOUR_NODES:
            wait_until(lambda: fleet.status(node_id), what="admin port")
            response = fleet.call(node_id, "/catalogue/1")
            self.assertEqual(
                (503, "not-run", "not_ready"),
                (
                    response.status,
                    response.headers["guavagap-run"],
                    response.headers["guavagap-error"],
                ),
            )
        fleet.configure_platform(is_down=False)
        fleet.wait_ready()
        self.assertEqual({1}, {fleet.status(n)["epoch"] for n in FOUR_NODES})


class PlatformTests(MeshTestCase):
    def test_callers_are_served_during_an_outage_and_nodes_converge_after_it(self):
        fleet = self.start()
        fleet.start_server("s1", "a1")
        fleet.wait_backend_servers("catalogue", 1)
        fleet.configure_platform(is_down=True)
        result = fleet.cli("apply", "examples/claims")
        self.assertEqual(3, result.returncode, result.stderr)
        time.sleep(3)
        for node_id in FOUR_NODES:
            self.assertEqual(200, fleet.call(node_id, "/catalogue/1").status)
        fleet.configure_platform(is_down=False)
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        self.assert_no_history_violations(fleet)

    def test_change_reaches_every_node_through_a_slow_platform(self):
        fleet = self.start()
        fleet.configure_platform(delay_s=0.5)
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        self.assert_no_history_violations(fleet)

    def test_lost_response_to_a_write_yields_one_commit(self):
        fleet = self.start()
        fleet.configure_platform(lose_write_answers=1)
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        trail = fleet.cli("log").stdout.splitlines()
        self.assertEqual(2, len(trail), trail)

    def test_regressed_platform_raises_an_alarm_and_lowers_no_epoch(self):
        fleet = self.start()
        old_head = fleet.read_platform_item("head")
        epoch = self.edit(fleet, 1)
        fleet.wait_epoch(epoch)
        fleet.write_platform_item("head", old_head)
        relay = self.relay_of(fleet, "da")
        wait_until(
            lambda: "platform went back in time" in fleet.status(relay)["alarms"],
            what="alarm",
        )
        self.assertEqual({epoch}, {fleet.status(n)["epoch"] for n in FOUR_NODES})
        result = fleet.cli("recover", "--above-epoch", str(epoch))
        self.assertEqual(0, result.returncode, result.stderr)
        fleet.wait_epoch(epoch + 1)
        self.assert_no_history_violations(fleet)


class RejectionTests(MeshTestCase):
    def test_unchecked_invalid_document_is_rejected_and_reported(self):
        fleet = self.start()
        fleet.commit_unchecked("catalogue", lambda d: d["routes"][0].update(pool="x"))
        wait_until(
            lambda: all(fleet.status(n)["alarms"] for n in FOUR_NODES), what="alarms"
        )
        status = fleet.status("b2")["services"]["catalogue"]
        self.assertEqual(
            (2, 1), (status["accepted_version"], status["applied_version"])
        )
        self.assertIn("no pool 'x'", status["rejection"]["reason"])
        result = fleet.cli("apply", "examples/claims")
        self.assertEqual(0, result.returncode, result.stderr)
        fleet.wait_epoch(3)
        metrics = fleet.metrics("b2")
        self.assertEqual(1, metrics["guavagap_config_rejected_services"])
        services = fleet.status("b2")["services"]
        self.assertEqual(1, services["approval"]["applied_version"])
        self.assert_no_history_violations(fleet)
