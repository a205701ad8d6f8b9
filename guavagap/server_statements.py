"""What backend servers say about themselves in their responses."""

from typing import NamedTuple

from guavagap.scheduling.rate_limits import NO_LIMIT
from guavagap.stream_messages import LIMIT_UNKNOWN, UNLIMITED, Condition

__all__ = [
    "NO_HEALTH_STATEMENT",
    "NO_STATEMENT",
    "HealthStatement",
    "StatementRecord",
    "ServerStatement",
    "from_millihertz",
    "to_millihertz",
]

# As long as a drained backend server is remembered by its owner node.
LEAVING_RETENTION_S = 60.0
MAX_MILLIHERTZ = UNLIMITED - 1


class ServerStatement(NamedTuple):
    """What one response says about its backend server.

    Attributes:
        limit_per_s: requests a second that it takes from all nodes together,
            ``NO_LIMIT`` if it names no limit; None if the response does not tell.
        is_leaving: whether it takes no new requests any more.
        run_time_percent: how long work takes on its VM at this moment, in percent of
            the usual; 0 if it does not tell.
    """

    limit_per_s: float | None
    is_leaving: bool
    run_time_percent: int = 0


class HealthStatement(NamedTuple):
    """What the response to a health probe says about its backend server.

    Attributes:
        server_id: identifier of the backend server, "" if it is not told.
        cold_s: remaining time of its cold start, 0 if it is warm; None if it is not
            told.
    """

    server_id: str
    cold_s: float | None


NO_STATEMENT = ServerStatement(None, False)
NO_HEALTH_STATEMENT = HealthStatement("", None)


def to_millihertz(limit_per_s: float | None) -> int:
    """Return a limit as links carry it."""
    if limit_per_s is None:
        return LIMIT_UNKNOWN
    if limit_per_s == NO_LIMIT:
        return UNLIMITED
    return min(MAX_MILLIHERTZ, max(1, round(limit_per_s * 1000)))


def from_millihertz(millihertz: int) -> float | None:
    """Return a limit in requests a second, None if it is unknown."""
    if millihertz == LIMIT_UNKNOWN:
        return None
    return NO_LIMIT if millihertz == UNLIMITED else millihertz / 1000


class StatementRecord:
    """What a node was told about a backend server, also if its owner node forgets it.

    Attributes:
        limit_millihertz: the limit that the latest response named.
    """

    __slots__ = ("limit_millihertz", "_leaving_seen_at_s")

    def __init__(self):
        self.limit_millihertz = LIMIT_UNKNOWN
        self._leaving_seen_at_s = float("-inf")

    def record(self, condition: Condition, now_s: float) -> None:
        """Record what the owner node reports of the backend server."""
        if condition.limit_millihertz != LIMIT_UNKNOWN:
            self.limit_millihertz = condition.limit_millihertz
        if condition.is_leaving:
            self.record_leaving(now_s)

    def record_leaving(self, now_s: float) -> None:
        """Record that the backend server leaves, which is final for its start."""
        self._leaving_seen_at_s = now_s

    def is_leaving(self, now_s: float) -> bool:
        """Return whether the backend server leaves, as far as this node was told."""
        return now_s - self._leaving_seen_at_s < LEAVING_RETENTION_S
