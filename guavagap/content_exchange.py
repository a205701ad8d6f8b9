"""When a node exchanges its content with another one that is at the same epoch.

Pushes and the writes of a node make contents differ for tenths of a second. A
difference that lasts is settled by an exchange of all content, whose repetitions are
further and further apart while they change nothing.
"""

from guavagap.clock import steady_s

__all__ = ["ExchangeSchedule"]

MISMATCH_GRACE_S = 1.0
FIRST_INTERVAL_S = 1.0
MAX_INTERVAL_S = 16.0


class ExchangeSchedule:
    """Decides when the local node fetches all content of another one.

    Args:
        clock: steady clock in seconds.

    Attributes:
        has_matched: whether the content of another node was the same once.
    """

    def __init__(self, clock=steady_s):
        self.has_matched = False
        self._clock = clock
        self._mismatches_since_s: dict[str, float] = {}
        self._has_received = False
        self._interval_s = FIRST_INTERVAL_S
        self._next_exchange_s = float("-inf")

    def record_match(self, node_id: str) -> None:
        """Record that a node has the same content."""
        self.has_matched = self._has_received = True
        self._mismatches_since_s.pop(node_id, None)

    def record_received(self) -> None:
        """Record that content of another node was applied."""
        self._has_received = True
        self._mismatches_since_s.clear()

    def is_due(self, node_id: str) -> bool:
        """Return whether to exchange content with a node that has other content.

        A node that starts does so at once: it may have read an older state of the
        store than the others.
        """
        now_s = self._clock()
        since_s = self._mismatches_since_s.setdefault(node_id, now_s)
        if now_s < self._next_exchange_s:
            return False
        return not self._has_received or now_s - since_s >= MISMATCH_GRACE_S

    def record_exchange(self, is_changed: bool) -> None:
        """Record an exchange, and whether it has changed the local content."""
        if is_changed:
            self._interval_s = FIRST_INTERVAL_S
        self._next_exchange_s = self._clock() + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
        self.record_received()
