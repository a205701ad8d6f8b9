"""Rollout policy: when the weight increases and when a version is faulty.

The new version is compared with the old one on the same route and in the same
window, by a mixture of likelihood ratios. If the versions are equal, the
probability that the ratio ever reaches ``1 / false_alarm_probability`` is at most
``false_alarm_probability`` (Ville's inequality), so the test may be repeated at any
time. With little traffic the ratio stays small, which means that the evidence is
insufficient, not that the version is healthy.
"""

import math
from typing import NamedTuple

from guavagap.evidence import (
    NO_OBSERVATION,
    Observation,
    OutcomeCounts,
    RouteEvidence,
    sum_counts,
)
from guavagap.head import Rollout
from guavagap.rollout_health import is_proven_healthy
from guavagap.rollout_statistics import (
    SINGLE_DOMAIN_EXTRA_BUCKETS,
    SLOW_SHARE,
    baseline_share,
    bucket_above_slow_quantile,
)

__all__ = [
    "Decision",
    "Finding",
    "ORDERED_POLICY",
    "Policy",
    "SEQUENTIAL_POLICY",
    "THRESHOLD_POLICY",
    "decide_next_step",
    "find_fault",
]

FULL_WEIGHT_PERMILLE = 1000
MIN_STAGE_S = 2.0
# Alternative hypotheses of the test, with equal weights: the share of requests that a
# faulty version fails or delays although a healthy version would not.
EXCESS_SHARES = (0.05, 0.2, 0.5, 0.9)
# With fewer requests the slowest tenth has fewer than three requests, which is too few
# to estimate the speed of a server.
MIN_SERVER_REQUESTS = 30
# One bucket is a step of a quarter. More buckets would hide versions that are five
# times slower. Without this one, healthy versions are rolled back if they run on the
# slowest of servers whose speeds differ by a factor of three (FindFaultTests).
MAX_SLOWEST_SERVER_EXTRA_BUCKETS = 1
REMAINING_SERVERS_FALSE_ALARM_PROBABILITY = 0.05


class Policy(NamedTuple):
    """Stages and statistical thresholds of rollouts.

    Attributes:
        weights_permille: weight of each stage.
        time_shares: share of the time to ``complete_by_s`` for each stage.
        false_alarm_probability: probability of a false alarm for each route and test.
        threshold_ratio: selects a fixed threshold instead of the sequential test:
            the highest accepted multiple of the old version's share. 0 selects the
            sequential test.
        min_requests: with a fixed threshold, the minimum number of requests of each
            version for a verdict.
        finish_early_share: share of the duration that is left unused at its end.
        required_slots_share: slots required for a weight, as a share of the slots
            that the old version has for the same weight.
        max_unproven_weight_permille: highest weight of a version that the evidence
            has not shown to be healthy.
    """

    weights_permille: tuple[int, ...]
    time_shares: tuple[float, ...]
    false_alarm_probability: float
    threshold_ratio: float
    min_requests: int
    finish_early_share: float = 0.1
    required_slots_share: float = 1.0
    max_unproven_weight_permille: int = FULL_WEIGHT_PERMILLE


SEQUENTIAL_POLICY = Policy(
    (10, 50, 200, 500, 1000), (0.2, 0.2, 0.2, 0.2, 0.2), 1e-5, 0.0, 0
)
THRESHOLD_POLICY = Policy(
    (10, 50, 200, 500, 1000), (0.2, 0.2, 0.2, 0.2, 0.2), 0.0, 3.0, 20
)
# Ordered rollouts take seconds. Most of the time is spent at a weight below a tenth,
# the share of requests that a faulty version may receive. Pools are sized so that two
# thirds of a pool carry the load.
ORDERED_POLICY = Policy(
    (30, 80, 300, 1000), (0.15, 0.45, 0.2, 0.2), 1e-5, 0.0, 0, 0.2, 0.66, 100
)


class Finding(NamedTuple):
    """The reason why a version is faulty, and the route that shows it."""

    route: str
    reason: str


class Decision(NamedTuple):
    """The next step of a rollout.

    Attributes:
        weight_permille: the next weight; the current one if nothing changes.
        is_complete: whether the last stage is over, in which the new version receives
            all traffic.
        finding: why the version must be rolled back; None if it must not.
        reason: explanation for the operator.
    """

    weight_permille: int
    is_complete: bool
    finding: Finding | None
    reason: str


def _log_likelihood_ratio(count: int, total: int, baseline: float) -> float:
    """Return the log of the likelihood ratio of a faulty and a healthy version.

    The ratio is the mean of the ratios over ``EXCESS_SHARES``.
    """
    ratios = []
    for excess in EXCESS_SHARES:
        share = baseline + (1.0 - baseline) * excess
        ratios.append(
            count * math.log(share / baseline)
            + (total - count) * math.log((1.0 - share) / (1.0 - baseline))
        )
    largest = max(ratios)
    mean = sum(math.exp(ratio - largest) for ratio in ratios) / len(ratios)
    return largest + math.log(mean)


def _sum_without_worst_server(
    by_server: dict[str, OutcomeCounts], count_events
) -> OutcomeCounts | None:
    """Return the sum without the server that has the highest share of events.

    Returns:
        The sum, or None if there is only one server.
    """
    if len(by_server) < 2:
        return None

    def smoothed_share(server_id: str) -> float:
        counts = by_server[server_id]
        return (count_events(counts) + 1) / (counts.requests + 2)

    worst = max(by_server, key=smoothed_share)
    return sum_counts(v for key, v in by_server.items() if key != worst)


def _first_slow_bucket(evidence: RouteEvidence, is_single_domain: bool) -> int:
    """Return the first latency bucket that counts as slow.

    The bucket follows the slowest backend server of the old version that has served
    enough requests, because healthy servers differ in speed and the new version may
    run on slow ones. The allowance is limited, since that server may be faulty. For
    evidence of a single failure domain it is ``SINGLE_DOMAIN_EXTRA_BUCKETS``.
    """
    baseline_bucket = bucket_above_slow_quantile(evidence.history)
    if is_single_domain:
        return baseline_bucket + SINGLE_DOMAIN_EXTRA_BUCKETS
    slowest_bucket = max(
        (
            bucket_above_slow_quantile(counts)
            for counts in evidence.history_by_server.values()
            if counts.requests >= MIN_SERVER_REQUESTS
        ),
        default=baseline_bucket,
    )
    return min(
        max(baseline_bucket, slowest_bucket),
        baseline_bucket + MAX_SLOWEST_SERVER_EXTRA_BUCKETS,
    )


def _has_excess(
    policy: Policy,
    evidence: RouteEvidence,
    by_server: dict[str, OutcomeCounts],
    count_events,
    baseline_floor: float = 0.0,
) -> bool:
    """Return whether the new version has too many of the counted events.

    One faulty server of several does not make a version faulty: the other servers
    must show the excess too, at a weaker threshold.

    Args:
        policy: the policy.
        evidence: the evidence on one route.
        by_server: counts of the new version, by backend server.
        count_events: returns the number of events, failed or slow requests, in counts.
        baseline_floor: minimum share of events to expect of a healthy version.
    """
    new = sum_counts(by_server.values())
    if not new.requests:
        return False
    if policy.threshold_ratio:
        return _is_over_threshold(policy, evidence.old, new, count_events)
    expected_share = max(baseline_floor, baseline_share(evidence, count_events))
    log_threshold = -math.log(policy.false_alarm_probability)
    if (
        _log_likelihood_ratio(count_events(new), new.requests, expected_share)
        < log_threshold
    ):
        return False
    remaining = _sum_without_worst_server(by_server, count_events)
    if remaining is None:
        return True
    remaining_log_threshold = -math.log(REMAINING_SERVERS_FALSE_ALARM_PROBABILITY)
    return (
        _log_likelihood_ratio(
            count_events(remaining), remaining.requests, expected_share
        )
        >= remaining_log_threshold
    )


def _is_over_threshold(
    policy: Policy, old: OutcomeCounts, new: OutcomeCounts, count_events
):
    if new.requests < policy.min_requests or old.requests < policy.min_requests:
        return False
    old_share = max(count_events(old) / old.requests, 0.01)
    return count_events(new) / new.requests > policy.threshold_ratio * old_share


def _find_route_fault(
    policy: Policy, evidence: RouteEvidence, is_single_domain: bool
) -> Finding | None:
    old = evidence.history
    if _has_excess(policy, evidence, evidence.new_by_server, lambda s: s.failures):
        new = sum_counts(evidence.new_by_server.values())
        return Finding(
            evidence.route,
            f"route {evidence.route}: {new.failures} of {new.requests} requests"
            f" failed, against {old.failures} of {old.requests}",
        )
    bucket = _first_slow_bucket(evidence, is_single_domain)

    def count_slow(counts: OutcomeCounts) -> int:
        return sum(counts.latency_buckets[bucket:])

    if _has_excess(policy, evidence, evidence.warm_by_server, count_slow, SLOW_SHARE):
        new = sum_counts(evidence.warm_by_server.values())
        return Finding(
            evidence.route,
            f"route {evidence.route}: {count_slow(new):.0f} of {new.requests} requests"
            f" were slow, against {count_slow(old)} of {old.requests}",
        )
    return None


def find_fault(
    policy: Policy,
    windows: list[list[RouteEvidence]],
    is_single_domain: bool = False,
) -> Finding | None:
    """Return the first fault of a version that the evidence shows, or None.

    Args:
        policy: the policy.
        windows: the evidence, by window and route.
        is_single_domain: whether the evidence comes from the callers of one failure
            domain only, who use the backend servers in the same failure domain.
    """
    for window in windows:
        for evidence in window:
            finding = _find_route_fault(policy, evidence, is_single_domain)
            if finding is not None:
                return finding
    return None


def _count_entered_stages(policy: Policy, weight_permille: int) -> int:
    """Return the number of stages that a rollout with this weight has entered."""
    return sum(weight <= weight_permille for weight in policy.weights_permille)


def _stage_end_s(policy: Policy, rollout: Rollout, stage: int) -> float:
    """Return when the current stage has used its share of the remaining time."""
    started_s = rollout["stage_started_at_s"]
    duration_s = rollout["complete_by_s"] - rollout["started_at_s"]
    target_s = rollout["complete_by_s"] - policy.finish_early_share * max(
        0.0, duration_s
    )
    remaining_s = max(0.0, target_s - started_s)
    shares = policy.time_shares[stage - 1 :]
    return started_s + max(MIN_STAGE_S, remaining_s * shares[0] / sum(shares))


def decide_next_step(
    policy: Policy,
    rollout: Rollout,
    windows: list[list[RouteEvidence]],
    stage_requests: int,
    capacity_permille: int,
    now_s: float,
    observation: Observation = NO_OBSERVATION,
) -> Decision:
    """Return the next step of an active rollout.

    Args:
        policy: the policy.
        rollout: the current state of the rollout.
        windows: the evidence, by window and route.
        stage_requests: number of requests of the new version in the current stage.
        capacity_permille: weight that the new version's slots can carry.
        now_s: wall clock time.
        observation: the latest evidence, which has to prove the new version healthy
            before it gets more than the policy's highest weight without that.
    """
    weight = rollout["weight_permille"]
    finding = find_fault(policy, windows)
    if finding is not None:
        return Decision(0, False, finding, finding.reason)
    if rollout["state"] == "paused":
        return Decision(weight, False, None, rollout["reason"])
    stage = _count_entered_stages(policy, weight)
    if stage and now_s < _stage_end_s(policy, rollout, stage):
        return Decision(weight, False, None, rollout["reason"])
    summary = f"{stage_requests} requests at {weight / 10:g} % showed no fault"
    if not stage_requests and stage:
        summary = f"thin evidence: no request at {weight / 10:g} %"
    is_last_stage = stage == len(policy.weights_permille)
    next_weight = (
        FULL_WEIGHT_PERMILLE if is_last_stage else policy.weights_permille[stage]
    )
    is_unproven = next_weight > policy.max_unproven_weight_permille
    if is_unproven and not is_proven_healthy(observation):
        # The reason is stored, so it must not change with every request.
        return Decision(weight, False, None, "waiting for evidence")
    if is_last_stage:
        return Decision(weight, True, None, summary)
    if next_weight * policy.required_slots_share > capacity_permille:
        reason = f"waiting for slots: {capacity_permille / 10:g} % can be carried"
        return Decision(weight, False, None, reason)
    return Decision(next_weight, False, None, summary if stage else "started")
