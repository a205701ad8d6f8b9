"""The proxy for callers: from a caller's connection to a backend server."""

import time
from collections import Counter
from itertools import count
from typing import NamedTuple

import curio
import h11

from guavagap.caller_connections import CallerDownstream
from guavagap.caller_errors import linger, send_error
from guavagap.caller_watch import ConnectionWatch, WatchedConnection
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
from guavagap.http1 import (
    Http1Connection,
    RequestHead,
    end_to_end_headers,
    header_value,
    read_request_head,
)
from guavagap.logs import get_logger
from guavagap.poison import fingerprint_of
from guavagap.retries import RETRY_HEADER, Failure, RetryBudget, may_retry
from guavagap.snapshot import CompiledRoute, find_route

__all__ = ["Proxy"]

log = get_logger()

TIMEOUT_HEADER = b"guavagap-timeout-ms"
LOAD_HEADER = b"guavagap-load"
REQUEST_ID_HEADER = b"x-request-id"
KEY_HEADER = b"idempotency-key"
MAX_KEY_BYTES = 256
VIA = (b"via", b"1.1 guavagap")
STRIKE_GOSSIP_TARGETS = 6
FAILURE_STATUS = 500

_CRASH_KINDS = (ErrorKind.BACKEND_SERVER_LOST, ErrorKind.BODY_CUT_SHORT)
_UNREACHABLE_KINDS = (ErrorKind.CONNECT_FAILED, ErrorKind.LINK_UNREACHABLE)
_FAILURE_KINDS = _CRASH_KINDS + (
    ErrorKind.BACKEND_SERVER_PROTOCOL,
    ErrorKind.DEADLINE_AFTER_SEND,
    ErrorKind.LINK_LOST,
)


class _Exchange(NamedTuple):
    """A request on its way: what was asked and how it is to be treated."""

    route: CompiledRoute
    version: str
    request: ForwardedRequest
    downstream: CallerDownstream
    is_marked: bool
    fingerprint: bytes
    idempotency_key: bytes


class Proxy:
    """Serves callers of one node.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.

    Attributes:
        counts: answers by status class, attempts by path, errors by kind.
        in_flight: requests being answered.
    """

    def __init__(self, node):
        self.counts: Counter[str] = Counter()
        self.in_flight = 0
        self._node = node
        self.watch = ConnectionWatch(node.settings.caller_read_timeout_s, self.counts)
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._request_numbers = count(1)
        self._request_prefix = f"{node.settings.node_id}-{time.time_ns():x}-".encode()

    @property
    def connection_count(self) -> int:
        """How many callers' connections are open."""
        return len(self.watch.connections)

    async def serve(self, sock) -> None:
        """Answer the requests of one caller's connection."""
        connection = Http1Connection(sock, h11.SERVER)
        watched = WatchedConnection(connection, await curio.current_task())
        self.watch.connections.add(watched)
        try:
            if len(self.watch.connections) > self._node.settings.max_caller_connections:
                error = GuavagapError(ErrorKind.OVERLOADED, "too many connections")
                await send_error(connection, error, b"", self._node.is_draining)
                return
            while await self._serve_request(connection, watched):
                pass
        except (OSError, h11.ProtocolError, GuavagapError) as error:
            log.debug("caller connection ended", why=repr(error))
        finally:
            self.watch.connections.discard(watched)
            await connection.close()

    async def _serve_request(
        self, connection: Http1Connection, watched: WatchedConnection
    ) -> bool:
        """Answer one request; return whether the connection may be kept."""
        try:
            head = await read_request_head(connection)
        except GuavagapError as error:
            await send_error(connection, error, b"", self._node.is_draining)
            await linger(connection)
            return False
        if head is None:
            return False
        request_id = header_value(head.headers, REQUEST_ID_HEADER)
        if request_id is None:
            request_id = self._request_prefix + b"%d" % next(self._request_numbers)
        self.in_flight += 1
        watched.start(is_answering=True)
        try:
            await self._answer(connection, head, request_id)
        except GuavagapError as error:
            return await self._answer_error(connection, error, request_id)
        except OSError:
            return False
        except Exception as error:
            log.error("request failed", exc_info=error)
            internal = GuavagapError(ErrorKind.INTERNAL, "see this node's log")
            return await self._answer_error(connection, internal, request_id)
        finally:
            self.in_flight -= 1
            watched.start(is_answering=False)
        return connection.start_next_cycle()

    async def _answer_error(
        self, connection: Http1Connection, error: GuavagapError, request_id: bytes
    ) -> bool:
        self.counts[error.kind.value] += 1
        if connection.h11.our_state is not h11.SEND_RESPONSE:
            return False
        await send_error(connection, error, request_id, self._node.is_draining)
        if connection.start_next_cycle():
            return True
        await linger(connection)
        return False

    async def _answer(
        self, connection: Http1Connection, head: RequestHead, request_id: bytes
    ) -> None:
        node = self._node
        if not node.is_ready:
            raise GuavagapError(
                ErrorKind.NOT_READY, "no configuration has been learned yet"
            )
        path = head.target.partition(b"?")[0]
        host = header_value(head.headers, b"host") or b""
        host_name = host.rpartition(b":")[0] if b":" in host else host
        snapshot = node.configuration.snapshot
        route = find_route(snapshot, host_name.lower(), path, head.method)
        if route is None:
            raise GuavagapError(ErrorKind.NO_ROUTE, "no route covers this request")
        extra = [VIA, (REQUEST_ID_HEADER, request_id)]
        if node.is_draining:
            extra.append((b"connection", b"close"))
        settings = node.settings
        downstream = CallerDownstream(
            connection,
            head,
            settings.max_body_bytes,
            settings.caller_read_timeout_s,
            extra,
        )
        await downstream.read_ahead()
        await self._run(self._make_exchange(head, route, request_id, downstream))

    def _make_exchange(
        self,
        head: RequestHead,
        route: CompiledRoute,
        request_id: bytes,
        downstream: CallerDownstream,
    ) -> _Exchange:
        headers = [
            header
            for header in end_to_end_headers(head.headers)
            if header[0] not in (TIMEOUT_HEADER, b"expect", REQUEST_ID_HEADER)
        ]
        headers.append((REQUEST_ID_HEADER, request_id))
        headers.append(VIA)
        request = ForwardedRequest(
            head.method,
            head.target,
            headers,
            head.content_length_bytes,
            head.has_body,
            route.is_idempotent,
            time.monotonic() + _timeout_s(head, route),
        )
        sticky_value = None
        if route.sticky_header is not None:
            sticky_value = header_value(head.headers, route.sticky_header)
        version = self._node.router.choose_version(route, sticky_value)
        is_marked = header_value(head.headers, RETRY_HEADER) is not None
        fingerprint = b""
        if self._node.poison:
            fingerprint = fingerprint_of(head.method, head.target, downstream.chunks)
        key = self._idempotency_key(head, route)
        return _Exchange(
            route, version, request, downstream, is_marked, fingerprint, key
        )

    def _idempotency_key(self, head: RequestHead, route: CompiledRoute) -> bytes:
        if route.is_idempotent:
            return b""
        key = header_value(head.headers, KEY_HEADER) or b""
        if len(key) > MAX_KEY_BYTES:
            raise GuavagapError(
                ErrorKind.BAD_REQUEST, f"Idempotency-Key over {MAX_KEY_BYTES} bytes"
            )
        return route.service.service.encode() + b"/" + key if key else b""

    async def _run(self, exchange: _Exchange) -> None:
        """Make attempts until one succeeds or none is allowed any more."""
        poison = self._node.poison
        if exchange.fingerprint and poison.is_quarantined(exchange.fingerprint):
            raise GuavagapError(
                ErrorKind.POISON_REQUEST, "this request has crashed backend servers"
            )
        if exchange.idempotency_key:
            await self._run_once(exchange)
        else:
            await self._run_attempts(exchange)

    async def _run_once(self, exchange: _Exchange) -> None:
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
            self.counts["answers_from_record"] += 1
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

    async def _run_attempts(self, exchange: _Exchange) -> None:
        budget = self._budget(exchange.route)
        excluded: set[str] = set()
        unknown: GuavagapError | None = None
        attempts = 0
        while True:
            attempts += 1
            attempt = Attempt()
            try:
                target = self._choose(exchange, excluded)
                await self._try(exchange, target, attempt)
                budget.note_success()
                return
            except GuavagapError as error:
                if not answer_for(error.kind).is_not_run:
                    unknown = error
                failure = self._failure(exchange, error, attempt, attempts)
                if not may_retry(failure) or not budget.try_spend():
                    # A later refusal does not undo an attempt that may have run.
                    raise unknown or error
                self.counts["retries"] += 1
                excluded.add(target.server.server_id)
                exchange = _marked(exchange)

    def _choose(self, exchange: _Exchange, excluded: set[str]) -> Target:
        router, route = self._node.router, exchange.route
        target = router.choose_target(route, exchange.version, excluded)
        if target is None:
            raise GuavagapError(
                ErrorKind.NO_BACKEND_SERVER,
                f"no backend server of {route.service.service} is available",
            )
        return target

    def _failure(
        self, exchange: _Exchange, error: GuavagapError, attempt: Attempt, attempts: int
    ) -> Failure:
        downstream = exchange.downstream
        return Failure(
            error.kind,
            attempt.is_written,
            exchange.request.is_idempotent,
            not downstream.is_body_consumed,
            downstream.is_answer_started,
            exchange.is_marked,
            attempts,
            exchange.request.deadline_s - time.monotonic(),
        )

    def _budget(self, route: CompiledRoute) -> RetryBudget:
        key = (route.service.service, route.name)
        budget = self._budgets.get(key)
        if budget is None or budget.share != route.retry_share:
            budget = self._budgets[key] = RetryBudget(route.retry_share)
        return budget

    async def _try(self, exchange: _Exchange, target: Target, attempt: Attempt) -> None:
        """Make one attempt and learn from its outcome."""
        health = target.health
        health.in_flight += 1
        started_s = time.monotonic()
        try:
            async with limit_to_deadline(exchange.request.deadline_s, attempt):
                answer = await self._send(exchange, target, attempt)
        except GuavagapError as error:
            self._learn_failure(exchange, target, error, started_s)
            if error.kind in _CRASH_KINDS:
                await self._note_crash(exchange, target)
            raise
        finally:
            health.in_flight -= 1
        self._learn_answer(exchange, target, answer, started_s)

    async def _send(
        self, exchange: _Exchange, target: Target, attempt: Attempt
    ) -> AnswerHead:
        """Take the shortest path that is open to this request."""
        node = self._node
        request, downstream = exchange.request, exchange.downstream
        if target.node_id == node.settings.node_id:
            self.counts["path_local"] += 1
            server_id = target.server.server_id
            return await node.run_local(server_id, request, downstream, attempt)
        upstream = await node.direct.take(target)
        if upstream is not None:
            self.counts["path_direct"] += 1
            attempt.upstream = upstream
            return await relay_exchange(request, downstream, upstream)
        self.counts["path_forwarded"] += 1
        link = await node.links.get(target.node_id)
        upstream = StreamExchange(link.open_stream(), target.server.server_id)
        attempt.upstream = upstream
        return await relay_exchange(request, downstream, upstream)

    def _learn_answer(
        self, exchange: _Exchange, target: Target, answer: AnswerHead, started_s: float
    ) -> None:
        now_s = time.monotonic()
        is_failure = answer.status >= FAILURE_STATUS
        self.counts["answers"] += 1
        load = header_value(answer.headers, LOAD_HEADER)
        if load is not None and load.isdigit():
            target.health.note_load(int(load), now_s)
        if is_failure:
            target.health.note_failure(now_s, is_unreachable=False)
        else:
            target.health.note_success()
        if exchange.fingerprint:
            self._node.poison.note_success(exchange.fingerprint)
        self._record(exchange, target, is_failure, now_s - started_s)

    def _learn_failure(
        self,
        exchange: _Exchange,
        target: Target,
        error: GuavagapError,
        started_s: float,
    ) -> None:
        now_s = time.monotonic()
        if error.kind in _UNREACHABLE_KINDS:
            target.health.note_failure(now_s, is_unreachable=True)
            return
        if error.kind not in _FAILURE_KINDS:
            return
        target.health.note_failure(now_s, is_unreachable=False)
        self._record(exchange, target, True, now_s - started_s)

    async def _note_crash(self, exchange: _Exchange, target: Target) -> None:
        """Count a strike and tell others before the caller can send it again."""
        request = exchange.request
        fingerprint = exchange.fingerprint or fingerprint_of(
            request.method, request.target, exchange.downstream.chunks
        )
        if self._node.poison.note_crash(fingerprint, target.server.server_id):
            log.warning("request quarantined", fingerprint=fingerprint.hex())
        await self._node.membership.gossip_now(STRIKE_GOSSIP_TARGETS)

    def _record(
        self, exchange: _Exchange, target: Target, is_failure: bool, latency_s: float
    ) -> None:
        route, server = exchange.route, target.server
        key = EvidenceKey(server.service, server.version, route.name, server.server_id)
        self._node.evidence.record(key, is_failure, latency_s)


def _timeout_s(head: RequestHead, route: CompiledRoute) -> float:
    """Return the route's timeout or the caller's, whichever is shorter."""
    value = header_value(head.headers, TIMEOUT_HEADER)
    if value is None:
        return route.timeout_s
    if not value.isdigit():
        raise GuavagapError(ErrorKind.BAD_REQUEST, "guavagap-timeout-ms is no number")
    return min(route.timeout_s, int(value) / 1000)


def _marked(exchange: _Exchange) -> _Exchange:
    """Return the exchange with the mark that keeps layers below from retrying."""
    request = exchange.request
    headers = [item for item in request.headers if item[0] != RETRY_HEADER]
    headers.append((RETRY_HEADER, b"1"))
    return exchange._replace(request=request._replace(headers=headers))
