"""Attempts: from a routed request to the backend server that answers it.

The node beside a backend server admits requests exactly. When its slots are taken
it says so at once, which costs nothing but the message, and the request tries
elsewhere; only when every place looked full does it wait in one.
"""

import time
from collections import Counter
from typing import Callable, NamedTuple

from guavagap.caller_connections import CallerDownstream
from guavagap.dialect import Dialect
from guavagap.directory import Target
from guavagap.errors import ErrorKind, GuavagapError, answer_for
from guavagap.evidence import EvidenceKey
from guavagap.exchange import (
    AnswerHead,
    Attempt,
    ForwardedRequest,
    limit_to_deadline,
    relay_exchange,
)
from guavagap.forwarding import StreamExchange
from guavagap.logs import get_logger
from guavagap.poison import fingerprint_of
from guavagap.retries import (
    MAX_PLACEMENTS,
    Failure,
    RetryBudget,
    is_arrival,
    may_retry,
)
from guavagap.snapshot import CompiledRoute, RouteShare

__all__ = ["AttemptRunner", "Exchange"]

log = get_logger()

STRIKE_GOSSIP_TARGETS = 6
FAILURE_STATUS = 500
# How many nodes are asked for a short wait before the request waits longer.
MAX_PROBES = 2
# How long a request may wait for a slot: a share of its target latency at first,
# while others may be free, and a share of its time at last. The rest is left for the
# work itself.
FIRST_WAIT_SHARE_OF_TARGET = 0.4
LAST_WAIT_SHARE_OF_TIME_LEFT = 0.5
MIN_WAIT_S = 0.001
MAX_ROUTES_REMEMBERED = 5000
# A mean over some ten answers.
MEMORY_SHARE = 0.1
# Below this share of its target latency another attempt comes to nothing.
RETRY_TIME_SHARE_OF_TARGET = 0.3

_CRASH_KINDS = (ErrorKind.BACKEND_SERVER_LOST, ErrorKind.BODY_CUT_SHORT)
_UNREACHABLE_KINDS = (ErrorKind.CONNECT_FAILED, ErrorKind.LINK_UNREACHABLE)
_FAILURE_KINDS = _CRASH_KINDS + (
    ErrorKind.BACKEND_SERVER_FAILED,
    ErrorKind.BACKEND_SERVER_PROTOCOL,
    ErrorKind.DEADLINE_AFTER_SEND,
    ErrorKind.LINK_LOST,
)


class Exchange(NamedTuple):
    """A request on its way: what was asked and how it is to be treated.

    Attributes:
        share: the service that it goes to, of those of its route.
        version: the backend server version chosen first.
        is_marked: whether a layer above is already retrying.
        started_s: monotonic time at which the request was read.
    """

    request_id: bytes
    route: CompiledRoute
    share: RouteShare
    version: str
    request: ForwardedRequest
    downstream: CallerDownstream
    is_marked: bool
    fingerprint: bytes
    idempotency_key: bytes
    started_s: float


class _Progress:
    """What the attempts of one request have met so far."""

    __slots__ = ("failed", "busy", "attempts", "placements", "unknown", "held")

    def __init__(self):
        self.failed: set[str] = set()
        self.busy: set[str] = set()
        self.attempts = 0
        self.placements = 0
        self.unknown: GuavagapError | None = None
        self.held: AnswerHead | None = None


class _FailureHeld(GuavagapError):
    """A backend server's failure that is kept back for another attempt."""

    def __init__(self, answer: AnswerHead):
        super().__init__(ErrorKind.BACKEND_SERVER_FAILED, f"status {answer.status}")
        self.answer = answer


class AttemptRunner:
    """Makes the attempts of one node's requests.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.
        dialect: headers of callers and backend servers.
        counts: counts by path and kind of error.
    """

    def __init__(self, node, dialect: Dialect, counts: Counter[str]):
        self._node = node
        self._dialect = dialect
        self._counts = counts
        self._budgets: dict[tuple[str, str, float], RetryBudget] = {}
        self._answer_bytes: dict[str, float] = {}

    async def run(self, exchange: Exchange) -> None:
        """Make attempts until one succeeds or none is allowed any more.

        Raises:
            GuavagapError: the kind tells whether the request may have run.
        """
        poison = self._node.poison
        if exchange.fingerprint and poison.is_quarantined(exchange.fingerprint):
            raise GuavagapError(
                ErrorKind.POISON_REQUEST, "this request has crashed backend servers"
            )
        if exchange.idempotency_key:
            await self._run_once(exchange)
        else:
            await self._run_attempts(exchange)

    async def _run_once(self, exchange: Exchange) -> None:
        """Run a request with an idempotency key, or answer from its record."""
        keys, key = self._node.keys, exchange.idempotency_key
        request, downstream = exchange.request, exchange.downstream
        if not downstream.is_body_complete:
            raise GuavagapError(
                ErrorKind.BODY_TOO_LARGE,
                "a request with an Idempotency-Key must fit the read-ahead",
            )
        digest = fingerprint_of(request.method, request.target, downstream.chunks)
        recorded = await keys.claim(key, digest)
        if recorded is not None:
            self._counts["answers_from_record"] += 1
            await downstream.send_answer(recorded)
            return
        downstream.is_recording = True
        is_run = True
        try:
            await self._run_attempts(exchange)
        except GuavagapError as error:
            is_answered = downstream.is_answer_started
            is_run = is_answered or not answer_for(error.kind).is_not_run
            raise
        finally:
            if is_run:
                keys.finish(key, downstream.recorded)
            else:
                await keys.release(key)

    async def _run_attempts(self, exchange: Exchange) -> None:
        budget = self._budget(exchange)
        progress = _Progress()
        while True:
            attempt = Attempt()
            try:
                target = self._choose(exchange, progress)
                placed = self._placed(exchange, progress)
                try:
                    await self._try(placed, target, attempt, progress, budget)
                    budget.note_success()
                    return
                except GuavagapError as error:
                    exchange = self._after_failure(
                        exchange, progress, target, error, attempt, budget
                    )
            except GuavagapError as error:
                if progress.held is None or error.kind is ErrorKind.CALLER_GONE:
                    raise
                # The failure that a backend server gave says most.
                await exchange.downstream.send_answer(progress.held)
                return

    def _make_judge(
        self, exchange: Exchange, progress: _Progress, budget: RetryBudget
    ) -> Callable[[AnswerHead], None] | None:
        """Return what keeps a failure back while another attempt is allowed."""
        if not self._node.is_forwarding_only or not exchange.request.is_idempotent:
            return None
        if progress.attempts + 1 >= exchange.route.max_attempts:
            return None

        def judge(answer: AnswerHead) -> None:
            if answer.status < FAILURE_STATUS or not answer.is_complete:
                return
            left_s = exchange.request.deadline_s - time.monotonic()
            least_s = RETRY_TIME_SHARE_OF_TARGET * exchange.route.target_latency_s
            if left_s > least_s and budget.has_token():
                raise _FailureHeld(answer)

        return judge

    def _choose(self, exchange: Exchange, progress: _Progress) -> Target:
        share = exchange.share
        target = self._node.router.choose_target(
            share,
            exchange.version,
            progress.failed,
            progress.busy,
            self._answer_bytes.get(exchange.route.name, 0.0),
        )
        if target is not None:
            return target
        if progress.unknown is not None:
            raise progress.unknown
        raise GuavagapError(
            ErrorKind.NO_BACKEND_SERVER,
            f"no backend server of {share.service.service} is available",
        )

    def _placed(self, exchange: Exchange, progress: _Progress) -> Exchange:
        """Return the exchange with how long it may wait where it goes next."""
        if not self._node.is_forwarding_only:
            return exchange
        now_s = time.monotonic()
        left_s = exchange.request.deadline_s - now_s
        if len(progress.busy) < self._probes(exchange, progress):
            limit_s = FIRST_WAIT_SHARE_OF_TARGET * exchange.route.target_latency_s
            wait_s = limit_s - (now_s - exchange.started_s)
        else:
            wait_s = LAST_WAIT_SHARE_OF_TIME_LEFT * left_s
        wait_s = max(MIN_WAIT_S, wait_s)
        request = exchange.request._replace(max_wait_s=wait_s)
        return exchange._replace(request=request)

    def _probes(self, exchange: Exchange, progress: _Progress) -> int:
        """Return how many nodes to ask before the request waits."""
        candidates = self._node.router.count_targets(exchange.share, exchange.version)
        return min(MAX_PROBES, max(1, candidates - len(progress.failed)))

    def _after_failure(
        self,
        exchange: Exchange,
        progress: _Progress,
        target: Target,
        error: GuavagapError,
        attempt: Attempt,
        budget: RetryBudget,
    ) -> Exchange:
        """Return the exchange for another attempt, or raise the final error."""
        server_id = target.server.server_id
        progress.placements += 1
        if error.kind is ErrorKind.SLOTS_TAKEN:
            progress.busy.add(server_id)
            if progress.placements < MAX_PLACEMENTS:
                return exchange
        has_arrived = is_arrival(error.kind)
        progress.attempts += has_arrived
        if not answer_for(error.kind).is_not_run:
            progress.unknown = error
        if isinstance(error, _FailureHeld):
            progress.held = error.answer
        failure = self._failure(exchange, error, attempt, progress)
        is_allowed = may_retry(failure) and (not has_arrived or budget.try_spend())
        if not is_allowed:
            # A later refusal does not undo an attempt that may have run.
            raise progress.unknown or error
        self._counts["retries"] += 1
        log.info(
            "request tried again",
            request=exchange.request_id.decode("latin-1"),
            kind=error.kind.value,
            why=error.detail,
            server=server_id,
            attempts=progress.attempts,
        )
        progress.failed.add(server_id)
        return self._marked(exchange) if has_arrived else exchange

    def _failure(
        self,
        exchange: Exchange,
        error: GuavagapError,
        attempt: Attempt,
        progress: _Progress,
    ) -> Failure:
        downstream = exchange.downstream
        return Failure(
            error.kind,
            attempt.is_written,
            exchange.request.is_idempotent,
            not downstream.is_body_consumed,
            downstream.is_answer_started,
            exchange.is_marked,
            progress.attempts,
            exchange.route.max_attempts,
            progress.placements,
            exchange.request.deadline_s - time.monotonic(),
        )

    def _marked(self, exchange: Exchange) -> Exchange:
        """Return the exchange with the mark that keeps layers below from retrying."""
        mark = self._dialect.retry_mark
        if not mark:
            return exchange
        request = exchange.request
        headers = [item for item in request.headers if item[0] != mark]
        headers.append((mark, b"1"))
        return exchange._replace(request=request._replace(headers=headers))

    def _budget(self, exchange: Exchange) -> RetryBudget:
        share = exchange.route.retry_share
        # What a platform allows holds for a service, not for a route.
        route_name = "" if self._node.is_forwarding_only else exchange.route.name
        key = (exchange.share.service.service, route_name, share)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = self._node.make_retry_budget(share)
        return budget

    async def _try(
        self,
        exchange: Exchange,
        target: Target,
        attempt: Attempt,
        progress: _Progress,
        budget: RetryBudget,
    ) -> None:
        """Make one attempt and learn from its outcome."""
        judge = self._make_judge(exchange, progress, budget)
        health = target.health
        health.in_flight += 1
        started_s = time.monotonic()
        try:
            async with limit_to_deadline(exchange.request.deadline_s, attempt):
                answer = await self._send(exchange, target, attempt, judge)
        except GuavagapError as error:
            self._learn_failure(exchange, target, error, started_s)
            if error.kind in _CRASH_KINDS:
                await self._note_crash(exchange, target)
            raise
        finally:
            health.in_flight -= 1
        self._learn_answer(exchange, target, answer, started_s)

    async def _send(
        self, exchange: Exchange, target: Target, attempt: Attempt, judge
    ) -> AnswerHead:
        """Take the shortest path that is open to this request."""
        node = self._node
        request, downstream = exchange.request, exchange.downstream
        if target.node_id == node.settings.node_id:
            self._counts["path_local"] += 1
            server_id = target.server.server_id
            return await node.run_local(server_id, request, downstream, attempt, judge)
        if not node.is_forwarding_only:
            upstream = await node.direct.take(target)
            if upstream is not None:
                self._counts["path_direct"] += 1
                attempt.upstream = upstream
                return await relay_exchange(request, downstream, upstream)
        self._counts["path_forwarded"] += 1
        link = await node.links.get(target.node_id)
        stream = link.open_stream()
        upstream = StreamExchange(stream, target.server.server_id, target.health)
        attempt.upstream = upstream
        return await relay_exchange(request, downstream, upstream, judge)

    def _learn_answer(
        self, exchange: Exchange, target: Target, answer: AnswerHead, started_s: float
    ) -> None:
        now_s = time.monotonic()
        is_failure = answer.status >= FAILURE_STATUS
        self._counts["answers"] += 1
        if answer.condition is not None:
            target.health.note_condition(answer.condition, now_s)
        else:
            load = self._dialect.read_load(answer.headers)
            if load is not None:
                target.health.note_load(load, now_s)
        if is_failure:
            target.health.note_failure(now_s, is_unreachable=False)
        else:
            target.health.note_success()
        if answer.is_complete:
            self._note_size(exchange.route.name, sum(map(len, answer.chunks)))
        if exchange.fingerprint:
            self._node.poison.note_success(exchange.fingerprint)
        self._record(exchange, target, is_failure, now_s - started_s)

    def _note_size(self, route_name: str, size_bytes: int) -> None:
        """Keep a running mean of the size of a route's answers."""
        mean = self._answer_bytes.get(route_name, size_bytes)
        if len(self._answer_bytes) > MAX_ROUTES_REMEMBERED:
            self._answer_bytes.clear()
        self._answer_bytes[route_name] = mean + MEMORY_SHARE * (size_bytes - mean)

    def _learn_failure(
        self,
        exchange: Exchange,
        target: Target,
        error: GuavagapError,
        started_s: float,
    ) -> None:
        now_s = time.monotonic()
        front = self._node.fronts.get(target.server.server_id)
        if front is not None:
            target.health.note_condition(front.condition(), now_s)
        if error.kind in _UNREACHABLE_KINDS:
            took_s = now_s - started_s
            target.health.note_failure(now_s, is_unreachable=True, took_s=took_s)
            return
        if error.kind not in _FAILURE_KINDS:
            return
        target.health.note_failure(now_s, is_unreachable=False)
        self._record(exchange, target, True, now_s - started_s)

    async def _note_crash(self, exchange: Exchange, target: Target) -> None:
        """Count a strike and tell others before the caller can send it again."""
        request = exchange.request
        fingerprint = exchange.fingerprint or fingerprint_of(
            request.method, request.target, exchange.downstream.chunks
        )
        if self._node.poison.note_crash(fingerprint, target.server.server_id):
            log.warning("request quarantined", fingerprint=fingerprint.hex())
        await self._node.membership.gossip_now(STRIKE_GOSSIP_TARGETS)

    def _record(
        self, exchange: Exchange, target: Target, is_failure: bool, latency_s: float
    ) -> None:
        route, server = exchange.route, target.server
        key = EvidenceKey(server.service, server.version, route.name, server.server_id)
        self._node.evidence.record(key, is_failure, latency_s)
