"""The cold backend servers of one VM: their limits, health probes and log lines.

:mod:`guavagap.scheduling.cold_starts` decides. Nothing is limited, probed or logged for
services whose configuration has no limit.
"""

from collections import Counter

from guavagap.addresses import parse_address
from guavagap.announcements import ServerReport
from guavagap.backend_proxy import BackendProxy
from guavagap.clock import steady_s
from guavagap.declarations import ColdLimit
from guavagap.errors import GuavagapError
from guavagap.http_messages import HttpRequest, call_http
from guavagap.logs import get_logger
from guavagap.scheduling.cold_starts import (
    ColdEvent,
    ColdStart,
    Heartbeat,
    cold_burst,
)
from guavagap.scheduling.rate_limits import NO_LIMIT

__all__ = ["ColdServers"]

log = get_logger()

# A probe takes the backend server 6 ms, on a busy VM a multiple of that.
PROBE_TIMEOUT_S = 1.0
REFUSALS_LOG_INTERVAL_S = 1.0


class ColdServers:
    """The cold starts of the backend servers of one VM.

    Args:
        node: the node's parts; see :class:`guavagap.node.Node`.

    Attributes:
        refused_counts: requests that were refused while a backend server was cold, by
            its identifier.
        probe_count: health probes that were sent.
    """

    def __init__(self, node):
        self.refused_counts: Counter[str] = Counter()
        self.probe_count = 0
        self._node = node
        self._starts: dict[str, ColdStart] = {}
        self._cold_since_s: dict[str, float] = {}
        # Proxies whose limit has ended and whose waiting requests are not admitted yet.
        self._released: list[BackendProxy] = []
        self._logged_refusals: Counter[str] = Counter()
        self._refusals_logged_at_s = steady_s()

    def cold_ids(self) -> list[str]:
        """Return the backend servers that are limited, since they are cold."""
        return sorted(self._cold_since_s)

    def is_cold(self, server_id: str) -> bool:
        """Return whether a backend server is limited, since it is cold."""
        return server_id in self._cold_since_s

    async def record_heartbeat(self, report: ServerReport) -> None:
        """Record a heartbeat that is not stale."""
        now_s = steady_s()
        start = self._starts.get(report.server_id)
        if start is None:
            start = self._starts[report.server_id] = ColdStart(now_s)
        heartbeat = Heartbeat(report.born_ms, report.sequence, report.cold_s)
        start.record_heartbeat(heartbeat, now_s)
        self._apply_to(report.server_id)
        await self._admit_waiting()

    def record_event(self, server_id: str, event: ColdEvent) -> None:
        """Record what may have made a backend server cold."""
        start = self._starts.get(server_id)
        if start is None:
            return
        start.record_event(event, steady_s())
        self._apply_to(server_id)

    def record_event_for_all(self, event: ColdEvent) -> None:
        """Record what may have made every backend server of the VM cold."""
        for server_id in self._starts:
            self.record_event(server_id, event)

    def record_connected(self, server_id: str) -> None:
        """Record that a backend server has accepted a new connection."""
        start = self._starts.get(server_id)
        if start is not None:
            start.record_connected()

    def record_refusal(self, server_id: str) -> None:
        """Record a refused request, which counts while the backend server is cold."""
        if self.is_cold(server_id):
            self.refused_counts[server_id] += 1

    def _apply_to(self, server_id: str) -> None:
        backend_proxy = self._node.backend_proxies.get(server_id)
        if backend_proxy is not None:
            self.apply(backend_proxy)

    def apply(self, backend_proxy: BackendProxy) -> None:
        """Limit a backend server as long as it is cold."""
        server = backend_proxy.server
        limit = self._node.configuration.cold_limits.get(server.service)
        start = self._starts.get(server.server_id)
        is_cold = limit is not None and start is not None
        is_cold = is_cold and start.is_cold(steady_s())
        if not is_cold:
            self._log_end(server.server_id, start)
            if backend_proxy.set_rate_bound(NO_LIMIT, 0.0):
                self._released.append(backend_proxy)
            return
        settings = self._node.settings
        burst = cold_burst(limit, settings.cold_overshoot, settings.cold_slack)
        self._log_begin(server.server_id, start, limit)
        backend_proxy.set_rate_bound(limit.rate_per_s, burst)

    async def _admit_waiting(self) -> None:
        """Admit the requests that waited for limits that have ended."""
        while self._released:
            await self._released.pop().admission.apply_rate_change()

    def _log_begin(self, server_id: str, start: ColdStart, limit: ColdLimit) -> None:
        now_s = steady_s()
        if server_id in self._cold_since_s:
            return
        self._cold_since_s[server_id] = now_s
        log.info(
            "backend server cold",
            server=server_id,
            reason=start.reason,
            is_presumed=start.is_presumed,
            remaining_s=round(start.remaining_s(now_s), 3),
            limit_per_s=limit.rate_per_s,
        )

    def _log_end(self, server_id: str, start: ColdStart | None) -> None:
        since_s = self._cold_since_s.pop(server_id, None)
        if since_s is None:
            return
        log.info(
            "backend server no longer cold",
            server=server_id,
            reason="" if start is None else start.reason,
            age_s=round(steady_s() - since_s, 3),
            refused=self.refused_counts[server_id],
        )

    async def update(self) -> None:
        """Apply what has changed with time or configuration, and send due probes."""
        self._forget_absent()
        for server_id, backend_proxy in list(self._node.backend_proxies.items()):
            self.apply(backend_proxy)
            path = self._due_probe(backend_proxy)
            if path:
                await self._node.scope.spawn(self._probe, backend_proxy, path)
        await self._admit_waiting()
        self._log_refusals()

    def _forget_absent(self) -> None:
        for server_id in list(self._starts):
            if self._node.announcements.get(server_id) is None:
                self._log_end(server_id, self._starts.pop(server_id))
                self.refused_counts.pop(server_id, None)
                self._logged_refusals.pop(server_id, None)

    def _due_probe(self, backend_proxy: BackendProxy) -> str:
        """Return the path of a probe that is to be sent now, "" if none is."""
        limit = self._node.configuration.cold_limits.get(backend_proxy.server.service)
        start = self._starts.get(backend_proxy.server.server_id)
        if limit is None or start is None or not limit.health_path:
            return ""
        if self._node.evacuation.is_local:
            # Its end makes one necessary in any case.
            return ""
        return limit.health_path if start.take_probe(steady_s()) else ""

    async def _probe(self, backend_proxy: BackendProxy, path: str) -> None:
        """Ask a backend server once how long it stays cold."""
        server = backend_proxy.server
        request = HttpRequest(b"GET", path.encode(), [])
        self.probe_count += 1
        sent_at_s = steady_s()
        try:
            response = await call_http(
                parse_address(server.address), request, PROBE_TIMEOUT_S
            )
        except GuavagapError as error:
            log.info("health probe failed", server=server.server_id, why=error.detail)
            return
        statement = self._node.dialect.read_health(response.headers)
        is_usable = statement.server_id == server.server_id
        is_usable = is_usable and statement.cold_s is not None
        now_s = steady_s()
        log.info(
            "backend server probed",
            server=server.server_id,
            answered_by=statement.server_id,
            cold_s=statement.cold_s,
            took_s=round(now_s - sent_at_s, 3),
            outcome="used" if is_usable else "ignored",
        )
        start = self._starts.get(server.server_id)
        if start is None or not is_usable:
            return
        start.record_probe(sent_at_s, statement.cold_s, now_s)
        self._apply_to(server.server_id)
        await self._admit_waiting()

    def _log_refusals(self) -> None:
        """Log at intervals how many requests were refused since the last line."""
        now_s = steady_s()
        if now_s - self._refusals_logged_at_s < REFUSALS_LOG_INTERVAL_S:
            return
        self._refusals_logged_at_s = now_s
        for server_id, total in self.refused_counts.items():
            count = total - self._logged_refusals[server_id]
            if not count:
                continue
            self._logged_refusals[server_id] = total
            log.info("requests refused", reason="cold", server=server_id, count=count)
