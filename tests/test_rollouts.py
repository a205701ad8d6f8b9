"""Tests of the rollout policy, and of rollouts on real processes."""

import math
import random
import threading
import time
from bisect import bisect_left
from pathlib import Path

import testtools
from hypothesis import given, settings, strategies

from guavagap.clock import steady_s
from guavagap.evidence import LATENCY_BOUNDS_MS, EvidenceRow, EvidenceWindows
from guavagap.rollouts import (
    ORDERED_POLICY,
    SEQUENTIAL_POLICY,
    decide_next_step,
    find_fault,
)
from standins.demo import write_catalogue
from standins.fleet import wait_until
from tests.cases import FleetTestCase
from tests.test_mesh_failures import FOUR_NODES, SHORT_TIMEOUTS

BUCKET_COUNT = len(LATENCY_BOUNDS_MS) + 1
ZERO_TRAFFIC_S = 3.0
# Speed factors; the run times of healthy backend servers of one service differ by a
# factor of three on the platform.
SERVER_SPEEDS = (0.5, 1.0, 1.0, 1.5)
MEAN_RUN_MS = 160.0
RUN_SPREAD = 0.5


def make_row(version, requests, failures=0, server="s", bucket=2, route="r"):
    """Return a row whose requests are all in one latency bucket."""
    buckets = tuple(requests if n == bucket else 0 for n in range(BUCKET_COUNT))
    return EvidenceRow("cart", version, route, server, requests, failures, buckets)


def draw_row(rng, version, server, requests, speed, slow_share=0.0, slowdown=1):
    """Return a row of requests with latencies drawn for a server's speed factor."""
    buckets = [0] * BUCKET_COUNT
    mean = math.log(MEAN_RUN_MS * speed) - RUN_SPREAD**2 / 2
    for _ in range(requests):
        time_ms = rng.lognormvariate(mean, RUN_SPREAD)
        if slow_share and rng.random() < slow_share:
            time_ms *= slowdown
        buckets[bisect_left(LATENCY_BOUNDS_MS, time_ms)] += 1
    return EvidenceRow("cart", version, "r", server, requests, 0, tuple(buckets))


def make_rollout(weight=10, state="running", started_s=0.0, complete_by_s=100.0):
    """Return a rollout that started at time 0."""
    return {
        "from_version": "v1",
        "to_version": "v2",
        "state": state,
        "weight_permille": weight,
        "started_at_s": 0.0,
        "stage_started_at_s": started_s,
        "complete_by_s": complete_by_s,
        "reason": "",
    }


class FindFaultTests(testtools.TestCase):
    def find(self, *ticks):
        windows = EvidenceWindows("v1", "v2")
        for rows in ticks:
            windows.add_tick(tuple(rows))
        return find_fault(SEQUENTIAL_POLICY, windows.windows())

    def test_failing_version_is_found(self):
        finding = self.find([make_row("v1", 500, 1), make_row("v2", 10, 6)])
        self.assertIn("6 of 10", finding.reason)

    def test_failures_on_one_route_only_are_found(self):
        rows = [make_row("v1", 500, 1, route=r) for r in ("a", "b")]
        rows += [make_row("v2", 300, 0, route="a"), make_row("v2", 10, 6, route="b")]
        self.assertEqual("b", self.find(rows).route)

    def test_failures_of_both_versions_are_not_attributed_to_the_new_one(self):
        self.assertIsNone(self.find([make_row("v1", 500, 250), make_row("v2", 20, 11)]))

    def test_slow_version_is_found_after_its_cold_requests(self):
        fast = make_row("v1", 500)
        cold = self.find([fast, make_row("v2", 25, bucket=9)])
        self.assertIsNone(cold)
        ticks = [[fast, make_row("v2", 25, bucket=9)] for _ in range(4)]
        self.assertIn("slow", self.find(*ticks).reason)

    def test_a_stall_of_some_servers_is_not_taken_for_slowness(self):
        usual = [make_row("v1", 40, server=f"o{n}") for n in range(4)]
        usual += [make_row("v2", 40, server=f"n{n}") for n in range(4)]
        stalled = [make_row("v1", 40, server=f"o{n}") for n in range(4)]
        for number in range(4):
            bucket = 9 if number < 2 else 2
            stalled.append(make_row("v2", 40, server=f"n{number}", bucket=bucket))
        self.assertIsNone(self.find(usual, usual, stalled, usual))

    def test_version_on_the_slowest_healthy_servers_is_not_faulty(self):
        found = [seed for seed in range(40) if self.is_slow_pair_faulty(seed)]
        self.assertEqual([], found)

    def test_version_on_slow_servers_of_one_domain_is_not_faulty(self):
        fastest, slowest = min(SERVER_SPEEDS), max(SERVER_SPEEDS)
        found = [
            seed
            for seed in range(40)
            if self.first_faulty_tick(seed, (slowest,), old_speeds=(fastest,))
            is not None
        ]
        self.assertEqual([], found)

    def test_version_that_is_slow_at_times_is_found_by_one_domain(self):
        missed = [
            seed
            for seed in range(40)
            if self.first_faulty_tick(seed, (1.0,), 0.5, old_speeds=(1.0,)) is None
        ]
        self.assertEqual([], missed)

    def test_version_that_is_always_slow_is_found_by_one_domain(self):
        missed = [
            seed
            for seed in range(40)
            if self.first_faulty_tick(seed, (1.0,), 1.0, old_speeds=(1.0,)) is None
        ]
        self.assertEqual([], missed)

    def test_version_that_is_slow_at_times_is_found_in_time(self):
        tick_s, slow_requests_per_tick = 0.3, 2
        limit_ticks = 50 / slow_requests_per_tick + 5.0 / tick_s
        late = []
        for seed in range(40):
            tick = self.first_faulty_tick(seed, SERVER_SPEEDS[:2], slow_share=0.5)
            if tick is None or tick > limit_ticks:
                late.append((seed, tick))
        self.assertEqual([], late)

    def is_slow_pair_faulty(self, seed: int) -> bool:
        """Evaluate a version on two servers as slow as the slowest old server."""
        return self.first_faulty_tick(seed, (max(SERVER_SPEEDS),) * 2) is not None

    def first_faulty_tick(
        self, seed, new_speeds, slow_share=0.0, slowdown=8, old_speeds=SERVER_SPEEDS
    ) -> int | None:
        """Evaluate a version for 60 ticks; return the tick at which it is faulty.

        With one old server, the evidence is that of a single failure domain.
        """
        rng = random.Random(seed)
        windows = EvidenceWindows("v1", "v2")
        for tick in range(60):
            rows = [
                draw_row(rng, "v1", f"o{number}", 6, speed)
                for number, speed in enumerate(old_speeds)
            ]
            for number, speed in enumerate(new_speeds):
                row = draw_row(rng, "v2", f"n{number}", 2, speed, slow_share, slowdown)
                rows.append(row)
            windows.add_tick(tuple(rows))
            is_single_domain = len(old_speeds) == 1
            if find_fault(ORDERED_POLICY, windows.windows(), is_single_domain):
                return tick
        return None

    def test_one_failing_server_of_four_does_not_make_the_version_faulty(self):
        rows = [make_row("v1", 2000, 2)]
        rows += [make_row("v2", 50, 0, server=f"s{n}") for n in range(3)]
        rows.append(make_row("v2", 50, 40, server="s3"))
        self.assertIsNone(self.find(rows))

    def test_version_that_starts_to_fail_late_is_found_in_a_recent_window(self):
        healthy = [make_row("v1", 100), make_row("v2", 100)]
        failing = [make_row("v1", 100), make_row("v2", 20, 14)]
        self.assertIsNone(self.find(*[healthy] * 100))
        self.assertIsNotNone(self.find(*[healthy] * 100, failing, failing))

    @settings(deadline=None, max_examples=40)
    @given(strategies.integers(0, 10_000))
    def test_version_equal_to_the_old_one_is_not_faulty(self, seed):
        rng = random.Random(seed)
        share = rng.choice((0.0, 0.01, 0.1, 0.5))
        windows = EvidenceWindows("v1", "v2")
        for _ in range(60):
            rows = []
            for version, requests in (("v1", 95), ("v2", 5)):
                failures = sum(rng.random() < share for _ in range(requests))
                rows.append(make_row(version, requests, failures))
            windows.add_tick(tuple(rows))
            self.assertIsNone(find_fault(SEQUENTIAL_POLICY, windows.windows()))


class DecideNextStepTests(testtools.TestCase):
    def decide_next_step(self, rollout, now_s, requests=5, capacity=1000, windows=()):
        return decide_next_step(
            SEQUENTIAL_POLICY, rollout, list(windows), requests, capacity, now_s
        )

    def test_stages_advance_in_order_and_complete_in_time(self):
        rollout = make_rollout(weight=0)
        weights, now_s = [], 0.0
        while now_s < 100:
            decision = self.decide_next_step(rollout, now_s)
            if decision.is_complete:
                break
            if decision.weight_permille != rollout["weight_permille"]:
                weights.append(decision.weight_permille)
                rollout = rollout | {
                    "weight_permille": decision.weight_permille,
                    "stage_started_at_s": now_s,
                }
            now_s += 1.0
        self.assertEqual([10, 50, 200, 500, 1000], weights)
        self.assertTrue(decision.is_complete)

    def test_missed_stages_are_caught_up_without_skipping_one(self):
        rollout = make_rollout(weight=10, started_s=0.0)
        decision = self.decide_next_step(rollout, 99.0)
        self.assertEqual(50, decision.weight_permille)
        late = rollout | {"weight_permille": 50, "stage_started_at_s": 99.0}
        self.assertEqual(50, self.decide_next_step(late, 99.5).weight_permille)
        self.assertEqual(200, self.decide_next_step(late, 102.0).weight_permille)

    def test_rollout_advances_on_thin_evidence_and_says_so_in_the_reason(self):
        decision = self.decide_next_step(make_rollout(), 50.0, requests=0)
        self.assertEqual(50, decision.weight_permille)
        self.assertIn("thin", decision.reason)

    def test_weight_is_not_raised_without_enough_slots(self):
        decision = self.decide_next_step(make_rollout(weight=200), 99.0, capacity=300)
        self.assertEqual(200, decision.weight_permille)
        self.assertIn("slots", decision.reason)

    def test_paused_rollout_keeps_its_weight_but_is_still_evaluated(self):
        paused = make_rollout(weight=50, state="paused")
        self.assertEqual(50, self.decide_next_step(paused, 99.0).weight_permille)
        windows = EvidenceWindows("v1", "v2")
        windows.add_tick((make_row("v1", 500), make_row("v2", 10, 9)))
        decision = self.decide_next_step(paused, 99.0, windows=windows.windows())
        self.assertIsNotNone(decision.finding)


class RolloutProcessTests(FleetTestCase):
    """A mesh with old and new backend servers under constant load."""

    def start(self, **new_server_options: str):
        fleet = self.open_fleet(**SHORT_TIMEOUTS, allow_fault_injection="")
        self.start_mesh(fleet, FOUR_NODES)
        for index, node_id in enumerate(FOUR_NODES):
            fleet.start_server(f"old{index}", node_id, version="v1")
            fleet.start_server(
                f"new{index}", node_id, version="v2", **new_server_options
            )
        fleet.wait_backend_servers("catalogue", 8)
        self.start_callers(fleet)
        return fleet

    def start_callers(self, fleet):
        self.responses: list[tuple[float, str, int]] = []
        stop = threading.Event()

        def call(node_id: str) -> None:
            while not stop.is_set():
                if fleet.nodes[node_id].process.poll() is None:
                    self.call_once(fleet, node_id)
                time.sleep(0.02)

        threads = [threading.Thread(target=call, args=(n,)) for n in FOUR_NODES]
        for thread in threads:
            thread.start()

        def stop_callers():
            stop.set()
            for thread in threads:
                thread.join()

        self.addCleanup(stop_callers)
        wait_until(lambda: len(self.responses) > 100, what="responses")

    def call_once(self, fleet, node_id: str) -> None:
        try:
            response = fleet.call(node_id, "/catalogue/x")
        except OSError:
            return
        version = response.headers.get("x-version", "")
        self.responses.append((steady_s(), version, response.status))

    def edit(self, fleet, number=1, version="v2", complete_in_s=20.0):
        file = Path(fleet.folder) / "catalogue.toml"
        write_catalogue(file, number, version, complete_in_s)
        result = fleet.cli("apply", str(file))
        self.assertEqual(0, result.returncode, result.stderr)

    def wait_weight(self, fleet, weight: int):
        def reached():
            alive_node_ids = [
                n for n in FOUR_NODES if fleet.nodes[n].process.poll() is None
            ]
            rollout = fleet.status(alive_node_ids[0])["services"]["catalogue"][
                "rollout"
            ]
            return rollout is not None and rollout["weight_permille"] >= weight

        wait_until(reached, 60, f"weight {weight}")

    def verdict(self, fleet) -> int:
        """Wait for the verdict; return the exit code, 1 for a rollback."""
        return fleet.cli(
            "status", "catalogue", "--wait", "--timeout-s", "60"
        ).returncode

    def wait_notice(self, fleet, *node_ids: str):
        wait_until(
            lambda: all(fleet.status(n)["notices"] for n in node_ids or FOUR_NODES),
            60,
            "notice everywhere",
        )

    def assert_no_new_traffic(self):
        """Check that the faulty version gets no traffic after ``ZERO_TRAFFIC_S``."""
        time.sleep(ZERO_TRAFFIC_S)
        since_s = steady_s()
        time.sleep(1.0)
        late = [r for r in self.responses if r[0] > since_s and r[1] == "v2"]
        self.assertEqual([], late)

    def evaluator_id(self, fleet) -> str:
        """Return the identifier of the node that wrote the latest decision."""
        lines = fleet.cli("log", "catalogue").stdout.splitlines()
        return next(line.split("\t")[3] for line in lines if "\trollout\t" in line)

    def test_failing_version_is_rolled_back_and_final(self):
        fleet = self.start(failing_share="0.6")
        self.edit(fleet)
        self.assertEqual(1, self.verdict(fleet))
        self.assert_no_new_traffic()
        self.assertNotIn("at 20 %", fleet.cli("log", "catalogue").stdout)
        file = Path(fleet.folder) / "catalogue.toml"
        write_catalogue(file, 2, "v2", 30.0)
        result = fleet.cli("apply", str(file))
        self.assertEqual(1, result.returncode)
        self.assertIn("final", result.stderr)

    def test_slow_version_is_rolled_back(self):
        fleet = self.start(delay_ms="60")
        self.edit(fleet)
        self.assertEqual(1, self.verdict(fleet))
        self.assert_no_new_traffic()

    def test_faulty_version_loses_its_traffic_during_a_platform_outage(self):
        fleet = self.start(failing_share="0.6")
        self.edit(fleet, complete_in_s=60.0)
        self.wait_weight(fleet, 10)
        fleet.configure_platform(is_down=True)
        self.wait_notice(fleet)
        self.assert_no_new_traffic()
        fleet.configure_platform(is_down=False)
        self.assertEqual(1, self.verdict(fleet))

    def test_each_partitioned_domain_withdraws_the_traffic_on_its_own(self):
        fleet = self.start(failing_share="0.6")
        self.edit(fleet, complete_in_s=25.0)
        self.wait_weight(fleet, 10)
        for node_id in FOUR_NODES:
            others = [n for n in FOUR_NODES if FOUR_NODES[n] != FOUR_NODES[node_id]]
            fleet.block(node_id, others, platform=True)
        self.wait_notice(fleet)
        self.assert_no_new_traffic()

    def test_good_version_completes_although_its_evaluator_dies_twice(self):
        fleet = self.start()
        self.edit(fleet, complete_in_s=30.0)
        for weight in (10, 200):
            self.wait_weight(fleet, weight)
            fleet.kill(fleet.nodes[self.evaluator_id(fleet)].process)
        self.assertEqual(0, self.verdict(fleet))
        trail = fleet.cli("log", "catalogue").stdout
        for percent in ("1 %", "5 %", "20 %", "50 %", "100 %"):
            self.assertIn(f"at {percent}", trail)

    def test_good_version_completes_through_an_outage(self):
        fleet = self.start()
        self.edit(fleet, complete_in_s=30.0)
        self.wait_weight(fleet, 10)
        fleet.configure_platform(is_down=True)
        time.sleep(8)
        fleet.configure_platform(is_down=False)
        self.assertEqual(0, self.verdict(fleet))

    def test_document_raced_during_a_rollout_pauses_it(self):
        fleet = self.start()
        self.edit(fleet)
        self.wait_weight(fleet, 50)
        file = Path(fleet.folder) / "catalogue.toml"
        write_catalogue(file, 2, "v2", 20.0)
        text = file.read_text().replace("[wanted]", '[wanted]\nstate = "pause"')
        file.write_text(text)
        result = fleet.cli("apply", str(file))
        self.assertEqual(0, result.returncode, result.stderr)
        time.sleep(6)
        result = fleet.cli("status", "catalogue")
        self.assertIn("paused", result.stdout)
        self.edit(fleet, number=3, complete_in_s=15.0)
        self.assertEqual(0, self.verdict(fleet))
