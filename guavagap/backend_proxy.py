"""Proxy of one local backend server: admission, permits and connections."""

from typing import Callable

import curio

from guavagap.addresses import parse_address
from guavagap.backend_connections import BackendConnectionPool, BackendUpstream
from guavagap.clock import steady_s
from guavagap.dialect import NATIVE_DIALECT, Dialect
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.exchange import (
    Attempt,
    Downstream,
    ForwardedRequest,
    ResponseHead,
    Upstream,
    relay_exchange,
)
from guavagap.http1 import Http1Connection
from guavagap.limits import Admission, PermitLedger, direct_connection_limit
from guavagap.logs import get_logger
from guavagap.messages import BackendServer
from guavagap.scheduling.cold_starts import ColdEvent
from guavagap.scheduling.pace import PaceReason, paced_slowness
from guavagap.scheduling.rate_limits import NO_LIMIT
from guavagap.scheduling.speeds import RunTimeFactor
from guavagap.server_guards import ServerGuard
from guavagap.server_pace import ServerPace
from guavagap.server_statements import (
    ServerStatement,
    from_millihertz,
    to_millihertz,
)
from guavagap.stream_messages import Condition

__all__ = ["BackendProxy"]

log = get_logger()

FAILURE_STATUS = 500
# The moving averages cover about ten requests: half a second of a busy server.
EWMA_WEIGHT = 0.1
# Links carry load and slowness in 16 bits.
MAX_LOAD = 60_000
MAX_PERMILLE = 60_000
# The sockets of an exiting process are closed within a few milliseconds of each other.
PROCESS_EXIT_S = 0.03
# In a ramp-up the mean run time follows the recent runs: it is what other nodes expect,
# and a backend server that was slow a moment ago would be avoided for seconds.
RAMP_UP_EWMA_WEIGHT = 0.3
# A request that is cancelled so shortly before its deadline had no response in time.
DEADLINE_TOLERANCE_S = 0.05
_PACE_REASONS = {
    ColdEvent.CRASHED: PaceReason.CRASHED,
    ColdEvent.UNREACHABLE: PaceReason.UNREACHABLE,
    ColdEvent.DISCONNECTED: PaceReason.DISCONNECTED,
    ColdEvent.EVACUATION_ENDED: PaceReason.EVACUATION_ENDED,
    ColdEvent.NODE_RESUMED: PaceReason.NODE_RESUMED,
}
_BUSY_KINDS = (ErrorKind.SLOTS_TAKEN, ErrorKind.OVERLOADED)
_LOST_KINDS = (ErrorKind.BACKEND_SERVER_LOST, ErrorKind.BODY_CUT_SHORT)
# A refusal counts as a failure too, since admission had found a free slot.
_FAILURE_KINDS = _LOST_KINDS + (
    ErrorKind.REFUSED_BY_BACKEND_SERVER,
    ErrorKind.BACKEND_SERVER_PROTOCOL,
)


class BackendProxy:
    """Runs requests on a backend server of this VM.

    Args:
        server: the announcement of the backend server.
        permit_ttl_s: lifetime of permits for direct connections.
        dialect: headers of the backend server.
        guard: decides besides this proxy which requests may be sent.
        has_pace: whether the backend server ramps up after a start or a recovery.

    Attributes:
        is_leaving: whether the backend server has said that it takes no new requests.
        pace: its ramp-up; None where it has none.
    """

    def __init__(
        self,
        server: BackendServer,
        permit_ttl_s: float,
        dialect: Dialect = NATIVE_DIALECT,
        guard: ServerGuard = ServerGuard(),
        has_pace: bool = False,
    ):
        self.server = server
        self._guard = guard
        self._rate_bound = (NO_LIMIT, 0.0)
        self.is_leaving = False
        self._limit_per_s: float | None = None
        self._dialect = dialect
        self._failure_rate = 0.0
        self._slowness = 0.0
        self._ended_at_s = 0.0
        self._run_time_factor = RunTimeFactor()
        self.admission = Admission(server.slots)
        self.pace: ServerPace | None = None
        if has_pace:
            self.pace = ServerPace(
                server.server_id, self.admission, guard.usual_slowness
            )
        self.permits = PermitLedger(
            direct_connection_limit(server.connections, server.slots),
            permit_ttl_s,
            steady_s,
        )
        self.connections = BackendConnectionPool(parse_address(server.address))

    def is_for(self, server: BackendServer) -> bool:
        """Return whether this proxy can serve a backend server as announced.

        Draining is final for a proxy, so a backend server that has started again
        needs a new one.
        """
        is_draining = self.admission.is_draining or self.is_leaving
        if is_draining and not server.is_draining:
            return False
        return self.server._replace(is_draining=False) == server._replace(
            is_draining=False
        )

    def condition(self) -> Condition:
        """Return load, failure rate and slowness, for the nodes that send requests."""
        return Condition(
            min(MAX_LOAD, self.admission.load),
            int(self._failure_rate * 1000),
            min(MAX_PERMILLE, int(self._expected_slowness() * 1000)),
            True,
            to_millihertz(self._limit_per_s),
            self.is_leaving,
            self._guard.is_cold,
            self._run_time_factor.percent(steady_s()),
        )

    def _expected_slowness(self) -> float:
        if self.pace is None or not self.pace.is_active:
            return self._slowness
        usual = self._guard.usual_slowness()
        return paced_slowness(self._slowness, usual, steady_s() - self._ended_at_s)

    def set_rate_bound(self, rate_per_s: float, burst: float) -> bool:
        """Bound the requests a second besides the limit that is named.

        Args:
            rate_per_s: requests a second; ``NO_LIMIT`` for none.
            burst: requests that may be sent at once after a pause.

        Returns:
            Whether a bound has ended.
        """
        if self._rate_bound == (rate_per_s, burst):
            return False
        self._rate_bound = (rate_per_s, burst)
        self.admission.rate_limit.set_bound(rate_per_s, burst, steady_s())
        return rate_per_s == NO_LIMIT

    def adopt_limit(self, limit_millihertz: int) -> None:
        """Apply the limit that another node was told, until a response tells."""
        limit_per_s = from_millihertz(limit_millihertz)
        if self._limit_per_s is None and limit_per_s is not None:
            self._set_limit(limit_per_s, "another node")

    def _set_limit(self, limit_per_s: float, source: str) -> None:
        if limit_per_s == self._limit_per_s:
            return
        if self._limit_per_s not in (None, NO_LIMIT) or limit_per_s != NO_LIMIT:
            log.info(
                "backend server limit changed",
                server=self.server.server_id,
                before_per_s=self._limit_per_s,
                limit_per_s=limit_per_s,
                source=source,
            )
            self.admission.rate_limit.set_rate(limit_per_s, steady_s())
        self._limit_per_s = limit_per_s

    def _record_statement(self, statement: ServerStatement) -> None:
        """Apply what a response says about the backend server."""
        if statement.limit_per_s is not None:
            self._set_limit(statement.limit_per_s, "response")
        self.is_leaving |= statement.is_leaving
        if statement.run_time_percent:
            self._record_run_time(statement.run_time_percent)

    def _record_run_time(self, percent: int) -> None:
        if not self._run_time_factor.is_known:
            log.info(
                "backend server reports its run time",
                server=self.server.server_id,
                percent=percent,
            )
        self._run_time_factor.record(percent, steady_s())

    def _update_means(self, request: ForwardedRequest, is_failure: bool, run_s: float):
        """Update the moving averages with the outcome of a run."""
        self._failure_rate += EWMA_WEIGHT * (is_failure - self._failure_rate)
        if not request.target_latency_s:
            return
        slowness = run_s / request.target_latency_s
        self._ended_at_s = steady_s()
        if not self._slowness:
            self._slowness = slowness
        is_ramping_up = self.pace is not None and self.pace.is_active
        weight = RAMP_UP_EWMA_WEIGHT if is_ramping_up else EWMA_WEIGHT
        self._slowness += weight * (slowness - self._slowness)

    def _record_pace(
        self, request: ForwardedRequest, is_failure: bool, run_s: float
    ) -> None:
        """Let the ramp-up proceed by the outcome of a run."""
        if self.pace is None:
            return
        sent_at_s = steady_s() - run_s
        if is_failure:
            self.pace.record_failure(sent_at_s)
            return
        target_s = request.target_latency_s
        self.pace.record_response(run_s / target_s if target_s else 0.0, sent_at_s)

    def record_event(self, event: ColdEvent) -> None:
        """Record what may have made the backend server slow; it ramps up again."""
        reason = _PACE_REASONS.get(event)
        if self.pace is not None and reason is not None:
            self.pace.begin(reason)

    def _record_lost(self, event: ColdEvent) -> None:
        """Record that the backend server may be down, or has started again."""
        self.record_event(event)
        self._guard.record_event(event)

    async def start_draining(self) -> None:
        """Refuse new and waiting requests and grant no permits."""
        self.permits.is_draining = True
        await self.admission.start_draining()

    async def refuse_evacuated(self) -> int:
        """Refuse the waiting requests of an evacuation; return their number."""
        return await self.admission.refuse_waiting(
            ErrorKind.EVACUATED, "the failure domain is evacuated"
        )

    async def run(
        self,
        request: ForwardedRequest,
        downstream: Downstream,
        attempt: Attempt,
        check_response: Callable[[ResponseHead], None] | None = None,
    ) -> ResponseHead:
        """Admit a request, run it and pass on its response.

        Args:
            request: the request to run.
            downstream: destination of the response.
            attempt: its ``upstream`` is set when the request is about to be sent.
            check_response: see :func:`guavagap.exchange.relay_exchange`.

        Raises:
            GuavagapError: DRAINING when the backend server has said that it leaves;
                EVACUATED when nothing may be sent to it; BACKEND_SERVER_CRASHED when
                the response was lost and the backend server no longer accepts
                connections, unless it was about to end; see also
                :meth:`guavagap.limits.Admission.admit` and
                :func:`guavagap.exchange.relay_exchange`.
        """
        self._check_accepting()
        try:
            return await self._run_admitted(
                request, downstream, attempt, check_response
            )
        except GuavagapError as error:
            if error.kind in _BUSY_KINDS:
                self._guard.record_refusal()
                if self.pace is not None:
                    self.pace.record_refusal()
            raise

    async def _run_admitted(
        self,
        request: ForwardedRequest,
        downstream: Downstream,
        attempt: Attempt,
        check_response: Callable[[ResponseHead], None] | None,
    ) -> ResponseHead:
        async with self.admission.admit(
            request.priority,
            request.max_wait_s,
            request.target_latency_s,
            request.customer,
            request.customer_priority,
            may_exceed_limit=request.may_exceed_pace,
        ):
            self._check_accepting()
            if steady_s() >= request.deadline_s:
                raise GuavagapError(
                    ErrorKind.DEADLINE_BEFORE_RUN,
                    "the deadline passed while waiting for a slot",
                )
            await downstream.fetch_deferred_body()
            connection = await self._acquire_connection()
            upstream = BackendUpstream(
                connection,
                self.connections,
                _may_always_reuse,
                self.server.server_id,
                self._dialect,
                self._record_statement,
            )
            attempt.upstream = upstream
            return await self._run_exchange(
                request, downstream, upstream, check_response
            )

    def _check_accepting(self) -> None:
        if self.is_leaving:
            raise GuavagapError(
                ErrorKind.DRAINING, "the backend server has said that it leaves"
            )
        self._guard.check()

    async def _acquire_connection(self) -> Http1Connection:
        """Return a connection on which a request may be sent now.

        Raises:
            GuavagapError: CONNECT_FAILED, EVACUATED.
        """
        connection = await self.connections.pop_idle()
        if connection is None:
            connection = await self._connect()
        try:
            # The body or the connection may have been awaited for a while.
            self._guard.check()
        except GuavagapError:
            self.connections.keep(connection)
            raise
        return connection

    async def _connect(self) -> Http1Connection:
        if self.connections.is_peer_gone:
            self._record_lost(ColdEvent.DISCONNECTED)
        try:
            connection = await self.connections.connect()
        except GuavagapError:
            self._record_lost(ColdEvent.UNREACHABLE)
            raise
        self._guard.record_connected()
        return connection

    async def _run_exchange(
        self,
        request: ForwardedRequest,
        downstream: Downstream,
        upstream: Upstream,
        check_response: Callable[[ResponseHead], None] | None,
    ) -> ResponseHead:
        """Relay a request and its response, and record the outcome."""
        started_s = steady_s()
        has_response = False

        def record_response(response: ResponseHead) -> None:
            nonlocal has_response
            has_response = True
            is_failure = response.status >= FAILURE_STATUS
            self._update_means(request, is_failure, response.run_s)
            self._record_pace(request, is_failure, response.run_s)
            if check_response is not None:
                check_response(response)

        try:
            return await relay_exchange(request, downstream, upstream, record_response)
        except GuavagapError as error:
            run_s = steady_s() - started_s
            if not has_response and error.kind in _FAILURE_KINDS:
                self._update_means(request, True, run_s)
                self._record_pace(request, True, run_s)
            if error.kind in _LOST_KINDS and not await self._is_listening():
                self._record_lost(ColdEvent.CRASHED)
                if not self._may_end:
                    raise self._crashed_error(error.detail) from None
            raise
        except curio.CancelledError:
            # The ingress node counts the deadline from an earlier time, so its reset
            # may arrive a little before this node's own deadline.
            left_s = request.deadline_s - steady_s()
            if not has_response and left_s < DEADLINE_TOLERANCE_S:
                self._record_pace(request, True, steady_s() - started_s)
            raise

    @property
    def _may_end(self) -> bool:
        """Whether the backend server was asked to end, or has said that it leaves."""
        return self.is_leaving or self.permits.is_draining

    def _crashed_error(self, detail: str) -> GuavagapError:
        error = GuavagapError(ErrorKind.BACKEND_SERVER_CRASHED, detail)
        error.born_ms = self.server.born_ms
        return error

    async def _is_listening(self) -> bool:
        """Return whether a connection can be opened; if so, keep it in the pool.

        The sockets of an exiting process are closed one after the other, so its
        listener can still accept a connection for up to ``PROCESS_EXIT_S``.
        """
        try:
            connection = await self.connections.connect()
        except GuavagapError:
            return False
        await curio.sleep(PROCESS_EXIT_S)
        if connection.is_closed_by_peer():
            await self.connections.discard(connection)
            return False
        self.connections.keep(connection)
        return True


def _may_always_reuse() -> bool:
    return True
