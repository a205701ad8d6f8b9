"""Interface of a platform's metadata store, and the types of the nodes' mirror of it.

Each mirrored item has the revision of its last change. A delta from any epoch is
therefore a filter by revision, and items can be merged in any order. The epoch of a
mirror is the highest revision in it.
"""

import base64
import json
from abc import ABC, abstractmethod
from collections import Counter
from typing import NamedTuple

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError

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
    """The last change of a key; ``body`` is None when the key was removed."""

    key: str
    revision: int
    body: bytes | None


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
    """Items or changes, and the revision from which a watch continues.

    Attributes:
        is_complete: whether ``items`` are all items rather than the latest changes.
    """

    items: list[MirrorItem]
    as_of: int
    is_complete: bool = False


class StoreItem(NamedTuple):
    """A key as currently stored."""

    key: str
    value: bytes
    revision: int
    lease_id: int


class Write(NamedTuple):
    """A write of one key in a transaction."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


class TransactionOutcome(NamedTuple):
    """The result of a transaction.

    Attributes:
        revision: revision of the change; None when a condition failed.
        current_items: the current items of the conditions' keys when one failed.
    """

    revision: int | None
    current_items: list[StoreItem]


class Lease(NamedTuple):
    """A lease and its time-to-live, counted from the arrival of the latest renewal."""

    lease_id: int
    ttl_s: float


class MetadataStore(ABC):
    """Store of keys with revisions, watches, transactions and leases.

    Each call raises :class:`GuavagapError` PLATFORM_UNREACHABLE when there is no
    response; a write may then still take effect, even later. It raises PLATFORM_BUSY
    when the store reports that it did nothing.

    Attributes:
        call_counts: number of calls by kind.
        unavailable_since_s: monotonic start time of the first call that was not served
            since the last served call; None while calls are served.
    """

    call_counts: Counter[str]
    unavailable_since_s: float | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the store has served no call for ``UNAVAILABLE_AFTER_S``."""
        since_s = self.unavailable_since_s
        return since_s is not None and steady_s() - since_s > UNAVAILABLE_AFTER_S

    @abstractmethod
    async def get(
        self, key: str, is_stale_allowed: bool = False
    ) -> tuple[StoreItem | None, int]:
        """Return the item of a key, or None, and the revision of the store.

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
        after: int,
        wait_s: float,
        response_timeout_s: float | None = None,
    ) -> Listing:
        """Wait for changes after a revision, at most ``wait_s`` seconds.

        Args:
            prefix: prefix of the watched keys.
            after: the revision from which changes are returned.
            wait_s: how long the store may hold the call while there is no change.
            response_timeout_s: time limit of the response beyond ``wait_s``; that of
                other calls by default.

        Raises:
            GuavagapError: HISTORY_LOST when the store no longer retains these changes.
        """

    @abstractmethod
    async def transact(
        self,
        expected: dict[str, int],
        writes: list[Write],
        removed: list[str] | None = None,
    ) -> TransactionOutcome:
        """Write and remove keys atomically if each key has its expected revision.

        Raises:
            GuavagapError: NOT_FOUND when a lease no longer exists.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; return it with the time-to-live that the store granted."""

    @abstractmethod
    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return False when it no longer exists."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which removes its keys; ignore one that no longer exists."""


def encode_mirror_delta(delta: MirrorDelta) -> bytes:
    """Return the JSON of a delta."""
    items = [
        [key, revision, None if body is None else base64.b64encode(body).decode()]
        for key, revision, body in delta.items
    ]
    return json.dumps([delta.base_epoch, delta.epoch, items]).encode()


def decode_mirror_delta(raw: bytes) -> MirrorDelta:
    """Decode the JSON of a delta.

    Raises:
        GuavagapError: FRAME_INVALID when the delta is malformed.
    """
    try:
        base_epoch, epoch, rows = json.loads(raw)
        items = tuple(
            MirrorItem(
                str(key),
                int(revision),
                None if body is None else base64.b64decode(body),
            )
            for key, revision, body in rows
        )
        return MirrorDelta(int(base_epoch), int(epoch), items)
    except (ValueError, TypeError) as error:
        raise GuavagapError(
            ErrorKind.FRAME_INVALID, f"the delta cannot be decoded: {error!r}"
        ) from None
