"""In-memory stand-in for the platform's metadata store: its state and its clock."""

import curio

from guavagap.metadata_store import MirrorItem, StoreItem

__all__ = ["FakeMetadataStore"]

MIN_TTL_S = 0.05
MAX_TTL_S = 600.0


class FakeMetadataStore:
    """Keys with one revision counter, leases, a history and waiting watches.

    Args:
        clock: monotonic seconds.
        history_s: how long changes are remembered for watches.
    """

    def __init__(self, clock, history_retention_s: float = 20.0):
        self.revision = 1
        self.history_retention_s = history_retention_s
        self._clock = clock
        self._items: dict[str, StoreItem] = {}
        self._created: dict[str, int] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._history: list[tuple[float, MirrorItem]] = []
        self._compacted_revision = 0
        self._changed = curio.Condition()

    def get(self, key: str) -> StoreItem | None:
        """Return the item of a key."""
        self._expire()
        return self._items.get(key)

    def list_prefix(self, prefix: str, after: str, limit: int) -> list[StoreItem]:
        """Return the next items in the order of their keys."""
        self._expire()
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return [self._items[key] for key in keys[:limit]]

    def created_revision(self, key: str) -> int:
        """Return the revision at which a key was created."""
        return self._created.get(key, 0)

    def changes(self, prefix: str, after: int) -> list[MirrorItem] | None:
        """Return the changes after a revision, None when they are forgotten."""
        self._expire()
        if after < self._compacted_revision:
            return None
        return [
            item
            for _, item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> list[MirrorItem] | None:
        """Return as soon as there are changes, or when the wait has run out."""
        deadline_s = self._clock() + wait_s
        while True:
            changes = self.changes(prefix, after)
            left_s = deadline_s - self._clock()
            if changes is None or changes or left_s <= 0:
                return changes
            ends = [end for _, end in self._leases.values()]
            left_s = min([left_s, *(end - self._clock() for end in ends)])
            await curio.ignore_after(max(left_s, 0.001), self._wait_for_notify())

    async def transact(
        self,
        expected: dict[str, int],
        writes: list[tuple[str, bytes, int]],
        removed: list[str],
    ) -> int | None:
        """Apply all or nothing; return the new revision, None on a conflict.

        Raises:
            KeyError: a lease has ended.
        """
        self._expire()
        for key, revision in expected.items():
            held = self._items.get(key)
            if (0 if held is None else held.revision) != revision:
                return None
        for _, _, lease_id in writes:
            if lease_id and lease_id not in self._leases:
                raise KeyError(lease_id)
        self.revision += 1
        for key, value, lease_id in writes:
            self._created.setdefault(key, self.revision)
            self._items[key] = StoreItem(key, value, self.revision, lease_id)
            self._append_history(MirrorItem(key, self.revision, value))
        for key in removed:
            self._remove(key)
        await self.notify_watches()
        return self.revision

    def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Return the identifier and the time-to-live of a new lease."""
        ttl_s = min(max(ttl_s, MIN_TTL_S), MAX_TTL_S)
        lease_id = 1000 + len(self._leases) + self.revision
        while lease_id in self._leases:
            lease_id += 1
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return lease_id, ttl_s

    def renew_lease(self, lease_id: int) -> float | None:
        """Renew a lease; return its time-to-live, None when it has ended."""
        self._expire()
        if lease_id not in self._leases:
            return None
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, self._clock() + ttl_s)
        return ttl_s

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease; return False when there is none."""
        if self._leases.pop(lease_id, None) is None:
            return False
        self._remove_lease_keys(lease_id)
        return True

    async def revoke(self, prefix: str) -> None:
        """Take keys away without any request asking for it."""
        for key in [key for key in self._items if key.startswith(prefix)]:
            self.revision += 1
            self._remove(key)
        await self.notify_watches()

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._compacted_revision = self.revision

    def _expire(self) -> None:
        now_s = self._clock()
        for lease_id, (_, end_s) in list(self._leases.items()):
            if end_s <= now_s:
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
            self._created.pop(key, None)
            self._append_history(MirrorItem(key, self.revision, None))

    def _append_history(self, item: MirrorItem) -> None:
        self._history.append((self._clock(), item))

    async def notify_watches(self) -> None:
        """Wake every waiting watch."""
        async with self._changed:
            await self._changed.notify_all()

    async def _wait_for_notify(self) -> None:
        async with self._changed:
            await self._changed.wait()
