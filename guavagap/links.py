"""Pool of links to other nodes: dialed on demand, one per peer."""

import curio

from guavagap.addresses import parse_address
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.faults import BlockedAddresses
from guavagap.link import Link, LinkIdentity, TrafficCounts, accept_link, dial_link
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.tasks import TaskScope

__all__ = ["LinkPool"]

log = get_logger()

IDLE_LINK_S = 30.0


class LinkPool:
    """Dialed and accepted links of the local node.

    Args:
        identity: identity of the local node.
        table: the member table, which provides the nodes' addresses.
        scope: owns one task per dialed link.
        handle: coroutine function that handles messages; see :meth:`Link.run`.
        counts: traffic counters of all links.
        blocked: addresses that fault injection blocks.

    Attributes:
        accepted: links that other nodes have dialed.
        refused_count: number of accepted sockets that failed authentication.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        table: MemberTable,
        scope: TaskScope,
        handle,
        counts: TrafficCounts,
        blocked: BlockedAddresses,
    ):
        self._blocked = blocked
        self.counts = counts
        self.accepted: set[Link] = set()
        self.refused_count = 0
        self._identity = identity
        self._table = table
        self._scope = scope
        self._handle = handle
        self._dialed: dict[str, Link] = {}
        self._retired: set[Link] = set()
        self._dial_locks: dict[str, curio.Lock] = {}

    def __len__(self) -> int:
        return len(self._dialed)

    async def get(self, node_id: str) -> Link:
        """Return the open link to a node, dialing it if there is none.

        Raises:
            GuavagapError: LINK_UNREACHABLE; nothing was sent.
        """
        link = self._find_open(node_id)
        if link is not None:
            return link
        lock = self._dial_locks.setdefault(node_id, curio.Lock())
        async with lock:
            return self._find_open(node_id) or await self._dial(node_id)

    def _find_open(self, node_id: str) -> Link | None:
        """Return the link that new streams and calls may use, if there is one."""
        link = self._dialed.get(node_id)
        if link is None or link.is_closed:
            return None
        if link.is_retired:
            self._retired.add(link)
            return None
        return link

    async def _dial(self, node_id: str) -> Link:
        row = self._table.get(node_id)
        if row is None:
            raise GuavagapError(ErrorKind.LINK_UNREACHABLE, f"unknown node {node_id}")
        if parse_address(row.link_address) in self._blocked:
            raise GuavagapError(ErrorKind.LINK_UNREACHABLE, f"{node_id} is blocked")
        opened = curio.Event()
        outcome: list = []
        await self._scope.spawn(self._run_dialed_link, row, opened, outcome)
        await opened.wait()
        if isinstance(outcome[0], GuavagapError):
            raise GuavagapError(ErrorKind.LINK_UNREACHABLE, outcome[0].detail)
        return outcome[0]

    async def _run_dialed_link(self, row, opened: curio.Event, outcome: list) -> None:
        """Run one dialed link from its handshake to its end."""
        node_id = row.node_id
        try:
            address = parse_address(row.link_address)
            async with dial_link(address, self._identity, self.counts) as link:
                if link.peer_id != node_id:
                    raise GuavagapError(
                        ErrorKind.LINK_UNREACHABLE,
                        f"{node_id}: peer identifies as {link.peer_id}",
                    )
                self._dialed[node_id] = link
                outcome.append(link)
                await opened.set()
                await link.run(self._handle)
        except GuavagapError as error:
            outcome.append(error)
            log.debug("link ended", peer=node_id, why=str(error))
        finally:
            if outcome and self._dialed.get(node_id) is outcome[0]:
                del self._dialed[node_id]
            if outcome:
                self._retired.discard(outcome[0])
            if not outcome:
                outcome.append(GuavagapError(ErrorKind.LINK_UNREACHABLE, "cancelled"))
            await opened.set()

    async def serve(self, sock) -> None:
        """Serve one accepted socket until its link ends."""
        try:
            async with accept_link(sock, self._identity, self.counts) as link:
                self.accepted.add(link)
                try:
                    await link.run(self._handle)
                finally:
                    self.accepted.discard(link)
        except GuavagapError as error:
            if error.kind is ErrorKind.AUTHENTICATION_FAILED:
                self.refused_count += 1
                log.warning("link refused", why=str(error))
                return
            log.debug("link ended", why=str(error))

    async def replace_key(self, key_bytes: bytes) -> None:
        """Authenticate new links with another key, and close those of the old one."""
        self._identity = self._identity._replace(mesh_key_bytes=key_bytes)
        for link in [*self._dialed.values(), *self._retired, *self.accepted]:
            await link.close()

    async def close_idle(self, idle_s: float = IDLE_LINK_S) -> None:
        """Close the dialed links that have been idle for ``idle_s``, and retired ones.

        A retired link is closed when its last stream has ended.
        """
        for link in [*self._dialed.values(), *self._retired]:
            is_finished = link.is_retired and not link.streams
            if is_finished or link.is_idle(idle_s):
                await link.close()

    async def close_blocked(self) -> None:
        """Close all links to or from nodes whose address is blocked."""
        for link in [*self._dialed.values(), *self._retired, *self.accepted]:
            row = self._table.get(link.peer_id)
            if row is not None and parse_address(row.link_address) in self._blocked:
                await link.close()
