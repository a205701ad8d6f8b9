"""Updates of health, evidence and poison detection from attempt outcomes."""

from collections import Counter

from guavagap.clock import steady_s
from guavagap.dialect import Dialect
from guavagap.directory import Target
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.evidence import EvidenceKey
from guavagap.exchange import ResponseHead
from guavagap.logs import get_logger
from guavagap.poison import fingerprint_of, is_covered
from guavagap.requests import Exchange
from guavagap.snapshot import CompiledRoute

__all__ = ["FAILURE_STATUS", "OutcomeRecorder", "fingerprint_of_exchange"]

log = get_logger()

CRASH_REPORT_GOSSIP_TARGETS = 6
FAILURE_STATUS = 500
# A response with this status or above may have been sent without running the request.
CALLER_ERROR_STATUS = 400
MAX_TRACKED_ROUTES = 5000
# The moving average covers about ten responses.
EWMA_WEIGHT = 0.1

# With direct connections, no node on the backend server's VM can detect a crash, so a
# lost response may be one.
_LOST_KINDS = (ErrorKind.BACKEND_SERVER_LOST, ErrorKind.BODY_CUT_SHORT)
_UNREACHABLE_KINDS = (ErrorKind.CONNECT_FAILED, ErrorKind.LINK_UNREACHABLE)
_FAILURE_KINDS = _LOST_KINDS + (
    ErrorKind.BACKEND_SERVER_CRASHED,
    ErrorKind.BACKEND_SERVER_FAILED,
    ErrorKind.BACKEND_SERVER_PROTOCOL,
    ErrorKind.DEADLINE_AFTER_SEND,
    ErrorKind.LINK_LOST,
)


class OutcomeRecorder:
    """Records attempt outcomes in health, evidence, crash reports and response sizes.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.
        dialect: headers of backend servers.
        counts: counts of the proxy, by path and kind of error.
    """

    def __init__(self, node, dialect: Dialect, counts: Counter[str]):
        self._node = node
        self._dialect = dialect
        self._counts = counts
        self._mean_response_bytes: dict[str, float] = {}

    def mean_response_bytes(self, route: CompiledRoute) -> float:
        """Return the mean size of a route's responses, 0 before the first."""
        return self._mean_response_bytes.get(route.name, 0.0)

    def record_response(
        self, exchange: Exchange, target: Target, response: ResponseHead
    ) -> None:
        """Record the response of a backend server."""
        now_s = steady_s()
        is_failure = response.status >= FAILURE_STATUS
        self._counts["answers"] += 1
        if response.condition is not None:
            target.health.update_condition(response.condition, now_s)
        else:
            load = self._dialect.read_load(response.headers)
            if load is not None:
                target.health.update_load(load, now_s)
        if is_failure:
            target.health.record_failure(now_s, is_unreachable=False)
        else:
            target.health.record_success()
        if response.is_complete:
            self._record_response_size(
                exchange.route.name, sum(map(len, response.chunks))
            )
        if self._node.poison and response.status < CALLER_ERROR_STATUS:
            self._record_run(exchange)
        # The wait for a slot is excluded: it depends on the number of slots, not on
        # the speed of the version.
        self._record(exchange, target, is_failure, response.run_s)

    def _record_response_size(self, route_name: str, size_bytes: int) -> None:
        """Update the moving average of the size of a route's responses."""
        mean_bytes = self._mean_response_bytes.get(route_name, size_bytes)
        if len(self._mean_response_bytes) > MAX_TRACKED_ROUTES:
            self._mean_response_bytes.clear()
        self._mean_response_bytes[route_name] = mean_bytes + EWMA_WEIGHT * (
            size_bytes - mean_bytes
        )

    def record_failure(
        self,
        exchange: Exchange,
        target: Target,
        error: GuavagapError,
        started_s: float,
    ) -> None:
        """Record a failed attempt."""
        now_s = steady_s()
        backend_proxy = self._node.backend_proxies.get(target.server.server_id)
        if backend_proxy is not None:
            target.health.update_condition(
                backend_proxy.condition(), now_s, is_response=False
            )
        if error.kind in _UNREACHABLE_KINDS:
            elapsed_s = now_s - started_s
            target.health.record_failure(
                now_s, is_unreachable=True, elapsed_s=elapsed_s
            )
            return
        if error.kind not in _FAILURE_KINDS:
            return
        is_deadline = error.kind is ErrorKind.DEADLINE_AFTER_SEND
        if is_deadline and exchange.downstream.is_caller_late:
            # A few callers that stop half-way would make a sound server look faulty.
            return
        target.health.record_failure(now_s, is_unreachable=False)
        self._record(exchange, target, True, now_s - started_s)

    def is_crash(self, error: GuavagapError) -> bool:
        """Return whether a failure is treated as a crash of the backend server."""
        if error.kind is ErrorKind.BACKEND_SERVER_CRASHED:
            return True
        return error.kind in _LOST_KINDS and not self._node.is_forwarding_only

    async def record_crash(
        self, exchange: Exchange, target: Target, error: GuavagapError
    ) -> None:
        """Record a crash and gossip it before the caller can resend the request."""
        fingerprint = fingerprint_of_exchange(exchange)
        # The row of the server's node may be older than the start that has crashed.
        born_ms = error.born_ms or target.server.born_ms
        server_id = target.server.server_id
        is_quarantined = self._node.poison.record_crash(fingerprint, server_id, born_ms)
        log.warning(
            "crash reported",
            request=exchange.request_id.decode("latin-1"),
            route=exchange.route.name,
            fingerprint=fingerprint.hex(),
            server=server_id,
            born_ms=born_ms,
            outcome="quarantined" if is_quarantined else "remembered",
        )
        await self._node.membership.gossip_now(CRASH_REPORT_GOSSIP_TARGETS)

    def _record_run(self, exchange: Exchange) -> None:
        """Void the crash reports on a request that has been run without a crash."""
        downstream = exchange.downstream
        self._node.poison.record_success(
            fingerprint_of_exchange(exchange),
            is_covered(downstream.chunks, downstream.is_body_complete),
        )

    def _record(
        self, exchange: Exchange, target: Target, is_failure: bool, latency_s: float
    ) -> None:
        route, server = exchange.route, target.server
        key = EvidenceKey(server.service, server.version, route.name, server.server_id)
        self._node.evidence.record(key, is_failure, latency_s)


def fingerprint_of_exchange(exchange: Exchange) -> bytes:
    """Return the fingerprint of a request whose body has been read ahead."""
    request = exchange.request
    return exchange.fingerprint or fingerprint_of(
        request.method,
        request.target,
        exchange.downstream.chunks,
        request.content_length_bytes,
    )
