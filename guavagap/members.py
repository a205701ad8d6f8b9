"""The member table: the known nodes and the rules for merging their rows.

The row with the higher incarnation wins. At equal incarnations the state with the
higher value of :class:`MemberState` wins. A node's incarnation is raised only by the
node itself, to refute a suspicion or to publish a change of its row.
"""

import hashlib
import math
from functools import reduce
from operator import xor
from typing import NamedTuple

from guavagap.messages import BackendServer, Member, MemberState
from guavagap.rendezvous import rendezvous_order

__all__ = ["MemberTable", "Suspicion", "is_newer"]

DEPARTED_RETENTION_S = 600.0
TRANSMISSIONS_FACTOR = 3
MIN_TRANSMISSIONS = 4
BUCKETS = 32


class Suspicion(NamedTuple):
    """A suspected member and the monotonic time since which it is suspected."""

    member_id: str
    since_s: float


def is_newer(candidate: Member, current: Member) -> bool:
    """Return whether a row supersedes the current one of the same member."""
    if candidate.incarnation != current.incarnation:
        return candidate.incarnation > current.incarnation
    return candidate.state > current.state


def _row_digest(member: Member) -> int:
    text = f"{member.node_id} {member.incarnation} {int(member.state)}"
    digest_bytes = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest_bytes, "big")


def _bucket_of(node_id: str) -> int:
    digest_bytes = hashlib.blake2b(node_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest_bytes, "big") % BUCKETS


class MemberTable:
    """Rows of all known nodes and the queue of updates to gossip.

    Args:
        local: row of the local node.
        clock: returns seconds of a steady clock.

    Attributes:
        local: row of the local node.
        bucket_digests: digests of the rows by bucket.
        version: increases when a row or the reachability of a domain changes.
        unreachable_domains: failure domains that are unreachable from this node.
    """

    def __init__(self, local: Member, clock):
        self.local = local
        self.bucket_digests = [0] * BUCKETS
        self.bucket_digests[_bucket_of(local.node_id)] = _row_digest(local)
        self.version = 0
        self.unreachable_domains: set[str] = set()
        self._clock = clock
        self._rows: dict[str, Member] = {local.node_id: local}
        self._transmissions_left: dict[str, int] = {local.node_id: MIN_TRANSMISSIONS}
        self._suspected_since: dict[str, float] = {}
        self._departed_at_s: dict[str, float] = {}
        self._domain_ids: list[str] = []
        self._domain_ids_version = -1
        self._ranked_ids: list[str] = []
        self._domain_order: list[str] = []
        self._local_rank = 0

    @property
    def digest(self) -> int:
        """Digest of all rows."""
        return reduce(xor, self.bucket_digests)

    def differing_rows(self, bucket_digests: tuple[int, ...]) -> list[Member]:
        """Return the rows of the buckets that differ from a peer's digests."""
        if len(bucket_digests) != BUCKETS:
            return self.rows()
        differing = {
            bucket
            for bucket, digest in enumerate(self.bucket_digests)
            if digest != bucket_digests[bucket]
        }
        return [row for row in self.rows() if _bucket_of(row.node_id) in differing]

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, node_id: str) -> Member | None:
        """Return a member's row, or None when it is unknown."""
        return self._rows.get(node_id)

    def rows(self) -> list[Member]:
        """Return all rows, including the local one."""
        return list(self._rows.values())

    def peers_in_state(self, *states: MemberState) -> list[Member]:
        """Return the rows of the other nodes in one of the given states."""
        local_id = self.local.node_id
        return [
            row
            for row in self._rows.values()
            if row.state in states and row.node_id != local_id
        ]

    def has_alive_peer(self) -> bool:
        """Return whether another node is alive."""
        return any(
            row.state == MemberState.ALIVE and row.node_id != self.local.node_id
            for row in self._rows.values()
        )

    def departed_within(self, duration_s: float) -> list[Member]:
        """Return the members that died or left within the last ``duration_s``."""
        since_s = self._clock() - duration_s
        return [
            self._rows[key]
            for key, at_s in self._departed_at_s.items()
            if at_s > since_s
        ]

    def alive(self) -> list[Member]:
        """Return the rows of alive members, including the local one."""
        return [row for row in self._rows.values() if row.state == MemberState.ALIVE]

    def alive_in_domain(self, failure_domain: str) -> list[Member]:
        """Return the rows of the alive members of a failure domain."""
        return [row for row in self.alive() if row.failure_domain == failure_domain]

    def local_domain_ids(self) -> list[str]:
        """Return the ids of the alive members of the local failure domain.

        The list is kept until the table changes, since it is read many times a second.
        """
        if self._domain_ids_version != self.version:
            rows = self.alive_in_domain(self.local.failure_domain)
            self._domain_ids = [row.node_id for row in rows]
            self._domain_ids_version = self.version
        return self._domain_ids

    def local_domain_rank(self) -> int:
        """Return the local node's position among its failure domain's alive members.

        All nodes agree on their order, so few of them can act for the others. Those on
        larger VMs come first: what is read from the store for a failure domain takes
        most of a small VM's link.
        """
        members = self.local_domain_ids()
        if members is not self._ranked_ids:
            self._ranked_ids = members
            order = rendezvous_order(self.local.failure_domain, members, str)
            order.sort(key=lambda node_id: -self._rows[node_id].capacity)
            local_id = self.local.node_id
            is_alive = local_id in order
            self._local_rank = order.index(local_id) if is_alive else len(order)
            self._domain_order = order
        return self._local_rank

    def local_domain_order(self) -> list[str]:
        """Return the alive members of the local failure domain, first rank first."""
        self.local_domain_rank()
        return self._domain_order

    def merge(self, candidate: Member, should_gossip: bool = True) -> bool:
        """Apply a row if it is newer; return whether the table changed.

        Args:
            candidate: the received row.
            should_gossip: whether to gossip the row. Rows of a table exchange need
                no gossip: other nodes obtain them by comparing tables.
        """
        if candidate.node_id == self.local.node_id:
            return self._refute(candidate)
        current = self._rows.get(candidate.node_id)
        if current is not None and not is_newer(candidate, current):
            return False
        # The table may have removed a departed member before the sender removes it.
        if current is None and candidate.state in (MemberState.DEAD, MemberState.LEFT):
            return False
        self._store(candidate)
        if not should_gossip:
            del self._transmissions_left[candidate.node_id]
        return True

    def _refute(self, candidate: Member) -> bool:
        """Supersede a row of the local node that the node did not publish."""
        local = self.local
        is_known = candidate.incarnation < local.incarnation or candidate == local
        if is_known or local.state == MemberState.LEFT:
            return False
        if (
            candidate.incarnation == local.incarnation
            and candidate.state == local.state
        ):
            return False
        self._store(local._replace(incarnation=candidate.incarnation + 1))
        return True

    def publish(self, **changes) -> None:
        """Change the local row and gossip it."""
        row = self.local._replace(incarnation=self.local.incarnation + 1, **changes)
        self._store(row)

    def publish_backend_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Publish the local backend servers if they differ from the local row."""
        if servers != self.local.backend_servers:
            self.publish(backend_servers=servers)

    def suspect(self, node_id: str) -> None:
        """Mark an alive member as suspect."""
        row = self._rows.get(node_id)
        if row is not None and row.state == MemberState.ALIVE:
            self._store(row._replace(state=MemberState.SUSPECT))

    def confirm_dead(self, node_id: str) -> None:
        """Mark a suspected member as dead."""
        row = self._rows.get(node_id)
        if row is not None and row.state == MemberState.SUSPECT:
            self._store(row._replace(state=MemberState.DEAD))

    def suspicions(self) -> list[Suspicion]:
        """Return the suspected members."""
        return [Suspicion(*item) for item in self._suspected_since.items()]

    def set_domain_reachable(self, failure_domain: str, is_reachable: bool) -> bool:
        """Mark a failure domain as a whole; return whether its mark changed."""
        is_unreachable = failure_domain in self.unreachable_domains
        if is_reachable != is_unreachable:
            return False
        if is_reachable:
            self.unreachable_domains.discard(failure_domain)
        else:
            self.unreachable_domains.add(failure_domain)
        self.version += 1
        return True

    def is_usable(self, row: Member) -> bool:
        """Return whether a member's backend servers may receive requests."""
        return (
            row.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and row.failure_domain not in self.unreachable_domains
        )

    def reap_departed(self) -> None:
        """Remove members that died or left more than ``DEPARTED_RETENTION_S`` ago."""
        now_s = self._clock()
        for node_id, departed_at_s in list(self._departed_at_s.items()):
            if now_s - departed_at_s > DEPARTED_RETENTION_S:
                self._toggle_digest(self._rows.pop(node_id))
                del self._departed_at_s[node_id]
                self._transmissions_left.pop(node_id, None)
                self.version += 1

    def next_updates(self, limit: int) -> tuple[Member, ...]:
        """Return the rows with the most transmissions left and count them as sent."""
        pending = sorted(self._transmissions_left.items(), key=lambda item: -item[1])
        updates = []
        for node_id, left in pending[:limit]:
            updates.append(self._rows[node_id])
            if left <= 1:
                del self._transmissions_left[node_id]
            else:
                self._transmissions_left[node_id] = left - 1
        return tuple(updates)

    def has_pending_updates(self) -> bool:
        """Return whether any row has transmissions left."""
        return bool(self._transmissions_left)

    def _store(self, row: Member) -> None:
        node_id = row.node_id
        current = self._rows.get(node_id)
        if current is not None:
            self._toggle_digest(current)
        self._toggle_digest(row)
        self._rows[node_id] = row
        self.version += 1
        self._transmissions_left[node_id] = self._transmission_limit()
        if node_id == self.local.node_id:
            self.local = row
        self._record_state(node_id, row.state)

    def _toggle_digest(self, row: Member) -> None:
        """Add a row to its bucket's digest, or remove it if it is included."""
        self.bucket_digests[_bucket_of(row.node_id)] ^= _row_digest(row)

    def _record_state(self, node_id: str, state: int) -> None:
        if state == MemberState.SUSPECT:
            self._suspected_since.setdefault(node_id, self._clock())
        else:
            self._suspected_since.pop(node_id, None)
        if state in (MemberState.DEAD, MemberState.LEFT):
            self._departed_at_s[node_id] = self._clock()
        else:
            self._departed_at_s.pop(node_id, None)

    def _transmission_limit(self) -> int:
        growth = math.ceil(math.log2(len(self._rows) + 1))
        return max(MIN_TRANSMISSIONS, TRANSMISSIONS_FACTOR * growth // 2)
