"""Order of the requests that wait for a slot of one backend server.

Requests of a customer with a lower priority value go first, and within one value those
that are due first. Each further priority level of the route postpones the due time, and
so does each request of the same customer that waits already.

Load patterns:

- Capacity is short, and the more urgent customers alone use it up. A less urgent level
  whose requests are served less than half as often as the average goes with the most
  urgent ones until it is not. It then keeps at least a quarter of the average although
  its requests are also refused for their expected wait.
- One customer sends many times what others of the same priority send. Its requests are
  due later and later, so the others' requests pass it.
- No customers: requests are ordered by when they are due.
"""

import math
from collections import Counter
from typing import NamedTuple

__all__ = ["AdmissionOrder", "Claim", "Urgency"]

# Each priority level postpones the due time of a request by its whole target latency,
# so that the operator's priorities outweigh the length of the work.
PRIORITY_WEIGHT = 1.0
MOST_URGENT = 0
# Time constant of the counts: tens of requests at one busy backend server.
COUNT_DECAY_S = 5.0
# A level below this share of the average is served like the most urgent one. Customers
# tolerate a quarter; the rest covers what is counted at several backend servers.
MIN_SHARE_OF_AVERAGE = 0.5
# Below this number of requests a share says nothing.
MIN_COUNT = 3.0


class Claim(NamedTuple):
    """What a request for a slot is ordered by.

    Attributes:
        priority: priority of the route; 0 is the most urgent.
        target_latency_s: time within which a response is worth most; 0 for none.
        customer: name of the customer; empty for an anonymous request.
        customer_priority: 0 is the most urgent, as are anonymous requests, since
            requests of customers may wait for them.
    """

    priority: int = 1
    target_latency_s: float = 0.0
    customer: bytes = b""
    customer_priority: int = MOST_URGENT


class Urgency(NamedTuple):
    """Sort key of a waiting request; the lowest is served first."""

    level: int
    due_at_s: float


class AdmissionOrder:
    """Order of the requests to one backend server, and counts of what was served."""

    def __init__(self):
        self._arrived: Counter[int] = Counter()
        self._served: Counter[int] = Counter()
        self._decayed_at_s = 0.0

    def record_arrival(self, claim: Claim, now_s: float) -> None:
        """Record a request; nothing is kept while all are of the most urgent level."""
        level = claim.customer_priority
        if level == MOST_URGENT and not self._arrived:
            return
        self._decay(now_s)
        self._arrived[level] += 1

    def record_start(self, claim: Claim) -> None:
        """Record that a request got a slot."""
        if self._arrived:
            self._served[claim.customer_priority] += 1

    def urgency(self, claim: Claim, waiting: int, now_s: float) -> Urgency:
        """Return the sort key of a request.

        Args:
            claim: the request.
            waiting: number of waiting requests of the same customer.
            now_s: the present time.
        """
        due_in_s = claim.target_latency_s * (1 + PRIORITY_WEIGHT * claim.priority)
        level = claim.customer_priority
        if level != MOST_URGENT and self._is_underserved(level):
            level = MOST_URGENT
        return Urgency(level, now_s + due_in_s * (1 + waiting))

    def _is_underserved(self, level: int) -> bool:
        if self._arrived[level] < MIN_COUNT:
            return False
        share = self._served[level] / self._arrived[level]
        average = self._served.total() / self._arrived.total()
        return share < MIN_SHARE_OF_AVERAGE * average

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._decayed_at_s) / COUNT_DECAY_S)
        self._decayed_at_s = now_s
        for counts in (self._arrived, self._served):
            for level in counts:
                counts[level] *= factor
