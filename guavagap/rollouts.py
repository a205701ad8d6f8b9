"""The policy of rollouts: when the weight grows and when a version is bad.

A version is judged against the old one on the same route in the same window, by
a mixture of likelihood ratios. Under a fair comparison the chance that the
ratio ever reaches ``1 / false_alarm`` is at most ``false_alarm_probability`` (Ville's
inequality), so it may be looked at any time. Little traffic gives a small
ratio: it says "not enough", never "good".
"""

import math
from typing import NamedTuple

from guavagap.evidence import OutcomeCounts, RouteEvidence, sum_counts
from guavagap.head import Rollout

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
EXCESS_SHARES = (0.05, 0.2, 0.5, 0.9)
SLOW_SHARE = 0.1
MIN_BASELINE_SHARE = 0.002
MIN_WINDOW_REQUESTS = 5
# A tenth of fewer requests is less than three: too few to tell a server's speed.
MIN_SERVER_REQUESTS = 30
# One step of a quarter; more would hide versions five times slower, less blames good
# ones on the slowest of servers that differ by a factor of three (FindFaultTests).
MAX_SLOWEST_SERVER_BUCKETS = 1
# Five steps of a quarter, a factor of three: by so much sound servers of one service
# differ, and one failure domain may have the fast ones of one version only.
SINGLE_DOMAIN_EXTRA_BUCKETS = 5
WORST_SERVER_FALSE_ALARM = 0.05


class Policy(NamedTuple):
    """How rollouts are stepped and judged.

    Attributes:
        weights_permille: the stages.
        time_shares: share of the time to ``complete_by`` for each stage.
        false_alarm: chance of a false verdict for each route and test.
        failing_ratio: with a threshold instead of the sequential test, how many
            times the old version's failure share is too much; 0 for the test.
        min_requests: with a threshold, requests needed for a judgement.
        finish_early_share: share of the time that is left over at the end.
        needed_slots_share: slots that a weight needs, as a share of those that
            the old version has for the same weight.
    """

    weights_permille: tuple[int, ...]
    time_shares: tuple[float, ...]
    false_alarm_probability: float
    failing_ratio: float
    min_requests: int
    finish_early_share: float = 0.1
    required_slots_share: float = 1.0


SEQUENTIAL_POLICY = Policy(
    (10, 50, 200, 500, 1000), (0.2, 0.2, 0.2, 0.2, 0.2), 1e-5, 0.0, 0
)
THRESHOLD_POLICY = Policy(
    (10, 50, 200, 500, 1000), (0.2, 0.2, 0.2, 0.2, 0.2), 0.0, 3.0, 20
)
# An order leaves seconds: most of them go to a weight that is below the share of
# requests that a bad version may get, a tenth. Pools are sized so that two thirds of
# them carry the load.
ORDERED_POLICY = Policy(
    (30, 80, 300, 1000), (0.15, 0.45, 0.2, 0.2), 1e-5, 0.0, 0, 0.2, 0.66
)


class Finding(NamedTuple):
    """Why a version is bad, in words and figures."""

    route: str
    reason: str


class Decision(NamedTuple):
    """What to do with a rollout now.

    Attributes:
        weight_permille: the next weight; the present one when nothing changes.
        is_complete: whether the new version has taken over.
        finding: why it must be rolled back, None otherwise.
        reason: for the operator.
    """

    weight_permille: int
    is_complete: bool
    finding: Finding | None
    reason: str


def _log_likelihood_ratio(count: int, total: int, base_share: float) -> float:
    """Return the log of the mixed likelihood ratio for too large a share."""
    ratios = []
    for excess in EXCESS_SHARES:
        share = base_share + (1.0 - base_share) * excess
        ratios.append(
            count * math.log(share / base_share)
            + (total - count) * math.log((1.0 - share) / (1.0 - base_share))
        )
    largest = max(ratios)
    mean = sum(math.exp(ratio - largest) for ratio in ratios) / len(ratios)
    return largest + math.log(mean)


def _upper_confidence_bound(count: int, total: int) -> float:
    """Return a share with an allowance for few observations."""
    share = (count + 1) / (total + 2)
    share += math.sqrt(share * (1 - share) / (total + 2))
    return min(0.95, max(MIN_BASELINE_SHARE, share))


def _sum_without_worst_server(
    by_server: dict[str, OutcomeCounts], count_events
) -> OutcomeCounts | None:
    """Return the sum without the server that looks worst."""
    if len(by_server) < 2:
        return None

    def badness(server_id: str) -> float:
        counts = by_server[server_id]
        return (count_events(counts) + 1) / (counts.requests + 2)

    worst = max(by_server, key=badness)
    return sum_counts(v for key, v in by_server.items() if key != worst)


def _first_slow_bucket(evidence: RouteEvidence, is_single_domain: bool) -> int:
    """Return the first latency bucket that counts as slow.

    The slowest backend server of the old version sets it where there is one that
    has served enough: sound servers differ in speed, and the new version may run on
    slow ones. It sets it within a limit, since that server may have a fault.
    """
    usual = _bucket_above_slow_quantile(evidence.history)
    if is_single_domain:
        return usual + SINGLE_DOMAIN_EXTRA_BUCKETS
    slowest = max(
        (
            _bucket_above_slow_quantile(counts)
            for counts in evidence.history_by_server.values()
            if counts.requests >= MIN_SERVER_REQUESTS
        ),
        default=usual,
    )
    return min(max(usual, slowest), usual + MAX_SLOWEST_SERVER_BUCKETS)


def _bucket_above_slow_quantile(old: OutcomeCounts) -> int:
    """Return the first latency bucket that few requests need or exceed."""
    allowed = old.requests * SLOW_SHARE
    above = old.requests
    for bucket, count in enumerate(old.latency_buckets):
        above -= count
        if above <= allowed:
            return bucket + 1
    return len(old.latency_buckets)


def _baseline_share(evidence: RouteEvidence, count_events) -> float:
    """Return the share that the old version is granted.

    Its history makes up for a window with few requests; a window in which it does
    worse than in its history counts in full, so that a trouble which hits both
    versions is not blamed on the new one.
    """
    old, history = evidence.old, evidence.history
    share = _upper_confidence_bound(count_events(history), history.requests)
    if old.requests >= MIN_WINDOW_REQUESTS:
        share = max(share, min(0.95, count_events(old) / old.requests))
    return share


def _is_excess(
    policy: Policy,
    evidence: RouteEvidence,
    by_server: dict[str, OutcomeCounts],
    count_events,
    baseline_floor: float = 0.0,
) -> bool:
    """Return whether the new version has too many of what ``count_events`` counts.

    The old version is granted ``baseline_floor`` of them at least.

    One bad server of several is not a bad version: without the worst one there
    must still be a sign of it.
    """
    new = sum_counts(by_server.values())
    if not new.requests:
        return False
    if policy.failing_ratio:
        return _is_over_threshold(policy, evidence.old, new, count_events)
    base_share = max(baseline_floor, _baseline_share(evidence, count_events))
    bound = -math.log(policy.false_alarm_probability)
    if _log_likelihood_ratio(count_events(new), new.requests, base_share) < bound:
        return False
    others = _sum_without_worst_server(by_server, count_events)
    if others is None:
        return True
    weak_bound = -math.log(WORST_SERVER_FALSE_ALARM)
    return (
        _log_likelihood_ratio(count_events(others), others.requests, base_share)
        >= weak_bound
    )


def _is_over_threshold(
    policy: Policy, old: OutcomeCounts, new: OutcomeCounts, count_events
):
    if new.requests < policy.min_requests or old.requests < policy.min_requests:
        return False
    old_share = max(count_events(old) / old.requests, 0.01)
    return count_events(new) / new.requests > policy.failing_ratio * old_share


def _find_route_fault(
    policy: Policy, evidence: RouteEvidence, is_single_domain: bool
) -> Finding | None:
    old = evidence.history
    if _is_excess(policy, evidence, evidence.new_by_server, lambda s: s.failures):
        new = sum_counts(evidence.new_by_server.values())
        return Finding(
            evidence.route,
            f"route {evidence.route}: {new.failures} of {new.requests} requests"
            f" failed, against {old.failures} of {old.requests}",
        )
    bucket = _first_slow_bucket(evidence, is_single_domain)

    def count_slow(counts: OutcomeCounts) -> int:
        return sum(counts.latency_buckets[bucket:])

    if _is_excess(policy, evidence, evidence.warm_by_server, count_slow, SLOW_SHARE):
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
    """Return why a version is bad, None while the evidence does not say so.

    Args:
        policy: the policy.
        windows: the evidence.
        is_of_one_domain: whether it comes from the callers of one failure domain,
            who use the backend servers near them.
    """
    for window in windows:
        for evidence in window:
            finding = _find_route_fault(policy, evidence, is_single_domain)
            if finding is not None:
                return finding
    return None


def _count_entered_stages(policy: Policy, weight_permille: int) -> int:
    """Return the number of stages that have been entered."""
    return sum(weight <= weight_permille for weight in policy.weights_permille)


def _stage_end_s(policy: Policy, rollout: Rollout, stage: int) -> float:
    """Return when the present stage has lasted its share of the time left."""
    started_s = rollout["stage_started_at_s"]
    whole_s = rollout["complete_by_s"] - rollout["started_at_s"]
    target_s = rollout["complete_by_s"] - policy.finish_early_share * max(0.0, whole_s)
    left_s = max(0.0, target_s - started_s)
    shares = policy.time_shares[stage - 1 :]
    return started_s + max(MIN_STAGE_S, left_s * shares[0] / sum(shares))


def decide_next_step(
    policy: Policy,
    rollout: Rollout,
    windows: list[list[RouteEvidence]],
    stage_requests: int,
    capacity_permille: int,
    now_s: float,
) -> Decision:
    """Return what to do with a running rollout.

    Args:
        policy: the policy.
        rollout: its state in the head.
        windows: the evidence.
        stage_requests: requests of the new version in this stage.
        capacity_permille: weight that the new version's slots can carry.
        now_s: wall clock.
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
    seen = f"{stage_requests} requests at {weight / 10:g} % showed no fault"
    if not stage_requests and stage:
        seen = f"thin evidence: no request at {weight / 10:g} %"
    if stage == len(policy.weights_permille):
        return Decision(weight, True, None, seen)
    next_weight = policy.weights_permille[stage]
    if next_weight * policy.required_slots_share > capacity_permille:
        reason = f"waiting for slots: {capacity_permille / 10:g} % can be carried"
        return Decision(weight, False, None, reason)
    return Decision(next_weight, False, None, seen if stage else "started")
