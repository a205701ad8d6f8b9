"""Evidence on backend server versions, from the requests that were made."""

from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterable
from functools import reduce
from typing import NamedTuple

from guavagap.messages import EvidenceRow

__all__ = [
    "COLD_REQUESTS",
    "EvidenceKey",
    "OutcomeCounts",
    "EvidenceTable",
    "EvidenceWindows",
    "LATENCY_BOUNDS_MS",
    "RouteEvidence",
    "add_counts",
    "sum_counts",
]

# Steps of a quarter from 12 ms on: what tells a slow version from one on slow backend
# servers is less than a factor of two.
LATENCY_BOUNDS_MS = (
    *(1, 2, 3, 5, 8, 12, 16, 20, 25, 32, 40, 50, 64, 80),
    *(100, 125, 160, 200, 250, 320, 400, 500, 640, 800),
    *(1000, 1250, 1600, 2500),
)
WINDOW_TICKS = (5, 30)
COLD_REQUESTS = 30
# Requests of one server and tick that count as independent when time is judged.
MAX_INDEPENDENT_REQUESTS = 3
BUCKETS = len(LATENCY_BOUNDS_MS) + 1


class EvidenceKey(NamedTuple):
    """What a row of evidence is about."""

    service: str
    version: str
    route: str
    server_id: str


class OutcomeCounts(NamedTuple):
    """Outcomes counted so far.

    Attributes:
        latency_buckets: answered requests by ``LATENCY_BOUNDS_MS``; the last
            bucket is beyond the last bound.
    """

    requests: float
    failures: float
    latency_buckets: tuple[float, ...]


def add_counts(first: OutcomeCounts, second: OutcomeCounts) -> OutcomeCounts:
    """Return the sum of two counts."""
    buckets = tuple(
        a + b for a, b in zip(first.latency_buckets, second.latency_buckets)
    )
    return OutcomeCounts(
        first.requests + second.requests, first.failures + second.failures, buckets
    )


def subtract_counts(total: OutcomeCounts, part: OutcomeCounts) -> OutcomeCounts:
    """Return a count without a part of it."""
    buckets = tuple(a - b for a, b in zip(total.latency_buckets, part.latency_buckets))
    return OutcomeCounts(
        total.requests - part.requests, total.failures - part.failures, buckets
    )


def cap_sample_size(counts: OutcomeCounts) -> OutcomeCounts:
    """Return counts of one server and tick as if of a few requests.

    A process or a VM that stands still for a moment delays every request that is
    in it then. They are one observation rather than many.
    """
    if counts.requests <= MAX_INDEPENDENT_REQUESTS:
        return counts
    scale = MAX_INDEPENDENT_REQUESTS / counts.requests
    buckets = tuple(count * scale for count in counts.latency_buckets)
    return OutcomeCounts(MAX_INDEPENDENT_REQUESTS, counts.failures * scale, buckets)


ZERO_COUNTS = OutcomeCounts(0, 0, (0,) * BUCKETS)


def sum_counts(counts: Iterable[OutcomeCounts]) -> OutcomeCounts:
    """Return the sum of any number of counts."""
    return reduce(add_counts, counts, ZERO_COUNTS)


class _MutableCounts:
    __slots__ = ("requests", "failures", "latency_buckets")

    def __init__(self):
        self.requests = 0
        self.failures = 0
        self.latency_buckets = [0] * BUCKETS


class EvidenceTable:
    """Counts since they were last taken."""

    def __init__(self):
        self._counts: dict[tuple, _MutableCounts] = {}

    def record(self, key: EvidenceKey, is_failure: bool, latency_s: float) -> None:
        """Count one request."""
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _MutableCounts()
        counts.requests += 1
        counts.failures += is_failure
        bucket = bisect_left(LATENCY_BOUNDS_MS, latency_s * 1000)
        counts.latency_buckets[bucket] += 1

    def add_row(self, row: EvidenceRow) -> None:
        """Add a row of another node."""
        key = EvidenceKey(row.service, row.version, row.route, row.server_id)
        counts = self._counts.setdefault(key, _MutableCounts())
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


class RouteEvidence(NamedTuple):
    """Outcomes of two versions on one route in one window.

    Attributes:
        old: the version that carries the other traffic.
        history: the same since the rollout began.
        history_by_server: the same, by backend server.
        new_by_server: the new version, by backend server.
        warm_by_server: the same without each server's first requests.
    """

    route: str
    old: OutcomeCounts
    history: OutcomeCounts
    history_by_server: dict[str, OutcomeCounts]
    new_by_server: dict[str, OutcomeCounts]
    warm_by_server: dict[str, OutcomeCounts]


class _SlidingWindow:
    """Running sums over the latest ticks.

    Args:
        ticks: how many ticks to keep; None for all since the last clearing.
    """

    def __init__(self, ticks: int | None):
        self.sums: dict[EvidenceKey, OutcomeCounts] = {}
        self._limit = ticks
        self._ticks: deque[dict[EvidenceKey, OutcomeCounts]] = deque()

    def add(self, tick: dict[EvidenceKey, OutcomeCounts]) -> None:
        for key, counts in tick.items():
            self.sums[key] = add_counts(self.sums.get(key, ZERO_COUNTS), counts)
        if self._limit is None:
            return
        self._ticks.append(tick)
        if len(self._ticks) > self._limit:
            self._subtract(self._ticks.popleft())

    def _subtract(self, tick: dict[EvidenceKey, OutcomeCounts]) -> None:
        for key, counts in tick.items():
            left = subtract_counts(self.sums[key], counts)
            if left.requests > 0:
                self.sums[key] = left
            else:
                del self.sums[key]

    def clear(self) -> None:
        self.sums.clear()
        self._ticks.clear()


class EvidenceWindows:
    """Evidence on one rollout over recent windows and over its stage.

    Args:
        old_version: the version before.
        new_version: the version that is taking over.
        cold_requests: first requests of a server that do not count as slow.
    """

    def __init__(
        self, old_version: str, new_version: str, cold_requests: int = COLD_REQUESTS
    ):
        self._cold_requests = cold_requests
        self.old_version = old_version
        self.new_version = new_version
        self._all = [_SlidingWindow(ticks) for ticks in (*WINDOW_TICKS, None)]
        self._warm = [_SlidingWindow(ticks) for ticks in (*WINDOW_TICKS, None)]
        self._requests_by_server: Counter[str] = Counter()
        self._history: dict[str, dict[str, OutcomeCounts]] = {}

    def add_tick(self, rows: tuple[EvidenceRow, ...]) -> None:
        """Add what has arrived since the last tick."""
        tick: dict[EvidenceKey, OutcomeCounts] = {}
        for row in rows:
            key = EvidenceKey(row.service, row.version, row.route, row.server_id)
            counts = OutcomeCounts(row.requests, row.failures, row.latency_buckets)
            tick[key] = add_counts(tick.get(key, ZERO_COUNTS), counts)
        warm = {
            key: cap_sample_size(counts)
            for key, counts in tick.items()
            if self._is_warm(key)
        }
        for key, counts in tick.items():
            self._requests_by_server[key.server_id] += counts.requests
            if key.version == self.old_version:
                _add(self._history.setdefault(key.route, {}), key.server_id, counts)
        for window in self._all:
            window.add(tick)
        for window in self._warm:
            window.add(warm)

    def _is_warm(self, key: EvidenceKey) -> bool:
        return self._requests_by_server[key.server_id] >= self._cold_requests

    def reset_stage(self) -> None:
        """Leave earlier evidence on the new version out."""
        for window in (*self._all, *self._warm):
            window.clear()

    def count_stage_requests(self) -> int:
        """Return how many requests the new version has had in this stage."""
        return sum(
            counts.requests
            for key, counts in self._all[-1].sums.items()
            if key.version == self.new_version
        )

    def windows(self) -> list[list[RouteEvidence]]:
        """Return the evidence of the recent windows and of the stage."""
        return [self._read(index) for index in range(len(self._all))]

    def _read(self, index: int) -> list[RouteEvidence]:
        """Return the evidence of one window by route."""
        old: dict[str, OutcomeCounts] = {}
        new: dict[str, dict[str, OutcomeCounts]] = {}
        warm: dict[str, dict[str, OutcomeCounts]] = {}
        for key, counts in self._all[index].sums.items():
            if key.version == self.old_version:
                _add(old, key.route, counts)
            else:
                new.setdefault(key.route, {})[key.server_id] = counts
        for key, counts in self._warm[index].sums.items():
            if key.version == self.new_version:
                warm.setdefault(key.route, {})[key.server_id] = counts
        return [
            RouteEvidence(
                route,
                old.get(route, ZERO_COUNTS),
                sum_counts(self._history.get(route, {}).values()),
                self._history.get(route, {}),
                by_server,
                warm.get(route, {}),
            )
            for route, by_server in sorted(new.items())
        ]


def _add(sums: dict[str, OutcomeCounts], name: str, counts: OutcomeCounts) -> None:
    sums[name] = add_counts(sums.get(name, ZERO_COUNTS), counts)
