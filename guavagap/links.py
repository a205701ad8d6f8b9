"""Pool of links to other nodes: dialed on demand, one per peer.

A node that does not respond costs each request that waits for it a whole dial timeout,
and requests would wait one after the other. So after one dial or link has timed out,
requests fail at once, while the node is dialed in the background until it responds.
"""

from typing import Awaitable, Callable

import curio

from guavagap.addresses import parse_address
from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError, PeerTimeoutError
from guavagap.faults import BlockedAddresses
from guavagap.link import Link, LinkIdentity, TrafficCounts, accept_link, dial_link
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.tasks import TaskScope

__all__ = ["LinkPool"]

log = get_logger()

IDLE_LINK_S = 30.0
REDIAL_INTERVAL_S = 0.2
# A silent node is dialed again until no request has needed it for this time.
REDIAL_WITHOUT_DEMAND_S = 3.0


class LinkPool:
    """Dialed and accepted links of the local node.

    Args:
        identity: identity of the local node.
        table: the member table, which provides the nodes' addresses.
        scope: owns one task per dialed link.
        handle: coroutine function that handles messages; see :meth:`Link.run`.
        counts: traffic counters of all links.
        blocked: addresses that fault injection blocks.
        on_silence: coroutine function called with the identifier of a node that has
            stopped responding.

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
        on_silence: Callable[[str], Awaitable[None]] | None = None,
    ):
        self._blocked = blocked
        self._on_silence = on_silence
        # When a request has last needed each node that does not respond.
        self._silent_wanted_at_s: dict[str, float] = {}
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
        self._check_not_silent(node_id)
        async with lock:
            link = self._find_open(node_id)
            if link is not None:
                return link
            self._check_not_silent(node_id)
            return await self._dial(node_id)

    def _check_not_silent(self, node_id: str) -> None:
        if node_id not in self._silent_wanted_at_s:
            return
        self._silent_wanted_at_s[node_id] = steady_s()
        raise GuavagapError(ErrorKind.LINK_UNREACHABLE, f"{node_id} does not respond")

    async def _record_silence(self, node_id: str) -> None:
        """Dial a node in the background that has stopped responding."""
        if node_id in self._silent_wanted_at_s:
            return
        log.info("node does not respond", peer=node_id)
        self._silent_wanted_at_s[node_id] = steady_s()
        if self._on_silence is not None:
            await self._on_silence(node_id)
        await self._scope.spawn(self._redial, node_id)

    async def _redial(self, node_id: str) -> None:
        """Dial a silent node until it responds or no request needs it any more."""
        try:
            while not await self._try_dial(node_id):
                await curio.sleep(REDIAL_INTERVAL_S)
                wanted_at_s = self._silent_wanted_at_s[node_id]
                if steady_s() - wanted_at_s > REDIAL_WITHOUT_DEMAND_S:
                    return
            log.info("node responds again", peer=node_id)
        finally:
            del self._silent_wanted_at_s[node_id]

    async def _try_dial(self, node_id: str) -> bool:
        """Dial a node; return whether it has responded, also by refusing the link."""
        if self._find_open(node_id) is not None:
            return True
        try:
            await self._dial(node_id)
        except PeerTimeoutError:
            return False
        except GuavagapError as error:
            log.debug("silent node refused a link", peer=node_id, why=str(error))
        return True

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
            raise type(outcome[0])(ErrorKind.LINK_UNREACHABLE, outcome[0].detail)
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
            if isinstance(error, PeerTimeoutError):
                await self._record_silence(node_id)
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
