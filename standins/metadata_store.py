"""In-memory fake of the platform's metadata store."""

from typing import NamedTuple

import curio

__all__ = ["Change", "FakeMetadataStore", "StoredItem"]

MIN_TTL_S = 0.05
MAX_TTL_S = 600.0
# Copies of the store are kept for as long as a restore may go back.
COPY_RETENTION_S = 60.0


class StoredItem(NamedTuple):
    """A key as currently stored."""

    key: str
    value: bytes
    revision: int
    lease_id: int


class Change(NamedTuple):
    """A change of a key; ``body`` is None when the key was removed."""

    key: str
    revision: int
    body: bytes | None


class _Copy(NamedTuple):
    """The state of the store after one change."""

    at_s: float
    revision: int
    items: dict[str, StoredItem]
    created_revisions: dict[str, int]


class FakeMetadataStore:
    """Keys with a global revision counter, leases, a change history and watches.

    Args:
        clock: returns monotonic seconds.
        history_retention_s: how long changes stay available to watches.

    Attributes:
        revision: revision of the latest change.
        era: number of the current history, one higher after each restore.
    """

    def __init__(self, clock, history_retention_s: float = 20.0):
        self.revision = 1
        self.era = 1
        self.history_retention_s = history_retention_s
        self._clock = clock
        self._items: dict[str, StoredItem] = {}
        self._created_revisions: dict[str, int] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._history: list[tuple[float, Change]] = []
        self._compacted_revision = 0
        self._changed = curio.Condition()
        self._copies = [_Copy(clock(), self.revision, {}, {})]

    def get(self, key: str) -> StoredItem | None:
        """Return the item of a key, None if there is none."""
        self._expire()
        return self._items.get(key)

    def list_prefix(self, prefix: str, after: str, limit: int) -> list[StoredItem]:
        """Return up to ``limit`` items with a prefix after a key, ordered by key."""
        self._expire()
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return [self._items[key] for key in keys[:limit]]

    def created_revision(self, key: str) -> int:
        """Return the revision at which a key was created, 0 if it does not exist."""
        return self._created_revisions.get(key, 0)

    def changes_since(self, prefix: str, after: int) -> list[Change] | None:
        """Return the changes after a revision, None if some were compacted."""
        self._expire()
        if after < self._compacted_revision or after > self.revision:
            return None
        return [
            item
            for _, item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> list[Change] | None:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        deadline_s = self._clock() + wait_s
        while True:
            changes = self.changes_since(prefix, after)
            remaining_s = deadline_s - self._clock()
            if changes is None or changes or remaining_s <= 0:
                return changes
            expiries_s = [expiry_s for _, expiry_s in self._leases.values()]
            remaining_s = min(
                [remaining_s, *(at_s - self._clock() for at_s in expiries_s)]
            )
            await curio.ignore_after(max(remaining_s, 0.001), self._wait_for_notify())

    async def transact(
        self,
        expected: dict[str, int],
        writes: list[tuple[str, bytes, int]],
        removed: list[str],
    ) -> int | None:
        """Apply writes atomically; return the new revision, None on a conflict.

        Args:
            expected: expected revision by key; 0 for a key that must not exist.
            writes: key, value and lease ID (0 for none) of each write.
            removed: keys to delete.

        Raises:
            KeyError: a lease does not exist or has expired.
        """
        self._expire()
        for key, revision in expected.items():
            stored = self._items.get(key)
            if (0 if stored is None else stored.revision) != revision:
                return None
        for _, _, lease_id in writes:
            if lease_id and lease_id not in self._leases:
                raise KeyError(lease_id)
        self.revision += 1
        for key, value, lease_id in writes:
            self._created_revisions.setdefault(key, self.revision)
            self._items[key] = StoredItem(key, value, self.revision, lease_id)
            self._append_history(Change(key, self.revision, value))
        for key in removed:
            self._remove(key)
        await self.notify_watches()
        return self.revision

    def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; return its ID and its TTL, clamped to the limits."""
        ttl_s = min(max(ttl_s, MIN_TTL_S), MAX_TTL_S)
        lease_id = 1000 + len(self._leases) + self.revision
        while lease_id in self._leases:
            lease_id += 1
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return lease_id, ttl_s

    def renew_lease(self, lease_id: int) -> float | None:
        """Renew a lease; return its TTL, None if it has expired."""
        self._expire()
        if lease_id not in self._leases:
            return None
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return ttl_s

    def revoke_lease(self, lease_id: int) -> bool:
        """Revoke a lease and delete its keys; return whether it existed."""
        if self._leases.pop(lease_id, None) is None:
            return False
        self._remove_lease_keys(lease_id)
        return True

    async def revoke(self, prefix: str) -> None:
        """Delete all keys with a prefix, as the operator of the store may."""
        for key in [key for key in self._items if key.startswith(prefix)]:
            self.revision += 1
            self._remove(key)
        await self.notify_watches()

    async def restore(self, age_s: float, are_leases_kept: bool = False) -> None:
        """Replace the state by a copy of ``age_s`` seconds ago.

        Revisions are given out again from that of the copy, and so are the identifiers
        of leases that were granted since.

        Args:
            age_s: age of the copy.
            are_leases_kept: whether leases that the copy's keys are attached to still
                exist; otherwise these keys are lost with them.
        """
        self._expire()
        self._append_copy()
        copy_s = self._clock() - age_s
        copies = [copy for copy in self._copies if copy.at_s <= copy_s]
        copy = copies[-1] if copies else self._copies[0]
        self._copies = [other for other in self._copies if other.at_s <= copy.at_s]
        self.revision = copy.revision
        self.era += 1
        self._items = dict(copy.items)
        self._created_revisions = dict(copy.created_revisions)
        if not are_leases_kept:
            self._leases.clear()
        for key, item in list(self._items.items()):
            if item.lease_id and item.lease_id not in self._leases:
                del self._items[key], self._created_revisions[key]
        used = {item.lease_id for item in self._items.values()}
        for lease_id in set(self._leases) - used:
            del self._leases[lease_id]
        self._history = [
            row for row in self._history if row[1].revision <= self.revision
        ]
        self._compacted_revision = min(self._compacted_revision, self.revision)
        await self.notify_watches()

    def items_with_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the keys with a prefix."""
        self._expire()
        return {
            key: item.value
            for key, item in self._items.items()
            if key.startswith(prefix)
        }

    def _append_copy(self) -> None:
        now_s = self._clock()
        self._copies.append(
            _Copy(
                now_s, self.revision, dict(self._items), dict(self._created_revisions)
            )
        )
        while len(self._copies) > 1 and self._copies[1].at_s < now_s - COPY_RETENTION_S:
            self._copies.pop(0)

    def compact(self) -> None:
        """Discard the change history."""
        self._history.clear()
        self._compacted_revision = self.revision

    def _expire(self) -> None:
        now_s = self._clock()
        for lease_id, (_, expires_at_s) in list(self._leases.items()):
            if expires_at_s <= now_s:
                del self._leases[lease_id]
                self._remove_lease_keys(lease_id)
        while self._history and self._history[0][0] < now_s - self.history_retention_s:
            self._compacted_revision = self._history.pop(0)[1].revision

    def _remove_lease_keys(self, lease_id: int) -> None:
        keys = [key for key, item in self._items.items() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._created_revisions.pop(key, None)
            self._append_history(Change(key, self.revision, None))

    def _append_history(self, item: Change) -> None:
        self._history.append((self._clock(), item))

    async def notify_watches(self) -> None:
        """Wake every pending watch."""
        if self.revision != self._copies[-1].revision:
            self._append_copy()
        async with self._changed:
            await self._changed.notify_all()

    async def _wait_for_notify(self) -> None:
        async with self._changed:
            await self._changed.wait()
