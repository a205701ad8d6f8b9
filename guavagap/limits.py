"""Limits of one backend server, held by the node on its VM.

``Admission`` bounds requests in flight, with a short queue. ``PermitLedger``
bounds the direct connections that other nodes may hold.
"""

from collections import deque
from contextlib import asynccontextmanager
from typing import NamedTuple

import curio

from guavagap.errors import ErrorKind, GuavagapError

__all__ = ["Admission", "PermitLedger", "direct_connection_limit"]

QUEUE_PER_SLOT = 2
RESERVE_BEYOND_SLOTS = 2
LAPSE_HOLD_S = 10.0


def direct_connection_limit(connections: int, slots: int) -> int:
    """Return how many connections may be given to other nodes."""
    return max(0, connections - slots - RESERVE_BEYOND_SLOTS)


class Admission:
    """Admits up to ``slots`` requests and lets a few more wait.

    Args:
        slots: how many requests run at once.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.in_flight = 0
        self.is_draining = False
        self._waiting: deque[curio.Event] = deque()

    @property
    def queue_length(self) -> int:
        """How many requests wait for a slot."""
        return len(self._waiting)

    @asynccontextmanager
    async def admit(self):
        """Hold a slot for one request; the caller's timeout bounds the wait.

        Raises:
            GuavagapError: DRAINING, or OVERLOADED when the queue is full; the
                request was not run.
        """
        await self._enter()
        try:
            yield
        finally:
            await self._leave()

    async def _enter(self) -> None:
        if self.is_draining:
            raise GuavagapError(ErrorKind.DRAINING, "the backend server is leaving")
        if self.in_flight < self.slots:
            self.in_flight += 1
            return
        if len(self._waiting) >= self.slots * QUEUE_PER_SLOT:
            raise GuavagapError(ErrorKind.OVERLOADED, "the queue is full")
        turn = curio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                await self._leave()
            else:
                self._waiting.remove(turn)
            raise

    async def _leave(self) -> None:
        """Give the slot to the request that has waited longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            await turn.set()
            return
        self.in_flight -= 1


class _Holding(NamedTuple):
    granted: int
    held: int
    expires_at_s: float


class PermitLedger:
    """Direct connections granted to other nodes, never more than the limit.

    A holder stops using a permit when its time is over, measured from before it
    asked. The ledger counts the permit for ``LAPSE_HOLD_S`` longer, and while
    the holder reports the connection open.

    Args:
        limit: how many connections may be granted in all.
        ttl_s: how long each grant lasts.
        clock: monotonic seconds.
    """

    def __init__(self, limit: int, ttl_s: float, clock):
        self.limit = limit
        self.ttl_s = ttl_s
        self.is_draining = False
        self._clock = clock
        self._holdings: dict[str, _Holding] = {}
        self._shortage_until_s = 0.0

    def holders(self) -> list[str]:
        """Return the nodes that hold permits or may still have connections."""
        self._forget_lapsed()
        return list(self._holdings)

    def counted(self) -> int:
        """Return how many connections are counted against the limit."""
        self._forget_lapsed()
        return sum(max(row.granted, row.held) for row in self._holdings.values())

    def demand(self, holder_id: str, wanted: int, held: int) -> int:
        """Return how many connections a node may have from now on.

        Args:
            holder_id: the asking node.
            wanted: how many it would use.
            held: how many it has open now.
        """
        now_s = self._clock()
        self._holdings.pop(holder_id, None)
        if self.is_draining:
            wanted = 0
        free = max(0, self.limit - self.counted())
        if wanted > free:
            self._shortage_until_s = now_s + self.ttl_s
        granted = min(wanted, free)
        if now_s < self._shortage_until_s:
            granted = min(granted, self._fair_share())
        if granted or held:
            self._holdings[holder_id] = _Holding(granted, held, now_s + self.ttl_s)
        return granted

    def _fair_share(self) -> int:
        return max(1, self.limit // (len(self._holdings) + 1))

    def _forget_lapsed(self) -> None:
        oldest_s = self._clock() - LAPSE_HOLD_S
        for holder_id, row in list(self._holdings.items()):
            if row.expires_at_s < oldest_s:
                del self._holdings[holder_id]
