"""Dissemination of configuration between nodes: push, fetch and serve.

A relay pushes each delta down a fan-out tree over its failure domain. A node that
a push did not reach detects the newer epoch on membership datagrams and fetches the
delta from the sender. It then gossips the delta to a few random members of its
failure domain, so a single contact brings the whole domain up to date. Nothing is
fetched across failure domains while the local relay is live.

Two nodes at one epoch may know different content of before a restore of the platform's
store; each then fetches all that the other one has.
"""

import random
import zlib
from collections import Counter

import curio

from guavagap.backoff import Backoff
from guavagap.clock import steady_s
from guavagap.configuration import Configuration
from guavagap.content_exchange import ExchangeSchedule
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Delta
from guavagap.links import LinkPool
from guavagap.logs import get_logger
from guavagap.members import MemberTable
from guavagap.messages import DeltaPush, DeltaReply, DeltaRequest, MemberState
from guavagap.patches import PatchBaseError
from guavagap.rendezvous import rendezvous_order
from guavagap.tasks import TaskScope

__all__ = ["RELAY_TIMEOUT_S", "Disseminator", "push_children", "push_order"]

log = get_logger()

FAN_OUT = 4
MAX_ORDERS = 8
# Members of a failure domain that compare their content with that of other failure
# domains, where traffic is billed.
REMOTE_EXCHANGES_PER_DOMAIN = 2
GOSSIP_FAN_OUT = 2
PUSH_TIMEOUT_S = 2.0
# A relay that has sent a push or heartbeat within this time is live: it delivers what
# other failure domains have.
RELAY_TIMEOUT_S = 1.1
# Relays of different failure domains receive a change within tenths of a second.
LOCAL_RELAY_GRACE_S = 0.5
MAX_DELTA_BYTES = 32 * 1024 * 1024
LARGE_DELTA_BYTES = 65_536
MAX_LARGE_DELTAS_SERVED = 2
MAX_REDIRECTS = 4
MAX_FETCH_ATTEMPTS = 6
FETCH_BACKOFF_FIRST_S = 0.1
FETCH_BACKOFF_LIMIT_S = 3.0
COMPRESSION_LEVEL = 6


def push_order(root_id: str, epoch: int, member_ids: list[str]) -> list[str]:
    """Return the members in breadth-first order of the fan-out tree of a push.

    They are ordered by a hash of root and epoch, so the inner nodes of the tree
    change with each epoch.
    """
    others = [node_id for node_id in member_ids if node_id != root_id]
    return [root_id, *rendezvous_order(f"{root_id}/{epoch}", others, str)]


def push_children(order: list[str], node_id: str) -> list[str]:
    """Return the children of a node in the fan-out tree with this order."""
    if node_id not in order:
        return []
    first = order.index(node_id) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


class Disseminator:
    """Transfer of deltas between the local node and other nodes.

    Args:
        configuration: configuration that deltas are applied to.
        table: the member table.
        links: links to other nodes.
        scope: owns the tasks that push and fetch.

    Attributes:
        highest_epoch_seen: the highest epoch that any node has reported.
        conflicting_epochs: epochs for which another node has different content.
        counts: transfers of deltas by outcome.
        relay_seen_at_s: monotonic time of the latest push or heartbeat of a relay.
        exchanges: when content is exchanged with a node at the same epoch.
    """

    def __init__(
        self,
        configuration: Configuration,
        table: MemberTable,
        links: LinkPool,
        scope: TaskScope,
    ):
        self.highest_epoch_seen = 0
        self.conflicting_epochs: set[int] = set()
        self.counts: Counter[str] = Counter()
        self.relay_seen_at_s = float("-inf")
        self.exchanges = ExchangeSchedule()
        self._configuration = configuration
        self._table = table
        self._links = links
        self._scope = scope
        self._is_fetching = False
        self._is_fetch_delayed = False
        self._large_replies_in_flight = 0
        self._compressed_replies: dict[tuple, tuple[bytes, int]] = {}
        self._tree_orders: dict[tuple[str, int], list[str]] = {}
        self._tree_members: list[str] = []

    async def on_epoch_seen(self, node_id: str, epoch: int, head_digest: int) -> None:
        """Compare a node's epoch with the local one and fetch it if it is higher."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, epoch)
        local_epoch = self._configuration.epoch
        if epoch == local_epoch:
            await self._compare_content(node_id, epoch, head_digest)
        if epoch <= local_epoch or self._is_fetching:
            return
        if self._table.get(node_id) is None:
            # A joining node whose address is unknown. Other nodes report the epoch too.
            return
        if not self._has_live_relay() or self._is_in_local_domain(node_id):
            self._is_fetching = True
            await self._scope.spawn(self._fetch, node_id, epoch)
        elif not self._is_fetch_delayed:
            self._is_fetch_delayed = True
            await self._scope.spawn(self._fetch_after_grace, node_id, epoch)

    async def _compare_content(
        self, node_id: str, epoch: int, head_digest: int
    ) -> None:
        """Exchange content with a node at the local epoch if it has other content."""
        if head_digest == self.short_digest():
            self.exchanges.record_match(node_id)
            return
        if not self._configuration.is_mergeable:
            self._record_conflict(node_id, epoch)
            return
        if self._is_fetching or not self._is_exchange_partner(node_id):
            return
        if self.exchanges.is_due(node_id):
            self._is_fetching = True
            await self._scope.spawn(self._exchange_content, node_id)

    def _is_exchange_partner(self, node_id: str) -> bool:
        if self._table.get(node_id) is None:
            return False
        if self._is_in_local_domain(node_id) or not self._has_live_relay():
            return True
        return self._table.local_domain_rank() < REMOTE_EXCHANGES_PER_DOMAIN

    async def _exchange_content(self, node_id: str) -> None:
        """Fetch all content of a node; it does the same with that of the local one."""
        try:
            await self.fetch_content(node_id)
        finally:
            self._is_fetching = False

    async def fetch_content(self, node_id: str) -> None:
        """Fetch all content of a node and merge it, unless the node is unreachable."""
        reply = await self._request_delta(node_id, 0)
        if reply is None or reply.is_busy:
            return
        is_changed = bool(await self._apply_reply(reply))
        self.exchanges.record_exchange(is_changed)
        log.info("content exchanged", peer=node_id, is_changed=is_changed)

    def _has_live_relay(self) -> bool:
        return steady_s() - self.relay_seen_at_s < RELAY_TIMEOUT_S

    def _is_in_local_domain(self, node_id: str) -> bool:
        row = self._table.get(node_id)
        return (
            row is not None and row.failure_domain == self._table.local.failure_domain
        )

    async def _fetch_after_grace(self, node_id: str, epoch: int) -> None:
        """Fetch from another failure domain what the local relay has not pushed."""
        try:
            await curio.sleep(LOCAL_RELAY_GRACE_S)
        finally:
            self._is_fetch_delayed = False
        if epoch > self._configuration.epoch and not self._is_fetching:
            self._is_fetching = True
            await self._fetch(node_id, epoch)

    def short_digest(self) -> int:
        """Return the first 64 bits of the applied epoch's digest."""
        return int(self._configuration.head_digest[:16], 16)

    def _record_conflict(self, node_id: str, epoch: int) -> None:
        if epoch in self.conflicting_epochs:
            return
        self.conflicting_epochs.add(epoch)
        log.error("epoch has two contents", epoch=epoch, other=node_id)

    async def _fetch(self, node_id: str, epoch: int) -> None:
        """Fetch an epoch from the node that reported it, or from others."""
        backoff = Backoff(FETCH_BACKOFF_FIRST_S, FETCH_BACKOFF_LIMIT_S)
        candidates, needs_all = [node_id], False
        try:
            for _ in range(MAX_FETCH_ATTEMPTS):
                base_epoch = 0 if needs_all else self._configuration.epoch
                reply = await self._request_delta(random.choice(candidates), base_epoch)
                if reply is None:
                    candidates = self._gossip_targets() or candidates
                elif reply.is_busy:
                    candidates = [node_id, *reply.redirect_ids]
                else:
                    needs_all = await self._apply_reply(reply) is None
                if self._configuration.epoch >= epoch:
                    return
                await curio.sleep(backoff.next_s())
        finally:
            self._is_fetching = False

    async def _request_delta(self, node_id: str, base_epoch: int) -> DeltaReply | None:
        try:
            link = await self._links.get(node_id)
            return await link.call(DeltaRequest(0, base_epoch))
        except GuavagapError as error:
            log.info("fetch failed", peer=node_id, why=str(error))
            return None

    async def _apply_reply(self, reply: DeltaReply) -> bool | None:
        """Apply and gossip a fetched delta; return whether it has changed anything.

        Returns None if it is a patch of something unknown here.
        """
        raw = decompress_delta(reply.compressed, reply.raw_bytes)
        delta = self._decode_or_none(raw)
        if delta is None:
            return None
        if not self._configuration.apply(delta):
            return False
        self.counts["fetched"] += 1
        self.exchanges.record_received()
        await self._push_delta(self._gossip_targets(), delta, root_id="")
        return True

    def _gossip_targets(self) -> list[str]:
        members = [
            row.node_id
            for row in self._table.peers_in_state(MemberState.ALIVE)
            if row.failure_domain == self._table.local.failure_domain
        ]
        return random.sample(members, min(GOSSIP_FAN_OUT, len(members)))

    async def push_as_root(self, delta: Delta) -> None:
        """Push a delta that this node has just applied, as root of the tree."""
        await self._push_delta(
            self._children(self._table.local.node_id, delta.epoch),
            delta,
            self._table.local.node_id,
        )

    async def push_heartbeat(self) -> None:
        """Push a heartbeat that reports this relay as up to date at its epoch."""
        local_id, epoch = self._table.local.node_id, self._configuration.epoch
        message = DeltaPush(b"", 0, local_id, epoch, epoch)
        for node_id in self._children(local_id, epoch):
            await self._scope.spawn(self._push_to_peer, node_id, message)

    async def _on_heartbeat(self, sender_id: str, message: DeltaPush) -> None:
        for node_id in self._children(message.root_id, message.epoch):
            await self._scope.spawn(self._push_to_peer, node_id, message)
        if message.epoch > self._configuration.epoch:
            await self.on_epoch_seen(sender_id, message.epoch, 0)

    def _children(
        self, root_id: str, epoch: int, parent_id: str | None = None
    ) -> list[str]:
        """Return the children of a node, the local one by default."""
        members = self._table.local_domain_ids()
        if members is not self._tree_members or len(self._tree_orders) > MAX_ORDERS:
            self._tree_members = members
            self._tree_orders.clear()
        order = self._tree_orders.get((root_id, epoch))
        if order is None:
            order = self._tree_orders[root_id, epoch] = push_order(
                root_id, epoch, members
            )
        return push_children(order, parent_id or self._table.local.node_id)

    async def _push_delta(
        self, node_ids: list[str], delta: Delta, root_id: str
    ) -> None:
        raw = self._configuration.encode_delta(delta)
        compressed = zlib.compress(raw, COMPRESSION_LEVEL)
        message = DeltaPush(
            compressed, len(raw), root_id, delta.base_epoch, delta.epoch
        )
        for node_id in node_ids:
            await self._scope.spawn(self._push_to_peer, node_id, message)

    async def _push_to_peer(
        self, node_id: str, message: DeltaPush, is_on_behalf: bool = False
    ) -> None:
        try:
            async with curio.timeout_after(PUSH_TIMEOUT_S):
                link = await self._links.get(node_id)
                await link.send(message)
            return
        except (GuavagapError, curio.TaskTimeout) as error:
            self.counts["push_failed"] += 1
            log.info("push failed", peer=node_id, why=repr(error))
        if not message.root_id or is_on_behalf:
            return
        # Push to the children of the unreachable node on its behalf. This goes one
        # level only, or an isolated node would dial its whole failure domain.
        for child_id in self._children(message.root_id, message.epoch, node_id):
            await self._scope.spawn(self._push_to_peer, child_id, message, True)

    async def on_push(self, sender_id: str, message: DeltaPush) -> None:
        """Apply a pushed delta and forward it."""
        if message.root_id:
            self.relay_seen_at_s = steady_s()
        if not message.raw_bytes:
            await self._on_heartbeat(sender_id, message)
            return
        if self._is_duplicate(message):
            self.counts["push_duplicate"] += 1
            return
        raw = decompress_delta(message.compressed, message.raw_bytes)
        delta = None
        if message.base_epoch in (0, self._configuration.epoch):
            delta = self._decode_or_none(raw)
        if delta is None:
            self.counts["push_gap"] += 1
            await self.on_epoch_seen(sender_id, message.epoch, 0)
            return
        if not self._configuration.apply(delta):
            return
        self.counts["pushed"] += 1
        self.exchanges.record_received()
        if message.root_id:
            targets = self._children(message.root_id, delta.epoch)
        else:
            targets = self._gossip_targets()
        for node_id in targets:
            await self._scope.spawn(self._push_to_peer, node_id, message)

    def _decode_or_none(self, raw: bytes) -> Delta | None:
        """Decode a delta; return None if it is a patch of something unknown here."""
        try:
            return self._configuration.decode_delta(raw)
        except PatchBaseError as error:
            self.counts["patch_refused"] += 1
            log.info("patch refused", why=error.detail)
            return None

    def _is_duplicate(self, message: DeltaPush) -> bool:
        """Return whether a push contains nothing new; exchanged content may do."""
        local_epoch = self._configuration.epoch
        is_exchange = not message.root_id and not message.base_epoch
        if is_exchange and self._configuration.is_mergeable:
            return message.epoch < local_epoch
        return message.epoch <= local_epoch

    async def build_reply(self, request: DeltaRequest) -> DeltaReply:
        """Build the reply to a request: a delta, or a redirect when overloaded."""
        compressed, raw_bytes = self._compress_reply(request.base_epoch)
        is_large = raw_bytes > LARGE_DELTA_BYTES
        if is_large and self._large_replies_in_flight >= MAX_LARGE_DELTAS_SERVED:
            self.counts["busy"] += 1
            return DeltaReply(request.call_id, True, b"", 0, self._redirect_targets())
        self.counts["served"] += 1
        return DeltaReply(request.call_id, False, compressed, raw_bytes)

    def _compress_reply(self, base_epoch: int) -> tuple[bytes, int]:
        """Return the compressed delta since an epoch, and its size.

        It is kept while it is the latest one, since nodes that start together all
        request the same.
        """
        key = (base_epoch, self._configuration.epoch, self._configuration.head_digest)
        kept = self._compressed_replies.get(key)
        if kept is None:
            delta = self._configuration.delta_since(base_epoch)
            raw = self._configuration.encode_delta(delta)
            kept = zlib.compress(raw, COMPRESSION_LEVEL), len(raw)
            self._compressed_replies = {key: kept}
        return kept

    async def send_reply(self, link, request: DeltaRequest) -> None:
        """Reply to a request on its link, counting large replies in flight."""
        reply = await self.build_reply(request)
        is_large = reply.raw_bytes > LARGE_DELTA_BYTES
        self._large_replies_in_flight += is_large
        try:
            await link.send(reply)
        finally:
            self._large_replies_in_flight -= is_large

    def _redirect_targets(self) -> tuple[str, ...]:
        local_domain = self._table.local.failure_domain
        node_ids = [
            row.node_id
            for row in self._table.peers_in_state(MemberState.ALIVE)
            if row.failure_domain == local_domain
        ]
        return tuple(random.sample(node_ids, min(MAX_REDIRECTS, len(node_ids))))


def decompress_delta(compressed: bytes, raw_bytes: int) -> bytes:
    """Decompress the bytes of a delta.

    Raises:
        GuavagapError: FRAME_INVALID when the data is corrupt, too large, or not of
            the declared size.
    """
    if raw_bytes > MAX_DELTA_BYTES:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"delta of {raw_bytes} bytes exceeds the limit"
        )
    try:
        raw = zlib.decompressobj().decompress(compressed, raw_bytes + 1)
    except zlib.error as error:
        raise GuavagapError(ErrorKind.FRAME_INVALID, str(error)) from None
    if len(raw) != raw_bytes:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, "delta size differs from the declared size"
        )
    return raw
