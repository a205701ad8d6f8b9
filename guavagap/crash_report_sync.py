"""When a node fetches crash reports from another one.

Gossip spreads a crash report within about a second. A node that was away then has other
reports than the others, which the digest on each datagram shows.
"""

from typing import Iterable

from guavagap.clock import steady_s
from guavagap.messages import Member

__all__ = ["CrashReportSchedule", "find_informed"]

FIRST_INTERVAL_S = 1.0
# Reports that do not fit here, or that the other node lacks, are not asked for again
# and again.
MAX_INTERVAL_S = 16.0
# Gossip goes on for this long after a change. Traffic to other failure domains is
# billed, so nothing is fetched from there meanwhile.
GOSSIP_S = 2.0
# A node that has been running for this much longer than the local one has the reports
# that its mesh has; longer than a start takes, and than clocks of VMs differ.
MIN_LEAD_MS = 5000


def find_informed(peers: Iterable[Member], born_ms: int) -> list[Member]:
    """Return the alive peers that a starting node can learn the crash reports from.

    A node that has started at the same time may know as little. Incarnations begin with
    the time of the start.

    Args:
        peers: rows of alive peers.
        born_ms: Unix milliseconds of the start of the local node.

    Returns:
        Those that are older; all if none is, since the mesh has started together then.
    """
    peers = list(peers)
    older = [row for row in peers if row.incarnation < born_ms - MIN_LEAD_MS]
    return older or peers


class CrashReportSchedule:
    """Decides when the local node fetches the reports of a node that has others.

    Args:
        clock: steady clock in seconds.
    """

    def __init__(self, clock=steady_s):
        self._clock = clock
        self._interval_s = FIRST_INTERVAL_S
        self._next_s = float("-inf")

    def reset(self) -> None:
        """Fetch from the next node that has other reports."""
        self._interval_s = FIRST_INTERVAL_S
        self._next_s = float("-inf")

    def record_match(self) -> None:
        """Record that a node has the same reports."""
        self.reset()

    def is_due(self, is_local: bool, changed_at_s: float) -> bool:
        """Return whether to fetch the reports of a node that has others.

        Args:
            is_local: whether it is in the same failure domain.
            changed_at_s: time of the latest change of the local reports.
        """
        now_s = self._clock()
        if now_s < self._next_s:
            return False
        return is_local or now_s - changed_at_s >= GOSSIP_S

    def record_fetch(self, is_changed: bool) -> None:
        """Record a fetch, and whether it has brought anything."""
        if is_changed:
            self._interval_s = FIRST_INTERVAL_S
        self._next_s = self._clock() + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
