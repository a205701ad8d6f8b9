"""The proxy for callers: serves requests received on callers' connections."""

import random
import time
from collections import Counter
from itertools import count
from typing import NamedTuple

import curio
import h11

from guavagap.attempts import AttemptRunner
from guavagap.caller_connections import CallerDownstream
from guavagap.caller_errors import lingering_close, send_error
from guavagap.caller_watch import ConnectionWatcher, WatchedConnection
from guavagap.clock import steady_s
from guavagap.customer_counts import CustomerCounts
from guavagap.customers import (
    Credentials,
    CredentialsError,
    CustomerDirectory,
    RefusalReason,
)
from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.exchange import ForwardedRequest
from guavagap.http1 import (
    Http1Connection,
    RequestHead,
    describe_error,
    end_to_end_headers,
    header_value,
    read_request_head,
)
from guavagap.latency import make_latency_histogram
from guavagap.logs import get_logger
from guavagap.poison import fingerprint_of
from guavagap.quotas import NO_CHARGE, Charge, is_quota_refusal
from guavagap.requests import Exchange
from guavagap.snapshot import CompiledRoute, find_route
from guavagap.store_positions import describe_epoch
from guavagap.tasks import forget_frames

__all__ = ["Proxy", "request_timeout_s"]

log = get_logger()

# A longer number of milliseconds is more than any route allows.
MAX_TIMEOUT_DIGITS = 15
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_BYTES = 256
# Used when no backend server has refused the request, so that no backlog is known;
# randomised so that callers do not return simultaneously.
RETRY_AFTER_RANGE_S = (0.1, 0.3)
# A node that has just started learns of a proof within this time; one that is cut off
# from the store may need longer, and callers should use another node.
UNVERIFIED_RETRY_AFTER_RANGE_S = (0.3, 1.0)
CRASH_REPORT_GOSSIP_TARGETS = 6
FAILURE_STATUS = 500


class _AdmittedRequest(NamedTuple):
    """A request that has a route, and valid credentials if it needs any.

    Attributes:
        started_s: monotonic time at which the head was read.
        customers: the customers of the configuration that it was admitted by.
        credentials: None for an anonymous request.
        charge: what the request is charged to its customer's quota.
    """

    connection: Http1Connection
    head: RequestHead
    request_id: bytes
    started_s: float
    route: CompiledRoute
    customers: CustomerDirectory
    credentials: Credentials | None
    charge: Charge = NO_CHARGE


class Proxy:
    """Serves the callers of one node.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.

    Attributes:
        counts: responses, retries, attempts by path, and errors by kind.
        in_flight: number of requests being handled.
        latency_s: time from the head of a request to the end of its response, by
            outcome.
        customer_counts: requests by customer and refusals by reason.
    """

    def __init__(self, node):
        self.counts: Counter[str] = Counter()
        self.customer_counts = CustomerCounts()
        self.in_flight = 0
        self.latency_s = make_latency_histogram()
        self._node = node
        self._dialect = node.dialect
        self._reserved_headers = node.dialect.reserved_headers()
        self._reserved_with_customers = (
            self._reserved_headers | node.dialect.customer_headers()
        )
        self.attempts = AttemptRunner(
            node, node.dialect, self.counts, self._record_refused_credentials
        )
        self.connection_watcher = ConnectionWatcher(
            node.caller_idle_timeout_s, self.counts
        )
        self._request_numbers = count(1)
        self._request_prefix = f"{node.settings.node_id}-{time.time_ns():x}-".encode()

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self.connection_watcher.connections)

    async def serve(self, sock) -> None:
        """Serve the requests of one caller's connection."""
        connection = Http1Connection(sock, h11.SERVER)
        watched = WatchedConnection(connection, await curio.current_task())
        self.connection_watcher.connections.add(watched)
        try:
            async with self._node.clients.callers.open_account(connection):
                while await self._serve_request(connection, watched):
                    await connection.yield_if_buffered()
        except GuavagapError as error:
            # Too many connections; a request has handled its errors.
            await self._refuse(connection, error)
        except (OSError, h11.ProtocolError) as error:
            log.debug("caller connection ended", why=describe_error(error))
        finally:
            self.connection_watcher.connections.discard(watched)
            await connection.close()

    async def _refuse(self, connection: Http1Connection, error: GuavagapError) -> None:
        try:
            await self._send_error(connection, error, b"")
        except (OSError, h11.ProtocolError) as lost:
            log.debug("caller connection ended", why=describe_error(lost))

    async def _serve_request(
        self, connection: Http1Connection, watched: WatchedConnection
    ) -> bool:
        """Serve one request; return whether the connection may be kept."""
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
        started_s, outcome = steady_s(), "failed"
        try:
            await self._handle_request(connection, head, request_id)
            outcome = "answered"
        except GuavagapError as error:
            outcome = error.kind.value
            forget_frames(error)
            return await self._handle_error(connection, error, request_id)
        except OSError:
            return False
        except Exception as error:
            log.error("request failed", exc_info=error)
            internal = GuavagapError(
                ErrorKind.INTERNAL, "internal error; see the log of this node"
            )
            return await self._handle_error(connection, internal, request_id)
        finally:
            self.in_flight -= 1
            self.latency_s.observe({"outcome": outcome}, steady_s() - started_s)
            watched.start(is_handling_request=False)
            connection.account.end_request()
        return connection.start_next_cycle()

    async def _handle_error(
        self, connection: Http1Connection, error: GuavagapError, request_id: bytes
    ) -> bool:
        self.counts[error.kind.value] += 1
        can_respond = connection.h11.our_state is h11.SEND_RESPONSE
        if not is_quota_refusal(error) or self._node.quotas.may_log_refusal():
            log.info(
                "request failed",
                request=request_id.decode("latin-1"),
                kind=error.kind.value,
                why=error.detail,
                status=self._dialect.status_of(error.kind) if can_respond else 0,
                **_retry_delay_field(error),
                epoch=describe_epoch(self._node.configuration.epoch),
            )
        if not can_respond:
            return False
        await self._send_error(connection, error, request_id)
        if connection.start_next_cycle():
            return True
        await lingering_close(connection)
        return False

    async def _send_error(
        self, connection: Http1Connection, error: GuavagapError, request_id: bytes
    ) -> None:
        retry_after_s = error.retry_after_s
        if retry_after_s is None:
            retry_after_s = random.uniform(*RETRY_AFTER_RANGE_S)
        await send_error(
            connection,
            error,
            request_id,
            self._node.is_draining,
            self._dialect,
            retry_after_s,
        )

    async def _handle_request(
        self, connection: Http1Connection, head: RequestHead, request_id: bytes
    ) -> None:
        node, started_s = self._node, steady_s()
        if not node.is_ready:
            raise GuavagapError(
                ErrorKind.NOT_READY, "no configuration has been applied yet"
            )
        path = head.target.partition(b"?")[0]
        host = header_value(head.headers, b"host") or b""
        host_name = host.rpartition(b":")[0] if b":" in host else host
        snapshot = node.configuration.snapshot
        route = find_route(snapshot, host_name.lower(), path, head.method)
        if route is None:
            raise GuavagapError(ErrorKind.NO_ROUTE, "no route matches this request")
        customers = snapshot.customers
        credentials = self._authenticate(customers, route, head, request_id)
        request = _AdmittedRequest(
            connection, head, request_id, started_s, route, customers, credentials
        )
        if credentials is None:
            await self._run_request(request)
        else:
            await self._run_customer_request(request)

    def _authenticate(
        self,
        customers: CustomerDirectory,
        route: CompiledRoute,
        head: RequestHead,
        request_id: bytes,
    ) -> Credentials | None:
        """Return the credentials of a request, or None if it needs none.

        Raises:
            CredentialsError: the request is refused; it was not run.
        """
        proofs = self._node.proofs
        try:
            credentials = customers.authenticate(
                head.headers, route.is_anonymous_allowed
            )
            if credentials is None or proofs.is_current():
                return credentials
            raise CredentialsError(RefusalReason.UNVERIFIED, credentials.customer)
        except CredentialsError as error:
            if error.reason is RefusalReason.UNKNOWN and not proofs.is_recent():
                # The key may have been added since.
                error = CredentialsError(RefusalReason.UNVERIFIED)
            if error.reason is RefusalReason.UNVERIFIED:
                error.retry_after_s = random.uniform(*UNVERIFIED_RETRY_AFTER_RANGE_S)
            self._record_refused_credentials(error, route.name, request_id)
            raise error from None

    def _record_refused_credentials(
        self, error: CredentialsError, route_name: str, request_id: bytes
    ) -> None:
        self.customer_counts.record_refusal(error)
        age_s = self._node.proofs.tracked_age_s()
        log.info(
            "credentials refused",
            request=request_id.decode("latin-1"),
            route=route_name,
            reason=error.reason.value,
            customer=None if error.customer is None else error.customer.name,
            proof_age_s=None if age_s is None else round(age_s, 3),
            why=error.detail,
        )

    async def _run_customer_request(self, request: _AdmittedRequest) -> None:
        """Run a request with a valid key, and count it."""
        customer = request.credentials.customer
        self.customer_counts.record_request(customer)
        charge = NO_CHARGE
        try:
            # Nothing of the body is read yet.
            charge = await self._node.quotas.charge(customer)
            await self._run_request(request._replace(charge=charge))
        except GuavagapError as error:
            is_not_run = error_spec(error.kind).is_not_run
            self.customer_counts.record_error(customer, is_not_run)
            raise
        finally:
            charge.settle()

    async def _run_request(self, request: _AdmittedRequest) -> None:
        """Read the body as far as it can be kept, and run the request."""
        node, head = self._node, request.head
        deadline_s = request.started_s + request_timeout_s(
            head, request.route, self._dialect.timeout
        )
        if deadline_s > node.drain_deadline_s:
            raise GuavagapError(
                ErrorKind.DRAINING,
                "this node may shut down before the request's deadline",
            )
        extra_headers = [
            *self._dialect.via,
            (self._dialect.request_id, request.request_id),
        ]
        if node.is_draining:
            extra_headers.append((b"connection", b"close"))
        settings = node.settings
        downstream = CallerDownstream(
            request.connection,
            head,
            settings.max_body_bytes,
            settings.caller_read_timeout_s,
            extra_headers,
        )
        await downstream.read_ahead(deadline_s)
        exchange = self._make_exchange(request, downstream, deadline_s)
        await self.attempts.run(exchange._replace(charge=request.charge))

    def _make_exchange(
        self,
        admitted: _AdmittedRequest,
        downstream: CallerDownstream,
        deadline_s: float,
    ) -> Exchange:
        head, route = admitted.head, admitted.route
        credentials = admitted.credentials
        dialect, router = self._dialect, self._node.router
        reserved = (
            self._reserved_headers
            if admitted.customers.is_empty
            else self._reserved_with_customers
        )
        headers = [
            header
            for header in end_to_end_headers(head.headers)
            if header[0] not in reserved
        ]
        headers.append((dialect.request_id, admitted.request_id))
        customer, customer_priority = b"", 0
        if credentials is not None:
            customer = credentials.customer.name.encode()
            customer_priority = credentials.customer.priority
            headers.append((dialect.customer, customer))
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
            customer=customer,
            customer_priority=customer_priority,
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
            fingerprint = fingerprint_of(
                head.method, head.target, downstream.chunks, head.content_length_bytes
            )
        key = self._idempotency_key(head, route)
        return Exchange(
            admitted.request_id,
            route,
            share,
            version,
            request,
            downstream,
            has_retry_mark,
            fingerprint,
            key,
            admitted.started_s,
            credentials,
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


def _retry_delay_field(error: GuavagapError) -> dict[str, float]:
    """Return the log field of the delay told to a refused caller, if it is known."""
    if error.retry_after_s is None:
        return {}
    return {"retry_after_s": round(error.retry_after_s, 3)}


def request_timeout_s(head: RequestHead, route: CompiledRoute, name: bytes) -> float:
    """Return the timeout of the route or of the caller, whichever is shorter."""
    value = header_value(head.headers, name)
    if value is None:
        return route.timeout_s
    if not value.isdigit():
        raise GuavagapError(ErrorKind.BAD_REQUEST, f"{name.decode()} is not a number")
    if len(value) > MAX_TIMEOUT_DIGITS:
        return route.timeout_s
    return min(route.timeout_s, int(value) / 1000)
