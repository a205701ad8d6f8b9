"""Limits of one backend server, held by the node on its VM.

``Admission`` bounds requests in flight, with a short queue. ``PermitLedger``
bounds the direct connections that other nodes may hold.
"""

import heapq
import time
from contextlib import asynccontextmanager
from itertools import count
from typing import NamedTuple

import curio

from guavagap.errors import ErrorKind, GuavagapError

__all__ = ["Admission", "PermitLedger", "direct_connection_limit"]

QUEUE_PER_SLOT = 2
RESERVED_CONNECTIONS = 2
EXPIRY_GRACE_S = 10.0
# The mean time of a run looks back over some ten runs.
EWMA_WEIGHT = 0.1
# Each step of priority lets a request wait for its whole target latency longer, so
# that the operator's order goes before the length of the work.
PRIORITY_WEIGHT = 1.0


def direct_connection_limit(connections: int, slots: int) -> int:
    """Return how many connections may be given to other nodes."""
    return max(0, connections - slots - RESERVED_CONNECTIONS)


class _Waiter:
    """One request that waits for a slot.

    Attributes:
        refusal: why it does not get one.
    """

    __slots__ = ("event", "refusal")

    def __init__(self):
        self.event = curio.Event()
        self.refusal: GuavagapError | None = None


class Admission:
    """Admits up to ``slots`` requests and lets a few more wait, soonest due first.

    Args:
        slots: how many requests run at once.
        clock: monotonic seconds.
    """

    def __init__(self, slots: int, clock=time.monotonic):
        self.slots = slots
        self._clock = clock
        self.in_flight = 0
        self.is_draining = False
        self._mean_run_s = 0.0
        self._numbers = count()
        self._waiting: list[tuple[float, int, _Waiter]] = []

    @property
    def queue_length(self) -> int:
        """How many requests wait for a slot."""
        return len(self._waiting)

    async def start_draining(self) -> None:
        """Admit nothing new and refuse what waits."""
        self.is_draining = True
        waiting, self._waiting = self._waiting, []
        for _, _, turn in waiting:
            await _refuse(turn, ErrorKind.DRAINING, "the backend server is leaving")

    @asynccontextmanager
    async def admit(
        self,
        priority: int = 1,
        max_wait_s: float | None = None,
        target_latency_s: float = 0.0,
    ):
        """Hold a slot for one request; the caller's timeout bounds the wait too.

        Requests of a short target latency, such as calls that another request
        waits for, go before those that have more time.

        Args:
            priority: 0 is the most urgent.
            max_wait_s: limit of the wait; None for no limit.
            target_latency_s: time within which an answer is worth most.

        Raises:
            GuavagapError: DRAINING; SLOTS_TAKEN when the wait is expected to be
                longer than allowed; OVERLOADED when the queue is full or the wait
                was too long. Nothing was run.
        """
        allowance_s = target_latency_s * (1 + PRIORITY_WEIGHT * priority)
        await self._acquire_slot(self._clock() + allowance_s, max_wait_s)
        started_s = self._clock()
        try:
            yield
        finally:
            self._record_run(self._clock() - started_s)
            await self._leave()

    def _record_run(self, run_s: float) -> None:
        if not self._mean_run_s:
            self._mean_run_s = run_s
        self._mean_run_s += EWMA_WEIGHT * (run_s - self._mean_run_s)

    def expected_wait_s(self, due_s: float) -> float:
        """Return how long a request would wait for a slot, by the latest runs."""
        ahead = sum(entry[0] <= due_s for entry in self._waiting)
        return (ahead + 1) * self._mean_run_s / self.slots

    async def _acquire_slot(self, due_s: float, max_wait_s: float | None) -> None:
        if self.is_draining:
            raise GuavagapError(ErrorKind.DRAINING, "the backend server is leaving")
        if self.in_flight < self.slots:
            self.in_flight += 1
            return
        if max_wait_s is not None and self.expected_wait_s(due_s) > max_wait_s:
            raise GuavagapError(ErrorKind.SLOTS_TAKEN, "every slot is taken")
        if len(self._waiting) >= self.slots * QUEUE_PER_SLOT:
            await self._evict_least_urgent(due_s)
        turn = _Waiter()
        entry = (due_s, next(self._numbers), turn)
        heapq.heappush(self._waiting, entry)
        try:
            if max_wait_s is None:
                await turn.event.wait()
            else:
                await curio.ignore_after(max_wait_s, turn.event.wait)
        except BaseException:
            if turn.event.is_set() and turn.refusal is None:
                await self._leave()
            else:
                self._forget(entry)
            raise
        if turn.refusal is not None:
            raise turn.refusal
        if not turn.event.is_set():
            self._forget(entry)
            raise GuavagapError(ErrorKind.OVERLOADED, "no slot in time")

    async def _evict_least_urgent(self, due_s: float) -> None:
        """Send the least urgent request away, unless that is the new one."""
        entry = max(self._waiting)
        if entry[0] <= due_s:
            raise GuavagapError(ErrorKind.OVERLOADED, "the queue is full")
        self._forget(entry)
        await _refuse(entry[2], ErrorKind.OVERLOADED, "a more urgent request came")

    def _forget(self, entry: tuple[float, int, _Waiter]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)

    async def _leave(self) -> None:
        """Give the slot to the waiting request that is due first."""
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            await turn.event.set()
            return
        self.in_flight -= 1


async def _refuse(turn: _Waiter, kind: ErrorKind, detail: str) -> None:
    turn.refusal = GuavagapError(kind, detail)
    await turn.event.set()


class _Reservation(NamedTuple):
    granted: int
    held: int
    expires_at_s: float


class PermitLedger:
    """Direct connections granted to other nodes, never more than the limit.

    A holder stops using a permit when its time is over, measured from before it
    asked. The ledger counts the permit for ``EXPIRY_GRACE_S`` longer, and while
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
        self._reservations: dict[str, _Reservation] = {}
        self._shortage_until_s = 0.0

    def holders(self) -> list[str]:
        """Return the nodes that hold permits or may still have connections."""
        self._remove_expired()
        return list(self._reservations)

    def counted(self) -> int:
        """Return how many connections are counted against the limit."""
        self._remove_expired()
        return sum(max(row.granted, row.held) for row in self._reservations.values())

    def demand(self, holder_id: str, wanted: int, held: int) -> int:
        """Return how many connections a node may have from now on.

        Args:
            holder_id: the asking node.
            wanted: how many it would use.
            held: how many it has open now.
        """
        now_s = self._clock()
        self._reservations.pop(holder_id, None)
        if self.is_draining:
            wanted = 0
        free = max(0, self.limit - self.counted())
        if wanted > free:
            self._shortage_until_s = now_s + self.ttl_s
        granted = min(wanted, free)
        if now_s < self._shortage_until_s:
            granted = min(granted, self._fair_share())
        if granted or held:
            self._reservations[holder_id] = _Reservation(
                granted, held, now_s + self.ttl_s
            )
        return granted

    def _fair_share(self) -> int:
        return max(1, self.limit // (len(self._reservations) + 1))

    def _remove_expired(self) -> None:
        oldest_s = self._clock() - EXPIRY_GRACE_S
        for holder_id, row in list(self._reservations.items()):
            if row.expires_at_s < oldest_s:
                del self._reservations[holder_id]
