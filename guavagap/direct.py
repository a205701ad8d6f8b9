"""Direct connections to backend servers on other VMs, covered by permits.

One task per owner node renews the permits for all of its backend servers. A permit
expires unless it is renewed; its TTL is measured from before it was requested.
"""

import curio

from guavagap.addresses import parse_address
from guavagap.backend_connections import BackendConnectionPool, BackendUpstream
from guavagap.clock import steady_s
from guavagap.directory import Target
from guavagap.errors import GuavagapError
from guavagap.links import LinkPool
from guavagap.logs import get_logger
from guavagap.messages import PermitDemand, PermitRequest
from guavagap.tasks import TaskScope

__all__ = ["DirectConnections"]

log = get_logger()

MAX_WANTED_PERMITS = 8
PERMIT_IDLE_TIMEOUT_S = 10.0
RENEW_SHARE_OF_TTL = 2 / 3
RENEW_RETRY_DELAY_S = 0.5


class _PermittedPool:
    """Connections to one backend server and the permit that covers them."""

    def __init__(self, target: Target):
        self.node_id = target.node_id
        self.server_id = target.server.server_id
        self.connections = BackendConnectionPool(parse_address(target.server.address))
        self.granted = 0
        self.expires_at_s = 0.0
        self.last_used_s = 0.0
        self.peak_in_use = 1

    def has_permit(self) -> bool:
        return self.granted > 0 and steady_s() < self.expires_at_s

    def may_keep(self) -> bool:
        return self.has_permit() and self.connections.open_count <= self.granted

    async def acquire(self):
        """Return a connection covered by the permit, or None."""
        self.last_used_s = steady_s()
        in_use = self.connections.open_count - self.connections.idle_count
        self.peak_in_use = max(self.peak_in_use, in_use + 1)
        if not self.has_permit():
            return None
        connection = await self.connections.pop_idle()
        if connection is not None:
            return connection
        if self.connections.open_count >= self.granted:
            return None
        return await self.connections.connect()


class DirectConnections:
    """Direct connections of one ingress node.

    Args:
        links: links to owner nodes.
        scope: runs one renewal task per owner node.
    """

    def __init__(self, links: LinkPool, scope: TaskScope):
        self._links = links
        self._scope = scope
        self._pools: dict[str, _PermittedPool] = {}
        self._renewing_node_ids: set[str] = set()

    async def acquire(self, target: Target) -> BackendUpstream | None:
        """Return an upstream on a direct connection, or None without a permit.

        Raises:
            GuavagapError: CONNECT_FAILED.
        """
        pool = self._pools.get(target.server.server_id)
        if pool is None:
            pool = self._pools[target.server.server_id] = _PermittedPool(target)
        if target.node_id not in self._renewing_node_ids:
            self._renewing_node_ids.add(target.node_id)
            await self._scope.spawn(self._renew_while_used, target.node_id)
        connection = await pool.acquire()
        if connection is None:
            return None
        return BackendUpstream(
            connection, pool.connections, pool.may_keep, target.server.server_id
        )

    async def revoke(self, server_id: str) -> None:
        """Stop using the permit for a backend server immediately."""
        pool = self._pools.get(server_id)
        if pool is not None:
            pool.granted = 0
            await pool.connections.close_idle()

    def open_count(self) -> int:
        """Return the number of open direct connections."""
        return sum(pool.connections.open_count for pool in self._pools.values())

    async def _renew_while_used(self, node_id: str) -> None:
        """Renew the permits of one owner node as long as any is in use."""
        try:
            while True:
                pools = await self._drop_unused(node_id)
                if not pools:
                    return
                wait_s = await self._request_permits(node_id, pools)
                await curio.sleep(wait_s)
        finally:
            self._renewing_node_ids.discard(node_id)
            for pool in self._pools_of(node_id):
                pool.granted = 0
                await pool.connections.close_idle()

    def _pools_of(self, node_id: str) -> list[_PermittedPool]:
        return [pool for pool in self._pools.values() if pool.node_id == node_id]

    async def _drop_unused(self, node_id: str) -> list[_PermittedPool]:
        """Return the pools in use; drop the permits of the others."""
        now_s = steady_s()
        used_pools = []
        for pool in self._pools_of(node_id):
            if now_s - pool.last_used_s <= PERMIT_IDLE_TIMEOUT_S:
                used_pools.append(pool)
                continue
            pool.granted = 0
            await pool.connections.close_idle()
            if not pool.connections.open_count:
                del self._pools[pool.server_id]
        return used_pools

    async def _request_permits(
        self, node_id: str, pools: list[_PermittedPool]
    ) -> float:
        """Request permits; return the delay until the next request."""
        demands = []
        for pool in pools:
            wanted = min(MAX_WANTED_PERMITS, pool.peak_in_use)
            pool.peak_in_use = 1
            held = pool.connections.open_count
            demands.append(PermitDemand(pool.server_id, wanted, held))
        requested_at_s = steady_s()
        try:
            link = await self._links.get(node_id)
            reply = await link.call(PermitRequest(0, tuple(demands)))
        except GuavagapError as error:
            log.info("permits not renewed", owner=node_id, why=str(error))
            await self._close_expired(pools)
            return RENEW_RETRY_DELAY_S
        ttl_s = RENEW_RETRY_DELAY_S / RENEW_SHARE_OF_TTL
        for grant in reply.grants:
            pool = self._pools.get(grant.server_id)
            if pool is None:
                continue
            ttl_s = grant.ttl_ms / 1000
            pool.granted = grant.granted
            pool.expires_at_s = requested_at_s + ttl_s
        await self._close_expired(pools)
        return ttl_s * RENEW_SHARE_OF_TTL

    async def _close_expired(self, pools: list[_PermittedPool]) -> None:
        for pool in pools:
            if not pool.may_keep():
                await pool.connections.close_idle()
