"""Limits of one backend server, enforced by its owner node.

``Admission`` bounds the requests in flight and their rate, and queues a few more.
``PermitLedger`` bounds the direct connections of other nodes.
"""

import heapq
import math
from contextlib import asynccontextmanager
from itertools import count
from typing import NamedTuple

import curio

from guavagap.clock import steady_s
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.scheduling.admission_order import AdmissionOrder, Claim, Urgency
from guavagap.scheduling.pace import paced_load
from guavagap.scheduling.rate_limits import RateLimit, equivalent_load

__all__ = ["Admission", "PermitLedger", "direct_connection_limit"]

QUEUE_PER_SLOT = 2
# Connections kept for the owner node beyond one for each slot.
RESERVED_CONNECTIONS = 2
EXPIRY_GRACE_S = 10.0
# The moving average of the run time covers about ten runs.
EWMA_WEIGHT = 0.1


def direct_connection_limit(connections: int, slots: int) -> int:
    """Return how many connections may be granted to other nodes.

    Args:
        connections: maximum number of connections that the backend server accepts.
        slots: maximum number of concurrent requests.
    """
    return max(0, connections - slots - RESERVED_CONNECTIONS)


class _Waiter:
    """A request that waits for a slot.

    Args:
        customer: name of its customer; empty for an anonymous request.
        may_exceed_limit: whether it may have any free slot.

    Attributes:
        event: set when the request gets a slot, is refused, or has become the next
            one that may be sent.
        is_admitted: whether it has a slot.
        refusal: error of a refused request, None otherwise.
    """

    __slots__ = ("customer", "may_exceed_limit", "event", "is_admitted", "refusal")

    def __init__(self, customer: bytes, may_exceed_limit: bool):
        self.customer = customer
        self.may_exceed_limit = may_exceed_limit
        self.event = curio.Event()
        self.is_admitted = False
        self.refusal: GuavagapError | None = None

    @property
    def is_decided(self) -> bool:
        """Whether the request has a slot or is refused."""
        return self.is_admitted or self.refusal is not None


class Admission:
    """Admits up to ``slots`` requests; a bounded queue is served most urgent first.

    Args:
        slots: maximum number of concurrent requests.
        clock: returns seconds of a steady clock.

    Attributes:
        rate_limit: limit of the requests a second.
        limit: how many of the slots are used at present; see
            :mod:`guavagap.scheduling.pace`.
        exceeded_count: requests that were admitted beyond the limit.
    """

    def __init__(self, slots: int, clock=steady_s):
        self.slots = slots
        self.limit = slots
        self.exceeded_count = 0
        self.rate_limit = RateLimit()
        self._clock = clock
        self.in_flight = 0
        self.is_draining = False
        self._mean_run_s = 0.0
        self._arrival_numbers = count()
        self._order = AdmissionOrder()
        self._waiters: list[tuple[Urgency, int, _Waiter]] = []

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    @property
    def load(self) -> int:
        """Number of requests that run or wait, or that would delay a new one as much.

        A limit below the slots, or of the rate, delays requests although slots are
        free.
        """
        load = self.in_flight + len(self._waiters)
        load = paced_load(load, self.limit, self.slots)
        wait_s = self.rate_limit.wait_s(len(self._waiters), self._clock())
        return max(load, equivalent_load(wait_s, self.slots, self._mean_run_s))

    async def start_draining(self) -> None:
        """Refuse new and waiting requests."""
        self.is_draining = True
        await self.refuse_waiting(ErrorKind.DRAINING, "the backend server is draining")

    async def refuse_waiting(self, kind: ErrorKind, detail: str) -> int:
        """Refuse the requests that wait; return their number."""
        waiters, self._waiters = self._waiters, []
        for _, _, waiter in waiters:
            await _refuse(waiter, kind, detail)
        return len(waiters)

    async def apply_rate_change(self) -> None:
        """Admit the waiting requests that a change of the rate limit allows."""
        await self._start_waiters()

    @asynccontextmanager
    async def admit(
        self,
        priority: int = 1,
        max_wait_s: float | None = None,
        target_latency_s: float = 0.0,
        customer: bytes = b"",
        customer_priority: int = 0,
        may_exceed_limit: bool = False,
    ):
        """Hold a slot for one request; an enclosing timeout bounds the wait as well.

        Requests with a short target latency, such as calls made on behalf of
        another request, are served before those with more time; see
        :mod:`guavagap.scheduling.admission_order`.

        Args:
            priority: priority of the route; 0 is the most urgent.
            max_wait_s: maximum wait; None for no limit.
            target_latency_s: time within which a response is worth most; 0 for none.
            customer: name of the customer; empty for an anonymous request.
            customer_priority: goes before the priority of the route.
            may_exceed_limit: whether it may have any free slot, whatever the limit is.

        Raises:
            GuavagapError: DRAINING; SLOTS_TAKEN when the expected wait exceeds the
                maximum; OVERLOADED when the queue is full, the wait has timed out
                or a more urgent request has displaced this one. The request was
                not run.
        """
        claim = Claim(priority, target_latency_s, customer, customer_priority)
        await self._acquire_slot(claim, max_wait_s, may_exceed_limit)
        self._order.record_start(claim)
        started_s = self._clock()
        try:
            yield
        finally:
            self._record_run(self._clock() - started_s)
            await self._release_slot()

    def _record_run(self, run_s: float) -> None:
        if not self._mean_run_s:
            self._mean_run_s = run_s
        self._mean_run_s += EWMA_WEIGHT * (run_s - self._mean_run_s)

    def expected_wait_s(
        self, urgency: Urgency, may_exceed_limit: bool = False
    ) -> float:
        """Return the expected wait for a slot, based on recent run times."""
        ahead = sum(entry[0] <= urgency for entry in self._waiters)
        slots = self.slots if may_exceed_limit else self._usable_slots()
        missing = max(0, ahead + 1 - (slots - self.in_flight))
        if missing and slots < self.slots and not self._mean_run_s:
            # Other backend servers have room, and this one has not responded yet.
            return math.inf
        slot_wait_s = missing * self._mean_run_s / slots
        return max(slot_wait_s, self.rate_limit.wait_s(ahead, self._clock()))

    def _usable_slots(self) -> int:
        """Return how many slots may be used at present.

        The limit does not hold while a request waits that may exceed it. The requests
        that go before it are admitted as well, so that the order is kept.
        """
        if self.limit >= self.slots:
            return self.slots
        is_exceeded = any(waiter.may_exceed_limit for _, _, waiter in self._waiters)
        return self.slots if is_exceeded else self.limit

    def _try_start(self, may_exceed_limit: bool = False) -> bool:
        """Take a slot and a share of the rate; return False if one is missing."""
        slots = self.slots if may_exceed_limit else self._usable_slots()
        if self.in_flight >= slots:
            return False
        if not self.rate_limit.try_use(self._clock()):
            return False
        self.exceeded_count += self.in_flight >= self.limit
        self.in_flight += 1
        return True

    def _urgency(self, claim: Claim) -> Urgency:
        waiting = 0
        if claim.customer:
            waiting = sum(
                waiter.customer == claim.customer for _, _, waiter in self._waiters
            )
        return self._order.urgency(claim, waiting, self._clock())

    async def _acquire_slot(
        self, claim: Claim, max_wait_s: float | None, may_exceed_limit: bool
    ) -> None:
        if self.is_draining:
            raise GuavagapError(ErrorKind.DRAINING, "the backend server is draining")
        self._order.record_arrival(claim, self._clock())
        if not self._waiters and self._try_start(may_exceed_limit):
            return
        urgency = self._urgency(claim)
        if max_wait_s is not None:
            if self.expected_wait_s(urgency, may_exceed_limit) > max_wait_s:
                raise GuavagapError(ErrorKind.SLOTS_TAKEN, self._describe_shortage())
        if len(self._waiters) >= self._max_waiters(may_exceed_limit):
            await self._evict_least_urgent(urgency)
        waiter = _Waiter(claim.customer, may_exceed_limit)
        entry = (urgency, next(self._arrival_numbers), waiter)
        heapq.heappush(self._waiters, entry)
        try:
            if may_exceed_limit and self.limit < self.slots:
                await self._start_waiters(waiter)
            await self._wait(waiter, max_wait_s)
        except BaseException:
            if waiter.is_admitted:
                await self._release_slot()
            else:
                await self._withdraw(entry)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if not waiter.is_admitted:
            await self._withdraw(entry)
            raise GuavagapError(ErrorKind.OVERLOADED, "timed out waiting for a slot")

    def _max_waiters(self, may_exceed_limit: bool) -> int:
        """Return the length of the queue beyond which the least urgent is refused.

        Requests that are held back by the limit of slots leave a place for those that
        may exceed it.
        """
        max_waiters = self.slots * QUEUE_PER_SLOT
        if may_exceed_limit and self.limit < self.slots:
            max_waiters += self.slots
        return max_waiters

    def _describe_shortage(self) -> str:
        if self.limit < self.slots:
            return f"all slots are in use, limited to {self.limit} in the ramp-up"
        return "all slots are in use"

    async def _wait(self, waiter: _Waiter, max_wait_s: float | None) -> None:
        """Wait until the request has a slot, is refused, or has waited too long."""
        end_s = math.inf if max_wait_s is None else self._clock() + max_wait_s
        while not waiter.is_decided:
            now_s = self._clock()
            if now_s >= end_s:
                return
            until_s = min(end_s, self._next_start_s(waiter, now_s))
            if until_s == math.inf:
                await waiter.event.wait()
            else:
                await curio.ignore_after(until_s - now_s, waiter.event.wait)
            waiter.event.clear()
            await self._start_waiters(waiter)

    def _next_start_s(self, waiter: _Waiter, now_s: float) -> float:
        """Return when the rate limit admits the next request, if it is this one."""
        is_next = bool(self._waiters) and self._waiters[0][2] is waiter
        if not is_next or self.in_flight >= self._usable_slots():
            return math.inf
        return now_s + self.rate_limit.wait_s(0, now_s)

    async def _start_waiters(self, current: _Waiter | None = None) -> None:
        """Admit the most urgent waiters, as many as may be sent now.

        The next one after these is woken, unless it is the current one, to wait for
        the rate limit: no other request may end before that.
        """
        while self._waiters and self._try_start():
            waiter = heapq.heappop(self._waiters)[2]
            waiter.is_admitted = True
            await waiter.event.set()
        if not self._waiters or self.in_flight >= self._usable_slots():
            return
        next_waiter = self._waiters[0][2]
        if next_waiter is not current:
            await next_waiter.event.set()

    async def _withdraw(self, entry: tuple[Urgency, int, _Waiter]) -> None:
        """Remove a waiter that waits no longer."""
        self._remove_waiter(entry)
        await self._start_waiters()

    async def _evict_least_urgent(self, urgency: Urgency) -> None:
        """Refuse the least urgent request, a waiter or the new one."""
        entry = max(self._waiters)
        if entry[0] <= urgency:
            raise GuavagapError(ErrorKind.OVERLOADED, "the queue for slots is full")
        self._remove_waiter(entry)
        await _refuse(
            entry[2], ErrorKind.OVERLOADED, "displaced by a more urgent request"
        )

    def _remove_waiter(self, entry: tuple[Urgency, int, _Waiter]) -> None:
        if entry in self._waiters:
            self._waiters.remove(entry)
            heapq.heapify(self._waiters)

    async def _release_slot(self) -> None:
        """Pass the slot on to the most urgent waiter."""
        self.in_flight -= 1
        await self._start_waiters()


async def _refuse(waiter: _Waiter, kind: ErrorKind, detail: str) -> None:
    waiter.refusal = GuavagapError(kind, detail)
    await waiter.event.set()


class _Reservation(NamedTuple):
    """Connections of one holder that count against the limit."""

    granted: int
    open_count: int
    expires_at_s: float


class PermitLedger:
    """Grants direct connections to other nodes, never more than the limit.

    A holder stops using a permit when its TTL expires, measured from before the
    request was sent. The ledger counts the permit for ``EXPIRY_GRACE_S`` longer, and
    while the holder reports its connections as open.

    Args:
        limit: maximum number of connections granted in total.
        ttl_s: lifetime of a grant.
        clock: returns seconds of a steady clock.
    """

    def __init__(self, limit: int, ttl_s: float, clock):
        self.limit = limit
        self.ttl_s = ttl_s
        self.is_draining = False
        self._clock = clock
        self._reservations: dict[str, _Reservation] = {}
        self._shortage_until_s = 0.0

    def holders(self) -> list[str]:
        """Return the nodes that hold permits or may still have open connections."""
        self._remove_expired()
        return list(self._reservations)

    def counted(self) -> int:
        """Return the number of connections that count against the limit."""
        self._remove_expired()
        return sum(
            max(reservation.granted, reservation.open_count)
            for reservation in self._reservations.values()
        )

    def allocate(self, holder_id: str, wanted: int, open_count: int) -> int:
        """Replace the reservation of a node; return how many connections it may have.

        Args:
            holder_id: the requesting node.
            wanted: how many connections it could use.
            open_count: how many connections it has open.
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
        if granted or open_count:
            self._reservations[holder_id] = _Reservation(
                granted, open_count, now_s + self.ttl_s
            )
        return granted

    def _fair_share(self) -> int:
        return max(1, self.limit // (len(self._reservations) + 1))

    def _remove_expired(self) -> None:
        oldest_s = self._clock() - EXPIRY_GRACE_S
        for holder_id, reservation in list(self._reservations.items()):
            if reservation.expires_at_s < oldest_s:
                del self._reservations[holder_id]
