"""Interface to a platform's metadata store, and the types of the nodes' mirror of it.

Each mirrored item has the position of its last change. A delta from any epoch is
therefore a filter by position, and items can be merged in any order. An epoch is the
position up to which a mirror is complete, as an integer.
"""

import base64
import json
from abc import ABC, abstractmethod
from collections import Counter
from typing import Callable, NamedTuple

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.patches import Patch, apply_patch, make_patch
from guavagap.store_positions import StorePosition

__all__ = [
    "Lease",
    "Listing",
    "MetadataStore",
    "MirrorDelta",
    "MirrorItem",
    "NO_LEASE",
    "StoreItem",
    "TransactionOutcome",
    "Write",
    "decode_mirror_delta",
    "encode_mirror_delta",
]


NO_LEASE = 0
# Longer than calls take while the store is slow or after one response was lost.
UNAVAILABLE_AFTER_S = 1.0


class MirrorItem(NamedTuple):
    """The last known change of a key.

    Attributes:
        position: where the change was read.
        body: the value; None when the key was removed.
        outranks: set while the store shows something older than this change, which a
            restore brought back: the position of that, or the start of the era if the
            store does not have the key.
        corrections: number of nodes after each other that have put this change in place
            of one that others took for the latest.
    """

    key: str
    position: StorePosition
    body: bytes | None
    outranks: StorePosition | None = None
    corrections: int = 0

    @property
    def shown_at(self) -> StorePosition:
        """The latest position at which the store is known to show this key."""
        return self.position if self.outranks is None else self.outranks

    @property
    def order(self) -> tuple[StorePosition, bool, int, StorePosition]:
        """Sort key by which the later of two items of a key is known."""
        is_outranking = self.outranks is not None
        return (self.shown_at, is_outranking, self.corrections, self.position)


class MirrorDelta(NamedTuple):
    """The changes from one epoch to a later one.

    Attributes:
        base_epoch: the epoch that the receiver must have; 0 for a full snapshot.
        epoch: the epoch after the delta is applied.
        items: every item changed after ``base_epoch``.
    """

    base_epoch: int
    epoch: int
    items: tuple[MirrorItem, ...]


class Listing(NamedTuple):
    """Items or changes, and the position from which a watch continues.

    Attributes:
        is_complete: whether ``items`` are all items rather than the latest changes.
        changed_keys: keys that a complete listing leaves out, because they were written
            after ``as_of``.
    """

    items: list[MirrorItem]
    as_of: StorePosition
    is_complete: bool = False
    changed_keys: tuple[str, ...] = ()


class StoreItem(NamedTuple):
    """A key as currently stored."""

    key: str
    value: bytes
    position: StorePosition
    lease_id: int


class Write(NamedTuple):
    """A write of one key in a transaction."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


class TransactionOutcome(NamedTuple):
    """The result of a transaction.

    Attributes:
        position: position of the change; None when a condition failed.
        current_items: the current items of the conditions' keys when one failed.
    """

    position: StorePosition | None
    current_items: list[StoreItem]


class Lease(NamedTuple):
    """A lease and its time-to-live, counted from the arrival of the latest renewal.

    Attributes:
        era: era of the store in which the lease was granted. A restored store may
            grant the same identifier to another node.
    """

    lease_id: int
    ttl_s: float
    era: int = 0


class MetadataStore(ABC):
    """Store of keys with revisions, watches, transactions and leases.

    Each call raises :class:`GuavagapError` PLATFORM_UNREACHABLE when there is no
    response, or one from before a restore; a write may then still take effect, even
    later. It raises PLATFORM_BUSY when the store reports that it did nothing.

    Attributes:
        call_counts: number of calls by kind.
        era: the latest era of the store that a response named.
        restore_count: number of restores that the responses have shown.
        unavailable_since_s: monotonic start time of the first call that was not served
            since the last served call; None while calls are served.
    """

    call_counts: Counter[str]
    era: int = 0
    restore_count: int = 0
    unavailable_since_s: float | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the store has served no call for ``UNAVAILABLE_AFTER_S``."""
        since_s = self.unavailable_since_s
        return since_s is not None and steady_s() - since_s > UNAVAILABLE_AFTER_S

    @abstractmethod
    async def get(
        self, key: str, is_stale_allowed: bool = False
    ) -> tuple[StoreItem | None, StorePosition]:
        """Return the item of a key, or None, and the position of the store.

        Args:
            key: the key.
            is_stale_allowed: whether the store may return an older state.
        """

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return every item whose key starts with a prefix."""

    @abstractmethod
    async def watch_prefix(
        self,
        prefix: str,
        after: StorePosition,
        wait_s: float,
        response_timeout_s: float | None = None,
    ) -> Listing:
        """Wait for changes after a position, at most ``wait_s`` seconds.

        Args:
            prefix: prefix of the watched keys.
            after: the position from which changes are returned.
            wait_s: how long the store may hold the call while there is no change.
            response_timeout_s: time limit of the response beyond ``wait_s``; that of
                other calls by default.

        Raises:
            GuavagapError: HISTORY_LOST when the store no longer retains these changes
                or was restored since.
        """

    @abstractmethod
    async def transact(
        self,
        expected: dict[str, StorePosition],
        writes: list[Write],
        removed: list[str] | None = None,
    ) -> TransactionOutcome:
        """Write and remove keys atomically if each key is at its expected position.

        A condition on a position of an earlier era fails. If the store is restored
        while the call is on its way, the outcome is unknown.

        Args:
            expected: expected position by key; the start of an era for a key that must
                not exist.
            writes: keys to write.
            removed: keys to remove.

        Raises:
            GuavagapError: NOT_FOUND when a lease no longer exists.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; return it with the time-to-live that the store granted."""

    @abstractmethod
    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False when it no longer exists, or not for certain."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which removes its keys; ignore one that no longer exists."""


def encode_mirror_delta(
    delta: MirrorDelta, earlier_body: Callable[[str], bytes | None] = lambda key: None
) -> bytes:
    """Return the JSON of a delta.

    Args:
        delta: the delta.
        earlier_body: returns what a receiver at the base epoch has of a key, or None.
    """
    items = [
        [
            item.key,
            item.position,
            _encode_body(item, earlier_body(item.key)),
            item.outranks,
            item.corrections,
        ]
        for item in delta.items
    ]
    return json.dumps([delta.base_epoch, delta.epoch, items]).encode()


def _encode_body(item: MirrorItem, earlier: bytes | None) -> str | Patch | None:
    if item.body is None:
        return None
    patch = None if earlier is None else make_patch(earlier, item.body)
    return patch or base64.b64encode(item.body).decode()


def decode_mirror_delta(
    raw: bytes, local_body: Callable[[str], bytes | None] = lambda key: None
) -> MirrorDelta:
    """Decode the JSON of a delta.

    Args:
        raw: the JSON.
        local_body: returns what this node has of a key, or None.

    Raises:
        PatchBaseError: the delta needs a value that this node does not have.
        GuavagapError: FRAME_INVALID when the delta is malformed.
    """
    try:
        base_epoch, epoch, rows = json.loads(raw)
        items = tuple(
            MirrorItem(
                str(key),
                _decode_position(position),
                _decode_body(str(key), body, local_body),
                None if outranks is None else _decode_position(outranks),
                int(corrections),
            )
            for key, position, body, outranks, corrections in rows
        )
        return MirrorDelta(int(base_epoch), int(epoch), items)
    except (ValueError, TypeError, KeyError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID,
            # The representation of a Unicode error would have the whole delta.
            f"the delta cannot be decoded: {type(error).__name__}: {error}",
        ) from None


def _decode_body(
    key: str, body: str | Patch | None, local_body: Callable[[str], bytes | None]
) -> bytes | None:
    if body is None:
        return None
    if isinstance(body, dict):
        return apply_patch(key, local_body(key), body)
    return base64.b64decode(body)


def _decode_position(row: list) -> StorePosition:
    era, revision = row
    return StorePosition(int(era), int(revision))
