"""Stand-in callers: an open load of several kinds of request, with retries.

Each request has a deadline and a target latency, both counted from its first
attempt. Callers come back after a refusal when its ``Retry-After`` is over, on a
new connection; they repeat idempotent requests after any failure, others only
when an answer promised that they have not run.
"""

import random
import time
from collections import Counter
from typing import NamedTuple

import curio
from hdrh.histogram import HdrHistogram

from guavagap.addresses import Address
from guavagap.errors import GuavagapError
from guavagap.http_messages import HttpRequest, HttpResponse, call_http

__all__ = ["RequestKind", "LoadGenerator", "RequestStats", "NOT_RUN_STATUSES"]

# The statuses by which the platform promises that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# No retry would change these answers.
NON_RETRYABLE_STATUSES = frozenset((400, 401, 404, 413, 431))
# Callers wait at most this share of the time that they have left.
MAX_WAIT_SHARE = 1 / 3
MAX_LATENCY_MS = 60_000
LATENCY_SIGNIFICANT_DIGITS = 2
HOST = b"shop.example"


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
        share: part of all requests that is of this kind.
        retries: how often a caller comes back.
    """

    name: str
    path: str
    is_idempotent: bool
    share: float
    target_s: float
    deadline_s: float
    retries: int = 1


class RequestStats(NamedTuple):
    """What became of the requests of one kind.

    Attributes:
        in_target: answered with success within the target latency.
        late: answered with success after it.
        refused: given up after an answer that promised "not run".
        failed: given up after anything else.
        p50_ms, p99_ms: latency of the answered, from the first attempt.
    """

    name: str
    asked: int
    in_target: int
    late: int
    refused: int
    failed: int
    p50_ms: int
    p99_ms: int


class LoadGenerator:
    """Sends requests to nodes at a rate that does not depend on the answers.

    Args:
        addresses: where the nodes serve callers; each request takes one at random.
        kinds: the kinds of request.
        seed: of arrivals, kinds and nodes.
    """

    def __init__(
        self, addresses: list[Address], kinds: list[RequestKind], seed: int = 0
    ):
        self._addresses = addresses
        self._kinds = kinds
        self._random = random.Random(seed)
        self._outcomes: dict[str, Counter[str]] = {
            kind.name: Counter() for kind in kinds
        }
        self._latencies_ms = {
            kind.name: HdrHistogram(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS)
            for kind in kinds
        }

    async def run(self, requests_per_s: float, duration_s: float) -> None:
        """Send for a time, and wait for the last answers."""
        ends_at_s = time.monotonic() + duration_s
        due_s = time.monotonic()
        shares = [kind.share for kind in self._kinds]
        async with curio.TaskGroup() as group:
            while due_s < ends_at_s:
                await curio.sleep(max(0.0, due_s - time.monotonic()))
                (kind,) = self._random.choices(self._kinds, shares)
                await group.spawn(self.request, kind)
                due_s += self._random.expovariate(requests_per_s)

    async def request(self, kind: RequestKind) -> None:
        """Make one request with its retries and count its outcome."""
        started_s = time.monotonic()
        counts = self._outcomes[kind.name]
        counts["asked"] += 1
        for retries_left in range(kind.retries, -1, -1):
            left_s = kind.deadline_s - (time.monotonic() - started_s)
            if left_s <= 0:
                counts["failed"] += 1
                return
            answer = await self._attempt(kind, left_s)
            if answer is not None and answer.status < 300:
                self._record_success(kind, time.monotonic() - started_s)
                return
            is_refused = answer is not None and answer.status in NOT_RUN_STATUSES
            if not retries_left or not _may_retry(kind, answer):
                counts["refused" if is_refused else "failed"] += 1
                return
            left_s = kind.deadline_s - (time.monotonic() - started_s)
            await curio.sleep(_retry_delay_s(answer, left_s))

    async def _attempt(self, kind: RequestKind, left_s: float) -> HttpResponse | None:
        """Return the answer of one attempt, None without a whole one."""
        headers = [
            (b"host", HOST),
            (b"x-request-id", b"%016x" % self._random.getrandbits(64)),
            (b"x-deadline-ms", b"%d" % (left_s * 1000)),
        ]
        method = b"GET" if kind.is_idempotent else b"POST"
        request = HttpRequest(method, kind.path.encode(), headers)
        address = self._random.choice(self._addresses)
        try:
            return await call_http(address, request, left_s)
        except GuavagapError:
            # Counted as failed by the caller of this function.
            return None

    def _record_success(self, kind: RequestKind, latency_s: float) -> None:
        is_late = latency_s > kind.target_s
        self._outcomes[kind.name]["late" if is_late else "in_target"] += 1
        self._latencies_ms[kind.name].record_value(max(1, int(latency_s * 1000)))

    def reports(self) -> list[RequestStats]:
        """Return what became of the requests, by kind."""
        return [self._report(kind.name) for kind in self._kinds]

    def _report(self, name: str) -> RequestStats:
        counts, latencies_ms = self._outcomes[name], self._latencies_ms[name]
        return RequestStats(
            name,
            counts["asked"],
            counts["in_target"],
            counts["late"],
            counts["refused"],
            counts["failed"],
            int(latencies_ms.get_value_at_percentile(50)),
            int(latencies_ms.get_value_at_percentile(99)),
        )


def _may_retry(kind: RequestKind, answer: HttpResponse | None) -> bool:
    if answer is None:
        return kind.is_idempotent
    if answer.status in NON_RETRYABLE_STATUSES:
        return False
    return kind.is_idempotent or answer.status in NOT_RUN_STATUSES


def _retry_delay_s(answer: HttpResponse | None, left_s: float) -> float:
    """Return how long a caller waits before it comes back."""
    text = None if answer is None else answer.header(b"retry-after")
    asked_s = float(text) if text else 0.0
    return max(0.0, min(asked_s, MAX_WAIT_SHARE * left_s))
