"""The port to a platform's metadata store, and the mirror that nodes keep of it.

Each mirrored item carries the revision of its last change, so a step from any epoch is
a filter, and merging is the same in any order. The epoch of a mirror is the highest
revision in it.
"""

import base64
import json
import time
from abc import ABC, abstractmethod
from collections import Counter
from typing import NamedTuple

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
# Longer than calls that meet a slow store or one lost answer.
UNAVAILABLE_AFTER_S = 1.0


class MirrorItem(NamedTuple):
    """A key as it was last changed; no body when it was removed."""

    key: str
    revision: int
    body: bytes | None


class MirrorDelta(NamedTuple):
    """The step from one epoch to a later one.

    Attributes:
        base_epoch: the epoch that the receiver must hold; 0 for everything.
        epoch: the epoch reached.
        items: every item changed after ``base_epoch``.
    """

    base_epoch: int
    epoch: int
    items: tuple[MirrorItem, ...]


class Listing(NamedTuple):
    """Items or changes, and the revision from which a watch continues."""

    items: list[MirrorItem]
    as_of: int


class StoreItem(NamedTuple):
    """One key as the store holds it."""

    key: str
    value: bytes
    revision: int
    lease_id: int


class Write(NamedTuple):
    """One key to be written by a transaction."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


class TransactionOutcome(NamedTuple):
    """What became of a transaction.

    Attributes:
        revision: of the change; None when a condition did not hold.
        held: the conditions' keys as they are, when one did not hold.
    """

    revision: int | None
    held: list[StoreItem]


class Lease(NamedTuple):
    """A lease and how long it lasts from the arrival of the latest renewal."""

    lease_id: int
    ttl_s: float


class MetadataStore(ABC):
    """Keys with revisions, watches, transactions and leases.

    Each call raises :class:`GuavagapError` PLATFORM_UNREACHABLE when there is no
    answer, after which a write may or may not take effect, also later; and
    PLATFORM_BUSY when the store says that it did nothing.

    Attributes:
        call_counts: calls by kind.
        lost_since_s: monotonic start of the first call since the latest that the
            store served; None when that was the latest call.
    """

    call_counts: Counter[str]
    unavailable_since_s: float | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the store has served no call for some time."""
        since_s = self.unavailable_since_s
        return since_s is not None and time.monotonic() - since_s > UNAVAILABLE_AFTER_S

    @abstractmethod
    async def get(
        self, key: str, is_stale_allowed: bool = False
    ) -> tuple[StoreItem | None, int]:
        """Return the item of a key, None without one, and the store's revision."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return every item whose key starts with a prefix."""

    @abstractmethod
    async def watch_prefix(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision, at most ``wait_s`` seconds.

        Raises:
            GuavagapError: HISTORY_LOST when the store no longer knows them.
        """

    @abstractmethod
    async def transact(
        self,
        expected: dict[str, int],
        writes: list[Write],
        removed: list[str] | None = None,
    ) -> TransactionOutcome:
        """Write and remove keys, all or none, if each key has its revision.

        Raises:
            GuavagapError: NOT_FOUND when a lease has ended.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""

    @abstractmethod
    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has ended."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys."""


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
        GuavagapError: FRAME_INVALID.
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
            ErrorKind.FRAME_INVALID, f"the delta does not decode: {error!r}"
        ) from None
