"""Compares rollout policies by simulation, with the production policy code.

The simulation generates the calls of one service second by second: two routes, four
backend servers of each version, noisy neighbours and cold starts. The seeds are
fixed, so the figures are reproducible. They derive from the text of a ``Case``: its
name and those of its fields must not change.
"""

import random
from bisect import bisect_left
from typing import NamedTuple

from bench.report import Report
from guavagap.evidence import LATENCY_BOUNDS_MS, EvidenceRow, EvidenceWindows
from guavagap.rollouts import (
    SEQUENTIAL_POLICY,
    THRESHOLD_POLICY,
    Policy,
    decide_next_step,
)

__all__ = ["run"]

DURATION_S = 300
OVERRUN_S = 30
SEEDS = 6
CALL_RATES_PER_S = (40.0, 4.0, 0.4)
FAULTS = ("failing", "slow")
ONSETS = ("at_once", "later", "under_load", "one_route")
LATER_SHARE = 0.5
LOADED_WEIGHT_PERMILLE = 500
SERVERS_PER_VERSION = 4
RARE_ROUTE_SHARE = 0.2
FAILURE_SHARE = 0.002
FAULT_FAILURE_SHARE = 0.3
FAULT_SLOWDOWN = 3.0
MEDIAN_LATENCY_MS = 2.0
LATENCY_SIGMA = 0.4
COLD_REQUESTS = 20
COLD_SLOWDOWN = 5.0
NOISE_S = 60
NOISE_SLOWDOWN = 4.0
ON_TIME_BOUND_SHARE = 0.95
ROLLED_BACK_BOUND_SHARE = 0.9
BUCKETS = len(LATENCY_BOUNDS_MS) + 1

POLICIES = {
    "threshold": THRESHOLD_POLICY,
    "sequential": SEQUENTIAL_POLICY,
    "sequential_middle": SEQUENTIAL_POLICY._replace(
        time_shares=(0.1, 0.2, 0.4, 0.2, 0.1)
    ),
    "sequential_early": SEQUENTIAL_POLICY._replace(
        time_shares=(0.4, 0.3, 0.15, 0.1, 0.05)
    ),
}


class Case(NamedTuple):
    """A simulated new version: its fault and its traffic."""

    fault: str
    onset: str
    calls_per_s: float
    seed: int


class Outcome(NamedTuple):
    """The outcome of a simulated rollout.

    Attributes:
        affected: calls that were affected by the fault.
        reaction_s: time from the first affected call to the rollback, None if the
            version was not rolled back.
    """

    is_completed: bool
    is_rolled_back: bool
    affected: int
    reaction_s: float | None


class _SimulatedService:
    """Simulates the calls of one service in one case."""

    def __init__(self, case: Case):
        self.case = case
        self.affected = 0
        self.first_affected_s: int | None = None
        self._random = random.Random(f"{case}")
        self._served: dict[str, int] = {}
        noise_start_s = self._random.uniform(0, DURATION_S - NOISE_S)
        version = self._random.choice(("v1", "v2"))
        self._noisy_server = f"{version}-{self._random.randrange(SERVERS_PER_VERSION)}"
        self._noise_window_s = (noise_start_s, noise_start_s + NOISE_S)

    def _is_faulty(self, second: int, weight: int, route: str) -> bool:
        case = self.case
        if case.fault == "good":
            return False
        if case.onset == "later":
            return second >= DURATION_S * LATER_SHARE
        if case.onset == "under_load":
            return weight >= LOADED_WEIGHT_PERMILLE
        return case.onset != "one_route" or route == "rare"

    def _simulate_call(
        self, second: int, weight: int
    ) -> tuple[str, str, str, bool, float]:
        rng = self._random
        version = "v2" if rng.random() * 1000 < weight else "v1"
        server = f"{version}-{rng.randrange(SERVERS_PER_VERSION)}"
        route = "rare" if rng.random() < RARE_ROUTE_SHARE else "usual"
        is_failed = rng.random() < FAILURE_SHARE
        latency_ms = MEDIAN_LATENCY_MS * rng.lognormvariate(0, LATENCY_SIGMA)
        served = self._served[server] = self._served.get(server, 0) + 1
        if version == "v2" and served <= COLD_REQUESTS:
            latency_ms *= COLD_SLOWDOWN
        if (
            server == self._noisy_server
            and self._noise_window_s[0] <= second < self._noise_window_s[1]
        ):
            latency_ms *= NOISE_SLOWDOWN
        if version == "v2" and self._is_faulty(second, weight, route):
            if self.case.fault == "failing":
                is_failed = is_failed or rng.random() < FAULT_FAILURE_SHARE
            else:
                latency_ms *= FAULT_SLOWDOWN
            self._record_affected(second, is_failed)
        return version, route, server, is_failed, latency_ms

    def _record_affected(self, second: int, is_failed: bool) -> None:
        if self.case.fault == "slow" or is_failed:
            self.affected += 1
            if self.first_affected_s is None:
                self.first_affected_s = second

    def tick(self, second: int, weight: int) -> tuple[EvidenceRow, ...]:
        """Simulate one second of calls and return their evidence."""
        rate = self.case.calls_per_s
        calls = int(rate) + (self._random.random() < rate % 1)
        rows: dict[tuple, list] = {}
        for _ in range(calls):
            version, route, server, is_failed, latency_ms = self._simulate_call(
                second, weight
            )
            row = rows.setdefault((version, route, server), [0, 0, [0] * BUCKETS])
            row[0] += 1
            row[1] += is_failed
            row[2][bisect_left(LATENCY_BOUNDS_MS, latency_ms)] += 1
        return tuple(
            EvidenceRow("s", version, route, server, row[0], row[1], tuple(row[2]))
            for (version, route, server), row in rows.items()
        )


def _simulate(policy: Policy, case: Case) -> Outcome:
    """Simulate the rollout of one case until it is decided."""
    service = _SimulatedService(case)
    windows = EvidenceWindows("v1", "v2")
    rollout = {
        "from_version": "v1",
        "to_version": "v2",
        "state": "running",
        "weight_permille": 0,
        "started_at_s": 0.0,
        "stage_started_at_s": 0.0,
        "complete_by_s": float(DURATION_S),
        "reason": "",
    }
    for second in range(DURATION_S + OVERRUN_S):
        windows.add_tick(service.tick(second, rollout["weight_permille"]))
        decision = decide_next_step(
            policy,
            rollout,
            windows.windows(),
            windows.count_stage_requests(),
            1000,
            float(second),
            windows.observation(),
        )
        if decision.finding is not None:
            since_s = service.first_affected_s
            reaction_s = 0.0 if since_s is None else float(second - since_s)
            return Outcome(False, True, service.affected, reaction_s)
        if decision.is_complete:
            return Outcome(second <= DURATION_S, False, service.affected, None)
        if decision.weight_permille != rollout["weight_permille"]:
            rollout["weight_permille"] = decision.weight_permille
            rollout["stage_started_at_s"] = float(second)
            windows.reset_stage()
    return Outcome(False, False, service.affected, None)


def _mean(outcomes: list[Outcome], field: str) -> float:
    return sum(getattr(item, field) for item in outcomes) / len(outcomes)


def _report_healthy(report: Report, name: str, rate: float, is_bounded: bool) -> None:
    cases = [Case("good", "never", rate, seed) for seed in range(SEEDS * 3)]
    outcomes = [_simulate(POLICIES[name], case) for case in cases]
    missed = 1.0 - _mean(outcomes, "is_completed")
    bound = 1.0 - ON_TIME_BOUND_SHARE if is_bounded else None
    report.add(f"{name}_good_late_or_lost_at_{rate:g}", missed, "share", bound)
    false_rollback_share = _mean(outcomes, "is_rolled_back")
    report.add(f"{name}_falsely_rolled_back_at_{rate:g}", false_rollback_share, "share")


def _report_faulty(
    report: Report, name: str, fault: str, rate: float, is_bounded: bool
) -> None:
    for onset in ONSETS:
        cases = [Case(fault, onset, rate, seed) for seed in range(SEEDS)]
        outcomes = [_simulate(POLICIES[name], case) for case in cases]
        label = f"{name}_{fault}_{onset}_at_{rate:g}"
        missed = 1.0 - _mean(outcomes, "is_rolled_back")
        has_high_rate = rate >= CALL_RATES_PER_S[0]
        bound = 1.0 - ROLLED_BACK_BOUND_SHARE if is_bounded and has_high_rate else None
        report.add(f"{label}_missed", missed, "share", bound)
        report.add(f"{label}_hurt", _mean(outcomes, "affected"), "callers")
        reactions = [
            outcome.reaction_s for outcome in outcomes if outcome.reaction_s is not None
        ]
        if reactions:
            report.add(f"{label}_reaction", sum(reactions) / len(reactions), "s")


def run(report: Report) -> None:
    """Simulate all cases with all policies; bounds apply to the one in use."""
    for name, policy in POLICIES.items():
        is_bounded = policy is SEQUENTIAL_POLICY
        for rate in CALL_RATES_PER_S:
            _report_healthy(report, name, rate, is_bounded)
            for fault in FAULTS:
                _report_faulty(report, name, fault, rate, is_bounded)
