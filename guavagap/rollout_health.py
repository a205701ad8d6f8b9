"""Proof by evidence that the new version of a rollout is healthy."""

import math

from guavagap.evidence import (
    Observation,
    OutcomeCounts,
    RouteEvidence,
    sum_counts,
)
from guavagap.rollout_statistics import (
    SINGLE_DOMAIN_EXTRA_BUCKETS,
    SLOW_SHARE,
    baseline_share,
    bucket_above_slow_quantile,
)

__all__ = ["is_proven_healthy"]

# A version counts as healthy once the evidence is this much less likely for a version
# that fails or delays this share of its requests.
UNHEALTHY_EXCESS_SHARE = 0.3
MAX_UNHEALTHY_LIKELIHOOD = 0.05
# Requests that end at their deadline are counted seconds after they were sent.
MIN_OBSERVED_TICKS = 7
# With less traffic, few requests reach a faulty version before it is found. An
# evaluator that has just taken over sees little for a moment, whatever the traffic.
MIN_OBSERVED_REQUESTS_PER_TICK = 3
MIN_LOW_TRAFFIC_TICKS = 20


def _log_unhealthy_ratio(count: int, total: int, baseline: float) -> float:
    """Return the log of the likelihood ratio of an unhealthy and a healthy version."""
    share = baseline + (1.0 - baseline) * UNHEALTHY_EXCESS_SHARE
    return count * math.log(share / baseline) + (total - count) * math.log(
        (1.0 - share) / (1.0 - baseline)
    )


def _log_ratios_of_route(evidence: RouteEvidence) -> tuple[float, float]:
    """Return how likely it is that a version fails, and delays, requests of a route.

    Each is the log of a likelihood ratio. A request is slow if it takes several times
    as long as those of the old version, which a cold start does not explain.
    """
    new = sum_counts(evidence.new_by_server.values())
    bucket = bucket_above_slow_quantile(evidence.history) + SINGLE_DOMAIN_EXTRA_BUCKETS

    def count_slow(counts: OutcomeCounts) -> float:
        return sum(counts.latency_buckets[bucket:])

    def count_failed(counts: OutcomeCounts) -> float:
        return counts.failures

    failed_ratio = _log_unhealthy_ratio(
        new.failures, new.requests, baseline_share(evidence, count_failed)
    )
    slow_share = max(SLOW_SHARE, baseline_share(evidence, count_slow))
    slow_ratio = _log_unhealthy_ratio(count_slow(new), new.requests, slow_share)
    return failed_ratio, slow_ratio


def is_proven_healthy(observation: Observation) -> bool:
    """Return whether the evidence shows that the new version is healthy.

    This takes more than evidence that shows no fault: an evaluator that has just
    started has none, and while the old version fails as well, none tells them apart.
    """
    ticks = observation.ticks
    if ticks < MIN_OBSERVED_TICKS:
        return False
    has_low_traffic = observation.requests < MIN_OBSERVED_REQUESTS_PER_TICK * ticks
    if has_low_traffic and ticks >= MIN_LOW_TRAFFIC_TICKS:
        return True
    return any(_excludes_unhealthy(window) for window in observation.windows)


def _excludes_unhealthy(window: list[RouteEvidence]) -> bool:
    """Return whether all routes together exclude that the version is unhealthy.

    No single route may make it likely.
    """
    ratios = [_log_ratios_of_route(evidence) for evidence in window]
    if not ratios or max(map(max, ratios)) > 0:
        return False
    totals = [sum(route_ratios) for route_ratios in zip(*ratios)]
    return max(totals) <= math.log(MAX_UNHEALTHY_LIKELIHOOD)
