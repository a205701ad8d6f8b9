"""Evidence on backend server versions: outcomes of the requests they served."""

from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterable
from functools import reduce
from typing import NamedTuple

from guavagap.messages import EvidenceRow

__all__ = [
    "COLD_REQUESTS",
    "EvidenceKey",
    "EvidenceTable",
    "EvidenceWindows",
    "LATENCY_BOUNDS_MS",
    "NO_OBSERVATION",
    "Observation",
    "OutcomeCounts",
    "RouteEvidence",
    "add_counts",
    "describe_route",
    "sum_counts",
]

# Steps of a quarter from 12 ms on: a slow version and a healthy version on slow backend
# servers differ by less than a factor of two.
LATENCY_BOUNDS_MS = (
    *(1, 2, 3, 5, 8, 12, 16, 20, 25, 32, 40, 50, 64, 80),
    *(100, 125, 160, 200, 250, 320, 400, 500, 640, 800),
    *(1000, 1250, 1600, 2500),
)
WINDOW_TICKS = (5, 30)
OBSERVATION_TICKS = (10, 30)
COLD_REQUESTS = 30
# Requests of one server and tick that count as independent observations of latency.
MAX_INDEPENDENT_REQUESTS = 3
BUCKET_COUNT = len(LATENCY_BOUNDS_MS) + 1


class EvidenceKey(NamedTuple):
    """The key by which outcomes are counted."""

    service: str
    version: str
    route: str
    server_id: str


class OutcomeCounts(NamedTuple):
    """Counts of request outcomes.

    Attributes:
        latency_buckets: number of requests by latency, including failed ones. The upper
            bounds are ``LATENCY_BOUNDS_MS``; the last bucket has none.
    """

    requests: float
    failures: float
    latency_buckets: tuple[float, ...]


def add_counts(first: OutcomeCounts, second: OutcomeCounts) -> OutcomeCounts:
    """Return the sum of two sets of counts."""
    buckets = tuple(
        a + b for a, b in zip(first.latency_buckets, second.latency_buckets)
    )
    return OutcomeCounts(
        first.requests + second.requests, first.failures + second.failures, buckets
    )


def subtract_counts(total: OutcomeCounts, part: OutcomeCounts) -> OutcomeCounts:
    """Return the counts without a part of them."""
    buckets = tuple(a - b for a, b in zip(total.latency_buckets, part.latency_buckets))
    return OutcomeCounts(
        total.requests - part.requests, total.failures - part.failures, buckets
    )


def cap_sample_size(counts: OutcomeCounts) -> OutcomeCounts:
    """Scale the counts down to at most ``MAX_INDEPENDENT_REQUESTS`` requests.

    A short stall of a process or VM delays all requests in it at once. They are one
    observation rather than many independent ones.

    Args:
        counts: the counts of one server in one tick.
    """
    if counts.requests <= MAX_INDEPENDENT_REQUESTS:
        return counts
    scale = MAX_INDEPENDENT_REQUESTS / counts.requests
    buckets = tuple(count * scale for count in counts.latency_buckets)
    return OutcomeCounts(MAX_INDEPENDENT_REQUESTS, counts.failures * scale, buckets)


ZERO_COUNTS = OutcomeCounts(0, 0, (0,) * BUCKET_COUNT)


def sum_counts(counts: Iterable[OutcomeCounts]) -> OutcomeCounts:
    """Return the sum of any number of sets of counts."""
    return reduce(add_counts, counts, ZERO_COUNTS)


class _MutableCounts:
    __slots__ = ("requests", "failures", "latency_buckets")

    def __init__(self):
        self.requests = 0
        self.failures = 0
        self.latency_buckets = [0] * BUCKET_COUNT


class EvidenceTable:
    """Counts of outcomes since the last call of :meth:`drain`."""

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
        """Add a row reported by a node."""
        key = EvidenceKey(row.service, row.version, row.route, row.server_id)
        counts = self._counts.setdefault(key, _MutableCounts())
        counts.requests += row.requests
        counts.failures += row.failures
        for index, count in enumerate(row.latency_buckets[:BUCKET_COUNT]):
            counts.latency_buckets[index] += count

    def drain(self, services: set[str]) -> tuple[EvidenceRow, ...]:
        """Return the rows of some services and reset all counts."""
        counts, self._counts = self._counts, {}
        return tuple(
            EvidenceRow(*key, row.requests, row.failures, tuple(row.latency_buckets))
            for key, row in counts.items()
            if key[0] in services
        )


class RouteEvidence(NamedTuple):
    """Outcomes of two versions on one route in one window.

    Attributes:
        old: counts of the old version in the window.
        history: counts of the old version since the start of the rollout.
        history_by_server: ``history`` by backend server.
        new_by_server: counts of the new version in the window, by backend server.
        warm_by_server: ``new_by_server`` without the first requests of each server,
            and with the sample size of each tick capped.
    """

    route: str
    old: OutcomeCounts
    history: OutcomeCounts
    history_by_server: dict[str, OutcomeCounts]
    new_by_server: dict[str, OutcomeCounts]
    warm_by_server: dict[str, OutcomeCounts]


def describe_route(evidence: RouteEvidence) -> str:
    """Return failed and all requests of both versions on a route, for logs."""
    new = sum_counts(evidence.new_by_server.values())
    old = evidence.old
    return (
        f"{evidence.route} new {new.failures}/{new.requests}"
        f" old {old.failures}/{old.requests}"
    )


class Observation(NamedTuple):
    """The latest evidence on a rollout, whatever its stage.

    Attributes:
        ticks: ticks since the first evidence, at most those of the longest window.
        requests: number of requests of both versions in them.
        windows: the evidence, by window and route.
    """

    ticks: int
    requests: float
    windows: list[list[RouteEvidence]]


NO_OBSERVATION = Observation(0, 0, [])


class _SlidingWindow:
    """Running sums over the latest ticks.

    Args:
        ticks: number of ticks to keep; None for all since :meth:`clear`.
    """

    def __init__(self, ticks: int | None):
        self.sums: dict[EvidenceKey, OutcomeCounts] = {}
        self._max_ticks = ticks
        self._ticks: deque[dict[EvidenceKey, OutcomeCounts]] = deque()

    def add(self, tick: dict[EvidenceKey, OutcomeCounts]) -> None:
        for key, counts in tick.items():
            self.sums[key] = add_counts(self.sums.get(key, ZERO_COUNTS), counts)
        if self._max_ticks is None:
            return
        self._ticks.append(tick)
        if len(self._ticks) > self._max_ticks:
            self._subtract(self._ticks.popleft())

    def _subtract(self, tick: dict[EvidenceKey, OutcomeCounts]) -> None:
        for key, counts in tick.items():
            remaining = subtract_counts(self.sums[key], counts)
            if remaining.requests > 0:
                self.sums[key] = remaining
            else:
                del self.sums[key]

    def clear(self) -> None:
        self.sums.clear()
        self._ticks.clear()


class EvidenceWindows:
    """Evidence on one rollout, over recent windows and over the current stage.

    Args:
        old_version: the version that the rollout replaces.
        new_version: the version that is rolled out.
        cold_requests: number of first requests of each server whose latency is
            ignored.
    """

    def __init__(
        self, old_version: str, new_version: str, cold_requests: int = COLD_REQUESTS
    ):
        self._cold_requests = cold_requests
        self.old_version = old_version
        self.new_version = new_version
        self._observations = [_SlidingWindow(ticks) for ticks in OBSERVATION_TICKS]
        self._observed_ticks = 0
        self._windows = [_SlidingWindow(ticks) for ticks in (*WINDOW_TICKS, None)]
        self._warm_windows = [_SlidingWindow(ticks) for ticks in (*WINDOW_TICKS, None)]
        self._requests_by_server: Counter[str] = Counter()
        self._history: dict[str, dict[str, OutcomeCounts]] = {}

    def add_tick(self, rows: tuple[EvidenceRow, ...]) -> None:
        """Add the evidence received since the last tick."""
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
                _add_to(self._history.setdefault(key.route, {}), key.server_id, counts)
        if tick or self._observed_ticks:
            self._observed_ticks = min(OBSERVATION_TICKS[-1], self._observed_ticks + 1)
        for window in (*self._windows, *self._observations):
            window.add(tick)
        for window in self._warm_windows:
            window.add(warm)

    def _is_warm(self, key: EvidenceKey) -> bool:
        return self._requests_by_server[key.server_id] >= self._cold_requests

    def reset_stage(self) -> None:
        """Discard the evidence of earlier stages, except the old version's history."""
        for window in (*self._windows, *self._warm_windows):
            window.clear()

    def count_stage_requests(self) -> int:
        """Return the number of requests of the new version in the current stage."""
        return sum(
            counts.requests
            for key, counts in self._windows[-1].sums.items()
            if key.version == self.new_version
        )

    def windows(self) -> list[list[RouteEvidence]]:
        """Return the evidence of each recent window and of the stage, by route."""
        return [
            self._evidence_by_route(window.sums, warm_window.sums)
            for window, warm_window in zip(self._windows, self._warm_windows)
        ]

    def observation(self) -> Observation:
        """Return the latest evidence; stages do not reset it."""
        longest = self._observations[-1].sums
        return Observation(
            self._observed_ticks,
            sum(counts.requests for counts in longest.values()),
            [self._evidence_by_route(item.sums, {}) for item in self._observations],
        )

    def _evidence_by_route(
        self,
        sums: dict[EvidenceKey, OutcomeCounts],
        warm_sums: dict[EvidenceKey, OutcomeCounts],
    ) -> list[RouteEvidence]:
        """Return the evidence of one window, one element for each route."""
        old: dict[str, OutcomeCounts] = {}
        new: dict[str, dict[str, OutcomeCounts]] = {}
        warm: dict[str, dict[str, OutcomeCounts]] = {}
        for key, counts in sums.items():
            if key.version == self.old_version:
                _add_to(old, key.route, counts)
            else:
                new.setdefault(key.route, {})[key.server_id] = counts
        for key, counts in warm_sums.items():
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


def _add_to(sums: dict[str, OutcomeCounts], key: str, counts: OutcomeCounts) -> None:
    sums[key] = add_counts(sums.get(key, ZERO_COUNTS), counts)
