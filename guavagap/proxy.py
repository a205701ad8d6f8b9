"""The proxy for callers: from a caller's connection to a backend server."""

import random
import time
from collections import Counter
from itertools import count

import curio
import h11

from guavagap.attempts import AttemptRunner
from guavagap.caller_connections import CallerDownstream
from guavagap.caller_errors import lingering_close, send_error
from guavagap.caller_watch import ConnectionWatcher, WatchedConnection
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import ForwardedRequest
from guavagap.http1 import (
    Http1Connection,
    RequestHead,
    end_to_end_headers,
    header_value,
    read_request_head,
)
from guavagap.latency import make_latency_histogram
from guavagap.logs import get_logger
from guavagap.poison import fingerprint_of
from guavagap.requests import Exchange
from guavagap.snapshot import CompiledRoute, find_route

__all__ = ["Proxy"]

log = get_logger()

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_BYTES = 256
# A refused caller is asked to come back when a slot is likely to be free: after
# about the time that one request takes, spread so that callers do not return
# together.
RETRY_AFTER_RANGE_S = (0.1, 0.3)
CRASH_REPORT_GOSSIP_TARGETS = 6
FAILURE_STATUS = 500


class Proxy:
    """Serves callers of one node.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.

    Attributes:
        counts: answers by status class, attempts by path, errors by kind.
        in_flight: requests being answered.
        latency_s: from a request's head to the end of its answer, by outcome.
    """

    def __init__(self, node):
        self.counts: Counter[str] = Counter()
        self.in_flight = 0
        self.latency_s = make_latency_histogram()
        self._node = node
        self._dialect = node.dialect
        self._reserved_headers = node.dialect.reserved_headers()
        self.attempts = AttemptRunner(node, node.dialect, self.counts)
        self.watch = ConnectionWatcher(node.caller_idle_timeout_s, self.counts)
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
                await self._send_error(connection, error, b"")
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
            await self._send_error(connection, error, b"")
            await lingering_close(connection)
            return False
        if head is None:
            return False
        request_id = header_value(head.headers, self._dialect.request_id)
        if request_id is None:
            request_id = self._request_prefix + b"%d" % next(self._request_numbers)
        self.in_flight += 1
        watched.start(is_handling_request=True)
        started_s, outcome = time.monotonic(), "failed"
        try:
            await self._answer(connection, head, request_id)
            outcome = "answered"
        except GuavagapError as error:
            outcome = error.kind.value
            return await self._handle_error(connection, error, request_id)
        except OSError:
            return False
        except Exception as error:
            log.error("request failed", exc_info=error)
            internal = GuavagapError(ErrorKind.INTERNAL, "see this node's log")
            return await self._handle_error(connection, internal, request_id)
        finally:
            self.in_flight -= 1
            self.latency_s.observe({"outcome": outcome}, time.monotonic() - started_s)
            watched.start(is_handling_request=False)
        return connection.start_next_cycle()

    async def _handle_error(
        self, connection: Http1Connection, error: GuavagapError, request_id: bytes
    ) -> bool:
        self.counts[error.kind.value] += 1
        is_answered = connection.h11.our_state is h11.SEND_RESPONSE
        log.info(
            "request failed",
            request=request_id.decode("latin-1"),
            kind=error.kind.value,
            why=error.detail,
            status=self._dialect.status_of(error.kind) if is_answered else 0,
            epoch=self._node.configuration.epoch,
        )
        if not is_answered:
            return False
        await self._send_error(connection, error, request_id)
        if connection.start_next_cycle():
            return True
        await lingering_close(connection)
        return False

    async def _send_error(
        self, connection: Http1Connection, error: GuavagapError, request_id: bytes
    ) -> None:
        await send_error(
            connection,
            error,
            request_id,
            self._node.is_draining,
            self._dialect,
            random.uniform(*RETRY_AFTER_RANGE_S),
        )

    async def _answer(
        self, connection: Http1Connection, head: RequestHead, request_id: bytes
    ) -> None:
        node, started_s = self._node, time.monotonic()
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
        deadline_s = started_s + _timeout_s(head, route, self._dialect.timeout)
        if deadline_s > node.ends_at_s:
            raise GuavagapError(
                ErrorKind.DRAINING, "this node may end before the request's deadline"
            )
        extra = [*self._dialect.via, (self._dialect.request_id, request_id)]
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
        await self.attempts.run(
            self._make_exchange(
                head, route, request_id, downstream, started_s, deadline_s
            )
        )

    def _make_exchange(
        self,
        head: RequestHead,
        route: CompiledRoute,
        request_id: bytes,
        downstream: CallerDownstream,
        started_s: float,
        deadline_s: float,
    ) -> Exchange:
        dialect, router = self._dialect, self._node.router
        headers = [
            header
            for header in end_to_end_headers(head.headers)
            if header[0] not in self._reserved_headers
        ]
        headers.append((dialect.request_id, request_id))
        headers += dialect.via
        if dialect.caller:
            headers.append((dialect.caller, self._node.settings.service.encode()))
        request = ForwardedRequest(
            head.method,
            head.target,
            headers,
            head.content_length_bytes,
            head.has_body,
            route.is_idempotent,
            deadline_s,
            route.priority,
            target_latency_s=route.target_latency_s,
        )
        sticky_value = None
        if route.sticky_header is not None:
            sticky_value = header_value(head.headers, route.sticky_header)
        share = router.choose_share(route)
        version = router.choose_version(share, sticky_value)
        mark = dialect.retry_mark
        has_retry_mark = bool(mark) and header_value(head.headers, mark) is not None
        fingerprint = b""
        if self._node.poison:
            fingerprint = fingerprint_of(head.method, head.target, downstream.chunks)
        key = self._idempotency_key(head, route)
        return Exchange(
            request_id,
            route,
            share,
            version,
            request,
            downstream,
            has_retry_mark,
            fingerprint,
            key,
            started_s,
        )

    def _idempotency_key(self, head: RequestHead, route: CompiledRoute) -> bytes:
        if route.is_idempotent or self._node.is_forwarding_only:
            return b""
        key = header_value(head.headers, IDEMPOTENCY_KEY_HEADER) or b""
        if len(key) > MAX_IDEMPOTENCY_KEY_BYTES:
            raise GuavagapError(
                ErrorKind.BAD_REQUEST,
                f"Idempotency-Key over {MAX_IDEMPOTENCY_KEY_BYTES} bytes",
            )
        return route.service.service.encode() + b"/" + key if key else b""


def _timeout_s(head: RequestHead, route: CompiledRoute, name: bytes) -> float:
    """Return the route's timeout or the caller's, whichever is shorter."""
    value = header_value(head.headers, name)
    if value is None:
        return route.timeout_s
    if not value.isdigit():
        raise GuavagapError(ErrorKind.BAD_REQUEST, f"{name.decode()} is no number")
    return min(route.timeout_s, int(value) / 1000)
