"""Statistics of request outcomes that the rollout policy shares."""

import math

from guavagap.evidence import OutcomeCounts, RouteEvidence

__all__ = [
    "SINGLE_DOMAIN_EXTRA_BUCKETS",
    "SLOW_SHARE",
    "baseline_share",
    "bucket_above_slow_quantile",
]

# Share of the requests of a healthy version that may be slow.
SLOW_SHARE = 0.1
MIN_BASELINE_SHARE = 0.002
MIN_WINDOW_REQUESTS = 5
# With as many, the window alone is a better estimate than one with the history.
MIN_COMPARABLE_REQUESTS = 50
# Five steps of a quarter are a factor of three, by which the speeds of healthy servers
# of one service differ. All fast servers of a failure domain may run one version.
SINGLE_DOMAIN_EXTRA_BUCKETS = 5


def _upper_confidence_bound(count: int, total: int) -> float:
    """Return a share plus one standard error, smoothed for few observations."""
    share = (count + 1) / (total + 2)
    share += math.sqrt(share * (1 - share) / (total + 2))
    return min(0.95, max(MIN_BASELINE_SHARE, share))


def bucket_above_slow_quantile(counts: OutcomeCounts) -> int:
    """Return the first bucket that at most ``SLOW_SHARE`` of the requests reach."""
    max_slow_requests = counts.requests * SLOW_SHARE
    requests_above = counts.requests
    for bucket, count in enumerate(counts.latency_buckets):
        requests_above -= count
        if requests_above <= max_slow_requests:
            return bucket + 1
    return len(counts.latency_buckets)


def baseline_share(evidence: RouteEvidence, count_events) -> float:
    """Return the share of events to expect of a healthy version.

    The history of the old version makes up for windows with few requests. If the old
    version does worse in the window than in its history, the window counts in full,
    so that a failure that affects both versions is not attributed to the new one. The
    history does not count in a window with many requests, so that failures which are
    over do not hide those of the new version.
    """
    old, history = evidence.old, evidence.history
    if old.requests >= MIN_COMPARABLE_REQUESTS:
        return _upper_confidence_bound(count_events(old), old.requests)
    share = _upper_confidence_bound(count_events(history), history.requests)
    if old.requests >= MIN_WINDOW_REQUESTS:
        share = max(share, min(0.95, count_events(old) / old.requests))
    return share
