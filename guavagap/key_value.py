"""Interface of the platform's key-value service, and an in-memory implementation.

The service offers compare-and-swap on single keys, keys with a time-to-live
(leases) and reads that wait for a change (watches).
"""

from abc import ABC, abstractmethod
from collections import Counter
from typing import NamedTuple

import curio

from guavagap.errors import ErrorKind, GuavagapError

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "MemoryKeyValueStore",
    "MemoryStore",
    "KeyValueStore",
    "StoredValue",
]

# Revision of a key that has no value.
ABSENT = ""
MAX_VALUE_BYTES = 1_000_000


class StoredValue(NamedTuple):
    """A value and its revision, which a later compare-and-swap must name."""

    body: bytes
    revision: str


class KeyValueStore(ABC):
    """Key-value operations of the platform.

    Each call raises :class:`GuavagapError` PLATFORM_UNREACHABLE when there is
    no response in time. A write may or may not have taken effect then.

    Attributes:
        call_counts: number of calls by kind: get, watch, put, delete.
    """

    def __init__(self):
        self.call_counts: Counter[str] = Counter()

    @abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None when there is none."""

    @abstractmethod
    async def watch(self, key: str, revision: str, wait_s: float) -> StoredValue | None:
        """Wait until a key has a different revision, at most ``wait_s`` seconds.

        Args:
            key: the key.
            revision: the known revision; ``ABSENT`` when the key has no value.
            wait_s: how long the platform may delay the response.

        Returns:
            The current value, which is unchanged when the wait timed out.
        """

    @abstractmethod
    async def put(
        self, key: str, body: bytes, expected: str, ttl_s: float | None = None
    ) -> str:
        """Write a value if the key still has the expected revision.

        Args:
            key: the key.
            body: the value, at most ``MAX_VALUE_BYTES``.
            expected: the revision read before; ``ABSENT`` to create the key.
            ttl_s: time after which the key expires unless it is written again.

        Returns:
            The new revision.

        Raises:
            GuavagapError: CONFLICT when the key has a different revision.
        """

    @abstractmethod
    async def delete(self, key: str, expected: str) -> None:
        """Delete a key if it still has the expected revision.

        Raises:
            GuavagapError: CONFLICT when the key has a different revision.
        """


class _Record(NamedTuple):
    body: bytes
    revision: str
    expires_at_s: float | None


class MemoryStore:
    """In-memory store of keys with revisions, leases and watches."""

    def __init__(self, clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._next_revision = 1
        self._changed = curio.Condition()

    def read(self, key: str) -> StoredValue | None:
        """Return the value of a key that has not expired, or None."""
        record = self._records.get(key)
        if record is None:
            return None
        if record.expires_at_s is not None and record.expires_at_s <= self._clock():
            del self._records[key]
            return None
        return StoredValue(record.body, record.revision)

    def revision_of(self, key: str) -> str:
        """Return the revision of a key, or ``ABSENT``."""
        value = self.read(key)
        return ABSENT if value is None else value.revision

    async def write(
        self, key: str, body: bytes, expected: str, ttl_s: float | None
    ) -> str:
        """Write a value if the key has the expected revision, else raise CONFLICT."""
        self._check_revision(key, expected)
        revision = str(self._next_revision)
        self._next_revision += 1
        expires_at_s = None if ttl_s is None else self._clock() + ttl_s
        self._records[key] = _Record(body, revision, expires_at_s)
        await self._notify()
        return revision

    async def remove(self, key: str, expected: str) -> None:
        """Delete a key if it has the expected revision, else raise CONFLICT."""
        self._check_revision(key, expected)
        self._records.pop(key, None)
        await self._notify()

    async def wait_for_change(self, key: str, revision: str, wait_s: float) -> None:
        """Return when a key has a different revision or the wait has timed out."""
        deadline_s = self._clock() + wait_s
        while self.revision_of(key) == revision:
            remaining_s = min(deadline_s, self._next_expiry(key)) - self._clock()
            if self._clock() >= deadline_s:
                return
            await curio.ignore_after(max(remaining_s, 0.001), self._wait_for_notify())

    def _next_expiry(self, key: str) -> float:
        record = self._records.get(key)
        if record is None or record.expires_at_s is None:
            return float("inf")
        return record.expires_at_s

    def _check_revision(self, key: str, expected: str) -> None:
        actual = self.revision_of(key)
        if actual != expected:
            raise GuavagapError(
                ErrorKind.CONFLICT,
                f"{key} has revision {actual or 'none'}, expected {expected or 'none'}",
            )

    async def _notify(self) -> None:
        async with self._changed:
            await self._changed.notify_all()

    async def _wait_for_notify(self) -> None:
        async with self._changed:
            await self._changed.wait()


class MemoryKeyValueStore(KeyValueStore):
    """In-process implementation of the key-value store.

    Args:
        store: the store, shared by all clients that see the same keys.
    """

    def __init__(self, store: MemoryStore):
        super().__init__()
        self._store = store

    async def get(self, key):
        self.call_counts["get"] += 1
        return self._store.read(key)

    async def watch(self, key, revision, wait_s):
        self.call_counts["watch"] += 1
        await self._store.wait_for_change(key, revision, wait_s)
        return self._store.read(key)

    async def put(self, key, body, expected, ttl_s=None):
        self.call_counts["put"] += 1
        check_value_size(key, body)
        return await self._store.write(key, body, expected, ttl_s)

    async def delete(self, key, expected):
        self.call_counts["delete"] += 1
        await self._store.remove(key, expected)


def check_value_size(key: str, body: bytes) -> None:
    """Reject a value that exceeds the size limit of the platform.

    Raises:
        GuavagapError: BODY_TOO_LARGE when it has more than ``MAX_VALUE_BYTES``.
    """
    if len(body) > MAX_VALUE_BYTES:
        raise GuavagapError(
            ErrorKind.BODY_TOO_LARGE,
            f"{key}: the value has {len(body)} bytes, the limit is {MAX_VALUE_BYTES}",
        )
