"""Fake callers: open-loop load of several kinds of request, with retries.

Each request has a deadline and a target latency, both measured from its first
attempt. A rejected request is retried after its ``Retry-After`` delay, on a new
connection. Idempotent requests are retried after any failure, others only when
the response guarantees that the request has not run.
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

# Statuses with which the platform guarantees that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A retry would get the same response.
NON_RETRYABLE_STATUSES = frozenset((400, 401, 404, 413, 431))
# Maximum delay of a retry, as a share of the time left to the deadline.
MAX_RETRY_DELAY_SHARE = 1 / 3
MAX_LATENCY_MS = 60_000
LATENCY_SIGNIFICANT_DIGITS = 2
HOST = b"shop.example"


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
        share: proportion of all requests that are of this kind.
        retries: maximum number of retries of a request.
    """

    name: str
    path: str
    is_idempotent: bool
    share: float
    latency_target_s: float
    deadline_s: float
    retries: int = 1


class RequestStats(NamedTuple):
    """Outcome counts and latencies of the requests of one kind.

    Attributes:
        total: number of requests, however many attempts each took.
        in_target: succeeded within the target latency.
        late: succeeded after the target latency.
        refused: abandoned after a response that guaranteed "not run".
        failed: abandoned after any other failure.
        p50_ms, p99_ms: latency of successful requests, from the first attempt.
    """

    name: str
    total: int
    in_target: int
    late: int
    refused: int
    failed: int
    p50_ms: int
    p99_ms: int


class LoadGenerator:
    """Sends requests to nodes at a rate that does not depend on the responses.

    Args:
        addresses: caller addresses of the nodes; each attempt picks one at random.
        kinds: the kinds of request to send.
        seed: seeds the arrival times and the choice of kinds and nodes.
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
        """Send requests for a duration, then wait for the outstanding ones."""
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
        """Send one request, retry it where allowed and record its outcome."""
        started_s = time.monotonic()
        counts = self._outcomes[kind.name]
        counts["total"] += 1
        for retries_left in range(kind.retries, -1, -1):
            remaining_s = kind.deadline_s - (time.monotonic() - started_s)
            if remaining_s <= 0:
                counts["failed"] += 1
                return
            response = await self._send_attempt(kind, remaining_s)
            if response is not None and response.status < 300:
                self._record_success(kind, time.monotonic() - started_s)
                return
            is_refused = response is not None and response.status in NOT_RUN_STATUSES
            if not retries_left or not _may_retry(kind, response):
                counts["refused" if is_refused else "failed"] += 1
                return
            remaining_s = kind.deadline_s - (time.monotonic() - started_s)
            await curio.sleep(_retry_delay_s(response, remaining_s))

    async def _send_attempt(
        self, kind: RequestKind, remaining_s: float
    ) -> HttpResponse | None:
        """Return the response to one attempt, None if there is no complete one."""
        headers = [
            (b"host", HOST),
            (b"x-request-id", b"%016x" % self._random.getrandbits(64)),
            (b"x-deadline-ms", b"%d" % (remaining_s * 1000)),
        ]
        method = b"GET" if kind.is_idempotent else b"POST"
        request = HttpRequest(method, kind.path.encode(), headers)
        address = self._random.choice(self._addresses)
        try:
            return await call_http(address, request, remaining_s)
        except GuavagapError:
            # ``request`` counts the failure unless a retry succeeds.
            return None

    def _record_success(self, kind: RequestKind, latency_s: float) -> None:
        is_late = latency_s > kind.latency_target_s
        self._outcomes[kind.name]["late" if is_late else "in_target"] += 1
        self._latencies_ms[kind.name].record_value(max(1, int(latency_s * 1000)))

    def stats(self) -> list[RequestStats]:
        """Return the statistics of each kind of request."""
        return [self._stats_of(kind.name) for kind in self._kinds]

    def _stats_of(self, name: str) -> RequestStats:
        counts, latencies_ms = self._outcomes[name], self._latencies_ms[name]
        return RequestStats(
            name,
            counts["total"],
            counts["in_target"],
            counts["late"],
            counts["refused"],
            counts["failed"],
            int(latencies_ms.get_value_at_percentile(50)),
            int(latencies_ms.get_value_at_percentile(99)),
        )


def _may_retry(kind: RequestKind, response: HttpResponse | None) -> bool:
    if response is None:
        return kind.is_idempotent
    if response.status in NON_RETRYABLE_STATUSES:
        return False
    return kind.is_idempotent or response.status in NOT_RUN_STATUSES


def _retry_delay_s(response: HttpResponse | None, remaining_s: float) -> float:
    """Return how long to wait before the next attempt."""
    text = None if response is None else response.header(b"retry-after")
    retry_after_s = float(text) if text else 0.0
    return max(0.0, min(retry_after_s, MAX_RETRY_DELAY_SHARE * remaining_s))
