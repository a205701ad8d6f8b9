"""Evidence on backend server versions, from the requests that were made."""

from bisect import bisect_left
from typing import NamedTuple

from guavagap.messages import EvidenceRow

__all__ = [
    "EvidenceKey",
    "EvidenceSum",
    "EvidenceTable",
    "LATENCY_BOUNDS_MS",
    "merge_sums",
]

LATENCY_BOUNDS_MS = (1, 2, 3, 5, 8, 12, 20, 32, 50, 80, 125, 200, 320, 500, 1000, 2500)
BUCKETS = len(LATENCY_BOUNDS_MS) + 1


class EvidenceKey(NamedTuple):
    """What a row of evidence is about."""

    service: str
    version: str
    route: str
    server_id: str


class EvidenceSum(NamedTuple):
    """Outcomes counted so far.

    Attributes:
        latency_buckets: answered requests by ``LATENCY_BOUNDS_MS``; the last
            bucket is beyond the last bound.
    """

    requests: int
    failures: int
    latency_buckets: tuple[int, ...]


def merge_sums(first: EvidenceSum, second: EvidenceSum) -> EvidenceSum:
    """Return the sum of two counts."""
    buckets = tuple(
        a + b for a, b in zip(first.latency_buckets, second.latency_buckets)
    )
    return EvidenceSum(
        first.requests + second.requests, first.failures + second.failures, buckets
    )


EMPTY_SUM = EvidenceSum(0, 0, (0,) * BUCKETS)


class _Counts:
    __slots__ = ("requests", "failures", "latency_buckets")

    def __init__(self):
        self.requests = 0
        self.failures = 0
        self.latency_buckets = [0] * BUCKETS


class EvidenceTable:
    """Counts since they were last taken."""

    def __init__(self):
        self._counts: dict[tuple, _Counts] = {}

    def record(self, key: EvidenceKey, is_failure: bool, latency_s: float) -> None:
        """Count one request."""
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _Counts()
        counts.requests += 1
        counts.failures += is_failure
        bucket = bisect_left(LATENCY_BOUNDS_MS, latency_s * 1000)
        counts.latency_buckets[bucket] += 1

    def add_row(self, row: EvidenceRow) -> None:
        """Add a row of another node."""
        key = EvidenceKey(row.service, row.version, row.route, row.server_id)
        counts = self._counts.setdefault(key, _Counts())
        counts.requests += row.requests
        counts.failures += row.failures
        for index, count in enumerate(row.latency_buckets[:BUCKETS]):
            counts.latency_buckets[index] += count

    def take(self, services: set[str]) -> tuple[EvidenceRow, ...]:
        """Return the rows of some services and start counting anew."""
        counts, self._counts = self._counts, {}
        return tuple(
            EvidenceRow(*key, row.requests, row.failures, tuple(row.latency_buckets))
            for key, row in counts.items()
            if key[0] in services
        )
