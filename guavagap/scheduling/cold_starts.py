"""Cold starts: when a backend server takes few requests because it is cold.

The owner node of a backend server decides, since all requests pass it. Heartbeats tell
how long a backend server stays cold, but only some time after it has become cold, so
it is presumed cold after each event that may have made it so. The presumption ends with
what the backend server says of a time after the event.

Load patterns:

- A backend server crashes under load and is back before its next heartbeat. The waiting
  requests must not all be sent to it at once.
- A heartbeat was sent before the event and arrives after it. It does not end the
  presumption: one that does arrives a heartbeat interval after the event, or is one of
  a later start of a backend server that had crashed.
- All backend servers of a failure domain become cold at once, by the end of an
  evacuation. A probe of each shows at once which of them are warm, so that the capacity
  of the failure domain is not held back for the time of two heartbeats.
- A backend server that cannot be reached for seconds. Each further failure may precede
  its start; it is probed once, when a connection succeeds.
- A backend server that is warm is reported by a node that has just started. One probe
  ends the presumption.
"""

import math
from collections import deque
from enum import Enum
from typing import NamedTuple

from guavagap.declarations import ColdLimit

__all__ = ["ColdEvent", "ColdStart", "Heartbeat", "cold_burst"]

# Used until two heartbeats of one start have shown the interval.
ASSUMED_INTERVAL_S = 2.0
# Heartbeats of a busy VM are late by tenths of a second.
MIN_INTERVAL_S = 0.5
# The longest of several pauses is taken, since a lost heartbeat makes one longer and a
# late one makes the next one shorter.
INTERVALS_KEPT = 4
# A backend server that refuses and accepts connections in turn is not probed each time.
MIN_PROBE_PAUSE_S = 1.0
# Requests that were admitted within this time may arrive together, as they wait for
# their bodies meanwhile.
MAX_BUNCHING_S = 0.5
# The rest of the slack is left for stalls of the node's process.
BURST_SHARE_OF_SLACK = 0.5


class ColdEvent(Enum):
    """What may have made a backend server cold; the values are used in logs."""

    FIRST_HEARTBEAT = "first heartbeat"
    CRASHED = "crashed"
    UNREACHABLE = "unreachable"
    DISCONNECTED = "connections closed"
    EVACUATION_ENDED = "evacuation ended"
    NODE_RESUMED = "node was stopped"


# After these, a backend server cannot be probed until a connection succeeds.
_DOWN_EVENTS = (ColdEvent.CRASHED, ColdEvent.UNREACHABLE, ColdEvent.DISCONNECTED)


class Heartbeat(NamedTuple):
    """What a heartbeat says of a cold start.

    Attributes:
        born_ms: wall-clock time of the backend server's start, 0 if it does not tell.
        sequence: increases with each heartbeat of one start.
        cold_s: remaining time of the cold start, 0 or less if it is warm.
    """

    born_ms: int
    sequence: int
    cold_s: float


class _Probing(Enum):
    """Whether the probe of an event is to be sent."""

    DONE = "done"
    WHEN_CONNECTED = "when connected"
    DUE = "due"


class _Presumption(NamedTuple):
    """An event after which nothing is known yet.

    Attributes:
        born_ms: start of the backend server that was known at the event.
    """

    event: ColdEvent
    at_s: float
    born_ms: int


class ColdStart:
    """What is known of the cold start of one backend server.

    All times are seconds of one steady clock that counts suspended time.

    Args:
        now_s: time of the first heartbeat of the backend server.

    Attributes:
        reason: what the present state was concluded from, for logs.
    """

    def __init__(self, now_s: float):
        self.reason = ColdEvent.FIRST_HEARTBEAT.value
        self._latest: Heartbeat | None = None
        self._arrived_at_s = -math.inf
        self._pauses_s: deque[float] = deque(maxlen=INTERVALS_KEPT)
        self._presumption: _Presumption | None = None
        self._probing = _Probing.DONE
        self._probed_at_s = -math.inf
        # Heartbeats that arrive within an interval after this may be older.
        self._known_at_s = -math.inf
        self._cold_until_s = -math.inf
        self.record_event(ColdEvent.FIRST_HEARTBEAT, now_s)

    @property
    def is_presumed(self) -> bool:
        """Whether the backend server has said nothing since an event."""
        return self._presumption is not None

    def is_cold(self, now_s: float) -> bool:
        """Return whether the backend server is cold, or presumed so."""
        return self.is_presumed or now_s < self._cold_until_s

    def remaining_s(self, now_s: float) -> float:
        """Return the known remaining time of the cold start, 0 if none is known."""
        return max(0.0, self._cold_until_s - now_s)

    def record_event(self, event: ColdEvent, now_s: float) -> None:
        """Presume the backend server cold because of an event."""
        is_down_still = (
            event is ColdEvent.UNREACHABLE and self._probing is _Probing.WHEN_CONNECTED
        )
        born_ms = self._latest.born_ms if self._latest else 0
        self._presumption = _Presumption(event, now_s, born_ms)
        self._known_at_s = now_s
        self.reason = event.value
        if is_down_still:
            return
        is_down = event in _DOWN_EVENTS
        self._probing = _Probing.WHEN_CONNECTED if is_down else _Probing.DUE

    def record_connected(self) -> None:
        """Record that a new connection to the backend server was accepted."""
        if self._probing is _Probing.WHEN_CONNECTED:
            self._probing = _Probing.DUE

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record a heartbeat; a stale one changes nothing.

        Args:
            heartbeat: a heartbeat of the latest known start, or of a later one.
            now_s: the time of its arrival.
        """
        latest = self._latest
        is_same_start = latest is not None and latest.born_ms == heartbeat.born_ms
        if is_same_start and heartbeat.sequence <= latest.sequence:
            return
        pause_s = now_s - self._arrived_at_s if is_same_start else ASSUMED_INTERVAL_S
        # Its own pause tells the interval only if nothing else does.
        known_pauses_s = self._pauses_s or (pause_s,)
        interval_s = max(MIN_INTERVAL_S, *known_pauses_s)
        is_later = self._is_later(heartbeat, now_s, interval_s)
        if is_same_start:
            self._pauses_s.append(pause_s)
        self._latest, self._arrived_at_s = heartbeat, now_s
        cold_until_s = now_s + max(0.0, heartbeat.cold_s)
        if not is_later:
            self._cold_until_s = max(self._cold_until_s, cold_until_s)
            return
        self._settle(cold_until_s, "heartbeat")

    def _is_later(self, heartbeat: Heartbeat, now_s: float, interval_s: float) -> bool:
        """Return whether a heartbeat was sent after all that is known otherwise."""
        if now_s - self._known_at_s >= interval_s:
            return True
        if self._presumption is None:
            return False
        event, _, born_ms = self._presumption
        if event is ColdEvent.FIRST_HEARTBEAT:
            # A start that is known to be cold needs no probe.
            return heartbeat.cold_s > 0
        return event in _DOWN_EVENTS and heartbeat.born_ms > born_ms

    def _settle(self, cold_until_s: float, source: str) -> None:
        self._presumption = None
        self._probing = _Probing.DONE
        self._cold_until_s = cold_until_s
        self.reason = source

    def take_probe(self, now_s: float) -> bool:
        """Return whether a probe is to be sent now; it is then taken to be sent."""
        if self._probing is not _Probing.DUE:
            return False
        self._probing = _Probing.DONE
        if now_s - self._probed_at_s < MIN_PROBE_PAUSE_S:
            return False
        self._probed_at_s = now_s
        return True

    def record_probe(self, sent_at_s: float, cold_s: float, now_s: float) -> None:
        """Record the response to a probe.

        Args:
            sent_at_s: when the probe was sent.
            cold_s: remaining time of the cold start that the response tells.
            now_s: the time of its arrival.
        """
        cold_until_s = now_s + max(0.0, cold_s)
        if self._presumption is not None and self._presumption.at_s > sent_at_s:
            self._cold_until_s = max(self._cold_until_s, cold_until_s)
            return
        self._known_at_s = now_s
        self._settle(cold_until_s, "probe")


def cold_burst(limit: ColdLimit, overshoot: float, slack: float) -> float:
    """Return how many requests may be sent to a cold backend server at once.

    Args:
        limit: the limit of its service.
        overshoot: factor of the rate that is tolerated in any second.
        slack: requests in any second that are tolerated beyond that.
    """
    tolerated = limit.rate_per_s * overshoot + slack
    bunched = limit.rate_per_s * (1 + MAX_BUNCHING_S)
    return max(1.0, min(BURST_SHARE_OF_SLACK * slack, tolerated - bunched))
